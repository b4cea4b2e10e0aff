/// One stand-in for tests of the stand-ins themselves.
#pragma once

#include "child_process.h"
#include "http_caller.h"
#include "loopback.h"

#include <filesystem>
#include <string>
#include <vector>

#include <catch2/catch.hpp>

namespace cardamomstream::test_support {

/// A running stand-in at a free port.
class standin {
public:
    explicit standin(const std::string& command, std::vector<std::string> arguments = {})
        : m_address(free_port())
        , m_log(std::filesystem::temp_directory_path() / ("standin-" + m_address.str() + ".log"))
        , m_process(full_command(command, std::move(arguments)), m_log)
    {
        REQUIRE(m_process.wait_for_log("listening " + m_address.str(), std::chrono::seconds(10)));
    }
    ~standin()
    {
        m_process.kill();
        std::error_code ignored;
        std::filesystem::remove(m_log, ignored);
    }
    standin(const standin&) = delete;
    standin& operator=(const standin&) = delete;
    standin(standin&&) = delete;
    standin& operator=(standin&&) = delete;

    const endpoint& address() const noexcept { return m_address; }
    child_process& process() noexcept { return m_process; }

    answer get(const std::string& target) const { return call_it({"GET", target, "", "", {}}); }
    answer post(const std::string& target, const std::string& body = "") const
    {
        return call_it({"POST", target, body, "", {}});
    }
    answer call_it(const call& request) const
    {
        auto received = send_once(m_address, request);
        REQUIRE(received);
        return std::move(received).value();
    }

private:
    std::vector<std::string> full_command(const std::string& command,
                                          std::vector<std::string> arguments) const
    {
        arguments.insert(arguments.begin(), {STANDINS_PROGRAM, command, "--listen", m_address.str()});
        return arguments;
    }

    endpoint m_address;
    std::filesystem::path m_log;
    child_process m_process;
};

} // namespace cardamomstream::test_support
