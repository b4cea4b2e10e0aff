/// Counts the tokens of a response while it is relayed.
#pragma once

#include "cardamomstream/core/core_types.h"

#include <optional>
#include <string>
#include <string_view>

namespace cardamomstream {

/// Counts one token for each server-sent event with content. Usage numbers sent by the upstream replace the
/// count.
class answer_meter {
public:
    explicit answer_meter(token_count estimated_prompt)
        : m_prompt(estimated_prompt)
    {
    }

    /// Processes a part of a stream of server-sent events.
    void feed_stream(std::string_view part);
    /// Processes a complete JSON response.
    void feed_body(std::string_view body);

    token_count answer_tokens() const noexcept { return m_answer; }
    token_count total_tokens() const noexcept { return m_prompt + m_answer; }

    /// Whether the final event `[DONE]` was received.
    bool done() const noexcept { return m_done; }

private:
    void parse_line(std::string_view line);
    void parse_json(std::string_view text, bool counts_as_token);

    std::string m_line; ///< incomplete line, carried over to the next part
    token_count m_prompt;
    token_count m_answer = 0;
    bool m_done = false;
};

} // namespace cardamomstream
