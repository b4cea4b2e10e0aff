#include "platform.h"

#include <charconv>
#include <optional>

#include <boost/asio/experimental/awaitable_operators.hpp>

namespace cardamomstream::standins {

namespace {

constexpr std::string_view values_prefix = "/v1/values/";
constexpr std::string_view control_values_prefix = "/control/values/";
constexpr std::size_t max_value_bytes = 1U << 20U;

std::optional<platform_mode> parse_mode(std::string_view text)
{
    if (text == "up") {
        return platform_mode::up;
    }
    if (text == "down") {
        return platform_mode::down;
    }
    if (text == "stale") {
        return platform_mode::stale;
    }
    if (text == "slow") {
        return platform_mode::slow;
    }
    return std::nullopt;
}

} // namespace

platform::platform(asio::io_context& context)
    : m_changed(context, asio::steady_timer::time_point::max())
{
}

void platform::put(const std::string& key, std::string body, std::uint64_t version)
{
    versioned_value& value = m_values[key];
    value.version = version == 0 ? value.version + 1 : version;
    value.body = std::move(body);
    m_changed.cancel();
}

const platform::value_map& platform::served() const
{
    return m_mode == platform_mode::stale ? m_frozen : m_values;
}

http_response platform::read(std::string_view key, std::uint64_t after) const
{
    const auto found = served().find(key);
    if (found == served().end()) {
        return text_response(http::status::not_found, "no value \"" + std::string(key) + "\"\n");
    }
    const bool newer = found->second.version > after;
    http_response response = text_response(newer ? http::status::ok : http::status::not_modified, "");
    response.set("X-Version", std::to_string(found->second.version));
    if (newer) {
        response.body() = found->second.body;
    }
    return response;
}

asio::awaitable<void> platform::watch(connection& client, std::string key, std::uint64_t after,
                                      std::chrono::milliseconds wait)
{
    using namespace asio::experimental::awaitable_operators;
    const auto deadline = std::chrono::steady_clock::now() + wait;
    ++m_waiting;
    while (m_mode != platform_mode::down && std::chrono::steady_clock::now() < deadline) {
        const auto found = served().find(key);
        if (found != served().end() && found->second.version > after) {
            break;
        }
        asio::steady_timer limit(m_changed.get_executor(), deadline);
        boost::system::error_code ignored;
        co_await (limit.async_wait(asio::redirect_error(asio::use_awaitable, ignored)) ||
                  m_changed.async_wait(asio::redirect_error(asio::use_awaitable, ignored)));
    }
    --m_waiting;
    if (m_mode == platform_mode::down) {
        client.close();
        co_return;
    }
    http_response response = read(key, after);
    if (response.result() == http::status::not_found) {
        response = text_response(http::status::not_modified, "");
    }
    co_await client.answer(std::move(response));
}

http_response platform::directory() const
{
    boost::json::array entries;
    const auto found = served().find("vms");
    if (found != served().end()) {
        boost::system::error_code error;
        const boost::json::value list = boost::json::parse(found->second.body, error);
        const auto* vms = error || !list.is_object() ? nullptr : list.as_object().if_contains("vms");
        if (vms == nullptr || !vms->is_object()) {
            return text_response(http::status::internal_server_error, "the value \"vms\" is no VM list\n");
        }
        for (const auto& [name, vm] : vms->as_object()) {
            if (vm.at("state") == "live") {
                entries.push_back({{"vm", name}, {"region", vm.at("region")}, {"entry", vm.at("entry")}});
            }
        }
    }
    return json_response(http::status::ok, {{"entries", std::move(entries)}});
}

http_response platform::put_value(const request_target& target, const http_request& request)
{
    const std::string key = target.path().substr(control_values_prefix.size());
    if (key.empty() || request.body().size() > max_value_bytes) {
        return text_response(http::status::bad_request, "a value needs a key and at most 1 MB\n");
    }
    std::uint64_t version = 0;
    const auto header = request["X-Version"];
    std::from_chars(header.data(), header.data() + header.size(), version);
    put(key, request.body(), version);
    http_response response = text_response(http::status::ok, "");
    response.set("X-Version", std::to_string(m_values[key].version));
    return response;
}

http_response platform::set_mode(const request_target& target)
{
    const auto mode = parse_mode(target.parameter("mode"));
    if (!mode) {
        return text_response(http::status::bad_request, "mode is one of up, down, stale, slow\n");
    }
    if (*mode == platform_mode::stale && m_mode != platform_mode::stale) {
        m_frozen = m_values;
    }
    m_mode = *mode;
    m_slow_delay = std::chrono::milliseconds(target.number("ms", m_slow_delay.count()));
    m_changed.cancel();
    return text_response(http::status::ok, "");
}

http_response platform::control(const request_target& target, const http_request& request)
{
    if (request.method() == http::verb::put && target.path().starts_with(control_values_prefix)) {
        return put_value(target, request);
    }
    if (target.path() == "/control/mode") {
        return set_mode(target);
    }
    if (target.path() == "/control/reads") {
        return json_response(http::status::ok, {{"reads", m_reads}, {"waiting", m_waiting}});
    }
    return text_response(http::status::not_found, "no such control\n");
}

asio::awaitable<void> platform::handle(connection& client, const http_request& request)
{
    const request_target target(request.target());
    if (target.path().starts_with("/control/")) {
        co_await client.answer(control(target, request));
        co_return;
    }
    ++m_reads;
    if (m_mode == platform_mode::down) {
        client.close();
        co_return;
    }
    if (m_mode == platform_mode::slow && !co_await client.wait_while_connected(m_slow_delay)) {
        co_return;
    }
    if (request.method() != http::verb::get) {
        co_await client.answer(text_response(http::status::method_not_allowed, "read only\n"));
        co_return;
    }
    if (target.path() == "/v1/directory") {
        co_await client.answer(directory());
        co_return;
    }
    if (!target.path().starts_with(values_prefix)) {
        co_await client.answer(text_response(http::status::not_found, "no such page\n"));
        co_return;
    }
    const std::string key = target.path().substr(values_prefix.size());
    const auto after = static_cast<std::uint64_t>(target.number("after", 0));
    const std::chrono::milliseconds wait(target.number("wait_ms", 0));
    if (wait.count() > 0) {
        co_await watch(client, key, after, wait);
        co_return;
    }
    co_await client.answer(read(key, after));
}

} // namespace cardamomstream::standins
