// hemlockdealctl, the command-line tool for operators and job submitters.
#include <algorithm>
#include <array>
#include <exception>
#include <iostream>
#include <string_view>

#include <QCoreApplication>

#include "hemlockdealctl/verb_line.hpp"
#include "hemlockdealctl/verbs.hpp"

namespace
{

using namespace hemlockdeal;

struct verb
{
    std::string_view name;
    std::string_view help;
    exit_code (*run)(const arguments&);
};

constexpr std::array<verb, 11> verbs = {{
    {"check", "check a declaration file", run_check},
    {"diff", "show what a declaration file would change", run_diff},
    {"apply", "make a declaration file the new version", run_apply},
    {"history", "list the versions of the declaration", run_history},
    {"wait", "wait until all daemons have confirmed a version", run_wait},
    {"zone", "list zones, take one out of service or return it", run_zone},
    {"status", "show targets, shards, peers and lease", run_status},
    {"submit", "submit a job", run_submit},
    {"job", "show the state of a job", run_job},
    {"cancel", "cancel a job", run_cancel},
    {"timeline", "show the events of all daemons", run_timeline},
}};

void print_usage(std::ostream& out)
{
    out << "Usage: hemlockdealctl VERB [options]\n\nVerbs:\n";
    for (const verb& v : verbs)
    {
        out << "  " << v.name << std::string(10 - v.name.size(), ' ') << v.help
            << '\n';
    }
    out << "\n'hemlockdealctl VERB --help' describes the options of a verb.\n"
           "All verbs but check need --daemon ADDRESS, and a token from "
           "--token-file FILE or\nthe variable HEMLOCKDEAL_TOKEN.\n"
        << exit_code_help << '\n';
}

exit_code run(const arguments& all)
{
    if (all.empty())
    {
        print_usage(std::cerr);
        return exit_code::usage;
    }
    if (all.front() == "--help" || all.front() == "-h")
    {
        print_usage(std::cout);
        return exit_code::done;
    }
    if (all.front() == "--version")
    {
        std::cout << "hemlockdealctl " HEMLOCKDEAL_VERSION "\n";
        return exit_code::done;
    }
    const auto* const found =
        std::ranges::find(verbs, all.front(), &verb::name);
    if (found == verbs.end())
    {
        throw usage_error("unknown verb '" + all.front() +
                          "'; see hemlockdealctl --help");
    }
    return found->run({all.begin() + 1, all.end()});
}

} // namespace

int main(int argc, char** argv)
{
    const QCoreApplication application(argc, argv);
    try
    {
        return static_cast<int>(run({argv + 1, argv + argc}));
    }
    catch (const TCLAP::ExitException& e)
    {
        return e.getExitStatus();
    }
    catch (TCLAP::ArgException& e)
    {
        std::cerr << e.error() << ' ' << e.argId() << '\n';
    }
    catch (const std::exception& e)
    {
        std::cerr << e.what() << '\n';
    }
    return static_cast<int>(exit_code::usage);
}
