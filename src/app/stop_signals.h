/// Signals that one thread waits for.
#pragma once

#include <array>
#include <csignal>
#include <pthread.h>
#include <span>
#include <string_view>

namespace cardamomstream {

inline constexpr std::array node_signals{SIGTERM, SIGINT, SIGHUP};
inline constexpr std::array serve_signals{SIGTERM, SIGINT};

/// Signals that the command waits for; none if it is ended by them.
inline std::span<const int> signals_awaited_by(std::string_view command)
{
    if (command == "node") {
        return node_signals;
    }
    return command == "serve" ? std::span<const int>(serve_signals) : std::span<const int>();
}

/// Blocks the signals in this thread and those it starts, so that one thread can wait for them, and ignores
/// SIGPIPE.
inline sigset_t block_signals(std::span<const int> numbers)
{
    sigset_t signals;
    sigemptyset(&signals);
    for (const int number : numbers) {
        sigaddset(&signals, number);
    }
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    std::signal(SIGPIPE, SIG_IGN);
    return signals;
}

} // namespace cardamomstream
