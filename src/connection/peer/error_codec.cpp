#include "error_codec.h"

#include "field_codec.h"

#include <optional>
#include <string_view>

namespace cardamomstream {

namespace {

/// Nothing for a kind of another release, and for a message without one.
std::optional<error_kind> kind_of(std::string_view code)
{
    for (int number = 0; number <= static_cast<int>(error_kind::internal); ++number) {
        const auto kind = static_cast<error_kind>(number);
        if (code_of(kind) == code) {
            return kind;
        }
    }
    return std::nullopt;
}

} // namespace

wire::Error encode(const error& value)
{
    wire::Error to;
    to.set_code(std::string{code_of(value.kind)});
    to.set_message(value.message);
    to.set_remedy(value.remedy);
    to.set_unknown_outcome(value.outcome == run_outcome::unknown);
    if (value.retry_after) {
        to.set_retry_after_ms(value.retry_after->count());
    }
    return to;
}

error decode(const wire::Error& from)
{
    error value;
    const auto kind = kind_of(from.code());
    value.kind = kind.value_or(error_kind::internal);
    value.message = from.message();
    value.remedy = from.remedy();
    // "Not run" is the value of a missing field: it counts only if the message is understood.
    value.outcome = kind && !from.unknown_outcome() ? run_outcome::not_run : run_outcome::unknown;
    if (from.has_retry_after_ms()) {
        value.retry_after = decode_duration(from.retry_after_ms());
    }
    return value;
}

} // namespace cardamomstream
