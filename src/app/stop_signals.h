/// Signals that one thread waits for.
#pragma once

#include <csignal>
#include <initializer_list>
#include <pthread.h>
#include <string_view>

namespace cardamomstream {

/// Blocks the signals in this thread and those it starts, so that one thread can wait for them, and ignores
/// SIGPIPE.
inline sigset_t block_signals(std::initializer_list<int> numbers)
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

/// The commands that wait for signals; the others are ended by them.
inline bool waits_for_signals(std::string_view command)
{
    return command == "node" || command == "serve";
}

} // namespace cardamomstream
