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

/// The VMs of one data centre, which hear each other's state 200 ms late, and a store that answers some.
class virtual_data_centre {
public:
    explicit virtual_data_centre(std::size_t vms)
        : m_vms(vms)
    {
        for (std::size_t at = 0; at < vms; ++at) {
            m_vms[at].inner = {"10.0." + std::to_string(at / 200) + "." + std::to_string(at % 200 + 1),
                               7'000};
        }
    }

    void run(std::chrono::milliseconds time)
    {
        for (const auto end = m_now + time; m_now < end; m_now += step) {
            const auto heard = reports();
            std::size_t asking = 0;
            for (auto& one : m_vms) {
                if (one.down) {
                    continue;
                }
                auto neighbours = heard;
                std::erase_if(neighbours,
                              [&](const auto& other) { return other->report.inner == one.inner; });
                const bool begins =
                    !std::exchange(one.reads, one.choice.should_read(one.inner, one.reads && one.answered,
                                                                     neighbours, m_now));
                if (one.reads && (begins || one.turned_away)) {
                    m_calls += 1;
                    asking += 1;
                    one.answered = !one.turned_away;
                    one.failed_at = one.turned_away ? m_now : one.failed_at;
                }
            }
            m_most_asking = std::max(m_most_asking, asking);
        }
    }

    std::vector<std::size_t> readers() const
    {
        std::vector<std::size_t> all;
        for (std::size_t at = 0; at < m_vms.size(); ++at) {
            if (!m_vms[at].down && m_vms[at].reads && m_vms[at].answered) {
                all.push_back(at);
            }
        }
        return all;
    }

    /// Most VMs that asked the store at one moment.
    std::size_t take_most_asking() { return std::exchange(m_most_asking, 0); }
    std::size_t take_calls() { return std::exchange(m_calls, 0); }
    void set_down(std::size_t at, bool down)
    {
        m_vms[at].down = down;
        m_vms[at].reads = false;
        m_vms[at].choice = {}; // a process that starts anew knows nothing
        m_vms[at].down_since = m_now;
    }
    void turn_away(std::size_t at, bool away) { m_vms[at].turned_away = away; }
    void leave(std::size_t at) { m_vms[at].leaving = true; }

private:
    static constexpr auto step = 200ms;
    static constexpr auto outage_memory = 2'500ms;

    struct vm {
        endpoint inner;
        store_reader_choice choice;
        bool reads = false;
        bool answered = false;
        bool down = false;
        bool turned_away = false;
        bool leaving = false;
        time_point failed_at;
        time_point down_since;
    };

    known_vms reports() const
    {
        known_vms all;
        for (const auto& one : m_vms) {
            if (one.down && m_now - one.down_since >= vm_alive_limit) {
                continue;
            }
            known_vm known;
            known.report.vm = vm_name(one.inner.str());
            known.report.inner = one.inner;
            known.report.leaving = one.leaving;
            known.report.reads_store = one.reads && one.answered;
            known.report.store_failing = m_now - one.failed_at < outage_memory;
            all.push_back(std::make_shared<const known_vm>(std::move(known)));
        }
        return all;
    }

    std::vector<vm> m_vms;
    time_point m_now{1'000s};
    std::size_t m_calls = 0;
    std::size_t m_most_asking = 0;
};

} // namespace

TEST_CASE("one VM of a data centre reads the store for all")
{
    const auto vms = GENERATE(std::size_t{2}, std::size_t{10}, std::size_t{50}, std::size_t{160});
    CAPTURE(vms);
    virtual_data_centre place(vms);
    place.run(2s);
    REQUIRE(place.readers().size() == 1);
    const auto first = place.readers().front();
    place.take_calls();
    place.run(20s);
    CHECK(place.readers() == std::vector<std::size_t>{first});
    CHECK(place.take_calls() == 0);

    SECTION("it ends without a word: another one has begun within three seconds")
    {
        place.set_down(first, true);
        place.run(3s);
        REQUIRE(place.readers().size() == 1);
        CHECK(place.take_calls() == 1);
        SECTION("and yields to it when it is back")
        {
            place.set_down(first, false);
            place.run(2s);
            CHECK(place.readers() == std::vector<std::size_t>{first});
        }
    }
    SECTION("it leaves: another one begins at once")
    {
        place.leave(first);
        place.run(1s);
        const auto readers = place.readers();
        CHECK(std::count_if(readers.begin(), readers.end(), [&](auto at) { return at != first; }) == 1);
    }
    SECTION("the store turns it away: another one begins within two seconds")
    {
        place.turn_away(first, true);
        place.set_down(first, true);
        place.set_down(first, false);
        place.run(2s);
        const auto readers = place.readers();
        CHECK(std::count_if(readers.begin(), readers.end(), [&](auto at) { return at != first; }) == 1);
    }
    SECTION("the store is away: few VMs ask, and one reads soon after its return")
    {
        for (std::size_t at = 0; at < vms; ++at) {
            place.turn_away(at, true);
        }
        place.set_down(first, true);
        place.set_down(first, false);
        place.run(2s);
        place.take_most_asking();
        place.run(20s);
        // Four in turn, and two more since the VMs notice the outage up to two turns apart.
        CHECK(place.take_most_asking() <= 6);
        for (std::size_t at = 0; at < vms; ++at) {
            place.turn_away(at, false);
        }
        place.run(4s);
        CHECK(place.readers().size() == 1);
    }
}
