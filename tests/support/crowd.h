/// Callers that do not behave, and what they make of a process.
#pragma once

#include "cardamomstream/core/core_types.h"

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <list>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <fmt/format.h>
#include <sys/socket.h>
#include <sys/time.h>

namespace cardamomstream::test_support {

/// Longest time that a member of the crowd spends on bytes that the VM doesn't read.
inline constexpr std::chrono::seconds crowd_write_limit{2};

/// Peak of a process's resident memory; 0 once it has ended.
inline std::size_t peak_memory_mb(pid_t process)
{
    std::ifstream status("/proc/" + std::to_string(process) + "/status");
    std::string word;
    while (status >> word) {
        if (word == "VmHWM:") {
            std::size_t kilobytes = 0;
            status >> kilobytes;
            return kilobytes / 1'024;
        }
    }
    return 0;
}

inline std::size_t open_descriptors(pid_t process)
{
    const std::filesystem::directory_iterator descriptors("/proc/" + std::to_string(process) + "/fd");
    return static_cast<std::size_t>(std::distance(begin(descriptors), end(descriptors)));
}

inline std::string chunk(std::size_t bytes)
{
    return fmt::format("{:x}\r\n{}\r\n", bytes, std::string(bytes, 'x'));
}

/// A body of so many bytes in chunks of at most `size`, without the last chunk.
inline std::vector<std::string> chunks_without_end(std::size_t bytes, std::size_t size)
{
    std::vector<std::string> parts;
    for (std::size_t sent = 0; sent < bytes; sent += size) {
        parts.push_back(chunk(std::min(size, bytes - sent)));
    }
    return parts;
}

/// Connections that stay open until the end of the test.
class crowd {
public:
    explicit crowd(const endpoint& vm)
        : m_vm(boost::asio::ip::make_address(vm.address), vm.port)
    {
    }

    /// Opens a connection and sends bytes for as long as the VM takes them.
    void join(const std::vector<std::string>& parts)
    {
        auto& socket = m_members.emplace_back(m_io);
        boost::system::error_code ec;
        socket.connect(m_vm, ec);
        const timeval limit{crowd_write_limit.count(), 0};
        ::setsockopt(socket.native_handle(), SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof limit);
        for (const auto& part : parts) {
            if (!ec) {
                boost::asio::write(socket, boost::asio::buffer(part), ec);
            }
        }
    }

    void leave() { m_members.clear(); }

private:
    boost::asio::ip::tcp::endpoint m_vm;
    boost::asio::io_context m_io;
    std::list<boost::asio::ip::tcp::socket> m_members;
};

} // namespace cardamomstream::test_support
