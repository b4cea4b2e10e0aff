/// The demo: a small fleet on loopback, shown step by step.
#pragma once

#include "fleet.h"

#include <string>
#include <vector>

namespace cardamomstream::demo {

/// Runs the steps against a running fleet and prints each with its result.
class demo {
public:
    explicit demo(test_support::fleet& fleet);

    /// True if every step did what it shows.
    bool run();

private:
    bool ask_entry();
    bool stream_completion();
    bool submit_once();
    bool show_residency();
    bool show_timeline();
    bool explain_request();
    bool run_tool(const std::string& name, std::vector<std::string> arguments, std::size_t max_lines);
    bool stop();

    test_support::fleet& m_fleet;
    std::string m_ticket;
    std::string m_explained_request;
};

} // namespace cardamomstream::demo
