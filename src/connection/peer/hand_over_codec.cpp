#include "hand_over_codec.h"

#include "error_codec.h"
#include "field_codec.h"

namespace cardamomstream {

namespace {

wire::HandedTicket::State encode(ticket_state state)
{
    switch (state) {
    case ticket_state::issued:
        return wire::HandedTicket::ISSUED;
    case ticket_state::running:
        return wire::HandedTicket::RUNNING;
    case ticket_state::done:
        return wire::HandedTicket::DONE;
    case ticket_state::unknown:
        break;
    }
    return wire::HandedTicket::UNKNOWN;
}

/// A state of another release counts as unknown: such a ticket never runs.
ticket_state decode(wire::HandedTicket::State state)
{
    switch (state) {
    case wire::HandedTicket::ISSUED:
        return ticket_state::issued;
    case wire::HandedTicket::RUNNING:
        return ticket_state::running;
    case wire::HandedTicket::DONE:
        return ticket_state::done;
    default:
        return ticket_state::unknown;
    }
}

wire::KeptAnswer encode(const kept_answer& value)
{
    wire::KeptAnswer to;
    to.set_status(value.status);
    for (const auto& [name, text] : value.headers) {
        auto* added = to.add_headers();
        added->set_name(name);
        added->set_value(text);
    }
    to.set_body(value.body);
    to.set_ends_with_connection(value.ends_with_connection);
    return to;
}

kept_answer decode(const wire::KeptAnswer& from)
{
    kept_answer value;
    value.status = from.status();
    for (const auto& header : from.headers()) {
        value.headers.emplace_back(header.name(), header.value());
    }
    value.body = from.body();
    value.ends_with_connection = from.ends_with_connection();
    return value;
}

wire::HandedTicket encode(const handed_ticket& value)
{
    wire::HandedTicket to;
    to.set_issuer_vm(value.id.issuer.vm.str());
    to.set_issuer_process(value.id.issuer.process.value);
    to.set_number(value.id.number);
    to.set_customer(value.customer.str());
    to.set_route(value.route.str());
    to.set_mac(encode_bytes(value.mac));
    to.set_state(encode(value.state));
    if (value.digest) {
        to.set_digest(encode_bytes(*value.digest));
    }
    if (value.answer) {
        *to.mutable_answer() = encode(*value.answer);
    }
    to.set_run_by_left_ms(value.run_by_left.count());
    to.set_end_left_ms(value.end_left.count());
    return to;
}

result<handed_ticket> decode(const wire::HandedTicket& from)
{
    handed_ticket value;
    value.id.issuer = {vm_name{from.issuer_vm()}, incarnation{from.issuer_process()}};
    value.id.number = from.number();
    value.customer = customer_name{from.customer()};
    value.route = route_name{from.route()};
    BOOST_OUTCOME_TRY(value.mac, decode_bytes(from.mac(), "mac"));
    value.state = decode(from.state());
    if (!from.digest().empty()) {
        BOOST_OUTCOME_TRY(value.digest, decode_bytes(from.digest(), "digest"));
    }
    if (from.has_answer()) {
        value.answer = decode(from.answer());
    }
    value.run_by_left = decode_duration(from.run_by_left_ms());
    value.end_left = decode_duration(from.end_left_ms());
    return value;
}

} // namespace

wire::Invitation encode(const hand_over_invitation& value)
{
    wire::Invitation to;
    to.set_vm(value.successor.vm.str());
    to.set_process(value.successor.process.value);
    to.set_number(value.number);
    return to;
}

result<hand_over_invitation> decode(const wire::Invitation& from)
{
    return hand_over_invitation{{vm_name{from.vm()}, incarnation{from.process()}}, from.number()};
}

wire::HandOverRequest encode(const hand_over_message& value)
{
    wire::HandOverRequest to;
    to.set_leaver_vm(value.leaver.vm.str());
    to.set_leaver_process(value.leaver.process.value);
    *to.mutable_invitation() = encode(value.invitation);
    for (const auto& ticket : value.tickets) {
        *to.add_tickets() = encode(ticket);
    }
    return to;
}

result<hand_over_message> decode(const wire::HandOverRequest& from)
{
    hand_over_message value;
    value.leaver = {vm_name{from.leaver_vm()}, incarnation{from.leaver_process()}};
    BOOST_OUTCOME_TRY(value.invitation, decode(from.invitation()));
    value.tickets.reserve(static_cast<std::size_t>(from.tickets_size()));
    for (const auto& ticket : from.tickets()) {
        BOOST_OUTCOME_TRY(auto decoded, decode(ticket));
        value.tickets.push_back(std::move(decoded));
    }
    return value;
}

wire::HandOverReply encode(const result<std::size_t>& taken)
{
    wire::HandOverReply to;
    if (taken) {
        to.set_taken(taken.value());
    }
    else {
        *to.mutable_error() = encode(taken.error());
    }
    return to;
}

result<std::size_t> decode(const wire::HandOverReply& from)
{
    if (from.has_error()) {
        return decode(from.error());
    }
    return static_cast<std::size_t>(from.taken());
}

} // namespace cardamomstream
