// Lookup of queue routes.
#include "jobs/queue_directory.hpp"

#include <utility>

namespace hemlockdeal::jobs
{

bool queue_directory::adopt(content newer)
{
    if (newer.version <= content_.version)
    {
        return false;
    }
    content_ = std::move(newer);
    return true;
}

std::optional<queue_match> queue_directory::match(std::string_view host,
                                                  std::string_view path) const
{
    const queue_route* best = nullptr;
    for (const auto& route : content_.routes)
    {
        const bool matches =
            route.host == host && path.starts_with(route.path_prefix);
        if (matches && (best == nullptr ||
                        route.path_prefix.size() > best->path_prefix.size()))
        {
            best = &route;
        }
    }
    if (best == nullptr)
    {
        return std::nullopt;
    }
    return queue_match{best, path.substr(best->path_prefix.size())};
}

} // namespace hemlockdeal::jobs
