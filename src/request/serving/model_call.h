/// Parses chat completion requests.
#pragma once

#include "cardamomstream/core/core_types.h"
#include "cardamomstream/core/error.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace cardamomstream {

/// `max_tokens` of a request that does not set it.
inline constexpr token_count default_max_tokens = 256;

/// Bytes of prompt text per token, for estimates until the upstream reports its token count.
inline constexpr std::size_t prompt_bytes_per_token = 3;

/// The fields of a chat completion request that the gateway uses.
struct model_call {
    model_name model;
    bool stream = false;
    token_count prompt_tokens = 0; ///< estimated
    token_count max_tokens = default_max_tokens;
    std::uint64_t prefix_digest = 0; ///< of all messages except the last; 0: none
    token_count prefix_tokens = 0;
    std::string upstream_body; ///< as received, with `max_tokens` set
};

/// Parses the JSON body. Errors: invalid_request, which names the field and the remedy.
result<model_call> read_model_call(std::string_view body);

} // namespace cardamomstream
