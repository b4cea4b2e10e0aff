#include "membership_codec.h"

#include "configuration_codec.h"
#include "field_codec.h"

#include <map>

namespace cardamomstream {

namespace {

using load_list = google::protobuf::RepeatedPtrField<wire::PoolLoad>;

wire::Stamp encode(const heartbeat_stamp& value)
{
    wire::Stamp to;
    to.set_generation(value.generation);
    to.set_process(value.process.value);
    to.set_counter(value.counter);
    return to;
}

heartbeat_stamp decode(const wire::Stamp& from)
{
    return {from.generation(), incarnation{from.process()}, from.counter()};
}

wire::Successor encode(const named_successor& value)
{
    wire::Successor to;
    to.set_vm(value.vm.str());
    to.set_process(value.process.value);
    return to;
}

named_successor decode(const wire::Successor& from)
{
    return {vm_name{from.vm()}, incarnation{from.process()}};
}

void encode_loads(const std::map<pool_name, pool_load>& loads, load_list& to)
{
    for (const auto& [pool, load] : loads) {
        auto* added = to.Add();
        added->set_pool(pool.str());
        added->set_in_flight(load.in_flight);
        added->set_queued(load.queued);
        added->set_slots(load.slots);
    }
}

std::map<pool_name, pool_load> decode_loads(const load_list& from)
{
    std::map<pool_name, pool_load> loads;
    for (const auto& load : from) {
        loads.emplace(load.pool(), pool_load{load.in_flight(), load.queued(), load.slots()});
    }
    return loads;
}

wire::AllowanceReport encode(const allowance_report& value)
{
    wire::AllowanceReport to;
    to.set_customer(value.customer.str());
    to.set_spare_rate(value.spare_rate.per_second);
    to.set_spare_burst(value.spare_burst);
    to.set_spare_level(value.spare_level);
    to.set_wanted_rate(value.wanted_rate.per_second);
    return to;
}

result<allowance_report> decode(const wire::AllowanceReport& from)
{
    BOOST_OUTCOME_TRY(const auto spare_rate, decode_number(from.spare_rate(), "spare_rate"));
    BOOST_OUTCOME_TRY(const auto spare_burst, decode_number(from.spare_burst(), "spare_burst"));
    BOOST_OUTCOME_TRY(const auto wanted_rate, decode_number(from.wanted_rate(), "wanted_rate"));
    allowance_report value;
    value.customer = customer_name{from.customer()};
    value.spare_rate.per_second = spare_rate;
    value.spare_burst = spare_burst;
    value.spare_level = from.spare_level();
    value.wanted_rate.per_second = wanted_rate;
    return value;
}

wire::Heartbeat encode(const heartbeat& value)
{
    wire::Heartbeat to;
    to.set_vm(value.vm.str());
    *to.mutable_stamp() = encode(value.stamp);
    to.set_applied_version(value.applied_version);
    to.set_confirmed_age_ms(value.confirmed_age.count());
    to.set_leaving(value.leaving);
    if (value.successor) {
        *to.mutable_successor() = encode(*value.successor);
    }
    encode_loads(value.loads, *to.mutable_loads());
    for (const auto& report : value.allowance) {
        *to.add_allowance() = encode(report);
    }
    return to;
}

result<heartbeat> decode(const wire::Heartbeat& from)
{
    heartbeat value;
    value.vm = vm_name{from.vm()};
    value.stamp = decode(from.stamp());
    value.applied_version = from.applied_version();
    value.confirmed_age = decode_duration(from.confirmed_age_ms());
    value.leaving = from.leaving();
    if (from.has_successor()) {
        value.successor = decode(from.successor());
    }
    value.loads = decode_loads(from.loads());
    for (const auto& report : from.allowance()) {
        BOOST_OUTCOME_TRY(auto decoded, decode(report));
        value.allowance.push_back(std::move(decoded));
    }
    return value;
}

wire::MemberRecord encode(const member_record& value)
{
    wire::MemberRecord to;
    to.set_vm(value.vm.str());
    *to.mutable_stamp() = encode(value.stamp);
    to.set_applied_version(value.applied_version);
    to.set_leaving(value.leaving);
    if (value.successor) {
        *to.mutable_successor() = encode(*value.successor);
    }
    return to;
}

member_record decode(const wire::MemberRecord& from)
{
    member_record value;
    value.vm = vm_name{from.vm()};
    value.stamp = decode(from.stamp());
    value.applied_version = from.applied_version();
    value.leaving = from.leaving();
    if (from.has_successor()) {
        value.successor = decode(from.successor());
    }
    return value;
}

wire::DataCentreSummary encode(const data_centre_summary& value)
{
    wire::DataCentreSummary to;
    to.set_region(value.region.str());
    to.set_data_centre(value.data_centre.str());
    to.set_origin(value.origin.str());
    *to.mutable_stamp() = encode(value.stamp);
    to.set_lowest_version(value.lowest_version);
    to.set_members_digest(value.members_digest);
    for (const auto& member : value.members) {
        *to.add_members() = encode(member);
    }
    encode_loads(value.loads, *to.mutable_loads());
    return to;
}

data_centre_summary decode(const wire::DataCentreSummary& from)
{
    data_centre_summary value;
    value.region = region_name{from.region()};
    value.data_centre = data_centre_name{from.data_centre()};
    value.origin = vm_name{from.origin()};
    value.stamp = decode(from.stamp());
    value.lowest_version = from.lowest_version();
    value.members_digest = from.members_digest();
    for (const auto& member : from.members()) {
        value.members.push_back(decode(member));
    }
    value.loads = decode_loads(from.loads());
    return value;
}

} // namespace

wire::Membership encode(const membership_message& value)
{
    wire::Membership to;
    *to.mutable_sender() = encode(value.sender);
    if (value.about_receiver) {
        *to.mutable_about_receiver() = encode(*value.about_receiver);
    }
    for (const auto& summary : value.summaries) {
        *to.add_summaries() = encode(summary);
    }
    for (const auto& data_centre : value.wanted_members) {
        to.add_wanted_members(data_centre.str());
    }
    return to;
}

result<membership_message> decode(const wire::Membership& from)
{
    membership_message value;
    BOOST_OUTCOME_TRY(value.sender, decode(from.sender()));
    if (from.has_about_receiver()) {
        value.about_receiver = decode(from.about_receiver());
    }
    for (const auto& summary : from.summaries()) {
        value.summaries.push_back(decode(summary));
    }
    for (const auto& data_centre : from.wanted_members()) {
        value.wanted_members.emplace_back(data_centre);
    }
    return value;
}

wire::ExchangeRequest encode(const exchange_request& value)
{
    wire::ExchangeRequest to;
    *to.mutable_membership() = encode(value.membership);
    if (value.version) {
        *to.mutable_version() = encode(*value.version);
    }
    return to;
}

result<exchange_request> decode(const wire::ExchangeRequest& from)
{
    exchange_request value;
    BOOST_OUTCOME_TRY(value.membership, decode(from.membership()));
    if (from.has_version()) {
        BOOST_OUTCOME_TRY(value.version, decode(from.version()));
    }
    return value;
}

wire::ExchangeReply encode(const exchange_reply& value)
{
    wire::ExchangeReply to;
    if (value.version) {
        *to.mutable_version() = encode(*value.version);
    }
    return to;
}

result<exchange_reply> decode(const wire::ExchangeReply& from)
{
    exchange_reply value;
    if (from.has_version()) {
        BOOST_OUTCOME_TRY(value.version, decode(from.version()));
    }
    return value;
}

} // namespace cardamomstream
