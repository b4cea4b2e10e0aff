#include "cardamomstream/process/deployment/report_exchange.h"
#include "cardamomstream/process/deployment/vm_report_codec.h"

#include <algorithm>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>

#include <catch2/catch.hpp>

using namespace cardamomstream;
using namespace std::chrono_literals;

namespace {

const customer_name customer("busy");
const upstream_name engine("engine");

/// VMs of several data centres, two in each region, in virtual time. Datagrams arrive at the next tick.
class virtual_fleet {
public:
    virtual_fleet(std::size_t vms, std::size_t data_centres)
    {
        for (std::size_t at = 0; at < data_centres; ++at) {
            m_places.emplace(data_centre_name("dc-" + std::to_string(at)),
                             region_name("region-" + std::to_string(at / 2)));
        }
        for (std::size_t at = 0; at < vms; ++at) {
            start(at);
        }
    }

    /// Starts the VM, or starts it anew.
    void start(std::size_t at)
    {
        const auto place = std::next(m_places.begin(), static_cast<std::ptrdiff_t>(at % m_places.size()));
        const endpoint inner{"10." + std::to_string(at / 250) + ".0." + std::to_string(at % 250 + 1), 7'000};
        vm_identity self{vm_name("vm-" + std::to_string(at)),
                         {++m_processes},
                         place->second,
                         place->first,
                         {inner.address, 80},
                         inner};
        if (at >= m_vms.size()) {
            m_vms.resize(at + 1);
        }
        m_vms[at].emplace(node{report_exchange(self, m_places), m_now, m_now, 0, 0});
        m_by_address[inner] = at;
        // The first three VMs are the seeds of all.
        for (std::size_t seed = 0; seed < 3; ++seed) {
            m_vms[at]->exchange.learn_address({"10.0.0." + std::to_string(seed + 1), 7'000});
        }
    }

    void stop(std::size_t at) { m_vms[at].reset(); }

    /// Lets the VM neither send nor receive.
    void cut(std::size_t at, bool off)
    {
        if (off) {
            m_cut.insert(at);
        }
        else {
            m_cut.erase(at);
        }
    }

    void run(std::chrono::milliseconds time)
    {
        for (const auto end = m_now + time; m_now < end; m_now += 10ms) {
            deliver();
            for (std::size_t at = 0; at < m_vms.size(); ++at) {
                if (m_vms[at]) {
                    act(at, *m_vms[at]);
                }
            }
        }
    }

    report_exchange& vm(std::size_t at) { return m_vms[at]->exchange; }
    bool runs(std::size_t at) const { return m_vms[at].has_value(); }
    std::size_t size() const { return m_vms.size(); }
    time_point now() const { return m_now; }
    void set_running(std::size_t at, std::uint32_t running) { m_vms[at]->running = running; }
    void admit(std::size_t at, double amount) { m_vms[at]->admitted += amount; }

    void reset_counts()
    {
        m_bytes_between = 0;
        m_sent.clear();
        m_counted_from = m_now;
    }
    /// Bytes a second between data centres, for each VM.
    double bytes_between() const { return static_cast<double>(m_bytes_between) / seconds() / vms_running(); }
    /// Datagrams a second that the busiest VM sends.
    double most_sent() const
    {
        std::size_t most = 0;
        for (const auto& [at, count] : m_sent) {
            most = std::max(most, count);
        }
        return static_cast<double>(most) / seconds();
    }

    /// The least number of VMs that a running VM knows to be alive, itself among them.
    std::size_t least_known() const
    {
        std::size_t least = m_vms.size();
        for (const auto& one : m_vms) {
            if (one) {
                least = std::min(least, count_vms(one->exchange.vms().alive(m_now)) + 1);
            }
        }
        return least;
    }

    /// Requests of all others at the engine, as one VM hears of them.
    std::uint32_t running_seen_by(std::size_t at) const
    {
        std::uint32_t sum = 0;
        for (const auto& known : m_vms[at]->exchange.vms().alive(m_now)) {
            for (const auto& load : known->report.loads) {
                sum += load.running;
            }
        }
        return sum;
    }

private:
    struct node {
        report_exchange exchange;
        time_point next_report;
        time_point next_summary;
        std::uint32_t running = 0;
        double admitted = 0;
    };

    struct datagram {
        std::size_t from = 0;
        std::size_t to = 0;
        std::shared_ptr<const vm_report> report;
    };

    double seconds() const { return std::chrono::duration<double>(m_now - m_counted_from).count(); }
    double vms_running() const
    {
        return static_cast<double>(
            std::count_if(m_vms.begin(), m_vms.end(), [](const auto& one) { return one.has_value(); }));
    }

    void act(std::size_t at, node& one)
    {
        if (m_now >= one.next_report) {
            one.next_report = m_now + one.exchange.interval();
            vm_report state;
            state.ready = true;
            state.reads_store = true;
            state.loads = {{engine, one.running, 0ms, 0, {}}};
            state.uses = {{customer, one.admitted}};
            send(at, one.exchange.report(state, m_now));
        }
        if (m_now >= one.next_summary) {
            one.next_summary = m_now + one.exchange.summary_interval();
            send(at, one.exchange.summarise(m_now));
        }
    }

    void send(std::size_t from, const std::vector<outgoing_report>& reports)
    {
        for (const auto& [report, receivers] : reports) {
            if (receivers.empty()) {
                continue;
            }
            const auto bytes = m_counted_from == time_point{} ? 0 : encode_report(report).size();
            const auto shared = std::make_shared<const vm_report>(report);
            for (const auto& receiver : receivers) {
                m_sent[from] += 1;
                const auto to = m_by_address.find(receiver);
                if (to == m_by_address.end()) {
                    continue;
                }
                m_bytes_between += from % m_places.size() == to->second % m_places.size() ? 0 : bytes;
                m_under_way.push_back({from, to->second, shared});
            }
        }
    }

    void deliver()
    {
        std::deque<datagram> arrived;
        arrived.swap(m_under_way);
        for (const auto& one : arrived) {
            if (!m_vms[one.to] || m_cut.contains(one.from) || m_cut.contains(one.to)) {
                continue;
            }
            send(one.to, m_vms[one.to]->exchange.receive(*one.report, m_now).outgoing);
        }
    }

    std::map<data_centre_name, region_name> m_places;
    std::vector<std::optional<node>> m_vms;
    std::map<endpoint, std::size_t> m_by_address;
    std::deque<datagram> m_under_way;
    std::set<std::size_t> m_cut;
    std::map<std::size_t, std::size_t> m_sent;
    std::size_t m_bytes_between = 0;
    std::uint64_t m_processes = 0;
    time_point m_now{1'000s};
    time_point m_counted_from;
};

} // namespace

TEST_CASE("a fleet of any size knows of all its VMs, and what a VM sends does not grow with the fleet")
{
    // As many VMs in a data centre as in the deployments played: 2 in the smallest, 49 in the largest.
    const auto [vms, data_centres] =
        GENERATE(std::pair<std::size_t, std::size_t>{8, 4}, std::pair<std::size_t, std::size_t>{30, 6},
                 std::pair<std::size_t, std::size_t>{100, 6}, std::pair<std::size_t, std::size_t>{300, 6},
                 std::pair<std::size_t, std::size_t>{1'000, 20});
    CAPTURE(vms, data_centres);
    virtual_fleet fleet(vms, data_centres);
    fleet.run(2s);
    CHECK(fleet.least_known() == vms);

    fleet.reset_counts();
    fleet.run(600ms);
    // The users' bound for control at 970 VMs in 99 data centres (letter 1).
    constexpr double letter_bytes_each_second = 3'000;
    CHECK(fleet.bytes_between() < letter_bytes_each_second);
    // A tenth of the time of a VM of 0.12 core, at 20 us for each datagram.
    CHECK(fleet.most_sent() < 600);
}

TEST_CASE("loads and admissions of another data centre come as sums")
{
    virtual_fleet fleet(24, 4);
    fleet.run(2s);
    for (std::size_t at = 0; at < fleet.size(); ++at) {
        fleet.set_running(at, 3);
    }
    fleet.run(1'200ms);
    for (std::size_t at = 0; at < fleet.size(); ++at) {
        CHECK(fleet.running_seen_by(at) == 3 * 23);
    }

    SECTION("a counter goes on when a VM of it starts anew")
    {
        const auto uses_of_dc_1 = [&] {
            for (const auto& known : fleet.vm(0).vms().alive(fleet.now())) {
                if (known->report.summary && known->report.data_centre == data_centre_name("dc-1")) {
                    return known->report.uses.empty() ? 0.0 : known->report.uses.front().admitted;
                }
            }
            return -1.0;
        };
        const auto before = uses_of_dc_1();
        fleet.admit(1, 100);
        fleet.admit(5, 50);
        fleet.run(1'500ms);
        CHECK(uses_of_dc_1() == before + 150);
        fleet.start(9);
        fleet.run(1'500ms);
        fleet.admit(9, 25);
        fleet.run(1'500ms);
        CHECK(uses_of_dc_1() == before + 175);
    }
}

TEST_CASE("any VM may go at any moment")
{
    virtual_fleet fleet(60, 6);
    fleet.run(2s);
    REQUIRE(fleet.least_known() == 60);

    SECTION("one ends: its summaries come another way meanwhile")
    {
        for (std::size_t at = 0; at < fleet.size(); at += 7) {
            fleet.stop(at);
            fleet.run(500ms);
            for (std::size_t other = 0; other < fleet.size(); ++other) {
                if (fleet.runs(other)) {
                    // One summary of each other data centre is believed all the while.
                    std::set<data_centre_name> heard;
                    for (const auto& known : fleet.vm(other).vms().alive(fleet.now())) {
                        heard.insert(known->report.data_centre);
                    }
                    CHECK(heard.size() == 6);
                }
            }
            fleet.start(at);
            fleet.run(2s);
            CHECK(fleet.least_known() == 60);
        }
    }
    SECTION("a whole data centre ends, and comes back while the seeds in it are gone")
    {
        for (std::size_t at = 0; at < fleet.size(); at += 6) {
            fleet.stop(at);
        }
        fleet.run(4s);
        CHECK(fleet.least_known() == 50);
        for (std::size_t at = 6; at < fleet.size(); at += 6) {
            fleet.start(at);
        }
        fleet.run(3s);
        CHECK(fleet.least_known() == 59);
    }
    SECTION("a region is cut off for longer than VMs are remembered, and comes back")
    {
        for (std::size_t at = 0; at < fleet.size(); ++at) {
            fleet.cut(at, at % 6 < 2);
        }
        fleet.run(40s);
        for (std::size_t at = 0; at < fleet.size(); ++at) {
            fleet.cut(at, false);
        }
        fleet.run(4s);
        CHECK(fleet.least_known() == 60);
    }
    SECTION("all lose power and start anew")
    {
        for (std::size_t at = 0; at < fleet.size(); ++at) {
            fleet.stop(at);
        }
        fleet.run(1s);
        for (std::size_t at = 0; at < fleet.size(); ++at) {
            fleet.start(at);
        }
        fleet.run(2s);
        CHECK(fleet.least_known() == 60);
    }
}

TEST_CASE("a VM asks an unknown one in another data centre which VMs there are")
{
    const data_centre_name near("dc-0");
    const data_centre_name far("dc-1");
    const std::map<data_centre_name, region_name> places{{near, region_name("r")}, {far, region_name("r")}};
    const time_point start{1'000s};
    const endpoint asker{"10.0.0.1", 7'000};
    const endpoint mate{"10.0.0.2", 7'000};
    const endpoint seed{"10.1.0.1", 7'000};
    report_exchange asks({vm_name("a"), {1}, region_name("r"), near, {}, asker}, places);
    report_exchange answers({vm_name("b"), {2}, region_name("r"), far, {}, seed}, places);
    asks.learn_address(seed);
    vm_report told;
    told.vm = vm_name("c");
    told.process = {3};
    told.sequence = 1;
    told.region = region_name("r");
    told.data_centre = near;
    told.inner = mate;
    asks.receive(told, start);

    for (const auto& [report, receivers] : asks.report({}, start)) {
        if (std::find(receivers.begin(), receivers.end(), seed) != receivers.end()) {
            answers.receive(report, start);
        }
    }
    CHECK(answers.vms().known_in(near).contains(asker));
    // The asker's neighbours are none of the other VM's.
    CHECK(answers.vms().known_in(far).empty());
}
