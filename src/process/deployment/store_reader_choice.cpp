#include "cardamomstream/process/deployment/store_reader_choice.h"

#include "cardamomstream/process/rendezvous.h"

#include <map>

namespace cardamomstream {

namespace {

constexpr const char* rank_key = "store";

/// From one VM's turn to the next: a call of the store and a report.
constexpr std::chrono::milliseconds turn{300};

/// A VM whose turn began tries for so many turns; as many VMs try at a time.
constexpr std::int64_t turns_of_trial = 4;

} // namespace

bool store_reader_choice::should_read(const endpoint& self, bool answered, const known_vms& neighbours,
                                      time_point now)
{
    const vm_name own(self.str());
    std::map<vm_name, const vm_report*> by_name;
    std::vector<vm_name> names{own};
    for (const auto& vm : neighbours) {
        if (!vm->report.leaving) {
            names.emplace_back(vm->report.inner.str());
            by_name.emplace(names.back(), &vm->report);
        }
    }
    std::int64_t before = 0;
    const auto ranked = rank_by_rendezvous(rank_key, std::move(names));
    for (auto name = ranked.begin(); *name != own; ++name) {
        const auto& other = *by_name.at(*name);
        if (other.reads_store && !other.store_failing) {
            m_without_since.reset();
            return false;
        }
        before += 1;
    }
    if (!m_without_since) {
        m_without_since = now;
    }
    const auto turns = (now - *m_without_since) / turn;
    const auto round = static_cast<std::int64_t>(ranked.size()) + turns_of_trial;
    const auto at = turns % round;
    return answered || (before <= at && at < before + turns_of_trial);
}

} // namespace cardamomstream
