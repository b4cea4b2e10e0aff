#include "request_context.h"

#include <algorithm>
#include <charconv>

#include <boost/fiber/operations.hpp>
#include <fmt/format.h>
#include <openssl/rand.h>

namespace cardamomstream {

namespace {

constexpr std::chrono::milliseconds confirmation_timeout{3'000};
constexpr std::chrono::milliseconds confirmation_poll_interval{20};
constexpr std::chrono::milliseconds confirmation_retry_after{1'000};

} // namespace

result<void> request_context::await_confirmation()
{
    const auto give_up_at = boot_clock::now() + confirmation_timeout;
    while (parts.pulse.is_stale(boot_clock::now()) || !parts.views.load()->confirmed) {
        if (boot_clock::now() > give_up_at) {
            return error{error_kind::stale_version, "this VM has not confirmed the rules in force",
                         "use another VM of GET /v1/entry", run_outcome::not_run, confirmation_retry_after};
        }
        boost::this_fiber::sleep_for(confirmation_poll_interval);
    }
    return boost::outcome_v2::success();
}

std::set<region_name> request_context::permitted_regions() const
{
    if (!view->rules) {
        return {};
    }
    const auto found = view->rules->customers.find(customer);
    return found == view->rules->customers.end() ? std::set<region_name>{} : found->second.regions;
}

event_ref request_context::record(event_kind kind, std::vector<event_field> fields,
                                  std::optional<event_ref> cause)
{
    return parts.events.record(kind, id, std::move(fields), std::move(cause));
}

std::chrono::milliseconds request_context::time_left(time_point now) const
{
    return std::max(std::chrono::milliseconds::zero(),
                    std::chrono::duration_cast<std::chrono::milliseconds>(deadline - now));
}

request_id new_request_id()
{
    std::uint64_t value = 0;
    RAND_bytes(reinterpret_cast<unsigned char*>(&value), sizeof value);
    return request_id{fmt::format("r-{:016x}", value)};
}

std::chrono::milliseconds requested_timeout(const std::vector<http_header>& headers,
                                            std::chrono::milliseconds max_timeout)
{
    const auto text = header_value(headers, "X-Timeout-Ms");
    std::uint32_t requested = 0;
    const auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), requested);
    if (text.empty() || ec != std::errc{} || end != text.data() + text.size()) {
        return max_timeout;
    }
    return std::min(max_timeout, std::chrono::milliseconds{requested});
}

} // namespace cardamomstream
