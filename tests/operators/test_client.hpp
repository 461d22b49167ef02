// Minimal HTTP client on a TCP socket.
#pragma once

#include <cstdint>
#include <string>

#include <QTcpSocket>

namespace hemlockdeal
{

struct test_response
{
    int status = 0; // 0 if no complete response was received
    std::string body;
};

// Sends the bytes and returns everything received until the server closes the
// connection or nothing arrives for `wait_ms`.
inline std::string exchange_bytes(std::uint16_t port, const std::string& bytes,
                                  int wait_ms)
{
    QTcpSocket socket;
    socket.connectToHost("127.0.0.1", port);
    if (!socket.waitForConnected(2000))
    {
        return {};
    }
    socket.write(bytes.data(), static_cast<qint64>(bytes.size()));
    std::string received;
    while (socket.bytesToWrite() > 0 && socket.waitForBytesWritten(wait_ms))
    {}
    while (socket.bytesAvailable() > 0 || socket.waitForReadyRead(wait_ms))
    {
        received += socket.readAll().toStdString();
    }
    return received;
}

inline test_response parse_response(const std::string& received)
{
    const auto end = received.find("\r\n\r\n");
    if (!received.starts_with("HTTP/1.1 ") || end == std::string::npos)
    {
        return {};
    }
    return {std::stoi(received.substr(9, 3)), received.substr(end + 4)};
}

// Sends one request on a new connection. Without a token, no Authorization
// header is sent.
inline test_response send_request(std::uint16_t port, const std::string& method,
                                  const std::string& target,
                                  const std::string& token,
                                  const std::string& body = "")
{
    std::string request = method + ' ' + target +
                          " HTTP/1.1\r\nHost: 127.0.0.1\r\nContent-Length: " +
                          std::to_string(body.size()) + "\r\n";
    if (!token.empty())
    {
        request += "Authorization: Bearer " + token + "\r\n";
    }
    request += "\r\n" + body;

    QTcpSocket socket;
    socket.connectToHost("127.0.0.1", port);
    if (!socket.waitForConnected(2000))
    {
        return {};
    }
    socket.write(request.data(), static_cast<qint64>(request.size()));
    std::string received;
    const auto is_complete = [&] {
        const auto end = received.find("\r\n\r\n");
        const auto length = received.find("Content-Length: ");
        return end != std::string::npos && length < end &&
               received.size() >=
                   end + 4 + std::stoul(received.substr(length + 16));
    };
    while (!is_complete() && socket.waitForReadyRead(5000))
    {
        received += socket.readAll().toStdString();
    }
    return is_complete() ? parse_response(received) : test_response{};
}

} // namespace hemlockdeal
