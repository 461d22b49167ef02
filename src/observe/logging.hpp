// Logging in key=value format.
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

// Parses "debug", "info", "warning" or "error".
std::optional<log_level> parse_log_level(std::string_view text);

// Writes log lines of this level and above to standard error. Must be called
// once, before other threads log.
void set_up_logging(log_level level);

// Buffers log lines in memory; flush_log() writes them to standard output
// without blocking. Lines that exceed the buffer capacity are dropped and
// counted.
void set_up_buffered_logging(log_level level);

// Writes as many buffered lines as standard output accepts without blocking.
// Returns false if lines remain. Must be called from one thread only.
bool flush_log();

// Number of log lines dropped since the start of the process.
std::uint64_t dropped_log_lines();

using log_fields = std::vector<std::pair<std::string_view, std::string>>;

// Writes one line with the time, level, thread, message and fields.
// Thread-safe.
void log(log_level level, std::string_view message,
         const log_fields& fields = {});

// Formats the part of a log line that follows the time, level and thread.
// Values with separators are quoted and control characters are escaped, so that
// each entry stays on one line.
std::string to_log_line(std::string_view message,
                        const log_fields& fields = {});

} // namespace hemlockdeal
