// Logging with log4cplus.
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

std::atomic<bool> is_initialized = false;

const log4cplus::tstring line_pattern =
    LOG4CPLUS_TEXT("time=%D{%Y-%m-%dT%H:%M:%S.%qZ} level=%p thread=%t %m%n");

// Buffers log lines until flush(). log4cplus locks access_mutex while it
// appends; flush() locks it too.
class buffer_appender : public log4cplus::Appender
{
public:
    ~buffer_appender() override { destructorImpl(); }

    void close() override { closed = true; }

    // Returns false if some lines could not be written without blocking.
    bool flush()
    {
        const log4cplus::thread::MutexGuard guard(access_mutex);
        if (unreported_drops_ > 0 && pending_.size() < capacity)
        {
            pending_ += "level=WARN message=\"log lines left out\" count=" +
                        std::to_string(unreported_drops_) + '\n';
            unreported_drops_ = 0;
        }
        std::size_t written_size = 0;
        while (written_size < pending_.size())
        {
            const auto write_result =
                ::write(STDOUT_FILENO, pending_.data() + written_size,
                        complete_lines_size(written_size));
            if (write_result <= 0)
            {
                break;
            }
            written_size += static_cast<std::size_t>(write_result);
        }
        pending_.erase(0, written_size);
        return pending_.empty();
    }

    std::uint64_t dropped() const { return dropped_; }

protected:
    void append(const log4cplus::spi::InternalLoggingEvent& event) override
    {
        if (pending_.size() >= capacity)
        {
            ++dropped_;
            ++unreported_drops_;
            return;
        }
        pending_ += formatEvent(event);
    }

private:
    static constexpr std::size_t capacity = 512ULL * 1024;
    // Writes of up to this size to a pipe are atomic (PIPE_BUF).
    static constexpr std::size_t max_atomic_write = 4096;

    // Returns the size of the complete lines from `begin` that fit into one
    // atomic write, or of one line if that line does not fit.
    std::size_t complete_lines_size(std::size_t begin) const
    {
        const auto last = pending_.rfind('\n', begin + max_atomic_write - 1);
        const bool fits = last != std::string::npos && last >= begin;
        return (fits ? last : pending_.find('\n', begin)) + 1 - begin;
    }

    std::string pending_;
    std::uint64_t unreported_drops_ = 0;
    std::atomic<std::uint64_t> dropped_ = 0;
};

log4cplus::helpers::SharedObjectPtr<buffer_appender> buffer;

bool needs_no_quotes(char c)
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
    return !value.empty() && std::ranges::all_of(value, needs_no_quotes)
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

void set_root_appender(const log4cplus::SharedAppenderPtr& appender,
                       log_level level)
{
    appender->setLayout(
        std::make_unique<log4cplus::PatternLayout>(line_pattern));
    auto root = log4cplus::Logger::getRoot();
    root.removeAllAppenders();
    root.addAppender(appender);
    root.setLogLevel(to_log4cplus(level));
    is_initialized.store(true, std::memory_order_release);
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
    // Its destructor flushes and closes the appenders at process exit.
    static const log4cplus::Initializer initializer;
    auto appender = log4cplus::SharedAppenderPtr(
        new log4cplus::ConsoleAppender(true, true));
    set_root_appender(appender, level);
}

void set_up_buffered_logging(log_level level)
{
    static const log4cplus::Initializer initializer;
    // Non-blocking, so that a stalled reader cannot block this process.
    const int flags = fcntl(STDOUT_FILENO, F_GETFL);
    if (flags >= 0)
    {
        fcntl(STDOUT_FILENO, F_SETFL, flags | O_NONBLOCK);
    }
    buffer = new buffer_appender;
    set_root_appender(log4cplus::SharedAppenderPtr(buffer.get()), level);
}

bool flush_log()
{
    return !buffer || buffer->flush();
}

std::uint64_t dropped_log_lines()
{
    return buffer ? buffer->dropped() : 0;
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
    const auto log4cplus_level = to_log4cplus(level);
    // Before initialization no appender is attached, and log4cplus would print
    // an error.
    if (!is_initialized.load(std::memory_order_acquire))
    {
        return;
    }
    static const log4cplus::Logger root = log4cplus::Logger::getRoot();
    if (!root.isEnabledFor(log4cplus_level))
    {
        return;
    }
    root.forcedLog(log4cplus_level,
                   LOG4CPLUS_STRING_TO_TSTRING(to_log_line(message, fields)));
}

} // namespace hemlockdeal
