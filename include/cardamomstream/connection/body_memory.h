/// Divides the memory for request bodies among the requests of a process.
#pragma once

#include "cardamomstream/core/boot_clock.h"
#include "cardamomstream/core/memory_limit.h"

#include <chrono>
#include <cstddef>
#include <functional>
#include <list>
#include <memory>
#include <mutex>
#include <vector>

namespace cardamomstream {

struct body_memory_settings {
    std::size_t max_bytes = std::size_t{64} * 1024 * 1024; ///< of all bodies together
    /// A body of at most this size, or that lacks no more than this, may also use what is kept for small
    /// ones.
    std::size_t small_bytes = small_message_bytes;
    /// A sender whose body hasn't grown for this long may lose its memory to others.
    std::chrono::milliseconds stall_time{1'000};
};

/// What comes of a request for more memory.
enum class memory_grant {
    granted,
    awaited, ///< stalled senders are being cut off: their memory will be free in a moment
    refused,
};

/// Answers a crowd of large, slow or stalled uploads on a machine with little memory. A part is kept for
/// small bodies and those nearly complete, so that they are still read. When the memory is used up, the
/// senders whose bodies have not grown for longest are cut off first; none whose body has lately grown is.
/// Thread safe.
class body_memory {
    struct account_state {
        std::size_t bytes = 0;
        time_point progressed_at;
        bool complete = false;
        bool cut_off = false;
        std::function<void()> cut;
    };

public:
    explicit body_memory(body_memory_settings settings);

    /// Memory of one body, returned when the account is destroyed.
    class account {
    public:
        /// `cut` is called at most once, on any thread, when the sender has stalled and others need the
        /// memory.
        account(std::shared_ptr<body_memory> memory, std::function<void()> cut, time_point now);
        ~account();
        account(const account&) = delete;
        account& operator=(const account&) = delete;
        account(account&&) = delete;
        account& operator=(account&&) = delete;

        /// Takes this much more for bytes that are about to be read. `missing`: of the body after that, as
        /// far as known.
        memory_grant grow(std::size_t bytes, std::size_t missing, time_point now);

        /// The body has been read: its sender can't stall any more.
        void complete();

    private:
        std::shared_ptr<body_memory> m_memory;
        std::list<account_state>::iterator m_state;
    };

    /// Raises `max_bytes` if a single body of this size would not fit.
    void make_room_for(std::size_t body_bytes);

    /// Bytes in use.
    std::size_t bytes() const;

private:
    /// Called without the lock: the last reference to a sender may end with it.
    using cut_actions = std::vector<std::function<void()>>;

    memory_grant grow(account_state& grown, std::size_t bytes, std::size_t missing, time_point now,
                      cut_actions& cuts);
    bool cut_stalled(const account_state& grown, std::size_t bytes, time_point now, cut_actions& cuts);

    mutable std::mutex m_mutex;
    body_memory_settings m_settings;
    std::size_t m_bytes = 0;
    std::list<account_state> m_accounts;
};

} // namespace cardamomstream
