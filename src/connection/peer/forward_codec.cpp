#include "forward_codec.h"

#include "error_codec.h"
#include "field_codec.h"

namespace cardamomstream {

namespace {

wire::ForwardReply encode_piece(const http_response_head& head)
{
    wire::ForwardReply to;
    to.mutable_head()->set_status(head.status);
    encode_headers(head.headers, *to.mutable_head()->mutable_headers());
    to.mutable_head()->set_ends_with_connection(head.ends_with_connection);
    return to;
}

wire::ForwardReply encode_piece(const std::string& part)
{
    wire::ForwardReply to;
    to.set_part(part);
    return to;
}

wire::ForwardReply encode_piece(const error& value)
{
    wire::ForwardReply to;
    *to.mutable_error() = encode(value);
    return to;
}

wire::ForwardReply encode_piece(const forward_end& /*end*/)
{
    wire::ForwardReply to;
    to.set_end(true);
    return to;
}

result<forward_purpose> decode_purpose(wire::ForwardRequest::Purpose purpose)
{
    switch (purpose) {
    case wire::ForwardRequest::SERVE:
        return forward_purpose::serve;
    case wire::ForwardRequest::TICKET:
        return forward_purpose::ticket;
    default:
        return malformed("purpose");
    }
}

} // namespace

wire::ForwardRequest encode(const forward_request& value)
{
    wire::ForwardRequest to;
    to.set_request_id(value.id.str());
    to.set_customer(value.customer.str());
    to.set_key_digest(encode_bytes(value.key));
    to.set_purpose(value.purpose == forward_purpose::serve ? wire::ForwardRequest::SERVE
                                                           : wire::ForwardRequest::TICKET);
    to.set_pool(value.pool.str());
    to.set_route(value.route.str());
    to.set_method(value.method);
    to.set_target(value.target);
    encode_headers(value.headers, *to.mutable_headers());
    to.set_body(value.body);
    to.set_ticket(value.ticket);
    to.set_hop_count(value.hop_count);
    for (const auto& region : value.regions_passed) {
        to.add_regions_passed(region.str());
    }
    to.set_time_left_ms(value.time_left.count());
    to.set_cost_tokens(value.cost);
    to.set_charge_here(value.charge_here);
    if (value.cause) {
        *to.mutable_cause() = encode(*value.cause);
    }
    return to;
}

result<forward_request> decode(const wire::ForwardRequest& from)
{
    forward_request value;
    value.id = request_id{from.request_id()};
    value.customer = customer_name{from.customer()};
    BOOST_OUTCOME_TRY(value.key, decode_bytes(from.key_digest(), "key_digest"));
    BOOST_OUTCOME_TRY(value.purpose, decode_purpose(from.purpose()));
    value.pool = pool_name{from.pool()};
    value.route = route_name{from.route()};
    value.method = from.method();
    value.target = from.target();
    value.headers = decode_headers(from.headers());
    value.body = from.body();
    value.ticket = from.ticket();
    value.hop_count = from.hop_count();
    for (const auto& region : from.regions_passed()) {
        value.regions_passed.emplace_back(region);
    }
    value.time_left = decode_duration(from.time_left_ms());
    value.cost = from.cost_tokens();
    value.charge_here = from.charge_here();
    if (from.has_cause()) {
        value.cause = decode(from.cause());
    }
    return value;
}

wire::ForwardReply encode(const forward_reply& value)
{
    return std::visit([](const auto& piece) { return encode_piece(piece); }, value);
}

result<forward_reply> decode(const wire::ForwardReply& from)
{
    // An error is a reply as well, so it has to be said which one is meant.
    using boost::outcome_v2::success;
    switch (from.kind_case()) {
    case wire::ForwardReply::kHead:
        return success(
            forward_reply{http_response_head{from.head().status(), decode_headers(from.head().headers()),
                                             from.head().ends_with_connection()}});
    case wire::ForwardReply::kPart:
        return success(forward_reply{from.part()});
    case wire::ForwardReply::kError:
        return success(forward_reply{decode(from.error())});
    case wire::ForwardReply::kEnd:
        return success(forward_reply{forward_end{}});
    default:
        return boost::outcome_v2::failure(malformed("kind"));
    }
}

} // namespace cardamomstream
