#include "cardamomstream/process/start_decision.h"
#include "cardamomstream/process/version_store.h"

#include <cstdlib>
#include <map>
#include <random>

#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace cardamomstream;
using namespace std::chrono_literals;

namespace {

// Read by rapidcheck at its first use; a value set in the environment takes precedence.
const int seeded = setenv("RC_PARAMS", "seed=20261203 max_success=1000", 0);

constexpr std::size_t vm_count = 4;

struct parser {
    using value_type = std::string;

    result<std::string> operator()(const version_document& document) const
    {
        if (document.text.find("bad") != std::string::npos) {
            return error{error_kind::invalid_rules, "bad line", "fix it", {}, {}};
        }
        return document.text;
    }
};

using store = version_store<parser>;

/// Counts the events of the interleavings, so that the property cannot hold merely because too few
/// occurred.
struct coverage {
    std::map<offer_verdict, std::size_t> verdicts;
    std::size_t deltas = 0;
    std::size_t restarts = 0;
    std::size_t stale_service_at_start = 0;
};

class version_simulation {
public:
    version_simulation(std::uint64_t seed, coverage& coverage_seen)
        : m_random(seed)
        , m_coverage(coverage_seen)
    {
        publish();
        for (std::size_t vm = 0; vm < vm_count; ++vm) {
            restart(vm);
        }
    }

