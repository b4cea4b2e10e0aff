#include "error_codec.h"

#include "field_codec.h"

#include <string_view>

namespace cardamomstream {

namespace {

error_kind kind_of(std::string_view code)
{
    for (int number = 0; number < static_cast<int>(error_kind::internal); ++number) {
        const auto kind = static_cast<error_kind>(number);
        if (code_of(kind) == code) {
            return kind;
        }
    }
    return error_kind::internal;
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
    value.kind = kind_of(from.code());
    value.message = from.message();
    value.remedy = from.remedy();
    value.outcome = from.unknown_outcome() ? run_outcome::unknown : run_outcome::not_run;
    if (from.has_retry_after_ms()) {
        value.retry_after = decode_duration(from.retry_after_ms());
    }
    return value;
}

} // namespace cardamomstream
