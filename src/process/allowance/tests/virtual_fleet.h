/// Simulates several allowance books in virtual time, connected by a network that loses, delays and
/// duplicates messages and can be partitioned. Used by the tests and the benchmark.
#pragma once

#include "cardamomstream/process/allowance_book.h"

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <random>
#include <utility>
#include <vector>

namespace cardamomstream::testing {

using virtual_time = std::chrono::nanoseconds;

/// Measures by how much the tokens received in any time window exceed burst + rate * window, at most.
class window_meter {
public:
    window_meter(token_rate rate, double burst)
        : m_rate(rate.per_second)
        , m_burst(burst)
    {
    }

    void add(virtual_time now, double tokens)
    {
        const double seconds = std::chrono::duration<double>(now - m_last).count();
        m_last = now;
        m_fill = std::max(0.0, m_fill - m_rate * seconds) + tokens;
        m_excess = std::max(m_excess, m_fill - m_burst);
        m_received += tokens;
    }

    double excess() const { return m_excess; }
    double received() const { return m_received; }

private:
    double m_rate;
    double m_burst;
    virtual_time m_last{0};
    double m_fill = 0;
    double m_excess = 0;
    double m_received = 0;
};

struct fleet_options {
    double loss = 0;
    double duplicate = 0;
    virtual_time near_delay = std::chrono::milliseconds{1};
    virtual_time far_delay = std::chrono::milliseconds{80};
    virtual_time jitter = std::chrono::milliseconds{1};
    virtual_time tick = std::chrono::milliseconds{100};
    virtual_time heartbeat = std::chrono::milliseconds{500};
    double clock_drift = 0; ///< largest relative error of a VM's clock
    bool loans_on_demand = true;
    bool loans_ahead = true;
    bool report_consumption = true; ///< calls `consume` while the answer runs, not only `settle` at its end
};

struct fleet_request {
    customer_name customer;
    token_count charge = 0;
    token_count used = 0;
    virtual_time duration{0}; ///< from admission to the last token
    std::size_t chunks = 1;   ///< evenly spaced, the last one at the end
    virtual_time max_wait{0}; ///< longest wait for a loan
    std::function<void(bool admitted)> on_decision;
};

class virtual_fleet {
public:
    virtual_fleet(std::uint64_t seed, const allowance_limits& limits, const fleet_options& options)
        : m_random(seed)
        , m_limits(limits)
        , m_options(options)
    {
    }

    void add_vm(const std::string& name, const std::string& region)
    {
        node& added = m_nodes[vm_name{name}];
        added.name = vm_name{name};
        added.region = region_name{region};
        added.drift = m_options.clock_drift * (2 * chance() - 1);
        added.offset = std::chrono::seconds{1000 + static_cast<int>(1000 * chance())};
        m_listed.insert(added.name);
    }

    void start(const std::string& name)
    {
        node& vm = node_at(name);
        vm.process = m_next_process++;
        vm.running = true;
        vm.seen.clear();
        vm.unchanged.clear();
        vm.waiting.clear();
        vm.book.emplace(vm.name, incarnation{vm.process}, m_limits, local(vm));
        apply(vm);
        run_later(vm, m_options.tick, [this, &vm] { tick(vm); });
        run_later(vm, virtual_time{0}, [this, &vm] { heartbeat(vm); });
    }

    void kill(const std::string& name)
    {
        node_at(name).running = false;
        node_at(name).process = 0;
        node_at(name).book.reset();
    }

    /// Removes a stopped VM from the platform's list, as every VM sees it.
    void unlist(const std::string& name) { m_listed.erase(vm_name{name}); }
    void pause(const std::string& name, virtual_time duration)
    {
        node_at(name).paused_until = m_now + duration;
    }
    /// VMs of different groups cannot reach each other.
    void set_group(const std::string& name, int group) { node_at(name).group = group; }

    void deliver(const std::string& name, const rules_snapshot& published)
    {
        node& vm = node_at(name);
        if (vm.rules == nullptr || vm.rules->version < published->version) {
            vm.rules = published;
        }
        if (vm.running) {
            run_later(vm, virtual_time{0}, [this, &vm] { apply(vm); });
        }
    }

    void meter(const std::string& customer, token_rate rate, double burst)
    {
        m_meters.emplace(customer_name{customer}, window_meter{rate, burst});
    }
    const window_meter& meter_of(const std::string& customer) const
    {
        return m_meters.at(customer_name{customer});
    }