    bool run(std::size_t steps)
    {
        for (std::size_t i = 0; i < steps && m_invariants_hold; ++i) {
            m_now += std::chrono::milliseconds{random_below(1'000)};
            step();
        }
        return m_invariants_hold && converges();
    }

private:
    std::size_t random_below(std::size_t bound) { return m_random() % bound; }

    void step()
    {
        const std::size_t vm = random_below(vm_count);
        switch (random_below(10)) {
        case 0:
            publish();
            if (random_below(3) == 0) {
                publish(); // in quick succession
            }
            return;
        case 1:
        case 2:
            return offer(vm, m_published[random_below(m_published.size())]); // stale or flapping service
        case 3:
            return offer(vm, m_published.back());
        case 4:
        case 5: {
            const std::size_t from = random_below(vm_count);
            if (auto update = m_stores[from].update_for(m_stores[vm].current())) {
                m_in_transit.emplace_back(vm, *std::move(update));
            }
            return;
        }
        case 6:
        case 7:
        case 8:
            return deliver();
        default:
            if (random_below(4) == 0) {
                restart(vm);
            }
        }
    }

    void publish()
    {
        std::string text = m_published.empty() ? "a\nb\nc\nd\ne\n" : m_published.back().text;
        text = text.substr(0, text.find("bad"));
        text.insert(text.find('\n', random_below(text.size())) + 1,
                    "rule " + std::to_string(random_below(1'000)) + "\n");
        if (random_below(5) == 0) {
            text += "bad\n";
        }
        // Now and then an operator publishes two texts under one number.
        const version_number last = m_published.empty() ? 0 : m_published.back().number;
        m_published.push_back({last + (random_below(12) == 0 && last > 0 ? 0 : 1), text});
    }

    void deliver()
    {
        if (m_in_transit.empty()) {
            return;
        }
        const std::size_t index = random_below(m_in_transit.size());
        const auto [vm, update] = m_in_transit[index];
        if (random_below(4) != 0) { // otherwise it is delivered again
            m_in_transit.erase(m_in_transit.begin() + static_cast<std::ptrdiff_t>(index));
        }
        m_coverage.deltas += update.index() == 0 ? 1 : 0;
        offer(vm, update);
    }

    template <class Offered>
    void offer(std::size_t vm, const Offered& offered)
    {
        const auto before = m_stores[vm].current();
        const auto verdict = m_stores[vm].offer(offered, m_now).verdict;
        ++m_coverage.verdicts[verdict];
        const auto after = m_stores[vm].current();
        m_invariants_hold = m_invariants_hold && !(after < before) &&
                            (verdict == offer_verdict::accepted) == (after != before);
        check(vm);
        if constexpr (std::is_same_v<Offered, version_document>) {
            const version_id id{offered.number, digest_text(offered.text)};
            const bool accepted =
                verdict == offer_verdict::accepted || verdict == offer_verdict::already_held;
            if (accepted || verdict == offer_verdict::refused) {
                m_invariants_hold =
                    m_invariants_hold && m_verdicts.try_emplace(id, accepted).first->second == accepted;
            }
        }
    }

    /// Text, value and digest match, and the text is valid.
    void check(std::size_t vm)
    {
        const auto& held = m_stores[vm];
        if (held.current()) {
            m_invariants_hold = m_invariants_hold && held.current()->digest == digest_text(held.text()) &&
                                *held.value() == held.text() && held.text().find("bad") == std::string::npos;
        }
    }

    void restart(std::size_t vm)
    {
        ++m_coverage.restarts;
        m_stores[vm] = store({}, {4, 1'000, 4, 1'000'000});
        std::erase_if(m_in_transit, [vm](const auto& sent) { return sent.first == vm; });
        std::vector<vm_name> peers;
        for (std::size_t peer = 0; peer < vm_count; ++peer) {
            if (peer != vm) {
                peers.emplace_back(std::to_string(peer));
            }
        }
        start_decision starting({}, peers, m_now);
        const auto& served = m_published[random_below(m_published.size())];
        const version_id service{served.number, digest_text(served.text)};
        const bool service_up = random_below(3) != 0;
        service_up ? starting.service_answered(service) : starting.service_failed();
        std::optional<version_id> highest_peer;
        for (const auto& peer : peers) {
            const auto id = m_stores[std::stoul(peer.str())].current();
            starting.peer_answered(peer, id);
            highest_peer = std::max(highest_peer, id);
        }
        m_coverage.stale_service_at_start += service_up && service < highest_peer ? 1 : 0;
        start(vm, starting, served);
        // It serves no version older than any peer's.
        m_invariants_hold = m_invariants_hold && !(m_stores[vm].current() < highest_peer);
    }

    void start(std::size_t vm, start_decision& starting, const version_document& served)
    {
        for (;;) {
            const auto step = starting.next(m_stores[vm].current(), m_now);
            if (const auto* peer = std::get_if<take_from_peer>(&step)) {
                offer(vm, *m_stores[std::stoul(peer->vm.str())].update_for(std::nullopt));
            }
            else if (const auto* service = std::get_if<take_from_service>(&step)) {
                offer(vm, served);
                if (m_stores[vm].current() != service->id) {
                    starting.mark_unusable(service->id);
                }
            }
            else {
                return;
            }
        }
    }

    /// Once the service answers and peers exchange versions, all hold the highest valid version.
    bool converges()
    {
        offer(0, m_published.back());
        for (std::size_t round = 0; round < vm_count; ++round) {
            for (std::size_t from = 0; from < vm_count; ++from) {
                for (std::size_t vm = 0; vm < vm_count; ++vm) {
                    if (const auto update = m_stores[from].update_for(m_stores[vm].current())) {
                        offer(vm, *update);
                    }
                }
            }
        }
        for (std::size_t vm = 1; vm < vm_count; ++vm) {
            m_invariants_hold = m_invariants_hold && m_stores[vm].current() == m_stores[0].current();
        }
        const auto& last = m_published.back();
        const version_id published{last.number, digest_text(last.text)};
        const bool is_good = last.text.find("bad") == std::string::npos;
        return m_invariants_hold && (!is_good || !(m_stores[0].current() < published));
    }

    std::mt19937_64 m_random;
    coverage& m_coverage;
    bool m_invariants_hold = true;
    time_point m_now;
    std::vector<version_document> m_published;
    std::vector<store> m_stores{vm_count, store({}, {})};
    std::vector<std::pair<std::size_t, version_update>> m_in_transit;
    std::map<version_id, bool> m_verdicts;
};

} // namespace

TEST_CASE("versions never go back and every VM converges to the same one in any interleaving")
{
    coverage coverage_seen;
    CHECK(rc::check([&coverage_seen] {
        const auto seed =
            *rc::gen::resize(rc::kNominalSize, rc::gen::noShrink(rc::gen::arbitrary<std::uint64_t>()));
        return version_simulation(seed, coverage_seen).run(*rc::gen::inRange<std::size_t>(10, 1'000));
    }));
    CHECK(coverage_seen.deltas > 100);
    CHECK(coverage_seen.restarts > 100);
    CHECK(coverage_seen.stale_service_at_start > 100);
    for (const auto verdict : {offer_verdict::accepted, offer_verdict::already_held, offer_verdict::stale,
                               offer_verdict::refused, offer_verdict::base_not_held}) {
        CHECK(coverage_seen.verdicts[verdict] > 100);
    }
    WARN("accepted " << coverage_seen.verdicts[offer_verdict::accepted] << ", stale "
                     << coverage_seen.verdicts[offer_verdict::stale] << ", refused "
                     << coverage_seen.verdicts[offer_verdict::refused] << ", deltas " << coverage_seen.deltas
                     << ", restarts " << coverage_seen.restarts << ", stale service at start "
                     << coverage_seen.stale_service_at_start);
}

TEST_CASE("applying the diff of any two texts gives the new text")
{
    CHECK(rc::check([] {
        const auto text = [] {
            std::string value;
            for (const auto line : *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 8))) {
                value += "line " + std::to_string(line) + (line == 7 ? "" : "\n");
            }
            return value;
        };
        const auto before = text();
        const auto after = text();
        return apply_edits(before, diff_lines(before, after)).value() == after;
    }));
}
