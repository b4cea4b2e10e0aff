#include "cardamomstream/process/deployment/report_exchange.h"

#include "cardamomstream/process/deployment/entry_weights.h"
#include "cardamomstream/process/rendezvous.h"

#include <algorithm>
#include <utility>

namespace cardamomstream {

namespace {

constexpr std::chrono::milliseconds min_report_interval{40}; ///< however fast the loads change

/// Each VM receives the reports of all VMs of its data centre. The interval grows with the data centre, so
/// that the cost for each VM stays the same.
constexpr std::size_t neighbours_per_interval_step = 64;
/// Two intervals are shorter than vm_alive_timeout, so that one report may be lost.
constexpr std::chrono::milliseconds max_report_interval{700};
constexpr std::chrono::milliseconds min_interval_per_neighbour{5}; ///< between extra reports

/// Of a machine's link, for its reports. They grow with trouble, just when callers need the link as well.
constexpr double max_link_share = 0.25;
constexpr std::chrono::milliseconds max_interval_of_link{500}; ///< the VM counts as alive when one is lost
constexpr double bits_per_ms_and_mbps = 1'000;
constexpr double bits_per_byte = 8;

/// Number of VMs that send summaries to another data centre, and of those that receive them there.
constexpr std::size_t paths_between_data_centres = 2;

/// Summaries are relayed to every VM of a data centre, so the interval grows with its size. Loads of
/// another region matter only for requests that are sent there, so they are sent less often still.
constexpr std::chrono::milliseconds summary_interval_per_neighbour{6};
constexpr std::uint64_t rounds_per_inter_region_summary = 2;

constexpr std::size_t min_neighbours_for_sparse_listing = 16; ///< with fewer, each report lists the known VMs
constexpr std::uint64_t reports_per_vm_list = 10;             ///< in larger data centres, and in summaries
constexpr std::size_t max_listed_vms = 128;                   ///< in one report

/// Silent and unidentified VMs are contacted rarely, except during the first seconds, when all VMs search
/// for each other.
constexpr std::chrono::seconds initial_search_period{5};
constexpr std::chrono::milliseconds later_search_interval{800};

constexpr std::size_t max_member_queries = 16; ///< sent at a time

/// A VM that asks again sooner cannot have received the answer yet.
constexpr std::chrono::milliseconds min_answer_interval{150};

/// VMs of this data centre, and of all others, that are asked at a time where streams began.
constexpr std::size_t origin_query_neighbours = 2;
constexpr std::size_t origin_query_others = 1;
/// A VM that knows too little asks again after this time, then after twice as long, up to the longest.
constexpr std::chrono::milliseconds first_origin_query_interval{400};
constexpr std::chrono::milliseconds longest_origin_query_interval{1'600};

/// Selects the VMs that exchange summaries with data centre `other`, highest rank first. VMs are identified
/// by address, as in summaries.
std::vector<endpoint> select_for_link(const data_centre_name& other, const std::vector<endpoint>& vms)
{
    std::map<vm_name, endpoint> by_name;
    std::vector<vm_name> names;
    for (const auto& vm : vms) {
        names.emplace_back(vm.str());
        by_name.emplace(names.back(), vm);
    }
    std::vector<endpoint> selected;
    for (const auto& name : rank_by_rendezvous(other.str(), std::move(names))) {
        if (selected.size() < paths_between_data_centres) {
            selected.push_back(by_name.at(name));
        }
    }
    return selected;
}

/// The VMs whose machines are to relay summaries to a whole data centre: those with at least half the
/// capacity of the second largest, so that two paths share no VM.
std::vector<endpoint> relay_candidates(const std::vector<vm_member>& members)
{
    std::vector<std::uint32_t> capacities;
    capacities.reserve(members.size());
    for (const auto& member : members) {
        capacities.push_back(member.capacity);
    }
    const auto least = least_large_capacity(std::move(capacities), paths_between_data_centres);
    std::vector<endpoint> candidates;
    for (const auto& member : members) {
        if (member.capacity >= least) {
            candidates.push_back(member.inner);
        }
    }
    return candidates;
}

/// `turn` selects with which VM to begin: what a full link drops are the last datagrams of a burst, which
/// should not always be those to the same VMs.
std::vector<endpoint> inner_addresses(const known_vms& vms, std::uint64_t turn)
{
    std::vector<endpoint> all;
    all.reserve(vms.size());
    for (std::size_t index = 0; index < vms.size(); ++index) {
        all.push_back(vms[(index + turn) % vms.size()]->report.inner);
    }
    return all;
}

/// Returns at most `count` addresses; `turn` selects where to start.
std::vector<endpoint> rotating_subset(const std::set<endpoint>& addresses, std::size_t count,
                                      std::uint64_t turn)
{
    std::vector<endpoint> subset;
    if (addresses.empty()) {
        return subset;
    }
    auto next = std::next(addresses.begin(), static_cast<std::ptrdiff_t>(turn % addresses.size()));
    while (subset.size() < std::min(count, addresses.size())) {
        subset.push_back(*next);
        next = std::next(next) == addresses.end() ? addresses.begin() : std::next(next);
    }
    return subset;
}

/// Keeps the newest change of each store part.
void merge_newest(std::vector<store_position>& changes, const std::vector<store_position>& others)
{
    changes.resize(std::max(changes.size(), others.size()));
    for (std::size_t part = 0; part < others.size(); ++part) {
        changes[part] = std::max(changes[part], others[part]);
    }
}

/// Lowers the age to that of another VM's answer from the store, if that is known.
void merge_store_answer(std::optional<std::chrono::milliseconds>& age,
                        const std::optional<std::chrono::milliseconds>& other, boot_clock::duration more)
{
    if (other) {
        const auto now = *other + std::chrono::ceil<std::chrono::milliseconds>(more);
        age = std::min(age.value_or(now), now);
    }
}

constexpr std::size_t max_summary_streams = 4'000;
constexpr std::size_t max_summary_crashes = 192; ///< in the summary of a data centre

template <class Statement>
void add_age(std::vector<Statement>& statements, boot_clock::duration age)
{
    for (auto& statement : statements) {
        statement.age += std::chrono::floor<std::chrono::milliseconds>(age);
    }
}

/// Adds what a report that was made `age` ago says of prompt parts. Each end of an upstream is added once for
/// each part.
void add_part_findings(vm_report& report, const vm_report& other, boot_clock::duration age)
{
    const auto more = std::chrono::floor<std::chrono::milliseconds>(age);
    for (auto crash : other.part_crashes) {
        const bool known =
            std::any_of(report.part_crashes.begin(), report.part_crashes.end(), [&](const part_crash& added) {
                return added.part == crash.part && added.upstream == crash.upstream &&
                       added.started_unix_ms == crash.started_unix_ms &&
                       added.broken_send == crash.broken_send;
            });
        if (!known && report.part_crashes.size() < max_summary_crashes) {
            crash.sent_age += more;
            crash.ended_age += more;
            report.part_crashes.push_back(std::move(crash));
        }
    }
    for (auto success : other.part_successes) {
        const bool known = std::any_of(report.part_successes.begin(), report.part_successes.end(),
                                       [&](const part_success& added) { return added.part == success.part; });
        if (!known) {
            success.age += more;
            report.part_successes.push_back(success);
        }
    }
    for (auto trial : other.part_trials) {
        trial.age += more;
        report.part_trials.push_back(trial);
    }
}

/// Adds the streams of a report to those of a summary, as long as they fit into a datagram.
void add_stream_origins(vm_report& summary, const vm_report& report)
{
    std::size_t attempts = 0;
    for (const auto& added : summary.stream_origins) {
        attempts += added.attempts.size();
    }
    for (const auto& origin : report.stream_origins) {
        attempts += origin.attempts.size();
        if (attempts > max_summary_streams) {
            return; // the other data centres refuse to go on with these
        }
        const auto same = std::find_if(
            summary.stream_origins.begin(), summary.stream_origins.end(), [&](const reported_origins& added) {
                return added.service == origin.service && added.version == origin.version;
            });
        if (same == summary.stream_origins.end()) {
            summary.stream_origins.push_back(origin);
        }
        else {
            same->attempts.insert(same->attempts.end(), origin.attempts.begin(), origin.attempts.end());
        }
    }
}

/// Adds the statements of a report that was made `age` ago; of several about one process of an upstream the
/// newest stays.
template <class Statement>
void add_newest(std::vector<Statement>& known, std::vector<Statement> others, boot_clock::duration age)
{
    add_age(others, age);
    for (auto& other : others) {
        const auto same = std::find_if(known.begin(), known.end(), [&](const Statement& one) {
            return one.upstream == other.upstream && one.started_unix_ms == other.started_unix_ms;
        });
        if (same == known.end()) {
            known.push_back(std::move(other));
        }
        else if (other.age < same->age) {
            *same = std::move(other);
        }
    }
}

} // namespace

report_exchange::report_exchange(vm_identity self, std::map<data_centre_name, region_name> data_centres)
    : m_self(std::move(self))
    , m_other_data_centres(std::move(data_centres))
    , m_vms(m_self.vm, m_self.data_centre)
{
    m_other_data_centres.erase(m_self.data_centre);
}

void report_exchange::learn_address(const endpoint& inner)
{
    if (inner != m_self.inner) {
        m_vms.learn_address(inner);
    }
}

std::chrono::milliseconds report_exchange::interval() const
{
    const auto steps = std::max<std::size_t>(1, m_neighbour_count / neighbours_per_interval_step);
    return std::min(std::max(report_interval * static_cast<int>(steps), interval_of_link()),
                    max_report_interval);
}

std::chrono::milliseconds report_exchange::min_interval() const
{
    return std::max({min_report_interval, min_interval_per_neighbour * static_cast<int>(m_neighbour_count),
                     interval_of_link()});
}

/// The time in which a report of the last one's size takes the permitted share of the link.
std::chrono::milliseconds report_exchange::interval_of_link() const
{
    if (m_self.link_mbps <= 0) {
        return std::chrono::milliseconds::zero();
    }
    const double bits_per_ms = m_self.link_mbps * bits_per_ms_and_mbps * max_link_share;
    const auto time = std::chrono::duration<double, std::milli>(static_cast<double>(m_report_bytes) *
                                                                bits_per_byte / bits_per_ms);
    return std::chrono::ceil<std::chrono::milliseconds>(
        std::min<std::chrono::duration<double, std::milli>>(time, max_interval_of_link));
}

std::chrono::milliseconds report_exchange::summary_interval() const
{
    return std::clamp(summary_interval_per_neighbour * static_cast<int>(m_neighbour_count), report_interval,
                      max_report_interval);
}

void report_exchange::set_identity(vm_report& report)
{
    report.vm = m_self.vm;
    report.process = m_self.process;
    report.sequence = ++m_sequence;
    report.region = m_self.region;
    report.data_centre = m_self.data_centre;
    report.entry = m_self.entry;
    report.inner = m_self.inner;
    report.capacity = m_self.capacity;
}

void report_exchange::add_known_vms(vm_report& report, const data_centre_name& data_centre) const
{
    report.known_vms = rotating_subset(m_vms.known_in(data_centre), max_listed_vms, m_sequence);
    for (const auto& [other, region] : m_other_data_centres) {
        if (other != data_centre) {
            const auto addresses =
                rotating_subset(m_vms.known_in(other), paths_between_data_centres, m_sequence);
            report.known_elsewhere.insert(report.known_elsewhere.end(), addresses.begin(), addresses.end());
        }
    }
}

received_report report_exchange::receive(const vm_report& report, time_point now)
{
    const auto previous = m_vms.find(report.vm);
    received_report received;
    received.is_new = m_vms.apply(report, now);
    for (const auto& vm : report.known_vms) {
        if (vm != m_self.inner) {
            m_vms.learn_neighbour(vm);
        }
    }
    if (m_vms.reporting_data_centres(now) < m_other_data_centres.size()) {
        for (const auto& vm : report.known_elsewhere) {
            learn_address(vm);
        }
    }
    if (received.is_new && !report.summary) {
        m_totals.add(report, previous ? &previous->report : nullptr);
    }
    if (received.is_new && report.summary && !report.summary->relayed) {
        received.outgoing.push_back(relay(report, now));
    }
    if (report.asks_for_members && report.data_centre != m_self.data_centre) {
        answer_member_query(report, now, received.outgoing);
    }
    return received;
}

outgoing_report report_exchange::relay(const vm_report& summary, time_point now) const
{
    outgoing_report forwarded{summary, inner_addresses(m_vms.neighbours(now), summary.sequence)};
    forwarded.report.summary->relayed = true;
    return forwarded;
}

void report_exchange::answer_member_query(const vm_report& query, time_point now,
                                          std::vector<outgoing_report>& out)
{
    auto& answered_at = m_answered_at[query.vm];
    if (answered_at != time_point{} && now - answered_at < min_answer_interval) {
        return;
    }
    answered_at = now;
    vm_report answer;
    set_identity(answer);
    add_known_vms(answer, query.data_centre);
    out.push_back({std::move(answer), {query.inner}});
}

std::vector<outgoing_report> report_exchange::report(vm_report state, time_point now)
{
    if (m_started_at == time_point{}) {
        m_started_at = now;
    }
    const bool first_report = m_last_report.vm.empty();
    const auto origin_query = std::exchange(state.asks_for_origins, std::nullopt);
    set_identity(state);
    m_totals.add(state, first_report ? nullptr : &m_last_report);
    m_last_report = state;
    m_last_report_at = now;
    m_last_report.lateness.clear();
    for (auto& load : m_last_report.loads) {
        load.new_parts.clear();
    }
    const auto neighbours = m_vms.neighbours(now);
    m_neighbour_count = neighbours.size();
    if (m_neighbour_count < min_neighbours_for_sparse_listing || m_sequence % reports_per_vm_list == 0) {
        add_known_vms(state, m_self.data_centre);
    }
    std::vector<outgoing_report> out;
    if (!origin_query) {
        m_origin_queries = 0;
    }
    else if (auto asked = select_for_origin_query(neighbours, now); !asked.empty()) {
        out.push_back({state, std::move(asked)});
        out.back().report.asks_for_origins = origin_query;
        out.back().report.known_vms.clear(); // the receivers may be in another data centre
    }
    const auto search_interval =
        now - m_started_at < initial_search_period ? report_interval : later_search_interval;
    if (now - m_searched_at >= search_interval) {
        m_searched_at = now;
        out.push_back(
            {state, rotating_subset(m_vms.unidentified_addresses(), max_member_queries, m_sequence)});
        out.back().report.asks_for_members = true;
        out.back().report.known_vms.clear(); // the receivers may be in another data centre
        const auto silent = m_vms.silent_neighbours(now);
        out.push_back({state, {silent.begin(), silent.end()}});
    }
    out.push_back({std::move(state), inner_addresses(neighbours, m_sequence)});
    return out;
}

std::vector<endpoint> report_exchange::select_for_origin_query(const known_vms& neighbours, time_point now)
{
    constexpr std::uint64_t doublings = 2; // up to the longest interval
    const auto interval = first_origin_query_interval * (1 << std::min(m_origin_queries, doublings));
    static_assert(first_origin_query_interval * (1 << doublings) == longest_origin_query_interval);
    if (m_origin_queries > 0 && now - m_origins_asked_at < interval) {
        return {};
    }
    std::set<endpoint> near;
    for (const auto& vm : neighbours) {
        near.insert(vm->report.inner);
    }
    std::set<endpoint> far;
    for (const auto& [other, region] : m_other_data_centres) {
        for (const auto& member : m_vms.alive_in(other, now)) {
            far.insert(member.inner);
        }
    }
    auto asked = rotating_subset(near, origin_query_neighbours, m_origin_queries * origin_query_neighbours);
    const auto others = rotating_subset(far, origin_query_others, m_sequence);
    asked.insert(asked.end(), others.begin(), others.end());
    if (!asked.empty()) {
        m_origin_queries += 1;
        m_origins_asked_at = now;
    }
    return asked;
}

outgoing_report report_exchange::answer_origin_query(origin_knowledge known, const endpoint& asker)
{
    vm_report answer;
    set_identity(answer);
    answer.origins = std::move(known);
    return {std::move(answer), {asker}};
}

outgoing_report report_exchange::announce(vm_report state, time_point now)
{
    state.loads = m_last_report.loads;
    state.uses = m_last_report.uses;
    state.links_lost = m_last_report.links_lost;
    set_identity(state);
    state.limits = m_last_report.limits;
    add_age(state.limits, now - m_last_report_at);
    add_newest(state.upstream_ends, m_last_report.upstream_ends, now - m_last_report_at);
    add_part_findings(state, m_last_report, now - m_last_report_at);
    state.stream_origins = m_last_report.stream_origins;
    m_last_report = state;
    m_last_report_at = now;
    m_last_report.changes.reset();
    return {std::move(state), inner_addresses(m_vms.neighbours(now), m_sequence)};
}

std::vector<endpoint> report_exchange::summary_sender_candidates(time_point now) const
{
    std::vector<endpoint> candidates;
    for (const auto& vm : m_vms.neighbours(now)) {
        if (!vm->report.leaving) {
            candidates.push_back(vm->report.inner);
        }
    }
    if (!m_last_report.leaving || candidates.empty()) {
        candidates.push_back(m_self.inner);
    }
    return candidates;
}

std::vector<endpoint> report_exchange::summary_receivers(const data_centre_name& other,
                                                         const std::vector<endpoint>& candidates,
                                                         time_point now) const
{
    const auto senders = select_for_link(other, candidates);
    const auto position = std::find(senders.begin(), senders.end(), m_self.inner);
    if (position == senders.end()) {
        return {};
    }
    auto receivers = select_for_link(m_self.data_centre, relay_candidates(m_vms.alive_in(other, now)));
    if (receivers.empty()) {
        // No VM there reports: tries the known addresses in rotation, since some may be running.
        return rotating_subset(m_vms.known_in(other), paths_between_data_centres, m_summary_rounds);
    }
    if (senders.size() == paths_between_data_centres) {
        const auto path = static_cast<std::size_t>(position - senders.begin());
        return {receivers[path % receivers.size()]};
    }
    return receivers;
}

vm_report report_exchange::make_summary(time_point now)
{
    auto summary = m_last_report;
    summary.read_up_to.clear();
    summary.read_from.clear();
    summary.limits.clear();
    add_newest(summary.limits, m_last_report.limits, now - m_last_report_at);
    summary.works.clear();
    add_newest(summary.works, m_last_report.works, now - m_last_report_at);
    summary.upstream_ends.clear();
    add_newest(summary.upstream_ends, m_last_report.upstream_ends, now - m_last_report_at);
    summary.part_crashes.clear();
    summary.part_successes.clear();
    summary.part_trials.clear();
    add_part_findings(summary, m_last_report, now - m_last_report_at);
    summary.store_answer_age.reset();
    merge_store_answer(summary.store_answer_age, m_last_report.store_answer_age, now - m_last_report_at);
    summary.summary.emplace();
    auto& part = *summary.summary;
    std::vector<const vm_report*> alive{&m_last_report};
    const auto neighbours = m_vms.neighbours(now);
    for (const auto& vm : neighbours) {
        alive.push_back(&vm->report);
        merge_newest(summary.known_changes, vm->report.known_changes);
        merge_store_answer(summary.store_answer_age, vm->report.store_answer_age, now - vm->received_at);
        add_newest(summary.limits, vm->report.limits, now - vm->received_at);
        add_newest(summary.works, vm->report.works, now - vm->received_at);
        add_newest(summary.upstream_ends, vm->report.upstream_ends, now - vm->received_at);
        add_part_findings(summary, vm->report, now - vm->received_at);
        add_stream_origins(summary, vm->report);
    }
    for (const auto* vm : alive) {
        part.members.push_back(
            {vm->inner, vm->entry, vm->ready && !vm->leaving, vm->links_lost, vm->capacity});
        part.store_readers += vm->reads_store || vm->store_failing ? 1 : 0;
        part.store_readers_failing += vm->store_failing ? 1 : 0;
    }
    part.sharers = static_cast<std::uint32_t>(m_vms.local_sharers(now)) + 1;
    m_totals.fill_summary(summary, alive);
    set_identity(summary);
    return summary;
}

std::map<data_centre_name, std::vector<endpoint>> report_exchange::summary_links(bool other_regions,
                                                                                 time_point now) const
{
    std::map<data_centre_name, std::vector<endpoint>> links;
    const auto candidates = summary_sender_candidates(now);
    for (const auto& [other, region] : m_other_data_centres) {
        if (region != m_self.region && !other_regions) {
            continue;
        }
        if (auto receivers = summary_receivers(other, candidates, now); !receivers.empty()) {
            links.emplace(other, std::move(receivers));
        }
    }
    return links;
}

std::vector<outgoing_report> report_exchange::summarise(time_point now)
{
    if (m_last_report.vm.empty()) {
        return {};
    }
    m_summary_rounds += 1;
    const auto links = summary_links(m_summary_rounds % rounds_per_inter_region_summary == 0, now);
    if (links.empty()) {
        m_totals.discard_recent();
        return {};
    }
    auto summary = make_summary(now);
    m_totals.move_recent_to(summary);
    std::vector<outgoing_report> out;
    for (const auto& [other, receivers] : links) {
        out.push_back({summary, receivers});
        if (m_summary_rounds % reports_per_vm_list == 0) {
            add_known_vms(out.back().report, other);
        }
    }
    return out;
}

std::vector<outgoing_report> report_exchange::summarise_for_region(time_point now)
{
    if (m_last_report.vm.empty()) {
        return {};
    }
    std::vector<outgoing_report> out;
    for (const auto& [other, receivers] : summary_links(false, now)) {
        out.push_back({out.empty() ? make_summary(now) : out.front().report, receivers});
    }
    return out;
}

} // namespace cardamomstream
