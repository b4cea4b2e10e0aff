#include "cardamomstream/process/member_table.h"
#include "cardamomstream/process/rendezvous.h"

#include <algorithm>

#include <catch2/catch.hpp>

using namespace cardamomstream;
using namespace std::chrono_literals;

namespace {

using std::chrono::milliseconds;

constexpr std::size_t vms_per_data_centre = 10;
constexpr std::size_t data_centres_per_region = 4;
constexpr std::size_t pools = 6;
constexpr milliseconds tick_time{250};

/// A fleet in virtual time over a network that loses messages; every VM drives the real table.
class fleet {
public:
    fleet(std::size_t data_centres, double loss, std::uint64_t seed)
        : m_random(seed)
        , m_loss(loss)
    {
        m_list.version = 1;
        for (std::size_t i = 0; i < data_centres * vms_per_data_centre; ++i) {
            const std::size_t centre = i / vms_per_data_centre;
            const std::size_t region = centre / data_centres_per_region;
            m_list.vms[vm_name{"entry-" + std::to_string(1'000 + i)}] = {
                region_name{"region-" + std::to_string(region)},
                data_centre_name{"dc-" + std::to_string(100 + centre)},
                {},
                {},
                listed_state::live};
        }
        for (const auto& [vm, listed] : m_list.vms) {
            start(vm, 1);
        }
    }

    void start(const vm_name& vm, version_number version)
    {
        auto& table = m_tables.insert_or_assign(vm, member_table(vm, {m_random()}, {})).first->second;
        table.apply_list(m_list, m_now);
        set_version(vm, version);
    }

    void set_version(const vm_name& vm, version_number version)
    {
        heartbeat own;
        own.applied_version = version;
        for (std::size_t i = 0; i < pools; ++i) {
            own.loads[pool_name{"drafting-" + std::to_string(i)}] = {20, 10, 80};
        }
        for (int i = 0; i < 4; ++i) {
            own.allowance.push_back(
                {customer_name{"customer-" + std::to_string(i)}, {100}, 1'000, 10'000, {50}});
        }
        m_tables.at(vm).set_own(own);
    }

    void run(milliseconds time)
    {
        const time_point end = m_now + time;
        while (m_now < end) {
            m_now += tick_time;
            std::vector<std::pair<vm_name, heartbeat_target>> sent;
            for (auto& [vm, table] : m_tables) {
                table.tick(m_now);
                for (auto& target : table.plan_heartbeats(m_now, m_random)) {
                    count(vm, target);
                    sent.emplace_back(vm, std::move(target));
                }
            }
            for (const auto& [sender, target] : sent) {
                const bool lost = std::generate_canonical<double, 53>(m_random) < m_loss;
                if (!lost) {
                    m_tables.at(target.vm).receive(target.message, sender, m_now);
                }
            }
        }
        m_counted += time;
    }

    /// Share of all pairs (holder, VM) in which the holder knows that the VM has applied the version.
    double known(version_number version) const
    {
        std::size_t count = 0;
        for (const auto& [holder, table] : m_tables) {
            count += 1; // itself
            count += static_cast<std::size_t>(
                std::count_if(table.members().begin(), table.members().end(), [&](const auto& entry) {
                    return entry.second.last_heard && entry.second.applied_version >= version;
                }));
        }
        return static_cast<double>(count) / static_cast<double>(m_tables.size() * m_tables.size());
    }

    void reset_counts()
    {
        m_sent.clear();
        m_counted = 0ms;
    }

    /// Bytes a second, sent and received, of the busiest VM and of all on average.
    struct traffic {
        double busiest = 0;
        double mean = 0;
        double messages = 0; ///< sent per second and VM, mean
    };
    traffic measured() const
    {
        const double seconds = std::chrono::duration<double>(m_counted).count();
        traffic found;
        for (const auto& [vm, bytes] : m_sent) {
            found.busiest = std::max(found.busiest, static_cast<double>(bytes) / seconds);
            found.mean += static_cast<double>(bytes) / seconds / static_cast<double>(m_tables.size());
        }
        found.messages = static_cast<double>(m_messages) /
                         std::chrono::duration<double>(m_now - time_point{}).count() /
                         static_cast<double>(m_tables.size());
        return found;
    }

    std::map<vm_name, member_table>& tables() { return m_tables; }
    time_point now() const { return m_now; }

private:
    void count(const vm_name& sender, const heartbeat_target& target)
    {
        const std::size_t bytes =
            encoded_size_bound(target.message) + membership_settings{}.message_overhead_bytes;
        m_sent[sender] += bytes;
        m_sent[target.vm] += bytes;
        ++m_messages;
    }

    std::mt19937_64 m_random;
    double m_loss;
    time_point m_now;
    vm_list m_list;
    std::map<vm_name, member_table> m_tables;
    std::map<vm_name, std::size_t> m_sent;
    milliseconds m_counted{0};
    std::size_t m_messages = 0;
};

void set_all(fleet& tested, version_number version)
{
    for (const auto& [vm, table] : tested.tables()) {
        tested.set_version(vm, version);
    }
}

/// Seconds until 99 of 100 pairs know the version.
double seconds_to_know(fleet& tested, version_number version, double limit)
{
    double seconds = 0;
    while (tested.known(version) < 0.99 && seconds < limit) {
        tested.run(3s);
        seconds += 3;
    }
    return seconds;
}

} // namespace

TEST_CASE("every VM learns every applied version through summaries although messages are lost")
{
    fleet tested(6, 0.1, 7);
    CHECK(seconds_to_know(tested, 1, 120) < 120);
    set_all(tested, 2);
    CHECK(tested.known(2) < 0.2);
    CHECK(seconds_to_know(tested, 2, 120) < 120);

    SECTION("the load of a region is the sum over its data centres for those inside and outside")
    {
        tested.run(60s);
        // 40 VMs, each with 80 slots of the pool as its share.
        for (const vm_name& holder : {vm_name{"entry-1000"}, vm_name{"entry-1059"}}) {
            const auto loads = tested.tables().at(holder).loads(region_name{"region-0"}, tested.now());
            REQUIRE(loads.contains(pool_name{"drafting-0"}));
            CHECK(loads.at(pool_name{"drafting-0"}).load.slots == 40 * 80);
        }
    }
    SECTION("a restarted VM replaces its predecessor everywhere")
    {
        const vm_name restarted{"entry-1003"};
        tested.start(restarted, 2);
        const auto process = tested.tables().at(restarted).own_stamp().process;
        tested.run(120s);
        for (const auto& [holder, table] : tested.tables()) {
            CHECK(table.applied_versions(tested.now()).at(restarted).process == process);
        }
    }
}

TEST_CASE("traffic of the busiest VM stays below three kilobytes a second as the fleet grows")
{
    for (const std::size_t data_centres : {2, 8, 24}) {
        fleet tested(data_centres, 0, 7);
        tested.run(30s);
        tested.reset_counts();
        set_all(tested, 2);
        tested.run(60s);
        const auto found = tested.measured();
        CHECK(found.busiest < 3'000);
        WARN(data_centres << " data centres: busiest " << found.busiest << " B/s, mean " << found.mean
                          << " B/s, " << found.messages << " messages/s sent; after 60 s "
                          << tested.known(2));
    }
}

TEST_CASE("measure the size of two years", "[.measure]")
{
    for (const std::size_t data_centres : {12, 24, 48, 97}) {
        fleet tested(data_centres, 0, 7);
        const double cold = seconds_to_know(tested, 1, 900);
        tested.run(60s);
        tested.reset_counts();
        set_all(tested, 2);
        const double warm = seconds_to_know(tested, 2, 600);
        const auto found = tested.measured();
        WARN(data_centres << " data centres: all started at once, 99 in 100 pairs known after " << cold
                          << " s; then a version after " << warm << " s; busiest " << found.busiest
                          << " B/s, mean " << found.mean << " B/s, " << found.messages << " messages/s sent");
    }
}
