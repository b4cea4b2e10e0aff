#include "gateway_calls.h"

#include <thread>

namespace cardamomstream::test_support {

namespace {

constexpr std::chrono::milliseconds ask_interval{50};

} // namespace

std::string ticket_in_entry(const answer& entry, const std::string& route)
{
    const boost::json::value body = entry.json();
    const auto* tickets = body.is_object() ? body.as_object().if_contains("tickets") : nullptr;
    if (tickets == nullptr || !tickets->is_array()) {
        return {};
    }
    for (const auto& ticket : tickets->as_array()) {
        if (ticket.at("route").as_string() == route) {
            return std::string(ticket.at("ticket").as_string());
        }
    }
    return {};
}

std::string take_ticket(const endpoint& vm, const std::string& key)
{
    const auto entry = send_once(vm, {"GET", "/v1/entry", "", key, {}});
    return entry ? ticket_in_entry(entry.value(), "submit") : std::string();
}

call submission(const std::string& key, const std::string& body, const std::string& ticket)
{
    call request{"POST", "/filing/submissions", body, key, {}};
    if (!ticket.empty()) {
        request.headers.emplace_back("X-Ticket", ticket);
    }
    return request;
}

bool wait_for_status(const endpoint& vm, const call& request, unsigned status,
                     std::chrono::milliseconds limit)
{
    const auto deadline = std::chrono::steady_clock::now() + limit;
    while (std::chrono::steady_clock::now() < deadline) {
        const auto received = send_once(vm, request);
        if (received && received.value().status == status) {
            return true;
        }
        std::this_thread::sleep_for(ask_interval);
    }
    return false;
}

bool is_whole_stream(const std::vector<std::string>& events, const std::string& word, int tokens)
{
    if (events.size() != static_cast<std::size_t>(tokens) + 1 || events.back() != "[DONE]") {
        return false;
    }
    for (int index = 0; index < tokens; ++index) {
        const std::string content = "\"" + std::to_string(index) + ":" + word + " \"";
        if (events[static_cast<std::size_t>(index)].find(content) == std::string::npos) {
            return false;
        }
    }
    return true;
}

} // namespace cardamomstream::test_support
