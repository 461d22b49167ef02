// Boost.Beast's parser and serializer as used by the proxy: bodies are streamed
// in pieces, and connection-level headers are not forwarded.
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

// Empties the text and frees its memory, which an assignment does not.
inline void release_memory(std::string& text)
{
    std::string().swap(text);
}

// Body type that appends parsed bytes to a string, which the owner empties as
// it forwards them. string_body would reserve the whole declared length.
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

// Writes one message to a socket: first its head, then its body in pieces.
template <bool IsRequest>
class message_writer
{
public:
    // Starts a new message and discards the state of the previous one.
    void begin(http::header<IsRequest>&& head)
    {
        serializer_.reset();
        buffer_.clear();
        message_.emplace(std::move(head));
        message_->body().data = nullptr;
        message_->body().more = true;
        serializer_.emplace(*message_);
        serializer_->split(true);
        while (!serializer_->is_header_done())
        {
            serialize_next();
        }
    }

    void write_body(std::string_view piece, QTcpSocket& socket)
    {
        if (piece.empty())
        {
            return;
        }
        // The serializer only reads the piece; buffer_body takes a mutable
        // pointer because it is also used for parsing.
        message_->body().data = const_cast<char*>(piece.data());
        message_->body().size = piece.size();
        message_->body().more = true;
        while (serialize_next())
        {}
        if (buffer_.size() > buffer_threshold)
        {
            write_buffered(socket);
        }
    }

    // Finishes the message and sends as much as the kernel accepts.
    void finish(QTcpSocket& socket)
    {
        message_->body().data = nullptr;
        message_->body().more = false;
        while (!serializer_->is_done() && serialize_next())
        {}
        finish_without_body(socket);
    }

    // Finishes a message whose head declares a body that is not sent, such as
    // the response to HEAD.
    void finish_without_body(QTcpSocket& socket)
    {
        flush_buffered(socket);
        serializer_.reset();
        message_.reset();
    }

    // Sends the buffered bytes before the rest of the body is available.
    void flush_buffered(QTcpSocket& socket)
    {
        write_buffered(socket);
        socket.flush();
    }

    std::size_t buffered() const { return buffer_.capacity(); }

private:
    using message_type = http::message<IsRequest, http::buffer_body>;

    // Bytes are buffered up to this size, because a write to a QTcpSocket costs
    // far more than the copy.
    static constexpr std::size_t buffer_threshold = 16ULL * 1024;

    // Serializes the next piece; returns false if the serializer needs more
    // body bytes.
    bool serialize_next()
    {
        boost::beast::error_code error;
        std::size_t total = 0;
        serializer_->next(error, [&](boost::beast::error_code& inner,
                                     const auto& buffers) {
            inner = {};
            for (const auto buffer : boost::beast::buffers_range_ref(buffers))
            {
                buffer_.append(static_cast<const char*>(buffer.data()),
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

    void write_buffered(QTcpSocket& socket)
    {
        socket.write(buffer_.data(), static_cast<qint64>(buffer_.size()));
        release_memory(buffer_);
    }

    std::optional<message_type> message_;
    std::optional<http::serializer<IsRequest, http::buffer_body>> serializer_;
    std::string buffer_;
};

// Removes the headers that apply to one connection only, including those listed
// in the Connection header.
void erase_connection_headers(http::fields& fields);

// Sets the framing of the body: Content-Length, or chunked encoding if the
// length is unknown.
template <bool IsRequest>
void set_framing(http::header<IsRequest>& head,
                 std::optional<std::uint64_t> length)
{
    head.erase(http::field::transfer_encoding);
    if (length && head.find(http::field::content_length) != head.end())
    {
        // This header is where the parser read the length from.
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

// Returns the path of a request target, without the query.
std::string path_of(std::string_view target);

// Returns the JSON body of a response that the daemon generates itself.
std::string outcome_body(std::string_view outcome, std::string_view reason);

} // namespace hemlockdeal
