#include "cardamomstream/process/deployment/store_reader_choice.h"

#include <algorithm>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include <catch2/catch.hpp>

using namespace cardamomstream;
using namespace std::chrono_literals;

namespace {

/// The VMs of one data centre, which receive each other's state 200 ms late, and a store that rejects some
/// of them.
class virtual_data_centre {
public:
    explicit virtual_data_centre(std::size_t vms)
        : m_vms(vms)
    {
        for (std::size_t index = 0; index < vms; ++index) {
            m_vms[index].inner = {
                "10.0." + std::to_string(index / 200) + "." + std::to_string(index % 200 + 1), 7'000};
        }
    }

    void run(std::chrono::milliseconds time)
    {
        for (const auto end = m_now + time; m_now < end; m_now += step) {
            const auto known_reports = reports();
            std::size_t concurrent_calls = 0;
            for (auto& one : m_vms) {
                if (one.down) {
                    continue;
                }
                auto neighbours = known_reports;
                std::erase_if(neighbours,
                              [&](const auto& other) { return other->report.inner == one.inner; });
                const bool starts_reading = !std::exchange(
                    one.reads, one.choice.should_read(one.inner, one.capacity, one.reads && one.answered,
                                                      neighbours, m_now));
                if (one.reads && (starts_reading || one.rejected)) {
                    m_calls += 1;
                    concurrent_calls += 1;
                    one.answered = !one.rejected;
                    one.failed_at = one.rejected ? m_now : one.failed_at;
                }
            }
            m_max_concurrent_calls = std::max(m_max_concurrent_calls, concurrent_calls);
        }
    }

    std::vector<std::size_t> readers() const
    {
        std::vector<std::size_t> all;
        for (std::size_t index = 0; index < m_vms.size(); ++index) {
            if (!m_vms[index].down && m_vms[index].reads && m_vms[index].answered) {
                all.push_back(index);
            }
        }
        return all;
    }

    /// The largest number of VMs that called the store in one step; resets it.
    std::size_t take_max_concurrent_calls() { return std::exchange(m_max_concurrent_calls, 0); }
    std::size_t take_calls() { return std::exchange(m_calls, 0); }
    void set_down(std::size_t index, bool down)
    {
        m_vms[index].down = down;
        m_vms[index].reads = false;
        m_vms[index].choice = {}; // a restarted process has no state
        m_vms[index].down_since = m_now;
    }
    void set_rejected(std::size_t index, bool rejected) { m_vms[index].rejected = rejected; }
    void leave(std::size_t index) { m_vms[index].leaving = true; }
    void set_large(std::size_t index) { m_vms[index].capacity = large; }
    /// The VM runs a version that ranks all VMs alike.
    void set_earlier_version(std::size_t index) { m_vms[index].ranks_by_capacity = false; }

private:
    static constexpr auto step = 200ms;
    static constexpr auto outage_memory = 2'500ms;
    static constexpr std::uint32_t small = 1'000;
    static constexpr std::uint32_t large = 10'000;

    struct vm {
        endpoint inner;
        store_reader_choice choice;
        bool reads = false;
        bool answered = false;
        bool down = false;
        bool rejected = false;
        bool leaving = false;
        std::uint32_t capacity = small;
        bool ranks_by_capacity = true;
        time_point failed_at;
        time_point down_since;
    };

    known_vms reports() const
    {
        known_vms all;
        for (const auto& one : m_vms) {
            if (one.down && m_now - one.down_since >= vm_alive_timeout) {
                continue;
            }
            known_vm known;
            known.report.vm = vm_name(one.inner.str());
            known.report.inner = one.inner;
            known.report.leaving = one.leaving;
            known.report.capacity = one.capacity;
            known.report.ranks_readers_by_capacity = one.ranks_by_capacity;
            known.report.reads_store = one.reads && one.answered;
            known.report.store_failing = m_now - one.failed_at < outage_memory;
            all.push_back(std::make_shared<const known_vm>(std::move(known)));
        }
        return all;
    }

    std::vector<vm> m_vms;
    time_point m_now{1'000s};
    std::size_t m_calls = 0;
    std::size_t m_max_concurrent_calls = 0;
};

} // namespace

TEST_CASE("one VM of a data centre reads the store for all of them")
{
    const auto vms = GENERATE(std::size_t{2}, std::size_t{10}, std::size_t{50}, std::size_t{160});
    CAPTURE(vms);
    virtual_data_centre data_centre(vms);
    data_centre.run(2s);
    REQUIRE(data_centre.readers().size() == 1);
    const auto first = data_centre.readers().front();
    data_centre.take_calls();
    data_centre.run(20s);
    CHECK(data_centre.readers() == std::vector<std::size_t>{first});
    CHECK(data_centre.take_calls() == 0);

    SECTION("it stops without notice: another one reads within three seconds")
    {
        data_centre.set_down(first, true);
        data_centre.run(3s);
        REQUIRE(data_centre.readers().size() == 1);
        CHECK(data_centre.take_calls() == 1);
        SECTION("and stops reading when the first one is back")
        {
            data_centre.set_down(first, false);
            data_centre.run(2s);
            CHECK(data_centre.readers() == std::vector<std::size_t>{first});
        }
    }
    SECTION("it is leaving: another one starts to read at once")
    {
        data_centre.leave(first);
        data_centre.run(1s);
        const auto readers = data_centre.readers();
        CHECK(std::count_if(readers.begin(), readers.end(), [&](auto index) { return index != first; }) == 1);
    }
    SECTION("the store rejects it: another one reads within two seconds")
    {
        data_centre.set_rejected(first, true);
        data_centre.set_down(first, true);
        data_centre.set_down(first, false);
        data_centre.run(2s);
        const auto readers = data_centre.readers();
        CHECK(std::count_if(readers.begin(), readers.end(), [&](auto index) { return index != first; }) == 1);
    }
    SECTION("the store is down: few VMs call it, and one reads soon after it is back")
    {
        for (std::size_t index = 0; index < vms; ++index) {
            data_centre.set_rejected(index, true);
        }
        data_centre.set_down(first, true);
        data_centre.set_down(first, false);
        data_centre.run(2s);
        data_centre.take_max_concurrent_calls();
        data_centre.run(20s);
        // Four in turn, and two more because the VMs notice the outage up to two turns apart.
        CHECK(data_centre.take_max_concurrent_calls() <= 6);
        for (std::size_t index = 0; index < vms; ++index) {
            data_centre.set_rejected(index, false);
        }
        data_centre.run(4s);
        CHECK(data_centre.readers().size() == 1);
    }
}

// A reader on a link of 10 Mbit/s sent 2 MB of changes to its data centre in one second.
TEST_CASE("a VM on a larger machine reads the store")
{
    constexpr std::size_t vms = 12;
    virtual_data_centre data_centre(vms);
    data_centre.run(2s);
    REQUIRE(data_centre.readers().size() == 1);
    const auto first = data_centre.readers().front();
    const auto large = (first + 1) % vms;
    const auto other_large = (first + 2) % vms;
    data_centre.set_large(large);
    data_centre.set_large(other_large);

    SECTION("and another one of these when it stops")
    {
        data_centre.run(3s);
        REQUIRE(data_centre.readers().size() == 1);
        const auto reader = data_centre.readers().front();
        CHECK((reader == large || reader == other_large));
        data_centre.set_down(reader, true);
        data_centre.run(3s);
        CHECK(data_centre.readers() == std::vector<std::size_t>{reader == large ? other_large : large});

        SECTION("and one on a small machine when all of these have stopped")
        {
            data_centre.set_down(reader == large ? other_large : large, true);
            data_centre.run(3s);
            CHECK(data_centre.readers() == std::vector<std::size_t>{first});
        }
    }
    SECTION("only when no VM of an earlier version, which ranks all alike, is there")
    {
        data_centre.set_earlier_version((first + 3) % vms);
        data_centre.run(10s);
        CHECK(data_centre.readers() == std::vector<std::size_t>{first});
        data_centre.set_down((first + 3) % vms, true);
        data_centre.run(4s);
        REQUIRE(data_centre.readers().size() == 1);
        CHECK(data_centre.readers().front() != first);
    }
}

TEST_CASE("the order of two VMs that may read the store doesn't depend on the others that each knows")
{
    const auto vm = [](std::uint32_t number, std::uint32_t capacity, bool reads) {
        known_vm known;
        known.report.inner = {"10.0.0." + std::to_string(number), 7'000};
        known.report.vm = vm_name(known.report.inner.str());
        known.report.capacity = capacity;
        known.report.ranks_readers_by_capacity = true;
        known.report.reads_store = reads;
        return std::make_shared<const known_vm>(std::move(known));
    };
    // Of two VMs that read, one goes on, whether or not one of them knows a third one on a larger machine.
    for (std::uint32_t number = 2; number < 40; ++number) {
        const auto one = vm(1, 60, true);
        const auto other = vm(number, 40, true);
        const auto largest = vm(100, 100, false);
        store_reader_choice choice_of_one;
        store_reader_choice choice_of_other;
        const time_point now{1'000s};
        CHECK((choice_of_one.should_read(one->report.inner, 60, true, {other}, now) ||
               choice_of_other.should_read(other->report.inner, 40, true, {one, largest}, now)));
        CHECK((choice_of_one.should_read(one->report.inner, 60, true, {other, largest}, now) ||
               choice_of_other.should_read(other->report.inner, 40, true, {one}, now)));
    }
}
