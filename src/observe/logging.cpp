// Log by log4cplus.
#include "observe/logging.hpp"

#include <algorithm>
#include <atomic>
#include <memory>

#include <fcntl.h>
#include <unistd.h>

#include <log4cplus/consoleappender.h>
#include <log4cplus/initializer.h>
#include <log4cplus/layout.h>
#include <log4cplus/logger.h>
#include <log4cplus/loggingmacros.h>

namespace hemlockdeal
{

namespace
{

std::atomic<bool> is_set_up = false;

const log4cplus::tstring line_pattern =
    LOG4CPLUS_TEXT("time=%D{%Y-%m-%dT%H:%M:%S.%qZ} level=%p thread=%t %m%n");

// Holds lines until they are flushed. log4cplus locks an appender while it
// appends; flush() takes the same lock.
class buffer_appender : public log4cplus::Appender
{
public:
    ~buffer_appender() override { destructorImpl(); }

    void close() override { closed = true; }

    // False if the reader did not take all lines.
    bool flush()
    {
        const log4cplus::thread::MutexGuard guard(access_mutex);
        if (unreported_ > 0 && pending_.size() < capacity)
        {
            pending_ += "level=WARN message=\"log lines left out\" count=" +
                        std::to_string(unreported_) + '\n';
            unreported_ = 0;
        }
        std::size_t sent = 0;
        while (sent < pending_.size())
        {
            const auto written = ::write(STDOUT_FILENO, pending_.data() + sent,
                                         whole_lines(sent));
            if (written <= 0)
            {
                break;
            }
            sent += static_cast<std::size_t>(written);
        }
        pending_.erase(0, sent);
        return pending_.empty();
    }

    std::uint64_t left_out() const { return left_out_; }

protected:
    void append(const log4cplus::spi::InternalLoggingEvent& event) override
    {
        if (pending_.size() >= capacity)
        {
            ++left_out_;
            ++unreported_;
            return;
        }
        pending_ += formatEvent(event);
    }

private:
    static constexpr std::size_t capacity = 512ULL * 1024;
    // Writes up to this size to a pipe are atomic.
    static constexpr std::size_t atomic_write = 4096;

    // Bytes from `begin` on that end with a line and fit into one write.
    std::size_t whole_lines(std::size_t begin) const
    {
        const auto last = pending_.rfind('\n', begin + atomic_write - 1);
        const bool fits = last != std::string::npos && last >= begin;
        return (fits ? last : pending_.find('\n', begin)) + 1 - begin;
    }

    std::string pending_;
    std::uint64_t unreported_ = 0;
    std::atomic<std::uint64_t> left_out_ = 0;
};

log4cplus::helpers::SharedObjectPtr<buffer_appender> buffer;

bool is_plain(char c)
{
    return c > ' ' && c <= '~' && c != '"' && c != '=' && c != '\\';
}

std::string quoted(std::string_view value)
{
    constexpr std::string_view digits = "0123456789abcdef";
    std::string out = "\"";
    for (const char c : value)
    {
        const auto byte = static_cast<unsigned char>(c);
        if (c == '"' || c == '\\')
        {
            out += '\\';
        }
        if (byte < ' ' || byte == 0x7f)
        {
            out += "\\x";
            out += digits[byte / 16];
            out += digits[byte % 16];
            continue;
        }
        out += c;
    }
    return out + '"';
}

std::string to_value(std::string_view value)
{
    return !value.empty() && std::ranges::all_of(value, is_plain)
               ? std::string(value)
               : quoted(value);
}

log4cplus::LogLevel to_log4cplus(log_level level)
{
    switch (level)
    {
    case log_level::debug:
        return log4cplus::DEBUG_LOG_LEVEL;
    case log_level::info:
        return log4cplus::INFO_LOG_LEVEL;
    case log_level::warning:
        return log4cplus::WARN_LOG_LEVEL;
    case log_level::error:
        return log4cplus::ERROR_LOG_LEVEL;
    }
    return log4cplus::ERROR_LOG_LEVEL;
}

void attach(const log4cplus::SharedAppenderPtr& appender, log_level level)
{
    appender->setLayout(
        std::make_unique<log4cplus::PatternLayout>(line_pattern));
    auto root = log4cplus::Logger::getRoot();
    root.removeAllAppenders();
    root.addAppender(appender);
    root.setLogLevel(to_log4cplus(level));
    is_set_up.store(true, std::memory_order_release);
}

} // namespace

std::optional<log_level> parse_log_level(std::string_view text)
{
    if (text == "debug")
    {
        return log_level::debug;
    }
    if (text == "info")
    {
        return log_level::info;
    }
    if (text == "warning")
    {
        return log_level::warning;
    }
    if (text == "error")
    {
        return log_level::error;
    }
    return std::nullopt;
}

void set_up_logging(log_level level)
{
    // Flushes and closes the appenders when the process ends.
    static const log4cplus::Initializer initializer;
    auto appender = log4cplus::SharedAppenderPtr(
        new log4cplus::ConsoleAppender(true, true));
    attach(appender, level);
}

void set_up_buffered_logging(log_level level)
{
    static const log4cplus::Initializer initializer;
    // A reader that stops must not stop this process.
    const int flags = fcntl(STDOUT_FILENO, F_GETFL);
    if (flags >= 0)
    {
        fcntl(STDOUT_FILENO, F_SETFL, flags | O_NONBLOCK);
    }
    buffer = new buffer_appender;
    attach(log4cplus::SharedAppenderPtr(buffer.get()), level);
}

bool flush_log()
{
    return !buffer || buffer->flush();
}

std::uint64_t dropped_log_lines()
{
    return buffer ? buffer->left_out() : 0;
}

std::string to_log_line(std::string_view message, const log_fields& fields)
{
    std::string line = "message=" + to_value(message);
    for (const auto& [key, value] : fields)
    {
        line += ' ';
        line += key;
        line += '=' + to_value(value);
    }
    return line;
}

void log(log_level level, std::string_view message, const log_fields& fields)
{
    const auto ll = to_log4cplus(level);
    // Without set-up no appender is attached, and log4cplus would complain.
    if (!is_set_up.load(std::memory_order_acquire))
    {
        return;
    }
    static const log4cplus::Logger root = log4cplus::Logger::getRoot();
    if (!root.isEnabledFor(ll))
    {
        return;
    }
    root.forcedLog(ll,
                   LOG4CPLUS_STRING_TO_TSTRING(to_log_line(message, fields)));
}

} // namespace hemlockdeal
