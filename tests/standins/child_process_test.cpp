#include "child_process.h"

#include <chrono>
#include <filesystem>

#include <arpa/inet.h>
#include <catch2/catch.hpp>
#include <sys/socket.h>
#include <unistd.h>

using namespace cardamomstream::test_support;

namespace {

/// A listener on loopback that a test can close.
class listener {
public:
    listener()
        : m_socket(::socket(AF_INET, SOCK_STREAM, 0))
    {
        m_address.sin_family = AF_INET;
        m_address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        socklen_t size = sizeof m_address;
        REQUIRE(::bind(m_socket, reinterpret_cast<const sockaddr*>(&m_address), size) == 0);
        REQUIRE(::listen(m_socket, 4) == 0);
        REQUIRE(::getsockname(m_socket, reinterpret_cast<sockaddr*>(&m_address), &size) == 0);
    }
    ~listener() { close(); }
    listener(const listener&) = delete;
    listener& operator=(const listener&) = delete;
    listener(listener&&) = delete;
    listener& operator=(listener&&) = delete;

    void close()
    {
        if (m_socket >= 0) {
            ::close(m_socket);
            m_socket = -1;
        }
    }

    bool accepts() const
    {
        const int caller = ::socket(AF_INET, SOCK_STREAM, 0);
        const bool accepted =
            ::connect(caller, reinterpret_cast<const sockaddr*>(&m_address), sizeof m_address) == 0;
        ::close(caller);
        return accepted;
    }

private:
    int m_socket;
    sockaddr_in m_address{};
};

} // namespace

TEST_CASE("a socket that a test closes stays open in no program that the test has started")
{
    listener listening;
    child_process program({"/bin/sh", "-c", "echo started; exec sleep 20"},
                          std::filesystem::temp_directory_path() /
                              ("cardamomstream-child-" + std::to_string(::getpid())));
    REQUIRE(program.wait_for_log("started", std::chrono::seconds(10)));
    REQUIRE(listening.accepts());
    listening.close();
    CHECK_FALSE(listening.accepts());
}
