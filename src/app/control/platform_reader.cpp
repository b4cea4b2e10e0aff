#include "platform_reader.h"

#include <charconv>

#include <fmt/format.h>

namespace cardamomstream {

namespace {

constexpr std::chrono::milliseconds answer_limit{2'000};
constexpr std::size_t max_value_bytes = 1024 * 1024;
constexpr unsigned ok = 200;
constexpr unsigned not_modified = 304;
constexpr unsigned not_found = 404;

error unavailable(const endpoint& address, const std::string& reason)
{
    return {error_kind::platform_unavailable,
            "the platform at " + address.str() + " " + reason,
            "the last accepted version stays in force; see to the platform",
            run_outcome::not_run,
            {}};
}

std::optional<version_number> version_of(const http_response_head& head)
{
    const auto text = header_value(head.headers, "X-Version");
    version_number version = 0;
    const auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), version);
    if (ec != std::errc{} || end != text.data() + text.size()) {
        return std::nullopt;
    }
    return version;
}

} // namespace

result<std::optional<published_value>> read_platform(control_state& state, platform_service service,
                                                     const std::string& key, version_number after,
                                                     std::chrono::milliseconds wait)
{
    const auto& platform = state.parts.config.platform;
    http_call call;
    call.address =
        service == platform_service::configuration ? platform.configuration_address : platform.list_address;
    call.target = "/v1/values/" + key;
    if (wait > std::chrono::milliseconds::zero()) {
        call.target += fmt::format("?after={}&wait_ms={}", after, wait.count());
    }
    call.limits.first_byte = wait + answer_limit;
    call.limits.total = wait + 2 * answer_limit;
    state.parts.counters.platform_reads.increment(service);
    cancellation unused;
    auto answer = state.client.fetch(call, unused, max_value_bytes);
    if (!answer) {
        return unavailable(call.address, "does not answer: " + answer.error().message);
    }
    const auto status = answer.value().head.status;
    if (status == not_modified || status == not_found) {
        return std::optional<published_value>{};
    }
    const auto version = version_of(answer.value().head);
    if (status != ok || !version) {
        return unavailable(call.address,
                           fmt::format("answered with status {} and no valid X-Version", status));
    }
    return std::optional<published_value>({*version, std::move(answer.value().body)});
}

} // namespace cardamomstream
