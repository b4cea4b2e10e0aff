#include "cardamomstream/process/deployment/report_exchange.h"

#include "cardamomstream/process/rendezvous.h"

#include <algorithm>
#include <optional>
#include <utility>

namespace cardamomstream {

namespace {

constexpr std::chrono::milliseconds least_report_interval{40}; ///< however fast the loads change

/// Each VM hears the reports of its whole data centre: in a large one they come more rarely, so that what a
/// VM spends on them stays the same.
constexpr std::size_t neighbours_for_report_step = 64;
constexpr std::chrono::milliseconds longest_report_interval{
    700}; ///< below vm_alive_limit with one report lost
constexpr std::chrono::milliseconds report_time_of_neighbour{5}; ///< between reports out of turn, for each

/// VMs that send summaries to another data centre, and those that receive them there.
constexpr std::size_t ways_between_data_centres = 2;

/// Summaries are passed on to each VM of a data centre: they come more rarely in a large one. The loads of
/// another region matter for requests that are sent there only, so they come more rarely as well.
constexpr std::chrono::milliseconds summary_time_of_neighbour{6};
constexpr std::uint64_t summaries_for_one_to_another_region = 2;

constexpr std::size_t known_vms_told_up_to = 16;
constexpr std::uint64_t known_vms_told_each = 10; ///< reports, in a larger data centre
constexpr std::size_t max_known_vms = 128;        ///< in one report

/// VMs that are silent or unknown are told rarely, but for the first seconds in which all look for each
/// other.
constexpr std::chrono::seconds search_time{5};
constexpr std::chrono::milliseconds late_search_interval{800};

constexpr std::size_t max_questions = 16; ///< at a time

/// A VM that asks again sooner has not had time to hear the answer.
constexpr std::chrono::milliseconds least_answer_interval{150};

/// The VMs that serve the way between the own and another data centre, best first. Addresses tell VMs apart,
/// as they do in summaries.
std::vector<endpoint> chosen_for(const data_centre_name& other, const std::vector<endpoint>& vms)
{
    std::map<vm_name, endpoint> by_name;
    std::vector<vm_name> names;
    for (const auto& vm : vms) {
        names.emplace_back(vm.str());
        by_name.emplace(names.back(), vm);
    }
    std::vector<endpoint> chosen;
    for (const auto& name : rank_by_rendezvous(other.str(), std::move(names))) {
        if (chosen.size() < ways_between_data_centres) {
            chosen.push_back(by_name.at(name));
        }
    }
    return chosen;
}

std::vector<endpoint> inner_addresses(const known_vms& vms)
{
    std::vector<endpoint> all;
    all.reserve(vms.size());
    for (const auto& vm : vms) {
        all.push_back(vm->report.inner);
    }
    return all;
}

/// `count` addresses at most, others for another `turn`.
std::vector<endpoint> some_of(const std::set<endpoint>& addresses, std::size_t count, std::uint64_t turn)
{
    std::vector<endpoint> some;
    if (addresses.empty()) {
        return some;
    }
    auto next = std::next(addresses.begin(), static_cast<std::ptrdiff_t>(turn % addresses.size()));
    while (some.size() < std::min(count, addresses.size())) {
        some.push_back(*next);
        next = std::next(next) == addresses.end() ? addresses.begin() : std::next(next);
    }
    return some;
}

/// Keeps the newest change of each part of the store.
void keep_newest(std::vector<std::uint64_t>& changes, const std::vector<std::uint64_t>& others)
{
    changes.resize(std::max(changes.size(), others.size()));
    for (std::size_t part = 0; part < others.size(); ++part) {
        changes[part] = std::max(changes[part], others[part]);
    }
}

} // namespace

report_exchange::report_exchange(vm_identity self, std::map<data_centre_name, region_name> data_centres)
    : m_self(std::move(self))
    , m_others(std::move(data_centres))
    , m_vms(m_self.vm, m_self.data_centre)
{
    m_others.erase(m_self.data_centre);
}

void report_exchange::learn_address(const endpoint& inner)
{
    if (inner != m_self.inner) {
        m_vms.learn_address(inner);
    }
}

std::chrono::milliseconds report_exchange::interval() const
{
    const auto steps = std::max<std::size_t>(1, m_neighbours / neighbours_for_report_step);
    return std::min(report_interval * static_cast<int>(steps), longest_report_interval);
}

std::chrono::milliseconds report_exchange::min_interval() const
{
    return std::max(least_report_interval, report_time_of_neighbour * static_cast<int>(m_neighbours));
}

std::chrono::milliseconds report_exchange::summary_interval() const
{
    return std::clamp(summary_time_of_neighbour * static_cast<int>(m_neighbours), report_interval,
                      longest_report_interval);
}

void report_exchange::identify(vm_report& report)
{
    report.vm = m_self.vm;
    report.process = m_self.process;
    report.sequence = ++m_sequence;
    report.region = m_self.region;
    report.data_centre = m_self.data_centre;
    report.entry = m_self.entry;
    report.inner = m_self.inner;
}

void report_exchange::add_known_vms(vm_report& report, const data_centre_name& data_centre) const
{
    report.known_vms = some_of(m_vms.known_in(data_centre), max_known_vms, m_sequence);
    for (const auto& [other, region] : m_others) {
        if (other != data_centre) {
            const auto told = some_of(m_vms.known_in(other), ways_between_data_centres, m_sequence);
            report.known_elsewhere.insert(report.known_elsewhere.end(), told.begin(), told.end());
        }
    }
}

received_report report_exchange::receive(const vm_report& report, time_point now)
{
    const auto before = m_vms.find(report.vm);
    received_report received;
    received.is_new = m_vms.apply(report, now);
    for (const auto& vm : report.known_vms) {
        if (vm != m_self.inner) {
            m_vms.learn_neighbour(vm);
        }
    }
    if (m_vms.data_centres_heard(now) < m_others.size()) {
        for (const auto& vm : report.known_elsewhere) {
            learn_address(vm);
        }
    }
    if (received.is_new && !report.summary) {
        m_totals.add(report, before ? &before->report : nullptr);
    }
    if (received.is_new && report.summary && !report.summary->relayed) {
        received.outgoing.push_back(relay(report, now));
    }
    if (report.asks_for_members && report.data_centre != m_self.data_centre) {
        answer_question(report, now, received.outgoing);
    }
    return received;
}

outgoing_report report_exchange::relay(const vm_report& summary, time_point now) const
{
    outgoing_report passed_on{summary, inner_addresses(m_vms.neighbours(now))};
    passed_on.report.summary->relayed = true;
    return passed_on;
}

void report_exchange::answer_question(const vm_report& question, time_point now,
                                      std::vector<outgoing_report>& out)
{
    auto& answered = m_answered[question.vm];
    if (answered != time_point{} && now - answered < least_answer_interval) {
        return;
    }
    answered = now;
    vm_report answer;
    identify(answer);
    add_known_vms(answer, question.data_centre);
    out.push_back({std::move(answer), {question.inner}});
}

std::vector<outgoing_report> report_exchange::report(vm_report state, time_point now)
{
    if (m_started_at == time_point{}) {
        m_started_at = now;
    }
    const bool first = m_last.vm.empty();
    identify(state);
    m_totals.add(state, first ? nullptr : &m_last);
    m_last = state;
    m_last.lateness.clear();
    for (auto& load : m_last.loads) {
        load.new_parts.clear();
    }
    const auto neighbours = m_vms.neighbours(now);
    m_neighbours = neighbours.size();
    if (m_neighbours < known_vms_told_up_to || m_sequence % known_vms_told_each == 0) {
        add_known_vms(state, m_self.data_centre);
    }
    std::vector<outgoing_report> out;
    const auto search = now - m_started_at < search_time ? report_interval : late_search_interval;
    if (now - m_asked_at >= search) {
        m_asked_at = now;
        out.push_back({state, some_of(m_vms.unheard(), max_questions, m_sequence)});
        out.back().report.asks_for_members = true;
        out.back().report.known_vms.clear(); // the receivers may be in another data centre
        const auto silent = m_vms.silent_neighbours(now);
        out.push_back({state, {silent.begin(), silent.end()}});
    }
    out.push_back({std::move(state), inner_addresses(neighbours)});
    return out;
}

outgoing_report report_exchange::announce(vm_report state, time_point now)
{
    state.loads = m_last.loads;
    state.uses = m_last.uses;
    identify(state);
    m_last = state;
    m_last.changes.reset();
    return {std::move(state), inner_addresses(m_vms.neighbours(now))};
}

std::vector<endpoint> report_exchange::speakers_here(time_point now) const
{
    std::vector<endpoint> staying;
    for (const auto& vm : m_vms.neighbours(now)) {
        if (!vm->report.leaving) {
            staying.push_back(vm->report.inner);
        }
    }
    if (!m_last.leaving || staying.empty()) {
        staying.push_back(m_self.inner);
    }
    return staying;
}

std::vector<endpoint> report_exchange::receivers_in(const data_centre_name& other,
                                                    const std::vector<endpoint>& speakers,
                                                    time_point now) const
{
    const auto ways = chosen_for(other, speakers);
    const auto own = std::find(ways.begin(), ways.end(), m_self.inner);
    if (own == ways.end()) {
        return {};
    }
    auto receivers = chosen_for(m_self.data_centre, m_vms.alive_in(other, now));
    if (receivers.empty()) {
        // None is heard: some of those known may run, and take it in turns.
        return some_of(m_vms.known_in(other), ways_between_data_centres, m_summaries);
    }
    if (ways.size() == ways_between_data_centres) {
        const auto way = static_cast<std::size_t>(own - ways.begin());
        return {receivers[way % receivers.size()]};
    }
    return receivers;
}

vm_report report_exchange::summary_of_here(time_point now)
{
    auto summary = m_last;
    summary.read_up_to.clear();
    summary.summary.emplace();
    auto& part = *summary.summary;
    std::vector<const vm_report*> alive{&m_last};
    const auto neighbours = m_vms.neighbours(now);
    for (const auto& vm : neighbours) {
        alive.push_back(&vm->report);
        keep_newest(summary.known_changes, vm->report.known_changes);
    }
    for (const auto* vm : alive) {
        part.members.push_back({vm->inner, vm->entry, vm->ready && !vm->leaving});
        part.store_readers += vm->reads_store || vm->store_failing ? 1 : 0;
        part.store_readers_failing += vm->store_failing ? 1 : 0;
    }
    part.sharers = static_cast<std::uint32_t>(m_vms.sharers_nearby(now)) + 1;
    m_totals.fill(summary, alive);
    identify(summary);
    return summary;
}

std::vector<outgoing_report> report_exchange::summarise(time_point now)
{
    if (m_last.vm.empty()) {
        return {};
    }
    m_summaries += 1;
    std::vector<outgoing_report> out;
    std::optional<vm_report> summary;
    const auto speakers = speakers_here(now);
    for (const auto& [other, region] : m_others) {
        if (region != m_self.region && m_summaries % summaries_for_one_to_another_region != 0) {
            continue;
        }
        auto receivers = receivers_in(other, speakers, now);
        if (receivers.empty()) {
            continue;
        }
        if (!summary) {
            summary = summary_of_here(now);
        }
        out.push_back({*summary, std::move(receivers)});
        if (m_summaries % known_vms_told_each == 0) {
            add_known_vms(out.back().report, other);
        }
    }
    if (!summary) {
        m_totals.forget_recent();
    }
    return out;
}

} // namespace cardamomstream
