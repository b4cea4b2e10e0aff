/// A whole fleet of real processes on loopback: platform, upstreams, links and VMs.
#pragma once

#include "child_process.h"
#include "fleet_plan.h"
#include "http_caller.h"

#include "cardamomstream/core/core_types.h"

#include <chrono>
#include <filesystem>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace cardamomstream::test_support {

inline constexpr std::chrono::seconds ready_limit{20};

/// Starts everything in its constructor and ends it in its destructor. Methods throw `std::runtime_error`
/// that names the process when the harness itself fails; what the gateway does is for the test to judge.
class fleet {
public:
    /// Starts the platform, the upstreams, the proxies and the VMs, and waits until each VM is ready.
    explicit fleet(fleet_plan plan);
    ~fleet();
    fleet(const fleet&) = delete;
    fleet& operator=(const fleet&) = delete;
    fleet(fleet&&) = delete;
    fleet& operator=(fleet&&) = delete;

    endpoint entry(const std::string& vm) const;
    endpoint operators(const std::string& vm) const;
    /// Where other VMs reach it, behind no proxy.
    endpoint peer(const std::string& vm) const;
    /// The upstream's own address, behind no proxy.
    endpoint upstream(const std::string& name) const;
    endpoint platform() const { return m_platform; }

    /// Starts a VM's process; after an end of the earlier one, at the same addresses.
    void start_vm(const std::string& vm);
    /// Whether `/readyz` answers 200 within the limit.
    bool wait_ready(const std::string& vm, std::chrono::milliseconds limit = ready_limit) const;
    child_process& process(const std::string& name);
    void kill(const std::string& name) { process(name).kill(); }
    void freeze(const std::string& name);
    void thaw(const std::string& name);
    /// Starts an upstream again at its address, after `kill`.
    void start_upstream(const std::string& name);

    /// Publishes the lines as the next version (or as the one given); returns the version.
    version_number publish_rules(const std::vector<std::string>& lines, version_number version = 0);
    /// Publishes a text as it is, as the next version.
    version_number publish_raw_rules(const std::string& text);
    /// Changes what the platform lists. `state`: live, leaving, or empty for absent.
    void list_vm(const std::string& vm, const std::string& state);
    void list_upstream(const std::string& name, const std::string& state);
    /// up, down, stale or slow.
    void set_platform_mode(const std::string& mode) const;
    /// Query of the upstream's fault control, such as "kind=hang_after_head".
    void set_upstream_fault(const std::string& name, const std::string& query) const;
    /// Query of a proxy's fault control, such as "kind=cut"; the link as named in `fleet_plan`.
    void set_link_fault(const std::string& link, const std::string& query) const;
    /// What the upstream has seen.
    boost::json::object seen(const std::string& upstream) const;
    /// Runs of actions whose body is `body`, over all services.
    int runs_of(const std::string& body) const;

    const fleet_plan& plan() const noexcept { return m_plan; }
    const std::filesystem::path& directory() const noexcept { return m_directory; }
    /// The last lines of every process's log.
    std::string log_tails(std::size_t lines = 20) const;
    /// Sends SIGTERM to all VMs, then to the rest, and waits. The names of those that did not exit with 0.
    std::vector<std::string> stop(std::chrono::milliseconds limit = std::chrono::seconds(20));

private:
    struct vm_addresses {
        endpoint entry;
        endpoint peer;
        endpoint operators;
        endpoint published_peer; ///< behind the proxy, if there is one
        endpoint platform;       ///< behind the proxy, if there is one
    };

    void start_platform();
    void start_upstreams();
    void assign_addresses();
    endpoint start_proxy(const std::string& link, const endpoint& to);
    void start_standin(const std::string& name, const std::vector<std::string>& arguments, int addresses);
    void start_process(const std::string& name, const std::vector<std::string>& command);
    void write_settings(const vm_plan& vm) const;
    std::string rules_text(const std::vector<std::string>& lines, version_number version) const;
    void put_value(const std::string& key, const std::string& body, version_number version) const;
    void publish_list();
    void control(const endpoint& to, const std::string& target) const;
    const upstream_plan& upstream_of(const std::string& name) const;

    fleet_plan m_plan;
    std::filesystem::path m_directory;
    endpoint m_platform;
    std::map<std::string, vm_addresses> m_vms;
    std::map<std::string, endpoint> m_upstreams;
    std::map<std::string, endpoint> m_published_upstreams;
    std::map<std::string, endpoint> m_link_controls;
    std::map<std::string, std::string> m_listed_states;
    std::map<std::string, std::unique_ptr<child_process>> m_processes;
    version_number m_rules_version = 0;
    version_number m_list_version = 0;
};

} // namespace cardamomstream::test_support
