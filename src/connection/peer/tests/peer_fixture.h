/// A server and a client on loopback, each with threads of its own.
#pragma once

#include "cardamomstream/connection/peer_client.h"
#include "cardamomstream/connection/peer_server.h"

#include <chrono>
#include <future>
#include <memory>
#include <string>
#include <utility>

namespace cardamomstream {

inline peer_identity identity_of(const std::string& vm, const std::string& credential = "fleet secret")
{
    return {vm_name{vm}, credential, {}, {}, {}};
}

/// Runs `body` in a fiber of `thread` and returns what it returns.
template <class Body>
auto in_fiber(traffic_thread& thread, Body body)
{
    std::promise<decltype(body())> done;
    thread.spawn([&] { done.set_value(body()); });
    return done.get_future().get();
}

/// Handlers that answer every call with an empty value.
inline peer_handlers quiet_handlers()
{
    peer_handlers handlers;
    handlers.exchange = [](const vm_name&, const exchange_request&) { return exchange_reply{}; };
    handlers.read_configuration = [](const auto&) { return read_configuration_reply{}; };
    handlers.borrow = [](const loan_request&) { return loan_answer{}; };
    handlers.return_loan = [](const loan_return&) {};
    handlers.ask_restart = [](const restart_query&) { return restart_answer{}; };
    handlers.invite = [] { return hand_over_invitation{}; };
    handlers.hand_over = [](const hand_over_message&) -> result<std::size_t> { return std::size_t{0}; };
    handlers.forward = [](const vm_name&, const forward_request&, std::size_t, response_writer& writer) {
        (void)writer.send({{200, {}}, ""});
    };
    return handlers;
}

/// A VM that answers calls.
struct running_peer {
    explicit running_peer(peer_handlers handlers, const peer_identity& self = identity_of("vm-b"),
                          const endpoint& at = {"127.0.0.1", 0})
        : server(self, control, traffic, std::move(handlers))
        , address{self.vm, server.listen(at).value()}
    {
    }

    traffic_thread control;
    traffic_group traffic{2};
    peer_server server;
    peer_address address;
};

/// A VM that calls.
struct calling_peer {
    explicit calling_peer(const peer_identity& self = identity_of("vm-a"))
        : client(self)
    {
    }

    traffic_thread thread;
    peer_client client;
};

inline constexpr std::chrono::milliseconds call_limit{5'000};

inline forward_request forwarded(const std::string& body)
{
    forward_request request;
    request.id = request_id{"r-1"};
    request.customer = customer_name{"filing"};
    request.method = "POST";
    request.target = "/v1/chat";
    request.body = body;
    request.time_left = call_limit;
    return request;
}

} // namespace cardamomstream
