#include "cardamomstream/process/deployment/vm_report_codec.h"

#include "cardamomstream/core/bounded_number.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <utility>

#include <arpa/inet.h>
#include <vm_report.pb.h>

namespace cardamomstream {

namespace {

/// Changed when the meaning of a field changes, so that VMs with the former meaning reject the reports.
constexpr std::uint32_t report_format = 2;

constexpr std::uint64_t max_age_ms =
    max_stated_duration.count(); ///< older limits and crashes are not applied

// A statement beyond these bounds is left out: what is counted from all VMs must not overflow.
constexpr std::uint32_t max_running = 10'000'000;
constexpr token_count max_memory_tokens = 1'000'000'000'000'000;
constexpr std::uint32_t max_work_percent = 100'000;
constexpr std::uint32_t max_samples = 10'000'000;
constexpr std::uint32_t max_urgency = 1'000'000;
constexpr double max_admitted = 1e15;

std::uint32_t encode_ipv4(const std::string& text)
{
    in_addr address{};
    return inet_pton(AF_INET, text.c_str(), &address) == 1 ? ntohl(address.s_addr) : 0;
}

endpoint decode_endpoint(std::uint32_t ipv4, std::uint32_t port)
{
    endpoint decoded{{}, static_cast<std::uint16_t>(port)};
    if (ipv4 != 0) {
        const in_addr address{htonl(ipv4)};
        std::array<char, INET_ADDRSTRLEN> text{};
        inet_ntop(AF_INET, &address, text.data(), text.size());
        decoded.address = text.data();
    }
    return decoded;
}

void encode_endpoint(const endpoint& value, report_messages::Endpoint& message)
{
    message.set_ipv4(encode_ipv4(value.address));
    message.set_port(value.port);
}

endpoint decode_endpoint(const report_messages::Endpoint& message)
{
    return decode_endpoint(message.ipv4(), message.port());
}

void encode_load(const upstream_load& load, report_messages::Load& message)
{
    message.set_upstream(load.upstream.str());
    message.set_running(load.running);
    message.set_memory_tokens(static_cast<std::uint64_t>(std::max<token_count>(0, load.memory_tokens)));
    message.set_reading_left_ms(static_cast<std::uint64_t>(
        std::clamp(load.prefill_left, std::chrono::milliseconds{0}, max_stated_duration).count()));
    message.mutable_new_parts()->Add(load.new_parts.begin(), load.new_parts.end());
}

/// Empty when a number is out of range.
std::optional<upstream_load> decode_load(const report_messages::Load& message)
{
    if (message.running() > max_running || std::cmp_greater(message.memory_tokens(), max_memory_tokens) ||
        message.reading_left_ms() > max_age_ms) {
        return std::nullopt;
    }
    upstream_load load;
    load.upstream = upstream_name(message.upstream());
    load.running = message.running();
    load.memory_tokens = static_cast<token_count>(message.memory_tokens());
    load.prefill_left = std::chrono::milliseconds(message.reading_left_ms());
    load.new_parts.assign(message.new_parts().begin(), message.new_parts().end());
    return load;
}

std::uint64_t encode_age(std::chrono::milliseconds age)
{
    return static_cast<std::uint64_t>(std::max<std::int64_t>(0, age.count()));
}

void encode_limit(const stated_limit& limit, report_messages::StatedLimit& message)
{
    message.set_upstream(limit.upstream.str());
    message.set_started_unix_ms(limit.started_unix_ms);
    message.set_limited(limit.requests_per_second.has_value());
    message.set_requests_per_second(limit.requests_per_second.value_or(0));
    message.set_age_ms(encode_age(limit.age));
}

/// Empty when the rate is no number that a limit can have.
std::optional<stated_limit> decode_limit(const report_messages::StatedLimit& message)
{
    const double rate = message.requests_per_second();
    if (!std::isfinite(rate) || rate < 0 || message.age_ms() > max_age_ms) {
        return std::nullopt;
    }
    stated_limit limit;
    limit.upstream = upstream_name(message.upstream());
    limit.started_unix_ms = message.started_unix_ms();
    if (message.limited()) {
        limit.requests_per_second = rate;
    }
    limit.age = std::chrono::milliseconds(message.age_ms());
    return limit;
}

void encode_work(const stated_work& work, report_messages::StatedWork& message)
{
    message.set_upstream(work.upstream.str());
    message.set_started_unix_ms(work.started_unix_ms);
    message.set_percent(work.percent);
    message.set_age_ms(encode_age(work.age));
}

/// Empty when a number is out of range.
std::optional<stated_work> decode_work(const report_messages::StatedWork& message)
{
    if (message.percent() == 0 || message.percent() > max_work_percent || message.age_ms() > max_age_ms) {
        return std::nullopt;
    }
    return stated_work{upstream_name(message.upstream()), message.started_unix_ms(), message.percent(),
                       std::chrono::milliseconds(message.age_ms())};
}

void encode_end(const upstream_end& end, report_messages::UpstreamEnd& message)
{
    message.set_upstream(end.upstream.str());
    message.set_started_unix_ms(end.started_unix_ms);
    message.set_age_ms(encode_age(end.age));
}

/// Empty when the age makes no sense.
std::optional<upstream_end> decode_end(const report_messages::UpstreamEnd& message)
{
    if (message.age_ms() > max_age_ms) {
        return std::nullopt;
    }
    return upstream_end{upstream_name(message.upstream()), message.started_unix_ms(),
                        std::chrono::milliseconds(message.age_ms())};
}

crash_subject decode_subject(bool request)
{
    return request ? crash_subject::request : crash_subject::prompt_part;
}

void encode_crash(const part_crash& crash, report_messages::PartCrash& message)
{
    message.set_part(crash.part);
    message.set_observer(crash.observer);
    message.set_upstream(crash.upstream.str());
    message.set_started_unix_ms(crash.started_unix_ms);
    message.set_sent_age_ms(encode_age(crash.sent_age));
    message.set_ended_age_ms(encode_age(crash.ended_age));
    message.set_request(crash.subject == crash_subject::request);
    message.set_broken_send(crash.broken_send);
}

/// Empty when the ages make no sense.
std::optional<part_crash> decode_crash(const report_messages::PartCrash& message)
{
    if (message.sent_age_ms() > max_age_ms || message.ended_age_ms() > message.sent_age_ms()) {
        return std::nullopt;
    }
    return part_crash{message.part(),
                      message.observer(),
                      upstream_name(message.upstream()),
                      message.started_unix_ms(),
                      std::chrono::milliseconds(message.sent_age_ms()),
                      std::chrono::milliseconds(message.ended_age_ms()),
                      message.broken_send(),
                      decode_subject(message.request())};
}

void encode_summary(const data_centre_summary_part& summary, report_messages::Summary& message)
{
    for (const auto& member : summary.members) {
        message.add_inner_ipv4(encode_ipv4(member.inner.address));
        message.add_inner_port(member.inner.port);
        message.add_entry_ipv4(encode_ipv4(member.entry.address));
        message.add_entry_port(member.entry.port);
        message.add_ready(member.ready);
        message.add_links_lost(member.links_lost);
        message.add_capacity(member.capacity);
    }
    message.set_sharers(summary.sharers);
    message.set_store_readers(summary.store_readers);
    message.set_store_readers_failing(summary.store_readers_failing);
    message.set_relayed(summary.relayed);
}

data_centre_summary_part decode_summary(const report_messages::Summary& message)
{
    data_centre_summary_part summary;
    const auto members =
        std::min({message.inner_ipv4_size(), message.inner_port_size(), message.entry_ipv4_size(),
                  message.entry_port_size(), message.ready_size()});
    for (int at = 0; at < members; ++at) {
        summary.members.push_back({decode_endpoint(message.inner_ipv4(at), message.inner_port(at)),
                                   decode_endpoint(message.entry_ipv4(at), message.entry_port(at)),
                                   message.ready(at),
                                   at < message.links_lost_size() && message.links_lost(at),
                                   at < message.capacity_size() ? message.capacity(at) : 0});
    }
    summary.sharers = message.sharers();
    summary.store_readers = message.store_readers();
    summary.store_readers_failing = message.store_readers_failing();
    summary.relayed = message.relayed();
    return summary;
}

void encode_changes(const store_changes& changes, report_messages::StoreChanges& message)
{
    message.set_part(static_cast<std::uint32_t>(changes.part));
    message.set_after(changes.after.revision);
    message.set_revision(changes.up_to.revision);
    message.set_era(changes.up_to.era);
    message.set_after_outage(changes.after_outage);
    for (const auto& item : changes.items) {
        auto& added = *message.add_items();
        added.set_key(item.key);
        added.set_value(item.value);
        added.set_revision(item.revision);
        added.set_removed(item.removed);
    }
}

store_changes decode_changes(const report_messages::StoreChanges& message)
{
    store_changes changes;
    changes.part = static_cast<store_part>(message.part());
    changes.after = {message.era(), message.after()};
    changes.up_to = {message.era(), message.revision()};
    changes.after_outage = message.after_outage();
    for (const auto& item : message.items()) {
        changes.items.push_back({item.key(), item.value(), item.revision(), item.removed()});
    }
    return changes;
}

void encode_positions(const vm_report& report, report_messages::Report& message)
{
    for (const auto& change : report.known_changes) {
        message.add_known_changes(change.revision);
        message.add_store_eras(change.era);
    }
    for (const auto& position : report.read_up_to) {
        message.add_read_up_to(position.revision);
    }
    for (const auto& position : report.read_from) {
        message.add_read_from(position.revision);
    }
}

/// Positions of the store's parts, in the eras that the report names for them.
std::vector<store_position>
decode_positions(const report_messages::Report& message,
                 const google::protobuf::RepeatedField<google::protobuf::uint64>& revisions)
{
    std::vector<store_position> positions;
    positions.reserve(static_cast<std::size_t>(revisions.size()));
    for (int part = 0; part < revisions.size(); ++part) {
        positions.push_back(
            {part < message.store_eras_size() ? message.store_eras(part) : 0, revisions[part]});
    }
    return positions;
}

/// What upstreams have stated, or shown, of themselves.
void encode_statements(const vm_report& report, report_messages::Report& message)
{
    for (const auto& limit : report.limits) {
        encode_limit(limit, *message.add_limits());
    }
    for (const auto& work : report.works) {
        encode_work(work, *message.add_works());
    }
    for (const auto& end : report.upstream_ends) {
        encode_end(end, *message.add_upstream_ends());
    }
}

void decode_statements(const report_messages::Report& message, vm_report& report)
{
    for (const auto& message_limit : message.limits()) {
        if (auto limit = decode_limit(message_limit)) {
            report.limits.push_back(std::move(*limit));
        }
    }
    for (const auto& message_work : message.works()) {
        if (auto work = decode_work(message_work)) {
            report.works.push_back(std::move(*work));
        }
    }
    for (const auto& message_end : message.upstream_ends()) {
        if (auto end = decode_end(message_end)) {
            report.upstream_ends.push_back(std::move(*end));
        }
    }
}

void encode_prompt_parts(const vm_report& report, report_messages::Report& message)
{
    for (const auto& crash : report.part_crashes) {
        encode_crash(crash, *message.add_part_crashes());
    }
    for (const auto& success : report.part_successes) {
        auto& added = *message.add_part_successes();
        added.set_part(success.part);
        added.set_age_ms(encode_age(success.age));
        added.set_request(success.subject == crash_subject::request);
    }
    for (const auto& trial : report.part_trials) {
        auto& added = *message.add_part_trials();
        added.set_part(trial.part);
        added.set_vm(trial.vm);
        added.set_age_ms(encode_age(trial.age));
        added.set_request(trial.subject == crash_subject::request);
    }
}

void decode_prompt_parts(const report_messages::Report& message, vm_report& report)
{
    for (const auto& message_crash : message.part_crashes()) {
        if (auto crash = decode_crash(message_crash)) {
            report.part_crashes.push_back(std::move(*crash));
        }
    }
    for (const auto& success : message.part_successes()) {
        if (success.age_ms() <= max_age_ms) {
            report.part_successes.push_back({success.part(), std::chrono::milliseconds(success.age_ms()),
                                             decode_subject(success.request())});
        }
    }
    for (const auto& trial : message.part_trials()) {
        if (trial.age_ms() <= max_age_ms) {
            report.part_trials.push_back({trial.part(), trial.vm(), std::chrono::milliseconds(trial.age_ms()),
                                          decode_subject(trial.request())});
        }
    }
}

void decode_traffic(const report_messages::Report& message, vm_report& report)
{
    for (const auto& message_load : message.loads()) {
        if (auto load = decode_load(message_load)) {
            report.loads.push_back(std::move(*load));
        }
    }
    for (const auto& use : message.uses()) {
        if (within(use.admitted(), -max_admitted, max_admitted)) {
            report.uses.push_back({customer_name(use.customer()), use.admitted()});
        }
    }
    for (const auto& late : message.lateness()) {
        if (late.samples() <= max_samples && late.urgency() <= max_urgency) {
            report.lateness.push_back({pool_name(late.service()), static_cast<int>(late.urgency()),
                                       std::chrono::milliseconds(late.mean_ms()), late.samples()});
        }
    }
}

void encode_origin(const reported_origins& origin, report_messages::StreamOrigins& message)
{
    message.set_service(origin.service.str());
    message.set_version(origin.version);
    message.mutable_attempts()->Add(origin.attempts.begin(), origin.attempts.end());
    message.set_age_ms(encode_age(origin.age));
}

reported_origins decode_origin(const report_messages::StreamOrigins& message)
{
    return {pool_name(message.service()),
            message.version(),
            {message.attempts().begin(), message.attempts().end()},
            std::chrono::milliseconds(std::min<std::uint64_t>(message.age_ms(), max_age_ms))};
}

void encode_knowledge(const origin_knowledge& known, report_messages::OriginKnowledge& message)
{
    message.set_era(known.read_up_to.era);
    message.set_revision(known.read_up_to.revision);
    message.set_list_known_ms(encode_age(known.list_known));
    for (const auto& version : known.versions) {
        auto& added = *message.add_versions();
        added.set_service(version.service.str());
        added.set_version(version.version);
        added.set_age_ms(encode_age(version.age));
    }
    for (const auto& origin : known.streams) {
        encode_origin(origin, *message.add_streams());
    }
}

origin_knowledge decode_knowledge(const report_messages::OriginKnowledge& message)
{
    origin_knowledge known;
    known.read_up_to = {message.era(), message.revision()};
    known.list_known =
        std::chrono::milliseconds(std::min<std::uint64_t>(message.list_known_ms(), max_age_ms));
    for (const auto& version : message.versions()) {
        known.versions.push_back(
            {pool_name(version.service()), version.version(),
             std::chrono::milliseconds(std::min<std::uint64_t>(version.age_ms(), max_age_ms))});
    }
    for (const auto& origin : message.streams()) {
        known.streams.push_back(decode_origin(origin));
    }
    return known;
}

void encode_origins(const vm_report& report, report_messages::Report& message)
{
    for (const auto& origin : report.stream_origins) {
        encode_origin(origin, *message.add_stream_origins());
    }
    if (report.asks_for_origins) {
        auto& query = *message.mutable_origin_query();
        query.set_era(report.asks_for_origins->known_from.era);
        query.set_revision(report.asks_for_origins->known_from.revision);
    }
    if (report.origins) {
        encode_knowledge(*report.origins, *message.mutable_origin_knowledge());
    }
}

void decode_origins(const report_messages::Report& message, vm_report& report)
{
    for (const auto& origin : message.stream_origins()) {
        report.stream_origins.push_back(decode_origin(origin));
    }
    if (message.has_origin_query()) {
        report.asks_for_origins = {{message.origin_query().era(), message.origin_query().revision()}};
    }
    if (message.has_origin_knowledge()) {
        report.origins = decode_knowledge(message.origin_knowledge());
    }
}

} // namespace

std::string encode_report(const vm_report& report)
{
    report_messages::Report message;
    message.set_vm(report.vm.str());
    message.set_process(report.process.value);
    message.set_sequence(report.sequence);
    message.set_region(report.region.str());
    message.set_data_centre(report.data_centre.str());
    encode_endpoint(report.entry, *message.mutable_entry());
    encode_endpoint(report.inner, *message.mutable_inner());
    message.set_ready(report.ready);
    message.set_leaving(report.leaving);
    message.set_links_lost(report.links_lost);
    message.set_capacity(report.capacity);
    message.set_plan_version(report.plan_version);
    if (report.summary) {
        encode_summary(*report.summary, *message.mutable_summary());
    }
    message.set_asks_for_members(report.asks_for_members);
    message.set_reads_store(report.reads_store);
    message.set_ranks_readers_by_capacity(report.ranks_readers_by_capacity);
    for (const auto& vm : report.known_vms) {
        encode_endpoint(vm, *message.add_known_vms());
    }
    for (const auto& vm : report.known_elsewhere) {
        encode_endpoint(vm, *message.add_known_elsewhere());
    }
    for (const auto& load : report.loads) {
        encode_load(load, *message.add_loads());
    }
    for (const auto& use : report.uses) {
        auto& added = *message.add_uses();
        added.set_customer(use.customer.str());
        added.set_admitted(use.admitted);
    }
    message.set_format(report_format);
    for (const auto& late : report.lateness) {
        auto& added = *message.add_lateness();
        added.set_service(late.service.str());
        added.set_urgency(static_cast<std::uint32_t>(std::max(late.urgency, 0)));
        added.set_mean_ms(static_cast<std::int32_t>(late.mean.count()));
        added.set_samples(late.samples);
    }
    encode_statements(report, message);
    encode_prompt_parts(report, message);
    encode_origins(report, message);
    encode_positions(report, message);
    message.set_store_failing(report.store_failing);
    if (report.store_answer_age) {
        message.set_store_answer_age_ms(encode_age(*report.store_answer_age) + 1);
    }
    if (report.changes) {
        encode_changes(*report.changes, *message.mutable_store_changes());
    }
    return message.SerializeAsString();
}

result<vm_report> decode_report(std::string_view text)
{
    report_messages::Report message;
    const bool parsed = message.ParseFromArray(text.data(), static_cast<int>(text.size()));
    // Other data that happens to parse names no reachable VM.
    if (!parsed || message.format() != report_format || message.vm().empty() || message.region().empty() ||
        message.inner().ipv4() == 0) {
        return error{error_kind::invalid_argument,
                     "a datagram on the inner port is not a VM report",
                     "check that only VMs of one release send to the inner port",
                     {},
                     {}};
    }
    vm_report report;
    report.vm = vm_name(message.vm());
    report.process = {message.process()};
    report.sequence = message.sequence();
    report.region = region_name(message.region());
    report.data_centre = data_centre_name(message.data_centre());
    report.entry = decode_endpoint(message.entry());
    report.inner = decode_endpoint(message.inner());
    report.ready = message.ready();
    report.leaving = message.leaving();
    report.links_lost = message.links_lost();
    report.capacity = message.capacity();
    report.plan_version = message.plan_version();
    if (message.has_summary()) {
        report.summary = decode_summary(message.summary());
    }
    report.asks_for_members = message.asks_for_members();
    report.reads_store = message.reads_store();
    report.ranks_readers_by_capacity = message.ranks_readers_by_capacity();
    for (const auto& vm : message.known_vms()) {
        report.known_vms.push_back(decode_endpoint(vm));
    }
    for (const auto& vm : message.known_elsewhere()) {
        report.known_elsewhere.push_back(decode_endpoint(vm));
    }
    decode_traffic(message, report);
    decode_statements(message, report);
    decode_prompt_parts(message, report);
    decode_origins(message, report);
    report.known_changes = decode_positions(message, message.known_changes());
    report.store_failing = message.store_failing();
    if (const auto age = message.store_answer_age_ms(); age > 0 && age <= max_age_ms) {
        report.store_answer_age = std::chrono::milliseconds(age - 1);
    }
    report.read_up_to = decode_positions(message, message.read_up_to());
    report.read_from = decode_positions(message, message.read_from());
    if (message.has_store_changes() && message.store_changes().part() < store_part_count) {
        report.changes = decode_changes(message.store_changes());
    }
    return report;
}

} // namespace cardamomstream
