// Collects findings and parses documents with recovery from syntax errors.
#include <algorithm>
#include <fstream>
#include <sstream>
#include <tuple>
#include <utility>

#include "settings/key_scanner.hpp"
#include "settings/table_reader.hpp"

namespace hemlockdeal
{

namespace
{

// Limits the parsing time: the whole document is parsed again after each syntax
// error.
constexpr int max_syntax_findings = 20;

// The parser nests a table for each part of a key and frees them recursively,
// which overflows the stack beyond some ten thousand parts.
constexpr std::size_t max_key_dots = 256;

struct line_bounds
{
    std::size_t begin = 0;
    std::size_t end = 0;
};

line_bounds find_line(const std::string& text, std::uint32_t line)
{
    line_bounds bounds;
    for (std::uint32_t i = 1; i < line; ++i)
    {
        const auto newline = text.find('\n', bounds.begin);
        if (newline == std::string::npos)
        {
            break;
        }
        bounds.begin = newline + 1;
    }
    bounds.end = std::min(text.find('\n', bounds.begin), text.size());
    return bounds;
}

bool is_table_header(const std::string& text, const line_bounds& line)
{
    const auto first = text.find_first_not_of(" \t", line.begin);
    return first < line.end && text[first] == '[';
}

// Overwrites a line with spaces. For an invalid table header, the lines of its
// table are overwritten too; otherwise their keys would be assigned to the
// preceding table. Returns whether the text changed.
bool blank_line(std::string& text, std::uint32_t number)
{
    line_bounds line = find_line(text, number);
    const bool is_table_start = is_table_header(text, line);
    bool changed = false;
    do
    {
        const auto begin =
            text.begin() + static_cast<std::ptrdiff_t>(line.begin);
        const auto end = text.begin() + static_cast<std::ptrdiff_t>(line.end);
        changed =
            changed || std::any_of(begin, end, [](char c) { return c != ' '; });
        std::fill(begin, end, ' ');
        ++number;
        if (line.end >= text.size())
        {
            break;
        }
        line.begin = line.end + 1;
        line.end = std::min(text.find('\n', line.begin), text.size());
    } while (is_table_start && !is_table_header(text, line));
    return changed;
}

// Replaces each non-ASCII character with U+FFFD, which preserves columns.
// toml++ 3.3 has undefined behaviour when it tests whether a character from
// U+00A1 to U+0499 is white space. Such characters are valid only in comments.
std::string replace_non_ascii(std::string_view text)
{
    constexpr std::string_view byte_order_mark = "\xef\xbb\xbf";
    const auto is_continuation = [](char c) {
        return (static_cast<unsigned char>(c) & 0xc0U) == 0x80;
    };
    if (text.starts_with(byte_order_mark))
    {
        text.remove_prefix(byte_order_mark.size());
    }
    std::string out;
    out.reserve(text.size());
    while (!text.empty())
    {
        const bool is_non_ascii =
            static_cast<unsigned char>(text.front()) >= 0x80;
        out +=
            is_non_ascii ? std::string_view("\xef\xbf\xbd") : text.substr(0, 1);
        text.remove_prefix(1);
        while (is_non_ascii && !text.empty() && is_continuation(text.front()))
        {
            text.remove_prefix(1);
        }
    }
    return out;
}

} // namespace

void finding_list::add(const toml::source_position& position,
                       std::string message)
{
    // A document, or a table without a position, is reported at line 1.
    const auto line = std::max<std::uint32_t>(position.line, 1);
    const auto column = std::max<std::uint32_t>(position.column, 1);
    findings_.push_back({{file_, line, column}, std::move(message)});
}

void finding_list::add_missing(const toml::source_position& position,
                               std::string message)
{
    if (!incomplete_)
    {
        add(position, std::move(message));
    }
}

findings finding_list::take()
{
    std::ranges::stable_sort(findings_, {}, [](const finding& f) {
        return std::tuple(f.place.line, f.place.column);
    });
    return std::exchange(findings_, {});
}

toml::table parse_document(std::string_view text, finding_list& found)
{
    std::string remaining = replace_non_ascii(text);
    for (int i = 0; i < max_syntax_findings; ++i)
    {
        if (const auto line =
                key_scanner(remaining).find_overlong_key(max_key_dots))
        {
            found.add({line, 1},
                      "syntax error: a key with more than " +
                          std::to_string(max_key_dots) +
                          " dots, including those of the keys around it");
            found.set_incomplete();
            if (!blank_line(remaining, line))
            {
                break;
            }
            continue;
        }
        toml::parse_result parsed = toml::parse(std::string_view(remaining));
        if (parsed)
        {
            return std::move(parsed).table();
        }
        const toml::parse_error& error = parsed.error();
        const toml::source_position position = error.source().begin;
        found.add(position,
                  "syntax error: " + std::string(error.description()));
        found.set_incomplete();
        if (!blank_line(remaining, std::max<std::uint32_t>(position.line, 1)))
        {
            break;
        }
    }
    return {};
}

std::optional<std::string> read_file(const std::string& path,
                                     finding_list& found)
{
    std::ifstream stream(path, std::ios::binary);
    std::ostringstream content;
    // An empty file sets the fail bit of `content`; that is not an error.
    if (!stream || !(content << stream.rdbuf(), stream) || stream.bad())
    {
        found.add({}, "the file cannot be read");
        return std::nullopt;
    }
    return std::move(content).str();
}

} // namespace hemlockdeal
