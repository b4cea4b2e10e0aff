#include "cardamomstream/process/deployment/recent_changes.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace cardamomstream {

namespace {

std::size_t bytes_of(const store_changes& changes)
{
    std::size_t bytes = 0;
    for (const auto& item : changes.items) {
        bytes += item.key.size() + item.value.size();
    }
    return bytes;
}

} // namespace

void recent_changes::add(const store_changes& changes, time_point now)
{
    if (!changes.items.empty()) {
        m_entries.push_front({changes, bytes_of(changes), now});
    }
    while (!m_entries.empty() && now - m_entries.back().at > memory) {
        m_entries.pop_back();
    }
}

store_changes recent_changes::repeated(const store_changes& latest, time_point now) const
{
    auto told = latest;
    std::size_t bytes = 0;
    for (const auto& known : m_entries) {
        const auto& changes = known.changes;
        bytes += known.bytes;
        const bool precedes = changes.after < told.after && told.after <= changes.up_to;
        if (now - known.at > memory || bytes > max_bytes || changes.up_to.era != told.up_to.era ||
            !precedes) {
            break;
        }
        auto items = changes.items;
        std::move(told.items.begin(), told.items.end(), std::back_inserter(items));
        told.items = std::move(items);
        told.after = changes.after;
    }
    return told;
}

store_changes listed_keys::replace(store_part part, const store_batch& listing, const store_position& after,
                                   const store_position& known)
{
    store_changes changes{part, after, listing.position, false, {}};
    std::set<std::string> keys;
    for (const auto& item : listing.items) {
        keys.insert(item.key);
        if (item.revision > known.revision) {
            changes.items.push_back(item);
        }
    }
    for (const auto& key : m_keys) {
        if (!keys.contains(key)) {
            changes.items.push_back({key, {}, listing.position.revision, true});
        }
    }
    std::stable_sort(
        changes.items.begin(), changes.items.end(),
        [](const store_item& one, const store_item& other) { return one.revision < other.revision; });
    m_keys = std::move(keys);
    return changes;
}

void listed_keys::apply(const store_changes& changes)
{
    for (const auto& item : changes.items) {
        if (item.removed) {
            m_keys.erase(item.key);
        }
        else {
            m_keys.insert(item.key);
        }
    }
}

} // namespace cardamomstream
