// Path classifier. A declaration has few routes, so a linear search by
// descending prefix length is sufficient.
#include "request/path_classifier.hpp"

#include <algorithm>

namespace hemlockdeal
{

void path_classifier::adopt(const declaration& content)
{
    entries_.clear();
    for (const service& s : content.services)
    {
        for (const route& r : s.routes)
        {
            const work_class* c = find_class(content, r.work_class);
            if (c == nullptr)
            {
                continue;
            }
            request_rule rule;
            rule.service = s.id;
            rule.work_class = c->id;
            rule.target = c->target;
            rule.idempotent = c->idempotent;
            rule.cross_region = c->cross_region;
            rule.is_batch = c->kind == class_kind::batch;
            entries_.push_back(
                {r.path_prefix,
                 std::make_shared<const request_rule>(std::move(rule))});
        }
    }
    std::ranges::stable_sort(entries_, std::ranges::greater{},
                             [](const entry& e) { return e.prefix.size(); });
}

std::shared_ptr<const request_rule>
path_classifier::classify(std::string_view path) const
{
    const auto found = std::ranges::find_if(
        entries_, [&](const entry& e) { return path.starts_with(e.prefix); });
    return found == entries_.end() ? nullptr : found->rule;
}

} // namespace hemlockdeal
