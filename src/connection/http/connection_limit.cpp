#include "cardamomstream/connection/connection_limit.h"

#include <utility>

namespace cardamomstream {

bool connection_limit::close_one(std::size_t thread) const
{
    std::optional<replaceable_connection> first;
    for (const auto& find : m_listeners) {
        auto found = find(thread);
        if (found && (!first || found->began_at < first->began_at)) {
            first = std::move(found);
        }
    }
    if (first) {
        first->close();
    }
    return first.has_value();
}

} // namespace cardamomstream
