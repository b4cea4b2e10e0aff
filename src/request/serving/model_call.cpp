#include "model_call.h"

#include "cardamomstream/request/routing_types.h"

#include <boost/json.hpp>

namespace cardamomstream {

namespace {

namespace json = boost::json;

constexpr token_count largest_max_tokens = 1'000'000;

error invalid_request_error(std::string message, std::string remedy)
{
    return {error_kind::invalid_request, std::move(message), std::move(remedy), run_outcome::not_run, {}};
}

token_count estimate_tokens(std::size_t bytes)
{
    return static_cast<token_count>((bytes + prompt_bytes_per_token - 1) / prompt_bytes_per_token);
}

result<model_name> read_model(const json::object& body)
{
    const auto* value = body.if_contains("model");
    if (value == nullptr || !value->is_string() || value->as_string().empty()) {
        return invalid_request_error(R"(the field "model" is missing or no text)",
                                     "name a model of GET /v1/models");
    }
    return model_name{std::string(value->as_string())};
}

result<token_count> read_max_tokens(const json::object& body)
{
    const auto* value = body.if_contains("max_tokens");
    if (value == nullptr) {
        return default_max_tokens;
    }
    if (!value->is_int64() || value->as_int64() < 1 || value->as_int64() > largest_max_tokens) {
        return invalid_request_error("the field \"max_tokens\" is no whole number from 1 to 1000000",
                                     "set it or leave it out");
    }
    return value->as_int64();
}

result<bool> read_stream(const json::object& body)
{
    const auto* value = body.if_contains("stream");
    if (value == nullptr) {
        return false;
    }
    if (!value->is_bool()) {
        return invalid_request_error("the field \"stream\" is neither true nor false",
                                     "set it to true or false");
    }
    return value->as_bool();
}

result<const json::array*> read_messages(const json::object& body)
{
    const auto* value = body.if_contains("messages");
    if (value == nullptr || !value->is_array() || value->as_array().empty()) {
        return invalid_request_error("the field \"messages\" is missing or empty",
                                     "send at least one message");
    }
    for (const auto& message : value->as_array()) {
        if (!message.is_object() || !message.as_object().contains("content")) {
            return invalid_request_error("a message has no field \"content\"",
                                         "send objects with \"role\" and \"content\"");
        }
    }
    return &value->as_array();
}

void estimate_prompt(const json::array& messages, model_call& call)
{
    std::string prefix;
    for (std::size_t index = 0; index + 1 < messages.size(); ++index) {
        prefix += json::serialize(messages[index]);
    }
    const auto last_bytes = json::serialize(messages.back()).size();
    call.prompt_tokens = estimate_tokens(prefix.size() + last_bytes);
    if (prefix.empty()) {
        return;
    }
    call.prefix_digest = prefix_digest_of(prefix);
    call.prefix_tokens = std::min(estimate_tokens(prefix.size()), call.prompt_tokens);
}

} // namespace

result<model_call> read_model_call(std::string_view body)
{
    boost::system::error_code ec;
    auto parsed = json::parse(json::string_view(body.data(), body.size()), ec);
    if (ec || !parsed.is_object()) {
        return invalid_request_error("the body is no JSON object",
                                     "send a JSON object with \"model\" and \"messages\"");
    }
    auto& fields = parsed.as_object();
    model_call call;
    BOOST_OUTCOME_TRY(call.model, read_model(fields));
    BOOST_OUTCOME_TRY(call.max_tokens, read_max_tokens(fields));
    BOOST_OUTCOME_TRY(call.stream, read_stream(fields));
    BOOST_OUTCOME_TRY(const auto* messages, read_messages(fields));
    estimate_prompt(*messages, call);
    fields["max_tokens"] = call.max_tokens;
    call.upstream_body = json::serialize(parsed);
    return call;
}

} // namespace cardamomstream
