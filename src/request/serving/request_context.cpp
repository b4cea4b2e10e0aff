#include "request_context.h"

#include <algorithm>
#include <charconv>

#include <fmt/format.h>
#include <openssl/rand.h>

namespace cardamomstream {

std::set<region_name> request_context::permitted_regions() const
{
    if (!view->rules) {
        return {};
    }
    const auto found = view->rules->customers.find(customer);
    return found == view->rules->customers.end() ? std::set<region_name>{} : found->second.regions;
}

event_ref request_context::record(event_kind kind, std::vector<event_field> fields, std::optional<event_ref> cause)
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

std::chrono::milliseconds stated_timeout(const std::vector<http_header>& headers, std::chrono::milliseconds longest)
{
    const auto text = header_value(headers, "X-Timeout-Ms");
    std::uint32_t stated = 0;
    const auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), stated);
    if (text.empty() || ec != std::errc{} || end != text.data() + text.size()) {
        return longest;
    }
    return std::min(longest, std::chrono::milliseconds{stated});
}

} // namespace cardamomstream
