// Export of time lines as Chrome trace event JSON.
#include "observe/chrome_trace.hpp"

#include <map>
#include <utility>

#include <boost/json.hpp>

#include "observe/utf8.hpp"

namespace hemlockdeal
{

namespace
{

namespace json = boost::json;

// Assigns the numeric process and thread IDs that the format requires to VMs
// and threads, and emits a metadata event with the name of each.
class trace_id_allocator
{
public:
    int process(const std::string& vm, json::array& out)
    {
        const auto [entry, added] =
            processes_.try_emplace(vm, static_cast<int>(processes_.size()) + 1);
        if (added)
        {
            out.push_back(metadata_event("process_name", entry->second, 0, vm));
        }
        return entry->second;
    }

    int thread(int process, const std::string& name, json::array& out)
    {
        const auto [entry, added] = threads_.try_emplace(
            {process, name}, static_cast<int>(threads_.size()) + 1);
        if (added)
        {
            out.push_back(
                metadata_event("thread_name", process, entry->second, name));
        }
        return entry->second;
    }

private:
    static json::object metadata_event(std::string_view kind, int process,
                                       int thread, const std::string& name)
    {
        return {{"ph", "M"},
                {"name", kind},
                {"pid", process},
                {"tid", thread},
                {"args", {{"name", valid_utf8(name)}}}};
    }

    std::map<std::string, int> processes_;
    std::map<std::pair<int, std::string>, int> threads_;
};

json::object trace_arguments(const timeline_event& event)
{
    json::object arguments{{"logical", event.stamp.logical}};
    const auto add = [&](std::string_view key, const std::string& value) {
        if (!value.empty())
        {
            arguments[key] = valid_utf8(value);
        }
    };
    add("job", event.job);
    if (event.task >= 0)
    {
        arguments["task"] = event.task;
        arguments["attempt"] = event.attempt;
    }
    add("worker", event.worker);
    add("request", event.request);
    add("shard", event.shard);
    if (event.epoch != 0)
    {
        arguments["epoch"] = event.epoch;
    }
    add("zone", event.zone);
    add("text", event.text);
    return arguments;
}

json::object trace_event(const timeline_event& event, int process, int thread)
{
    json::object out{{"name", valid_utf8(event.kind)},
                     {"pid", process},
                     {"tid", thread},
                     {"ts", event.stamp.wall_us - event.duration_us},
                     {"args", trace_arguments(event)}};
    if (event.duration_us > 0)
    {
        out["ph"] = "X";
        out["dur"] = event.duration_us;
    }
    else
    {
        out["ph"] = "i";
        out["s"] = "t";
    }
    return out;
}

} // namespace

std::string chrome_trace(const std::vector<timeline_event>& events)
{
    json::array out;
    trace_id_allocator trace_ids;
    for (const timeline_event& event : events)
    {
        const int process = trace_ids.process(event.vm, out);
        const int thread = trace_ids.thread(process, event.thread, out);
        out.push_back(trace_event(event, process, thread));
    }
    return json::serialize(
        json::object{{"displayTimeUnit", "ms"}, {"traceEvents", out}});
}

} // namespace hemlockdeal
