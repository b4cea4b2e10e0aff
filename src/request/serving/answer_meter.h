/// Counts the tokens of an answer while it passes.
#pragma once

#include "cardamomstream/core/core_types.h"

#include <optional>
#include <string>
#include <string_view>

namespace cardamomstream {

/// Counts one token for each server-sent event with content; the upstream's own usage figures, where it sends
/// them, replace the count.
class answer_meter {
public:
    explicit answer_meter(token_count estimated_prompt)
        : m_prompt(estimated_prompt)
    {
    }

    /// A part of a stream of server-sent events.
    void feed_stream(std::string_view part);
    /// A whole JSON answer.
    void feed_whole(std::string_view body);

    token_count answer_tokens() const noexcept { return m_answer; }
    token_count total() const noexcept { return m_prompt + m_answer; }

    /// Whether the stream has ended with its last event.
    bool done() const noexcept { return m_done; }

private:
    void take_line(std::string_view line);
    void take_json(std::string_view text, bool counts_as_token);

    std::string m_line; ///< begun, not yet ended
    token_count m_prompt;
    token_count m_answer = 0;
    bool m_done = false;
};

} // namespace cardamomstream
