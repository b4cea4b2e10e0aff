#include "cardamomstream/version/toml_table_reader.h"

#include <algorithm>
#include <charconv>

namespace cardamomstream {

toml_table_reader::toml_table_reader(const toml_value& table, std::string path, error_kind kind,
                                     std::size_t first_line)
    : m_table(&table)
    , m_path(std::move(path))
    , m_kind(kind)
    , m_first_line(first_line)
{
}

const toml_value* toml_table_reader::find(std::string_view key)
{
    m_known_keys.emplace_back(key);
    if (m_error) {
        return nullptr;
    }
    const auto& fields = m_table->as_table(std::nothrow);
    const auto found = fields.find(std::string{key});
    return found == fields.end() ? nullptr : &found->second;
}

const toml_value* toml_table_reader::find_required(std::string_view key, const std::string& expected)
{
    const toml_value* value = find(key);
    if (value == nullptr) {
        refuse(key, "is missing", "write " + expected);
    }
    return value;
}

void toml_table_reader::refuse(std::string_view key, const std::string& message, std::string remedy)
{
    if (m_error) {
        return;
    }
    const auto& fields = m_table->as_table(std::nothrow);
    const auto found = fields.find(std::string{key});
    const std::size_t line = line_of(found == fields.end() ? *m_table : found->second);
    m_error = toml_error(m_kind, m_first_line + line - 1, path_of(key) + " " + message, std::move(remedy));
}

result<void> toml_table_reader::finish()
{
    for (const auto& [key, value] : m_table->as_table(std::nothrow)) {
        if (std::find(m_known_keys.begin(), m_known_keys.end(), key) == m_known_keys.end()) {
            refuse(key, "is not a known key", suggest_name(key, m_known_keys));
        }
    }
    if (m_error) {
        return *m_error;
    }
    return boost::outcome_v2::success();
}

std::string toml_table_reader::least_text(double least)
{
    std::array<char, 32> buffer{};
    const auto end = std::to_chars(buffer.data(), buffer.data() + buffer.size(), least).ptr;
    return {buffer.data(), end};
}

std::string toml_table_reader::least_text(std::chrono::milliseconds least)
{
    return std::to_string(least.count());
}

void toml_table_reader::check_least(std::string_view key, bool is_less, const std::string& least)
{
    if (is_less) {
        refuse(key, "is too small", "write a number of at least " + least);
    }
}

void toml_table_reader::refuse_value(std::string_view key, const std::string& expected)
{
    refuse(key, "has a value that does not fit", "write " + expected);
}

void toml_table_reader::adopt(result<void> inner)
{
    if (!m_error && !inner) {
        m_error = std::move(inner).error();
    }
}

std::string toml_table_reader::path_of(std::string_view key) const
{
    return m_path.empty() ? std::string{key} : m_path + "." + std::string{key};
}

} // namespace cardamomstream
