/// One program that a test has started.
#pragma once

#include <chrono>
#include <filesystem>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <sys/types.h>

namespace cardamomstream::test_support {

/// Starts a program with its output in a log file; ends it with the object, and with the test if that dies.
class child_process {
public:
    /// `command` holds the program's path and its arguments. Throws `std::system_error` if it can't start.
    child_process(const std::vector<std::string>& command, std::filesystem::path log);
    ~child_process();
    child_process(const child_process&) = delete;
    child_process& operator=(const child_process&) = delete;
    child_process(child_process&&) = delete;
    child_process& operator=(child_process&&) = delete;

    pid_t pid() const noexcept { return m_pid; }
    /// Sends a signal to this one process, unless it has ended.
    void signal(int number);
    /// Stops it and waits until all of its threads stand still: on a busy machine some run on for a while.
    void freeze();
    /// Waits for the end. The exit status, 128 plus the number of a signal that ended it, or empty.
    std::optional<int> wait(std::chrono::milliseconds limit);
    bool running();
    /// Kills it and waits.
    void kill();
    /// All that it has written.
    std::string log_text() const;
    /// Waits until its log holds `text` at least `count` times. False when the limit passes or it ends
    /// before.
    bool wait_for_log(std::string_view text, std::chrono::milliseconds limit, int count = 1);

private:
    pid_t m_pid = -1;
    std::optional<int> m_status;
    std::filesystem::path m_log;
};

} // namespace cardamomstream::test_support
