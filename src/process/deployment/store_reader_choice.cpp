#include "cardamomstream/process/deployment/store_reader_choice.h"

#include "cardamomstream/process/rendezvous.h"

#include <algorithm>
#include <bit>
#include <map>

namespace cardamomstream {

namespace {

constexpr const char* rank_key = "store";

/// Time from one VM's turn to the next, enough for one store call and one report.
constexpr std::chrono::milliseconds turn_interval{300};

/// Turns for which a VM tries to read, and so the number of VMs that try at the same time.
constexpr std::int64_t turns_per_trial = 4;

} // namespace

bool store_reader_choice::should_read(const endpoint& self, std::uint32_t capacity, bool answered,
                                      const known_vms& neighbours, time_point now)
{
    const vm_name own(self.str());
    std::map<vm_name, const vm_report*> by_name;
    std::vector<vm_name> names{own};
    // VMs that rank each other differently would stop reading for each other.
    bool by_capacity = true;
    for (const auto& vm : neighbours) {
        if (!vm->report.leaving) {
            names.emplace_back(vm->report.inner.str());
            by_name.emplace(names.back(), &vm->report);
            by_capacity = by_capacity && vm->report.ranks_readers_by_capacity;
        }
    }
    std::int64_t rank = 0;
    auto ranked = rank_by_rendezvous(rank_key, std::move(names));
    if (by_capacity) {
        // By class, so that the order of two VMs doesn't depend on which others a VM knows.
        const auto class_of = [&](const vm_name& name) {
            return std::bit_width(name == own ? capacity : by_name.at(name)->capacity);
        };
        std::stable_sort(ranked.begin(), ranked.end(), [&](const vm_name& one, const vm_name& other) {
            return class_of(one) > class_of(other);
        });
    }
    for (auto name = ranked.begin(); *name != own; ++name) {
        const auto& other = *by_name.at(*name);
        if (other.reads_store && !other.store_failing) {
            m_no_better_reader_since.reset();
            return false;
        }
        rank += 1;
    }
    if (!m_no_better_reader_since) {
        m_no_better_reader_since = now;
    }
    const auto turns_passed = (now - *m_no_better_reader_since) / turn_interval;
    const auto turns_per_round = static_cast<std::int64_t>(ranked.size()) + turns_per_trial;
    const auto turn_in_round = turns_passed % turns_per_round;
    return answered || (rank <= turn_in_round && turn_in_round < rank + turns_per_trial);
}

} // namespace cardamomstream
