// Options that are common to all verbs.
#include "hemlockdealctl/verb_line.hpp"

#include <algorithm>
#include <cstdlib>
#include <fstream>

#include "hemlockdealctl/exit_code.hpp"
#include "settings/settings.hpp"

namespace hemlockdeal
{

namespace
{

// There is no option for the token itself, because other users can see the
// command line of a process.
bearer_token read_token(const std::string& file)
{
    std::string token;
    if (!file.empty())
    {
        std::ifstream stream(file);
        if (!std::getline(stream, token))
        {
            throw usage_error("the token file '" + file + "' cannot be read");
        }
    }
    else if (const char* const variable = std::getenv("HEMLOCKDEAL_TOKEN"))
    {
        token = variable;
    }
    while (!token.empty() && (token.back() == '\r' || token.back() == ' '))
    {
        token.pop_back();
    }
    if (token.empty())
    {
        throw usage_error(
            "no token: use --token-file or the variable HEMLOCKDEAL_TOKEN");
    }
    return bearer_token(token);
}

socket_address read_daemon(const std::string& text)
{
    const auto address = parse_address(text);
    if (!address || address->port == 0)
    {
        throw usage_error("'" + text +
                          "' is not an IP number and a port such as "
                          "127.0.0.1:8081");
    }
    return *address;
}

} // namespace

verb_line::verb_line(const std::string& verb, const std::string& help)
    : verb_("hemlockdealctl " + verb),
      line_(help + " " + exit_code_help, ' ', HEMLOCKDEAL_VERSION, false),
      help_visitor_(&line_, &output_pointer_),
      help_("h", "help", "Prints this description.", line_, false,
            &help_visitor_),
      json_("", "json", "Prints JSON.", line_),
      timeout_("", "timeout",
               "Seconds to wait for a response of one daemon (default 12).",
               false, 12.0, "seconds", line_),
      token_file_("", "token-file",
                  "File whose first line is the bearer token; otherwise the "
                  "variable HEMLOCKDEAL_TOKEN holds it.",
                  false, "", "file", line_),
      daemons_("", "daemon",
               "Operators' address of a daemon, ip:port. May be given several "
               "times; the next one is asked when one cannot be reached.",
               false, "address", line_)
{
    line_.setExceptionHandling(false);
}

void verb_line::parse(const std::vector<std::string>& arguments)
{
    std::vector<std::string> all{verb_};
    all.insert(all.end(), arguments.begin(), arguments.end());
    line_.parse(all);
}

operator_client verb_line::client()
{
    std::vector<socket_address> daemons;
    std::ranges::transform(daemons_.getValue(), std::back_inserter(daemons),
                           read_daemon);
    if (daemons.empty())
    {
        throw usage_error("no daemon is named: use --daemon");
    }
    const double seconds = timeout_.getValue();
    if (!(seconds >= 0.001 && seconds <= 3600.0))
    {
        throw usage_error("--timeout is not between 0.001 and 3600 seconds");
    }
    return {std::move(daemons), read_token(token_file_.getValue()),
            std::chrono::milliseconds(static_cast<int>(seconds * 1000.0))};
}

std::int64_t checked_value(const TCLAP::ValueArg<std::int64_t>& argument,
                           std::int64_t low, std::int64_t high)
{
    const std::int64_t value =
        const_cast<TCLAP::ValueArg<std::int64_t>&>(argument).getValue();
    if (value < low || value > high)
    {
        throw usage_error("--" + argument.getName() + " is not between " +
                          std::to_string(low) + " and " + std::to_string(high));
    }
    return value;
}

std::string checked_id(const std::string& what, const std::string& text)
{
    if (!is_valid_id(text))
    {
        throw usage_error("'" + text + "' cannot be the id of a " + what);
    }
    return text;
}

} // namespace hemlockdeal
