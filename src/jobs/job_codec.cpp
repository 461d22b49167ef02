// Codec of stored jobs: JSON with short member names, because each byte
// written and read is billed. Members with their default value are omitted.
#include "jobs/job.hpp"

#include <algorithm>

#include <boost/json.hpp>

#include "jobs/json_value.hpp"
#include "jobs/quota/account_limits.hpp"

namespace hemlockdeal::jobs
{

namespace
{

namespace json = boost::json;

enum step_flag : std::uint32_t
{
    saves = 1,
    gang = 2,
    same_rack = 4,
    twice = 8,
    long_running = 16,
    fills = 32
};

std::uint32_t flags_of(const step& s)
{
    return (s.saves_progress ? saves : 0U) | (s.is_gang ? gang : 0U) |
           (s.same_rack ? same_rack : 0U) | (s.may_run_twice ? twice : 0U) |
           (s.is_long_running ? long_running : 0U) | (s.fills ? fills : 0U);
}

void put(json::object& into, json::string_view name, const std::string& text)
{
    if (!text.empty())
    {
        into[name] = text;
    }
}

void put(json::object& into, json::string_view name, std::int64_t number)
{
    if (number != 0)
    {
        into[name] = number;
    }
}

json::object to_json(const step& s)
{
    json::object out;
    put(out, "n", s.task_count);
    put(out, "p", s.size.processor_millis);
    put(out, "m", s.size.memory_mb);
    put(out, "g", s.size.accelerators);
    put(out, "e", s.estimate.count());
    put(out, "f", flags_of(s));
    put(out, "l", s.required_label);
    put(out, "r", s.preferred_rack);
    put(out, "i", s.image);
    put(out, "w", s.max_per_worker);
    put(out, "t", s.tail_target.count());
    put(out, "x", s.max_unavailable);
    if (!s.after.empty())
    {
        out["a"] = json::value_from(s.after);
    }
    return out;
}

step to_step(const json::object& in)
{
    step s;
    s.task_count = static_cast<std::uint32_t>(integer_in(in, "n"));
    s.size = {integer_in(in, "p"), integer_in(in, "m"), integer_in(in, "g")};
    s.estimate = duration(integer_in(in, "e"));
    const auto flags = static_cast<std::uint32_t>(integer_in(in, "f"));
    s.saves_progress = (flags & saves) != 0;
    s.is_gang = (flags & gang) != 0;
    s.same_rack = (flags & same_rack) != 0;
    s.may_run_twice = (flags & twice) != 0;
    s.is_long_running = (flags & long_running) != 0;
    s.fills = (flags & fills) != 0;
    s.required_label = text_in(in, "l");
    s.preferred_rack = text_in(in, "r");
    s.image = text_in(in, "i");
    s.max_per_worker = static_cast<std::uint32_t>(integer_in(in, "w"));
    s.tail_target = duration(integer_in(in, "t"));
    s.max_unavailable = static_cast<std::uint32_t>(integer_in(in, "x"));
    for (const auto& predecessor : list_in(in, "a"))
    {
        s.after.push_back(static_cast<std::uint32_t>(integer_of(predecessor)));
    }
    return s;
}

json::object to_json(const queue_policy& t)
{
    json::object out;
    put(out, "q", t.queue);
    put(out, "s", t.service.value());
    put(out, "p", t.priority);
    put(out, "a", t.max_attempts);
    out["x"] = t.stretch;
    put(out, "o", t.slack.count());
    if (t.needs_advice)
    {
        out["d"] = 1;
    }
    json::array regions;
    for (const auto& region : t.regions)
    {
        regions.emplace_back(region.value());
    }
    if (!regions.empty())
    {
        out["r"] = std::move(regions);
    }
    return out;
}

queue_policy to_policy(const json::object& in)
{
    queue_policy t;
    t.queue = text_in(in, "q");
    t.service = service_id(text_in(in, "s"));
    t.priority = static_cast<int>(integer_in(in, "p"));
    t.max_attempts = static_cast<std::uint32_t>(integer_in(in, "a"));
    t.stretch = real_in(in, "x");
    t.slack = duration(integer_in(in, "o"));
    t.needs_advice = integer_in(in, "d") != 0;
    for (const auto& region : list_in(in, "r"))
    {
        if (const auto* const text = region.if_string())
        {
            t.regions.emplace_back(std::string(text->data(), text->size()));
        }
    }
    return t;
}

json::object to_json(const accounts::account_policy& policy)
{
    json::object out;
    out["i"] = policy.id.value();
    put(out, "w", policy.weight);
    put(out, "p", policy.cap.processor_millis);
    put(out, "m", policy.cap.memory_mb);
    put(out, "g", policy.cap.accelerators);
    return out;
}

// Empty if the account has no name.
std::optional<accounts::account_policy> to_account(const json::object& in)
{
    accounts::account_policy policy;
    policy.id = account_id(text_in(in, "i"));
    policy.weight = std::max<std::int64_t>(integer_in(in, "w"), 1);
    policy.cap = {std::max<std::int64_t>(integer_in(in, "p"), 0),
                  std::max<std::int64_t>(integer_in(in, "m"), 0),
                  std::max<std::int64_t>(integer_in(in, "g"), 0)};
    return policy.id.empty() ? std::nullopt : std::optional(std::move(policy));
}

} // namespace

std::uint64_t count_tasks(const job& j)
{
    std::uint64_t sum = 0;
    for (const auto& s : j.steps)
    {
        // Both factors are 32 bits wide, and the sum stays below 2^63.
        sum += std::uint64_t{s.task_count} * j.repeats_count();
        if (sum > max_tasks_per_job)
        {
            break;
        }
    }
    return sum;
}

std::uint64_t number_of(const job& j, std::uint32_t occurrence,
                        std::uint32_t step, std::uint32_t index)
{
    std::uint64_t per_occurrence = 0;
    std::uint64_t before_step = 0;
    for (std::uint32_t s = 0; s < j.steps.size(); ++s)
    {
        before_step += s < step ? j.steps[s].task_count : 0;
        per_occurrence += j.steps[s].task_count;
    }
    return occurrence * per_occurrence + before_step + index;
}

bool exceeds_cap(const job& j)
{
    return j.account && std::ranges::any_of(j.steps, [&](const step& s) {
               const std::int64_t together = s.is_gang ? s.task_count : 1;
               return !is_within(j.account->cap, {}, s.size * together);
           });
}

account_id account_of_row(std::string_view text)
{
    json::error_code error;
    const auto parsed = json::parse({text.data(), text.size()}, error);
    const auto* const in = error ? nullptr : parsed.if_object();
    const auto* const account = in == nullptr ? nullptr : in->if_contains("a");
    return account == nullptr || !account->is_object()
               ? account_id()
               : account_id(text_in(account->get_object(), "i"));
}

std::string encode_job(const job& j)
{
    json::object out;
    out["q"] = to_json(j.policy);
    out["d"] = j.payload;
    out["u"] = j.accepted_at.count();
    if (j.account)
    {
        out["a"] = to_json(*j.account);
    }
    json::array steps;
    for (const auto& s : j.steps)
    {
        steps.push_back(to_json(s));
    }
    out["s"] = std::move(steps);
    if (j.repeats.count > 0)
    {
        out["r"] = {j.repeats.count, j.repeats.first_due.count(),
                    j.repeats.interval.count()};
    }
    return json::serialize(out);
}

std::optional<job> decode_job(const job_id& id, std::string_view text)
{
    json::error_code error;
    const auto parsed = json::parse({text.data(), text.size()}, error);
    const auto* const in = error ? nullptr : parsed.if_object();
    if (in == nullptr)
    {
        return std::nullopt;
    }
    job j;
    j.id = id;
    j.payload = text_in(*in, "d");
    j.accepted_at = std::chrono::milliseconds(integer_in(*in, "u"));
    if (const auto* const policy = in->if_contains("q");
        policy != nullptr && policy->is_object())
    {
        j.policy = to_policy(policy->get_object());
    }
    if (const auto* const account = in->if_contains("a");
        account != nullptr && account->is_object())
    {
        j.account = to_account(account->get_object());
    }
    for (const auto& entry : list_in(*in, "s"))
    {
        if (!entry.is_object())
        {
            return std::nullopt;
        }
        j.steps.push_back(to_step(entry.get_object()));
    }
    const auto& repeats = list_in(*in, "r");
    if (repeats.size() == 3)
    {
        j.repeats.count = static_cast<std::uint32_t>(integer_of(repeats[0]));
        j.repeats.first_due = std::chrono::milliseconds(integer_of(repeats[1]));
        j.repeats.interval = std::chrono::milliseconds(integer_of(repeats[2]));
    }
    for (std::size_t i = 0; i < j.steps.size(); ++i)
    {
        for (const auto predecessor : j.steps[i].after)
        {
            if (predecessor >= i)
            {
                return std::nullopt;
            }
        }
    }
    // Steps without tasks would escape the limit on tasks.
    const bool has_empty_step = std::ranges::any_of(
        j.steps, [](const step& s) { return s.task_count == 0; });
    if (j.steps.empty() || has_empty_step || count_tasks(j) > max_tasks_per_job)
    {
        return std::nullopt;
    }
    return j;
}

} // namespace hemlockdeal::jobs
