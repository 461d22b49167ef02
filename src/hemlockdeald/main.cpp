// Entry point of the daemon: command line, signals and the main event loop.
#include <csignal>
#include <iostream>
#include <string>

#include <sys/socket.h>
#include <unistd.h>

#include <QCoreApplication>
#include <QSocketNotifier>
#include <tclap/CmdLine.h>
#include <zmq.h>

#include "clock.hpp"
#include "daemon.hpp"

namespace
{

using namespace hemlockdeal;

constexpr int exit_usage = 2;

// Self-pipe: written by the signal handler, read by the event loop.
int stop_pipe[2] = {-1, -1};

void on_stop_signal(int /*signal*/)
{
    const char byte = 1;
    // The result is ignored: a full pipe already holds a stop request.
    [[maybe_unused]] const auto written = write(stop_pipe[1], &byte, 1);
}

int generate_keys()
{
    constexpr std::size_t key_size = 41;
    char public_key[key_size] = {};
    char secret_key[key_size] = {};
    if (zmq_curve_keypair(public_key, secret_key) != 0)
    {
        std::cerr << "hemlockdeald: ZeroMQ was built without CURVE\n";
        return 1;
    }
    std::cout << "public_key = \"" << public_key << "\"\n"
              << "secret_key = \"" << secret_key << "\"\n";
    return 0;
}

void print(const findings& found)
{
    for (const auto& f : found)
    {
        std::cerr << to_text(f) << '\n';
    }
}

int check_settings(const std::string& path)
{
    const auto settings = load_settings(path);
    if (const auto* found = std::get_if<findings>(&settings))
    {
        print(*found);
        return exit_usage;
    }
    std::cout << path << ": no findings\n";
    return 0;
}

int serve(int argc, char** argv, const daemon_settings& settings)
{
    QCoreApplication application(argc, argv);
    if (pipe(stop_pipe) != 0)
    {
        std::cerr << "hemlockdeald: cannot create a pipe\n";
        return 1;
    }
    std::signal(SIGTERM, on_stop_signal);
    std::signal(SIGINT, on_stop_signal);
    std::signal(SIGPIPE, SIG_IGN);

    // Increases with each process start on this VM. It is stored in the lease
    // row, so that an older process yields to a newer one.
    const incarnation process(static_cast<std::uint64_t>(unix_ms_now()));
    hemlockdeal::daemon service(settings, process);
    const auto started = service.start();
    if (!is_ok(started))
    {
        log(log_level::error, "cannot start",
            {{"reason", error_of(started).message}});
        return 1;
    }
    log(log_level::info, "started",
        {{"vm", settings.id.value()},
         {"zone", settings.zone.value()},
         {"callers", to_text(settings.callers)},
         {"operators", to_text(settings.operators.listen)},
         {"version", HEMLOCKDEAL_VERSION}});
    QSocketNotifier notifier(stop_pipe[0], QSocketNotifier::Read);
    QObject::connect(&notifier, &QSocketNotifier::activated, [&] {
        notifier.setEnabled(false);
        service.stop([] { QCoreApplication::quit(); });
    });
    const auto code = QCoreApplication::exec();
    log(log_level::info, "stopped");
    return code;
}

int run(int argc, char** argv)
{
    TCLAP::CmdLine command_line(
        "hemlockdeald serves callers of an entry VM and "
        "schedules batch work on its availability zone's "
        "workers. SIGTERM stops it without cutting off "
        "requests in flight.",
        ' ', HEMLOCKDEAL_VERSION);
    TCLAP::ValueArg<std::string> config("c", "config", "settings file (TOML)",
                                        false, "", "file", command_line);
    TCLAP::ValueArg<std::string> check_config(
        "", "check-config",
        "check a settings file, print all findings and exit: 0 for none, 2 "
        "for some",
        false, "", "file", command_line);
    TCLAP::SwitchArg generate_keys_switch("", "generate-keys",
                                          "print a new CURVE key pair and exit",
                                          command_line);
    TCLAP::ValueArg<std::string> level("l", "log-level",
                                       "debug, info, warning or error", false,
                                       "info", "level", command_line);
    command_line.parse(argc, argv);
    if (generate_keys_switch.getValue())
    {
        return generate_keys();
    }
    if (check_config.isSet())
    {
        return check_settings(check_config.getValue());
    }
    const auto min_level = parse_log_level(level.getValue());
    if (!min_level)
    {
        std::cerr << "hemlockdeald: unknown log level " << level.getValue()
                  << '\n';
        return exit_usage;
    }
    if (!config.isSet())
    {
        std::cerr << "hemlockdeald: --config FILE is required\n";
        return exit_usage;
    }
    set_up_logging(*min_level);
    const auto settings = load_settings(config.getValue());
    if (const auto* found = std::get_if<findings>(&settings))
    {
        print(*found);
        return exit_usage;
    }
    return serve(argc, argv, std::get<daemon_settings>(settings));
}

} // namespace

int main(int argc, char** argv)
{
    try
    {
        return run(argc, argv);
    }
    catch (const TCLAP::ArgException& invalid_argument)
    {
        std::cerr << "hemlockdeald: " << invalid_argument.error() << ' '
                  << invalid_argument.argId() << '\n';
        return exit_usage;
    }
    catch (const std::exception& failure)
    {
        std::cerr << "hemlockdeald: " << failure.what() << '\n';
        return 1;
    }
}
