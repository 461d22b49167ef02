// Prints results and errors.
#include "hemlockdealctl/report.hpp"

#include <ctime>
#include <iomanip>
#include <iostream>
#include <sstream>

namespace hemlockdeal
{

namespace
{

exit_code to_exit_code(const client_response& response, const error& e)
{
    if (e.code == error_code::outcome_unknown || e.code == error_code::timeout)
    {
        return exit_code::outcome_unknown;
    }
    return response.reached ? exit_code::refused : exit_code::not_reached;
}

} // namespace

exit_code report_failure(const client_response& response)
{
    if (const auto* const lost = std::get_if<change_lost_race>(&response.reply))
    {
        std::cerr << "lost a race: version " << lost->version.value() << " of '"
                  << lost->author << "' was accepted first; nothing changed\n";
        return exit_code::version_conflict;
    }
    const auto* const e = std::get_if<error>(&response.reply);
    if (e == nullptr)
    {
        return exit_code::done;
    }
    const exit_code code = to_exit_code(response, *e);
    std::cerr << (code == exit_code::outcome_unknown ? "outcome unknown: "
                  : code == exit_code::not_reached   ? "not reached: "
                                                     : "refused: ")
              << e->message << '\n';
    print_findings(response.found);
    return code;
}

void print_findings(const findings& found)
{
    for (const finding& f : found)
    {
        std::cerr << to_text(f) << '\n';
    }
}

std::string to_utc(std::int64_t unix_ms)
{
    const std::time_t seconds = unix_ms / 1000;
    std::tm broken_down{};
    gmtime_r(&seconds, &broken_down);
    std::ostringstream out;
    out << std::put_time(&broken_down, "%FT%T") << '.' << std::setfill('0')
        << std::setw(3) << unix_ms % 1000 << 'Z';
    return std::move(out).str();
}

std::string to_text(duration time)
{
    const auto us = time.count();
    if (us != 0 && us % 3'600'000'000 == 0)
    {
        return std::to_string(us / 3'600'000'000) + " h";
    }
    if (us != 0 && us % 1'000'000 == 0)
    {
        return std::to_string(us / 1'000'000) + " s";
    }
    std::ostringstream out;
    out << static_cast<double>(us) / 1000.0 << " ms";
    return std::move(out).str();
}

std::string to_text(const resources& amounts)
{
    std::ostringstream out;
    out << static_cast<double>(amounts.processors.value) / 1000.0
        << " processors, " << amounts.memory.value << " MB";
    if (amounts.accelerators.value != 0)
    {
        out << ", " << amounts.accelerators.value << " accelerators";
    }
    return std::move(out).str();
}

std::string to_text(const daemon_confirmation& c, configuration_version version)
{
    if (!c.reached)
    {
        return "not reached; starts nothing new after " +
               to_utc(c.starts_nothing_after_unix_ms);
    }
    if (c.version < version)
    {
        return "reached, still at version " + std::to_string(c.version.value());
    }
    return "confirmed at version " + std::to_string(c.version.value());
}

} // namespace hemlockdeal
