#include "answer_meter.h"

#include <boost/json.hpp>

namespace cardamomstream {

namespace {

namespace json = boost::json;

constexpr std::string_view data_prefix = "data:";
constexpr std::string_view final_event = "[DONE]";
constexpr std::size_t max_line_bytes = 256 * 1024;

std::optional<token_count> non_negative_integer(const json::object& fields, std::string_view name)
{
    const auto* value = fields.if_contains(json::string_view(name.data(), name.size()));
    if (value == nullptr || !value->is_int64() || value->as_int64() < 0) {
        return std::nullopt;
    }
    return value->as_int64();
}

bool has_content(const json::object& event)
{
    const auto* choices = event.if_contains("choices");
    if (choices == nullptr || !choices->is_array()) {
        return false;
    }
    for (const auto& choice : choices->as_array()) {
        const auto* delta = choice.is_object() ? choice.as_object().if_contains("delta") : nullptr;
        if (delta != nullptr && delta->is_object() && delta->as_object().contains("content")) {
            return true;
        }
    }
    return false;
}

} // namespace

void answer_meter::feed_stream(std::string_view part)
{
    while (!part.empty()) {
        const auto end = part.find('\n');
        if (m_line.size() + std::min(end, part.size()) <= max_line_bytes) {
            m_line += part.substr(0, end);
        }
        if (end == std::string_view::npos) {
            return;
        }
        parse_line(m_line);
        m_line.clear();
        part.remove_prefix(end + 1);
    }
}

void answer_meter::feed_body(std::string_view body)
{
    parse_json(body, false);
}

void answer_meter::parse_line(std::string_view line)
{
    if (!line.starts_with(data_prefix)) {
        return;
    }
    line.remove_prefix(data_prefix.size());
    line.remove_prefix(std::min(line.find_first_not_of(' '), line.size()));
    if (line.starts_with(final_event)) {
        m_done = true;
        return;
    }
    parse_json(line, true);
}

void answer_meter::parse_json(std::string_view text, bool counts_as_token)
{
    boost::system::error_code ec;
    const auto parsed = json::parse(json::string_view(text.data(), text.size()), ec);
    if (ec || !parsed.is_object()) {
        return;
    }
    const auto& fields = parsed.as_object();
    if (counts_as_token && has_content(fields)) {
        ++m_answer;
    }
    const auto* usage = fields.if_contains("usage");
    if (usage == nullptr || !usage->is_object()) {
        return;
    }
    m_prompt = non_negative_integer(usage->as_object(), "prompt_tokens").value_or(m_prompt);
    m_answer = non_negative_integer(usage->as_object(), "completion_tokens").value_or(m_answer);
}

} // namespace cardamomstream