    /// Sends a request to a VM; ignored if the VM is not running.
    void request(const std::string& name, fleet_request wanted)
    {
        node& vm = node_at(name);
        if (!vm.running) {
            return;
        }
        const virtual_time deadline = m_now + wanted.max_wait;
        run_later(vm, virtual_time{0},
                  [this, &vm, wanted = std::move(wanted), deadline] { attempt(vm, wanted, deadline); });
    }

    void schedule(virtual_time when, std::function<void()> action)
    {
        m_events.push({std::max(when, m_now), m_next_event++, std::move(action)});
    }

    void run_until(virtual_time end)
    {
        while (!m_events.empty() && m_events.top().when <= end) {
            event next = m_events.top();
            m_events.pop();
            m_now = next.when;
            next.action();
        }
        m_now = end;
    }

    virtual_time now() const { return m_now; }
    double chance() { return std::uniform_real_distribution<double>{0, 1}(m_random); }
    std::mt19937_64& random() { return m_random; }
    std::uint64_t loan_messages() const { return m_loan_messages; }
    allowance_book& book(const std::string& name) { return *node_at(name).book; }
    time_point local_now(const std::string& name) { return local(node_at(name)); }

private:
    struct node {
        vm_name name;
        region_name region;
        int group = 0;
        std::uint64_t process = 0;
        bool running = false;
        virtual_time paused_until{0};
        double drift = 0;
        virtual_time offset{0};
        rules_snapshot rules;
        std::optional<allowance_book> book;
        std::map<customer_name, token_count> waiting; ///< sum of the charges waiting for loans
        std::map<vm_name, version_number> seen;
        std::vector<unchanged_parts_range> unchanged; ///< last one received
    };
    struct event {
        virtual_time when;
        std::uint64_t number;
        std::function<void()> action;
        friend bool operator<(const event& left, const event& right)
        {
            return std::pair{left.when, left.number} > std::pair{right.when, right.number};
        }
    };

    node& node_at(const std::string& name) { return m_nodes.at(vm_name{name}); }

    time_point local(const node& vm) const
    {
        const auto error = std::chrono::duration<double, std::nano>(m_now) * vm.drift;
        return time_point{vm.offset + m_now + std::chrono::duration_cast<virtual_time>(error)};
    }

    /// Runs the action on the VM's current process, after the end of its pause if it is paused by then. Drops
    /// it if the process has ended.
    void run_later(node& vm, virtual_time delay, std::function<void()> action)
    {
        schedule(m_now + delay, [this, &vm, process = vm.process, action = std::move(action)]() mutable {
            on_process(vm, process, std::move(action));
        });
    }

    void on_process(node& vm, std::uint64_t process, std::function<void()> action)
    {
        if (!vm.running || (process != 0 && vm.process != process)) {
            return;
        }
        if (m_now < vm.paused_until) {
            schedule(vm.paused_until, [this, &vm, process, action = std::move(action)]() mutable {
                on_process(vm, process, std::move(action));
            });
            return;
        }
        action();
    }

    /// Delivers to the process that runs on the VM at the time of delivery.
    void send(const node& from, const vm_name& to, const std::function<void(node&)>& action)
    {
        const auto found = m_nodes.find(to);
        if (found == m_nodes.end()) {
            return;
        }
        node& target = found->second;
        const int copies = chance() < m_options.duplicate ? 2 : 1;
        for (int copy = 0; copy < copies; ++copy) {
            if (from.group != target.group || chance() < m_options.loss) {
                continue;
            }
            const virtual_time base =
                from.region == target.region ? m_options.near_delay : m_options.far_delay;
            const auto extra = std::chrono::duration_cast<virtual_time>(m_options.jitter * chance());
            schedule(m_now + base + extra, [this, &target, action] {
                on_process(target, 0, [&target, action] { action(target); });
            });
        }
    }

    void apply(node& vm)
    {
        if (vm.rules != nullptr) {
            vm.book->apply(vm.rules, {vm.seen, m_listed, vm.unchanged}, local(vm));
        }
    }

    void tick(node& vm)
    {
        vm.book->advance(local(vm));
        if (m_options.loans_ahead) {
            for (const loan_request& wanted : vm.book->plan_loans_ahead(64, local(vm))) {
                ask(vm, wanted);
            }
        }
        send_returns(vm);
        run_later(vm, m_options.tick, [this, &vm] { tick(vm); });
    }

