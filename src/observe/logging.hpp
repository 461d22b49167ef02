// Log lines of the form key=value on the standard error stream.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace hemlockdeal
{

enum class log_level
{
    debug,
    info,
    warning,
    error
};

// Reads "debug", "info", "warning" or "error".
std::optional<log_level> parse_log_level(std::string_view text);

// Sends log lines of this level and above to the standard error stream. To
// be called once, before other threads log.
void set_up_logging(log_level level);

// Collects log lines in memory and writes them to standard output when
// flush_log() is called, without ever waiting for the reader. Lines beyond a
// bound are left out and counted.
void set_up_buffered_logging(log_level level);

// Writes what standard output takes at once; to be called from one thread.
// False if lines are left.
bool flush_log();

// Lines that were left out since the start.
std::uint64_t dropped_log_lines();

using log_fields = std::vector<std::pair<std::string_view, std::string>>;

// Writes one line with the time, level, thread, message and fields. Any
// thread may call it.
void log(log_level level, std::string_view message,
         const log_fields& fields = {});

// The part of a line that follows time, level and thread. Values with spaces
// or other separators are quoted, so that a line stays one line.
std::string to_log_line(std::string_view message,
                        const log_fields& fields = {});

} // namespace hemlockdeal
