// Codec of sets of tasks.
#include "jobs/position_codec.hpp"

#include <algorithm>
#include <charconv>
#include <map>
#include <numeric>
#include <utility>

#include "jobs/job.hpp"

namespace hemlockdeal::jobs
{

namespace
{

namespace json = boost::json;

std::optional<std::uint32_t> index_of(const json::value& value)
{
    json::error_code error;
    const auto index = value.to_number<std::uint32_t>(error);
    return error ? std::nullopt : std::optional(index);
}

// Bit sets in hexadecimal digits: the first digit holds the first four numbers,
// with the lowest one in its lowest bit.
constexpr std::uint32_t numbers_per_digit = 4;
constexpr std::string_view digits = "0123456789abcdef";
constexpr std::size_t max_digits = max_tasks_per_job / numbers_per_digit;

std::string to_digits(const std::vector<std::uint32_t>& numbers)
{
    if (numbers.empty())
    {
        return {};
    }
    std::string out(std::ranges::max(numbers) / numbers_per_digit + 1, '0');
    for (const auto number : numbers)
    {
        auto& digit = out[number / numbers_per_digit];
        const auto value =
            digits.find(digit) | 1U << number % numbers_per_digit;
        digit = digits[value];
    }
    return out;
}

// Empty if the text holds another character than a digit.
std::optional<std::vector<std::uint32_t>> from_digits(std::string_view text)
{
    std::vector<std::uint32_t> out;
    for (std::uint32_t i = 0; i < text.size(); ++i)
    {
        const auto value = digits.find(text[i]);
        if (value == std::string_view::npos)
        {
            return std::nullopt;
        }
        for (std::uint32_t bit = 0; bit < numbers_per_digit; ++bit)
        {
            if ((value & 1U << bit) != 0)
            {
                out.push_back(i * numbers_per_digit + bit);
            }
        }
    }
    return out;
}

// Replaces runs of equal digits by the digit and its count in parentheses.
std::string compress(std::string_view text)
{
    // A shorter run takes no more room than its count.
    constexpr std::size_t min_run = 5;
    std::string out;
    while (!text.empty())
    {
        const auto run =
            std::min(text.find_first_not_of(text.front()), text.size());
        if (run >= min_run)
        {
            out += text.front();
            out += '(' + std::to_string(run) + ')';
        }
        else
        {
            out += text.substr(0, run);
        }
        text.remove_prefix(run);
    }
    return out;
}

// Reads a count in parentheses and removes it from the text. 1 if there is
// none; empty if it is malformed.
std::optional<std::size_t> consume_count(std::string_view& text)
{
    if (!text.starts_with('('))
    {
        return 1;
    }
    std::size_t count = 0;
    const auto* const end = text.data() + text.size();
    const auto read = std::from_chars(text.data() + 1, end, count);
    if (read.ec != std::errc{} || read.ptr == end || *read.ptr != ')' ||
        count == 0)
    {
        return std::nullopt;
    }
    text.remove_prefix(static_cast<std::size_t>(read.ptr - text.data()) + 1);
    return count;
}

// Empty if the text is malformed or longer than the tasks of any job.
std::optional<std::string> expand(std::string_view text)
{
    std::string out;
    while (!text.empty())
    {
        const char digit = text.front();
        text.remove_prefix(1);
        const auto count = consume_count(text);
        if (!count || *count > max_digits - out.size())
        {
            return std::nullopt;
        }
        out.append(*count, digit);
    }
    return out;
}

} // namespace

json::array to_json(const job_progress::task_position& position)
{
    return {position.occurrence, position.step, position.index};
}

std::optional<job_progress::task_position> to_position(const json::array& row)
{
    if (row.size() < 3)
    {
        return std::nullopt;
    }
    const auto occurrence = index_of(row[0]);
    const auto step = index_of(row[1]);
    const auto index = index_of(row[2]);
    if (!occurrence || !step || !index)
    {
        return std::nullopt;
    }
    return job_progress::task_position{*occurrence, *step, *index};
}

json::array encode_by_step(const task_positions& positions)
{
    std::map<std::pair<std::uint32_t, std::uint32_t>,
             std::vector<std::uint32_t>>
        steps;
    for (const auto& position : positions)
    {
        steps[{position.occurrence, position.step}].push_back(position.index);
    }
    json::array out;
    for (const auto& [step, indices] : steps)
    {
        out.push_back(json::array{step.first, step.second, to_digits(indices)});
    }
    return out;
}

bool decode_by_step(const json::array& in, task_positions& positions)
{
    for (const auto& entry : in)
    {
        const auto* const row = entry.if_array();
        const auto* const text = row != nullptr && row->size() == 3
                                     ? (*row)[2].if_string()
                                     : nullptr;
        if (text == nullptr)
        {
            return false;
        }
        const auto occurrence = index_of((*row)[0]);
        const auto step = index_of((*row)[1]);
        const auto indices = from_digits(*text);
        if (!occurrence || !step || !indices)
        {
            return false;
        }
        for (const auto index : *indices)
        {
            positions.push_back({*occurrence, *step, index});
        }
    }
    return true;
}

std::string encode_as_bits(const task_positions& positions,
                           const std::vector<std::uint32_t>& step_sizes)
{
    std::vector<std::uint32_t> first_in_step(step_sizes.size());
    std::exclusive_scan(step_sizes.begin(), step_sizes.end(),
                        first_in_step.begin(), 0U);
    const auto tasks_per_occurrence = first_in_step.back() + step_sizes.back();
    std::vector<std::uint32_t> numbers;
    numbers.reserve(positions.size());
    for (const auto& position : positions)
    {
        numbers.push_back(position.occurrence * tasks_per_occurrence +
                          first_in_step[position.step] + position.index);
    }
    return compress(to_digits(numbers));
}

bool decode_bits(std::string_view text,
                 const std::vector<std::uint32_t>& step_sizes,
                 task_positions& positions)
{
    const auto expanded = expand(text);
    const auto numbers = expanded ? from_digits(*expanded) : std::nullopt;
    if (!numbers)
    {
        return false;
    }
    job_progress::task_position position;
    std::uint32_t step_begin = 0;
    for (const auto number : *numbers)
    {
        while (number - step_begin >= step_sizes[position.step])
        {
            step_begin += step_sizes[position.step];
            if (++position.step == step_sizes.size())
            {
                position.step = 0;
                ++position.occurrence;
            }
        }
        position.index = number - step_begin;
        positions.push_back(position);
    }
    return true;
}

} // namespace hemlockdeal::jobs