    void heartbeat(node& vm)
    {
        vm.seen[vm.name] = std::max(vm.seen[vm.name], vm.book->applied_version(local(vm)));
        const demand_summary summary = vm.book->summarise(local(vm));
        for (const vm_name& other : m_listed) {
            if (other == vm.name) {
                continue;
            }
            send(vm, other,
                 [this, seen = vm.seen, unchanged = vm.book->unchanged_parts(), summary](node& peer) {
                     peer.unchanged = {unchanged};
                     peer.book->record_peer_summary(summary, local(peer));
                     merge_versions(peer, seen);
                 });
            if (vm.book->restarting()) {
                ask_restart(vm, other);
            }
        }
        run_later(vm, m_options.heartbeat, [this, &vm] { heartbeat(vm); });
    }

    void merge_versions(node& vm, const std::map<vm_name, version_number>& heard)
    {
        bool changed = false;
        for (const auto& [name, version] : heard) {
            version_number& seen = vm.seen[name];
            changed = changed || seen < version;
            seen = std::max(seen, version);
        }
        if (changed) {
            apply(vm);
        }
    }

    void ask_restart(node& vm, const vm_name& other)
    {
        send(vm, other, [this, query = vm.book->make_restart_query()](node& peer) {
            const restart_answer answer = peer.book->answer_restart(query, local(peer));
            send(peer, query.vm,
                 [this, answer](node& restarted) { restarted.book->accept(answer, local(restarted)); });
        });
    }

    void ask(node& vm, const loan_request& wanted)
    {
        ++m_loan_messages;
        send(vm, wanted.lender, [this, wanted](node& lender) {
            const loan_answer answer = lender.book->lend(wanted, local(lender));
            ++m_loan_messages;
            send(lender, wanted.id.borrower, [this, answer](node& borrower) {
                borrower.book->accept(answer, local(borrower));
                send_returns(borrower);
            });
        });
    }

    void send_returns(node& vm)
    {
        for (const loan_return& returned : vm.book->take_returns()) {
            ++m_loan_messages;
            send(vm, returned.lender,
                 [this, returned](node& lender) { lender.book->accept(returned, local(lender)); });
        }
    }

    void attempt(node& vm, const fleet_request& wanted, virtual_time deadline, bool has_waited = false)
    {
        token_count& waiting = vm.waiting[wanted.customer];
        waiting -= has_waited ? wanted.charge : 0;
        auto admitted = vm.book->admit(wanted.customer, wanted.charge, local(vm));
        if (admitted) {
            run(vm, wanted, admitted.value());
            return;
        }
        if (!m_options.loans_on_demand || m_now >= deadline ||
            admitted.error().kind != error_kind::allowance_exhausted) {
            report(wanted, false);
            return;
        }
        waiting += wanted.charge;
        while (const auto loan = vm.book->plan_loan(wanted.customer, waiting, local(vm))) {
            ask(vm, *loan);
        }
        constexpr std::chrono::milliseconds retry_interval{5};
        run_later(vm, retry_interval, [this, &vm, wanted, deadline] { attempt(vm, wanted, deadline, true); });
    }

    static void report(const fleet_request& wanted, bool admitted)
    {
        if (wanted.on_decision) {
            wanted.on_decision(admitted);
        }
    }

    void run(node& vm, const fleet_request& wanted, const reservation& admitted)
    {
        report(wanted, true);
        const auto open = std::make_shared<reservation>(admitted);
        const auto passed = std::make_shared<token_count>(0);
        const auto chunks = static_cast<token_count>(wanted.chunks);
        for (token_count chunk = 1; chunk <= chunks; ++chunk) {
            const token_count until = wanted.used * chunk / chunks;
            run_later(vm, wanted.duration * chunk / chunks, [this, &vm, open, passed, until] {
                if (local(vm) >= open->expires) {
                    return;
                }
                m_meters.at(open->customer).add(m_now, static_cast<double>(until - *passed));
                if (m_options.report_consumption) {
                    vm.book->consume(*open, until - *passed, local(vm));
                }
                *passed = until;
            });
        }
        run_later(vm, wanted.duration, [this, &vm, open, passed] {
            vm.book->settle(*open, *passed, local(vm));
            send_returns(vm);
        });
    }

    std::mt19937_64 m_random;
    allowance_limits m_limits;
    fleet_options m_options;
    virtual_time m_now{0};
    std::map<vm_name, node> m_nodes;
    std::set<vm_name> m_listed;
    std::map<customer_name, window_meter> m_meters;
    std::priority_queue<event> m_events;
    std::uint64_t m_next_event = 0;
    std::uint64_t m_next_process = 1;
    std::uint64_t m_loan_messages = 0;
};

} // namespace cardamomstream::testing
