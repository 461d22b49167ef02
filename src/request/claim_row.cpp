// JSON encoding of claim rows. Bodies and header values are arbitrary bytes, so
// they are encoded as Latin-1 text, which JSON can represent as UTF-8.
#include "request/claim_row.hpp"

#include <boost/json.hpp>

namespace hemlockdeal
{

namespace json = boost::json;

namespace
{

std::string latin1_to_utf8(std::string_view bytes)
{
    std::string text;
    text.reserve(bytes.size());
    for (const char c : bytes)
    {
        const auto byte = static_cast<unsigned char>(c);
        if (byte < 0x80U)
        {
            text.push_back(c);
            continue;
        }
        text.push_back(static_cast<char>(0xc0U | (byte >> 6U)));
        text.push_back(static_cast<char>(0x80U | (byte & 0x3fU)));
    }
    return text;
}

std::string utf8_to_latin1(std::string_view text)
{
    std::string bytes;
    bytes.reserve(text.size());
    for (std::size_t i = 0; i < text.size(); ++i)
    {
        const auto byte = static_cast<unsigned char>(text[i]);
        if (byte < 0x80U || i + 1 == text.size())
        {
            bytes.push_back(text[i]);
            continue;
        }
        ++i;
        const auto second = static_cast<unsigned char>(text[i]);
        bytes.push_back(
            static_cast<char>(((byte & 0x03U) << 6U) | (second & 0x3fU)));
    }
    return bytes;
}

json::object to_json(const stored_response& response)
{
    json::array headers;
    for (const auto& [name, value] : response.headers)
    {
        headers.push_back(
            json::array{latin1_to_utf8(name), latin1_to_utf8(value)});
    }
    return {{"status", response.status},
            {"headers", std::move(headers)},
            {"body", latin1_to_utf8(response.body)}};
}

std::string_view string_view_of(const json::value& value)
{
    const json::string& text = value.as_string();
    return {text.data(), text.size()};
}

// Throws the exceptions of Boost.JSON when a value has the wrong type.
stored_response response_from(const json::object& object)
{
    stored_response response;
    response.status = object.at("status").to_number<unsigned>();
    for (const json::value& header : object.at("headers").as_array())
    {
        response.headers.emplace_back(
            utf8_to_latin1(string_view_of(header.at(0))),
            utf8_to_latin1(string_view_of(header.at(1))));
    }
    response.body = utf8_to_latin1(string_view_of(object.at("body")));
    return response;
}

claim_row row_from(const json::object& object)
{
    claim_row row;
    row.claim = commit_id(std::string(string_view_of(object.at("claim"))));
    row.commit = commit_id(std::string(string_view_of(object.at("commit"))));
    row.fingerprint = string_view_of(object.at("fingerprint"));
    row.finished = object.at("finished").as_bool();
    if (const json::value* response = object.if_contains("answer"))
    {
        row.response = response_from(response->as_object());
    }
    return row;
}

} // namespace

std::string claim_row_key(const request_key& key)
{
    return "request/" + key.value();
}

std::string to_text(const claim_row& row)
{
    json::object object{{"claim", row.claim.value()},
                        {"commit", row.commit.value()},
                        {"fingerprint", row.fingerprint},
                        {"finished", row.finished}};
    if (row.response)
    {
        object["answer"] = to_json(*row.response);
    }
    return json::serialize(object);
}

std::optional<claim_row> parse_claim_row(std::string_view text)
{
    boost::system::error_code code;
    const json::value value =
        json::parse(json::string_view(text.data(), text.size()), code);
    if (code || !value.is_object())
    {
        return std::nullopt;
    }
    try
    {
        return row_from(value.as_object());
    }
    catch (const std::exception&)
    {
        return std::nullopt;
    }
}

} // namespace hemlockdeal
