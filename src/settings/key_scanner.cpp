// Scans TOML for keys without building a document.
#include "settings/key_scanner.hpp"

#include <algorithm>
#include <string>

namespace hemlockdeal
{

std::uint32_t key_scanner::find_overlong_key(std::size_t max_dots)
{
    while (!is_at_end())
    {
        if (skip_comment() || skip_string())
        {
            continue;
        }
        count(text_[position_]);
        if (dots_ + open_dots_ > max_dots)
        {
            return line_;
        }
        advance();
    }
    return 0;
}

void key_scanner::count(char c)
{
    constexpr std::string_view delimiters = "=,[]{}\n";
    if (c == '.')
    {
        ++dots_;
        return;
    }
    if (delimiters.find(c) == std::string_view::npos)
    {
        return;
    }
    if (c == '[' || c == '{')
    {
        open_values_.push_back(key_dots_);
        open_dots_ += key_dots_;
    }
    if ((c == ']' || c == '}') && !open_values_.empty())
    {
        open_dots_ -= open_values_.back();
        open_values_.pop_back();
    }
    key_dots_ = c == '=' ? dots_ : 0;
    dots_ = 0;
}

bool key_scanner::skip_comment()
{
    if (!is_at("#"))
    {
        return false;
    }
    position_ = std::min(text_.find('\n', position_), text_.size());
    return true;
}

bool key_scanner::skip_string()
{
    for (const char quote : {'"', '\''})
    {
        if (is_at(std::string(3, quote)))
        {
            skip_multi_line_string(quote);
            return true;
        }
        if (is_at(std::string(1, quote)))
        {
            skip_line_string(quote);
            return true;
        }
    }
    return false;
}

void key_scanner::skip_line_string(char quote)
{
    advance();
    // A string without an end is a syntax error in its line.
    while (!is_at_end() && text_[position_] != '\n')
    {
        const char c = text_[position_];
        advance();
        if (c == quote)
        {
            return;
        }
        if (c == '\\' && quote == '"' && !is_at("\n") && !is_at_end())
        {
            advance();
        }
    }
}

void key_scanner::skip_multi_line_string(char quote)
{
    const std::string delimiter(3, quote);
    position_ += delimiter.size();
    while (!is_at_end() && !is_at(delimiter))
    {
        const bool is_escape = quote == '"' && is_at("\\");
        advance();
        if (is_escape && !is_at_end())
        {
            advance();
        }
    }
    position_ = std::min(position_ + delimiter.size(), text_.size());
    // The string may end with up to two quotes of its own, which precede the
    // delimiter: all but the last three of five quotes belong to the string.
    for (int i = 0; i < 2 && is_at(std::string_view(&quote, 1)); ++i)
    {
        advance();
    }
}

void key_scanner::advance()
{
    line_ += text_[position_] == '\n' ? 1 : 0;
    ++position_;
}

} // namespace hemlockdeal
