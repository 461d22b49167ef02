// Boost.Beast's parser and serializer as they are used by the proxy: bodies
// are passed on in pieces, and connection-level headers are not forwarded.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

#include <QTcpSocket>
#include <boost/beast/core/buffers_range.hpp>
#include <boost/beast/http.hpp>
#include <boost/optional.hpp>

namespace hemlockdeal
{

namespace http = boost::beast::http;

// Body type whose parsed bytes are appended to a string that the owner empties
// as it forwards them. string_body would reserve the whole stated length.
struct stream_body
{
    using value_type = std::string;

    class reader
    {
    public:
        template <bool IsRequest, typename Fields>
        reader(http::header<IsRequest, Fields>&, value_type& body) : body_(body)
        {}

        void init(const boost::optional<std::uint64_t>&,
                  boost::beast::error_code& error)
        {
            error = {};
        }

        template <typename Buffers>
        std::size_t put(const Buffers& buffers, boost::beast::error_code& error)
        {
            error = {};
            std::size_t total = 0;
            for (const auto buffer : boost::beast::buffers_range_ref(buffers))
            {
                body_.append(static_cast<const char*>(buffer.data()),
                             buffer.size());
                total += buffer.size();
            }
            return total;
        }

        void finish(boost::beast::error_code& error) { error = {}; }

    private:
        value_type& body_;
    };
};

using request_parser = http::request_parser<stream_body>;
using response_parser = http::response_parser<stream_body>;

// Writes one message to a socket: its head first, then the body in pieces.
template <bool IsRequest>
class message_writer
{
public:
    // A new message; the writer holds nothing of the previous one.
    void begin(http::header<IsRequest>&& head)
    {
        serializer_.reset();
        unwritten_.clear();
        message_.emplace(std::move(head));
        message_->body().data = nullptr;
        message_->body().more = true;
        serializer_.emplace(*message_);
        serializer_->split(true);
        while (!serializer_->is_header_done())
        {
            take_next();
        }
    }

    void write_body(std::string_view piece, QTcpSocket& socket)
    {
        if (piece.empty())
        {
            return;
        }
        // The serializer only reads the piece; buffer_body is mutable because
        // it also serves parsers.
        message_->body().data = const_cast<char*>(piece.data());
        message_->body().size = piece.size();
        message_->body().more = true;
        while (take_next())
        {}
        if (unwritten_.size() > gathered)
        {
            write_gathered(socket);
        }
    }

    // Ends the message and sends as much as the kernel takes.
    void finish(QTcpSocket& socket)
    {
        message_->body().data = nullptr;
        message_->body().more = false;
        while (!serializer_->is_done() && take_next())
        {}
        finish_without_body(socket);
    }

    // For messages whose head states a body that is not sent, as after HEAD.
    void finish_without_body(QTcpSocket& socket)
    {
        send_started(socket);
        serializer_.reset();
        message_.reset();
    }

    // Sends what is written so far, while the rest of the body is not there.
    void send_started(QTcpSocket& socket)
    {
        write_gathered(socket);
        socket.flush();
    }

private:
    using message_type = http::message<IsRequest, http::buffer_body>;

    // Pieces up to this size are gathered: a write to a QTcpSocket costs far
    // more than the copy.
    static constexpr std::size_t gathered = 16ULL * 1024;

    // Returns false when the serializer needs the next piece of the body.
    bool take_next()
    {
        boost::beast::error_code error;
        std::size_t total = 0;
        serializer_->next(error, [&](boost::beast::error_code& inner,
                                     const auto& buffers) {
            inner = {};
            for (const auto buffer : boost::beast::buffers_range_ref(buffers))
            {
                unwritten_.append(static_cast<const char*>(buffer.data()),
                                  buffer.size());
                total += buffer.size();
            }
        });
        if (error)
        {
            return false;
        }
        serializer_->consume(total);
        return true;
    }

    void write_gathered(QTcpSocket& socket)
    {
        socket.write(unwritten_.data(), static_cast<qint64>(unwritten_.size()));
        // Idle connections hold no buffer.
        unwritten_ = {};
    }

    std::optional<message_type> message_;
    std::optional<http::serializer<IsRequest, http::buffer_body>> serializer_;
    std::string unwritten_;
};

// Removes the headers that apply to one connection only, among them those
// that the Connection header names.
void erase_connection_headers(http::fields& fields);

// Sets how the body's end is marked: by its length, or by chunks when the
// length is not known.
template <bool IsRequest>
void set_framing(http::header<IsRequest>& head,
                 std::optional<std::uint64_t> length)
{
    head.erase(http::field::transfer_encoding);
    if (length && head.find(http::field::content_length) != head.end())
    {
        // The parser took the length from this header.
        return;
    }
    if (length)
    {
        head.set(http::field::content_length, std::to_string(*length));
        return;
    }
    head.erase(http::field::content_length);
    head.set(http::field::transfer_encoding, "chunked");
}

std::string_view to_view(boost::beast::string_view text);

// Path of a request target, without the query.
std::string path_of(std::string_view target);

// JSON body of a response that the daemon gives itself.
std::string outcome_body(std::string_view outcome, std::string_view reason);

} // namespace hemlockdeal
