#include "cardamomstream/version/name_text.h"

#include <algorithm>
#include <numeric>

namespace cardamomstream {
namespace {

bool is_name_character(char character) noexcept
{
    const bool is_letter = (character >= 'a' && character <= 'z') || (character >= 'A' && character <= 'Z');
    const bool is_digit = character >= '0' && character <= '9';
    return is_letter || is_digit || std::string_view{"._-/:"}.find(character) != std::string_view::npos;
}

} // namespace

bool is_valid_name(std::string_view text) noexcept
{
    return !text.empty() && text.size() <= max_name_length &&
           std::all_of(text.begin(), text.end(), is_name_character);
}

std::size_t edit_distance(std::string_view from, std::string_view to)
{
    std::vector<std::size_t> row(to.size() + 1);
    std::iota(row.begin(), row.end(), std::size_t{0});
    for (std::size_t i = 0; i < from.size(); ++i) {
        std::size_t diagonal = row[0];
        row[0] = i + 1;
        for (std::size_t j = 0; j < to.size(); ++j) {
            const std::size_t replaced = diagonal + (from[i] == to[j] ? 0 : 1);
            diagonal = row[j + 1];
            row[j + 1] = std::min({row[j] + 1, row[j + 1] + 1, replaced});
        }
    }
    return row.back();
}

std::string suggest_name(std::string_view unknown, const std::vector<std::string>& known)
{
    if (known.empty()) {
        return "none is defined";
    }
    // A long text cannot be a slip of a name, and the distance costs the product of both lengths.
    if (unknown.size() <= max_name_length) {
        const auto nearest =
            std::min_element(known.begin(), known.end(), [&](const auto& left, const auto& right) {
                return edit_distance(unknown, left) < edit_distance(unknown, right);
            });
        if (2 * edit_distance(unknown, *nearest) <= std::max(unknown.size(), nearest->size())) {
            return "did you mean \"" + *nearest + "\"?";
        }
    }
    std::string text = "known are";
    for (const auto& candidate : known) {
        text += " \"" + candidate + "\"";
    }
    return text;
}

} // namespace cardamomstream
