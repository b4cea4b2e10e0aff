#include "cardamomstream/process/line_delta.h"

#include <algorithm>
#include <unordered_map>
#include <utility>

#include <openssl/sha.h>

namespace cardamomstream {

namespace {

constexpr std::size_t edit_overhead_bytes = 16;
constexpr std::size_t delta_overhead_bytes = 96;

using lines = std::vector<std::string_view>;
using positions = std::unordered_map<std::string_view, std::size_t>;

/// Splits a text into lines, including their line ends.
lines split_lines(std::string_view text)
{
    lines found;
    while (!text.empty()) {
        const auto end = text.find('\n');
        const std::size_t length = end == std::string_view::npos ? text.size() : end + 1;
        found.push_back(text.substr(0, length));
        text.remove_prefix(length);
    }
    return found;
}

positions last_positions(const lines& from)
{
    positions found;
    for (std::size_t i = 0; i < from.size(); ++i) {
        found[from[i]] = i;
    }
    return found;
}

bool occurs_from(const positions& known, std::string_view line, std::size_t first)
{
    const auto found = known.find(line);
    return found != known.end() && found->second >= first;
}

/// Collects edits and merges adjacent ones.
class edit_list {
public:
    void remove(std::size_t line) { at(line).removed += 1; }
    void add(std::size_t line, std::string_view text) { at(line).added.emplace_back(text); }
    std::vector<line_edit> take() { return std::move(m_edits); }

private:
    line_edit& at(std::size_t line)
    {
        if (m_edits.empty() || m_edits.back().first + m_edits.back().removed != line) {
            m_edits.push_back({static_cast<std::uint32_t>(line), 0, {}});
        }
        return m_edits.back();
    }

    std::vector<line_edit> m_edits;
};

error invalid_edits()
{
    return {
        error_kind::invalid_argument, "the edits do not apply to the text", "request the whole text", {}, {}};
}

} // namespace

document_digest digest_text(std::string_view text)
{
    document_digest digest{};
    SHA256(reinterpret_cast<const unsigned char*>(text.data()), text.size(), digest.data());
    return digest;
}

std::vector<line_edit> diff_lines(std::string_view old_text, std::string_view new_text)
{
    const lines before = split_lines(old_text);
    const lines after = split_lines(new_text);
    const positions in_before = last_positions(before);
    const positions in_after = last_positions(after);
    // Inserting a new line takes precedence over removing one that occurs further on in the new text.
    const auto removes_next_line = [&](std::size_t i, std::size_t j) {
        if (i == before.size() || j == after.size()) {
            return i < before.size();
        }
        return !occurs_from(in_after, before[i], j) || occurs_from(in_before, after[j], i);
    };
    edit_list edits;
    std::size_t i = 0;
    std::size_t j = 0;
    while (i < before.size() || j < after.size()) {
        if (i < before.size() && j < after.size() && before[i] == after[j]) {
            ++i;
            ++j;
        }
        else if (removes_next_line(i, j)) {
            edits.remove(i++);
        }
        else {
            edits.add(i, after[j++]);
        }
    }
    return edits.take();
}

result<std::string> apply_edits(std::string_view old_text, const std::vector<line_edit>& edits)
{
    const lines before = split_lines(old_text);
    std::string text;
    text.reserve(old_text.size());
    std::size_t next = 0;
    for (const auto& edit : edits) {
        const std::size_t end = std::size_t{edit.first} + edit.removed;
        if (edit.first < next || end > before.size()) {
            return invalid_edits();
        }
        for (; next < edit.first; ++next) {
            text += before[next];
        }
        for (const auto& added : edit.added) {
            text += added;
        }
        next = end;
    }
    for (; next < before.size(); ++next) {
        text += before[next];
    }
    return text;
}

std::size_t delta_bytes(const version_delta& value)
{
    std::size_t bytes = delta_overhead_bytes;
    for (const auto& edit : value.edits) {
        bytes += edit_overhead_bytes;
        for (const auto& added : edit.added) {
            bytes += added.size();
        }
    }
    return bytes;
}

} // namespace cardamomstream
