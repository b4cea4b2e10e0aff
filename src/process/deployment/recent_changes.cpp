#include "cardamomstream/process/deployment/recent_changes.h"

#include <algorithm>
#include <iterator>
#include <numeric>
#include <utility>

namespace cardamomstream {

namespace {

std::size_t bytes_of(const store_item& item)
{
    return item.key.size() + item.value.size();
}

std::size_t bytes_of(const store_changes& changes)
{
    return std::accumulate(changes.items.begin(), changes.items.end(), std::size_t{0},
                           [](std::size_t sum, const store_item& item) { return sum + bytes_of(item); });
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

std::vector<store_changes> split_changes(const store_changes& changes, std::size_t max_bytes)
{
    std::vector<store_changes> parts;
    auto part = changes;
    part.items.clear();
    std::size_t bytes = 0;
    for (const auto& item : changes.items) {
        const auto more = bytes_of(item);
        if (more > max_bytes) {
            return {};
        }
        if (bytes + more > max_bytes) {
            const auto last = part.items.back().revision;
            part.up_to.revision = std::min(item.revision == last ? last - 1 : last, changes.up_to.revision);
            parts.push_back(part);
            part.after = part.up_to;
            part.items.clear();
            bytes = 0;
        }
        bytes += more;
        part.items.push_back(item);
    }
    part.up_to = changes.up_to;
    parts.push_back(std::move(part));
    return parts;
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
