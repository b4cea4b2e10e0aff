#include "child_process.h"

#include <algorithm>
#include <cerrno>
#include <csignal>
#include <fstream>
#include <iterator>
#include <system_error>
#include <thread>
#include <utility>

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

namespace cardamomstream::test_support {

namespace {

constexpr std::chrono::milliseconds poll_interval{5};
constexpr std::chrono::seconds kill_limit{10};
constexpr int exec_failed = 127;
constexpr int signal_status_base = 128;

/// Runs in the child between fork and exec: only calls that are safe there.
[[noreturn]] void become(char* const* arguments, int log)
{
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    ::dup2(log, STDOUT_FILENO);
    ::dup2(log, STDERR_FILENO);
    // A copy of the test's sockets would keep them open after the test has closed them.
    ::close_range(STDERR_FILENO + 1, ~0U, 0);
    ::execv(arguments[0], arguments);
    ::_exit(exec_failed);
}

int status_of(int raw)
{
    return WIFSIGNALED(raw) ? signal_status_base + WTERMSIG(raw) : WEXITSTATUS(raw);
}

int count_of(const std::string& text, std::string_view wanted)
{
    int count = 0;
    for (auto at = text.find(wanted); at != std::string::npos; at = text.find(wanted, at + wanted.size())) {
        ++count;
    }
    return count;
}

} // namespace

child_process::child_process(const std::vector<std::string>& command, std::filesystem::path log)
    : m_log(std::move(log))
{
    std::vector<std::string> words = command;
    std::vector<char*> arguments;
    std::transform(words.begin(), words.end(), std::back_inserter(arguments),
                   [](std::string& word) { return word.data(); });
    arguments.push_back(nullptr);
    const int file = ::open(m_log.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0600);
    if (file < 0) {
        throw std::system_error(errno, std::generic_category(), "cannot open " + m_log.string());
    }
    m_pid = ::fork();
    if (m_pid == 0) {
        become(arguments.data(), file);
    }
    ::close(file);
    if (m_pid < 0) {
        throw std::system_error(errno, std::generic_category(), "cannot start " + words.front());
    }
}

child_process::~child_process()
{
    kill();
}

void child_process::signal(int number)
{
    if (running()) {
        ::kill(m_pid, number);
    }
}

void child_process::freeze()
{
    if (!running()) {
        return;
    }
    ::kill(m_pid, SIGSTOP);
    siginfo_t stopped{};
    while (::waitid(P_PID, static_cast<id_t>(m_pid), &stopped, WSTOPPED | WEXITED | WNOWAIT) != 0 &&
           errno == EINTR) {
    }
}

std::optional<int> child_process::wait(std::chrono::milliseconds limit)
{
    const auto deadline = std::chrono::steady_clock::now() + limit;
    while (running() && std::chrono::steady_clock::now() < deadline) {
        std::this_thread::sleep_for(poll_interval);
    }
    return m_status;
}

bool child_process::running()
{
    int raw = 0;
    if (!m_status && ::waitpid(m_pid, &raw, WNOHANG) == m_pid) {
        m_status = status_of(raw);
    }
    return !m_status;
}

void child_process::kill()
{
    signal(SIGKILL);
    wait(kill_limit);
}

std::string child_process::log_text() const
{
    std::ifstream file(m_log, std::ios::binary);
    return {std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>()};
}

bool child_process::wait_for_log(std::string_view text, std::chrono::milliseconds limit, int count)
{
    const auto deadline = std::chrono::steady_clock::now() + limit;
    while (count_of(log_text(), text) < count) {
        if (!running() || std::chrono::steady_clock::now() >= deadline) {
            return count_of(log_text(), text) >= count;
        }
        std::this_thread::sleep_for(poll_interval);
    }
    return true;
}

} // namespace cardamomstream::test_support
