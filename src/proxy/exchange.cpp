// Implements the conversions between HTTP headers and the messages of the
// request core.
#include "proxy/exchange.hpp"

#include <charconv>

#include <boost/range/algorithm/for_each.hpp>

namespace hemlockdeal
{

attempt_head summarize(const http::response_header<>& head)
{
    attempt_head summary;
    summary.status = head.result_int();
    summary.leaving = head["Hemlockdeal-Leaving"] == "1";
    summary.not_run = head["Hemlockdeal-Outcome"] == "not-run";
    return summary;
}

std::optional<std::uint64_t> make_forwardable(http::response_header<>& head)
{
    erase_connection_headers(head);
    head.erase("Hemlockdeal-Leaving");
    const std::string_view text = to_view(head[http::field::content_length]);
    std::uint64_t length = 0;
    const auto parsed =
        std::from_chars(text.data(), text.data() + text.size(), length);
    const bool stated = !text.empty() && parsed.ec == std::errc{};
    return stated ? std::optional(length) : std::nullopt;
}

stored_response begin_stored_response(const http::response_header<>& head)
{
    stored_response response;
    response.status = head.result_int();
    boost::for_each(head, [&](const auto& field) {
        response.headers.emplace_back(to_view(field.name_string()),
                                      to_view(field.value()));
    });
    return response;
}

http::response_header<> head_of(const stored_response& response)
{
    http::response_header<> head;
    head.result(response.status);
    boost::for_each(response.headers, [&](const auto& field) {
        head.insert(field.first, field.second);
    });
    return head;
}

} // namespace hemlockdeal
