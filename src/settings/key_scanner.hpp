// Finds keys with too many parts in a TOML document before it is parsed.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string_view>
#include <vector>

namespace hemlockdeal
{

// Counts the dots of each key as the parser sees them: dots in strings and
// comments count for nothing, and a delimiter in a quoted part ends no key. The
// parser recurses through the parts of all keys around a value, so that the
// dots of the keys of open arrays and inline tables are added.
class key_scanner
{
public:
    explicit key_scanner(std::string_view text) : text_(text) {}

    // Line of the first key with more than `max_dots` dots, including those of
    // the keys around it; 0 if there is none.
    std::uint32_t find_overlong_key(std::size_t max_dots);

private:
    // Takes account of a character outside strings and comments.
    void count(char c);
    // Skips a comment or string that begins here; false if there is none.
    bool skip_comment();
    bool skip_string();
    void skip_line_string(char quote);
    void skip_multi_line_string(char quote);

    bool is_at_end() const { return position_ >= text_.size(); }
    bool is_at(std::string_view token) const
    {
        return text_.substr(position_).starts_with(token);
    }
    // Moves past one character, which may be a line break.
    void advance();

    std::string_view text_;
    std::size_t position_ = 0;
    std::uint32_t line_ = 1;
    // Dots since the last delimiter.
    std::size_t dots_ = 0;
    // Dots of the key whose value begins.
    std::size_t key_dots_ = 0;
    // Dots of the keys of the open arrays and inline tables, and their sum.
    std::vector<std::size_t> open_values_;
    std::size_t open_dots_ = 0;
};

} // namespace hemlockdeal
