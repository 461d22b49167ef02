// Log by log4cplus.
#include "observe/logging.hpp"

#include <algorithm>
#include <atomic>
#include <memory>

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
    appender->setLayout(std::make_unique<log4cplus::PatternLayout>(
        LOG4CPLUS_TEXT("time=%D{%Y-%m-%dT%H:%M:%S.%qZ} level=%p thread=%t "
                       "%m%n")));
    auto root = log4cplus::Logger::getRoot();
    root.removeAllAppenders();
    root.addAppender(appender);
    root.setLogLevel(to_log4cplus(level));
    is_set_up.store(true, std::memory_order_release);
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
