/// Bounds what one report states.
#pragma once

#include <algorithm>
#include <cstddef>
#include <vector>

namespace cardamomstream {

/// Keeps the `count` statements of the least age, in no particular order.
template <class Statement>
void keep_newest(std::vector<Statement>& statements, std::size_t count)
{
    if (statements.size() <= count) {
        return;
    }
    std::nth_element(statements.begin(), statements.begin() + static_cast<std::ptrdiff_t>(count),
                     statements.end(),
                     [](const Statement& one, const Statement& other) { return one.age < other.age; });
    statements.resize(count);
}

} // namespace cardamomstream
