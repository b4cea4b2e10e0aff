#include "cardamomstream/version/toml_document.h"

#include <charconv>
#include <sstream>

namespace cardamomstream {
namespace {

/// Deepest nesting of tables and lists. The parser recurses, so an unbounded depth would end the process.
constexpr std::size_t max_nesting = 32;

bool is_nested_too_deep(std::string_view text)
{
    std::size_t depth = 0;
    for (const char character : text) {
        if (character == '[' || character == '{') {
            ++depth;
        }
        if ((character == ']' || character == '}') && depth > 0) {
            --depth;
        }
        if (depth > max_nesting) {
            return true;
        }
    }
    return false;
}

/// The parser's message without its prefix and its drawing of the source, which could show a secret.
std::string summary_of(std::string_view message)
{
    message = message.substr(0, message.find('\n'));
    for (const std::string_view prefix : {"[error] ", "toml::"}) {
        if (message.starts_with(prefix)) {
            message.remove_prefix(prefix.size());
        }
    }
    return std::string{message};
}

error syntax_error_of(const toml::syntax_error& failure, error_kind kind, std::size_t first_line)
{
    const std::string message = summary_of(failure.what());
    const bool is_duplicate = message.find("already exists") != std::string::npos;
    return toml_error(kind, first_line + failure.location().line() - 1, message,
                      is_duplicate ? "write each name once" : "write one valid TOML entry on this line");
}

} // namespace

result<toml_value> parse_toml(std::string_view text, error_kind kind, std::size_t first_line)
{
    if (text.size() > max_toml_bytes) {
        return error{kind, "the file is larger than a megabyte", "shorten it", {}, {}};
    }
    if (is_nested_too_deep(text)) {
        return toml_error(kind, first_line, "brackets are nested too deeply", "write tables and lists flat");
    }
    try {
        std::istringstream stream{std::string{text}};
        auto document = toml::parse<toml::preserve_comments, std::map, std::vector>(stream, "file");
        if (document.as_table().empty()) {
            return error{kind, "the file is empty", "write at least the required keys", {}, {}};
        }
        return document;
    }
    catch (const toml::syntax_error& failure) {
        return syntax_error_of(failure, kind, first_line);
    }
    catch (const std::exception& failure) {
        return toml_error(kind, first_line, summary_of(failure.what()), "write valid TOML");
    }
}

std::size_t line_of(const toml_value& value)
{
    return value.location().line();
}

std::optional<double> floating_of(const toml_value& value)
{
    const auto location = value.location();
    if (location.column() > location.line_str().size()) {
        return std::nullopt;
    }
    std::string text = location.line_str().substr(location.column() - 1, location.region());
    std::erase(text, '_');
    const std::size_t start = text.starts_with('+') ? 1 : 0;
    double number = 0;
    const auto [end, failure] = std::from_chars(text.data() + start, text.data() + text.size(), number);
    if (failure != std::errc{} || end != text.data() + text.size()) {
        return std::nullopt;
    }
    return number;
}

error toml_error(error_kind kind, std::size_t line, const std::string& message, std::string remedy)
{
    return error{kind, "line " + std::to_string(line) + ": " + message, std::move(remedy), {}, {}};
}

} // namespace cardamomstream
