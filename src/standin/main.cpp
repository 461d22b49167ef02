// The program hemlockdeal-standin: serves the table, the membership list, the
// workers and the endpoints of a topology until it is terminated.
#include <exception>
#include <fstream>
#include <iostream>
#include <iterator>
#include <string>

#include <QCoreApplication>
#include <tclap/CmdLine.h>

#include "platform/json_fields.hpp"
#include "standin/standin.hpp"

namespace
{

using namespace hemlockdeal;

std::string read_file(const std::string& path)
{
    std::ifstream file(path);
    if (!file)
    {
        throw std::runtime_error("cannot read " + path);
    }
    return {std::istreambuf_iterator<char>(file), {}};
}

int run(int argc, char** argv)
{
    TCLAP::CmdLine line("Stand-ins of the platform for tests", ' ',
                        HEMLOCKDEAL_VERSION);
    const TCLAP::ValueArg<std::uint16_t> port(
        "p", "port", "port of table, membership, faults and record", false, 0,
        "port", line);
    const TCLAP::ValueArg<std::string> topology(
        "t", "topology", "JSON file like the body of POST /membership", false,
        "", "file", line);
    const TCLAP::ValueArg<std::uint64_t> seed("s", "seed", "seed of faults",
                                              false, 1, "number", line);
    const TCLAP::ValueArg<double> run_factor(
        "f", "run-factor", "real relative to declared run time", false, 1.0,
        "factor", line);
    const TCLAP::ValueArg<std::int64_t> usage_lag(
        "l", "usage-lag", "age of reported usage", false, 3000, "ms", line);
    const TCLAP::ValueArg<std::int64_t> checkpoints("c", "checkpoints",
                                                    "time between checkpoints",
                                                    false, 10000, "ms", line);
    const TCLAP::SwitchArg enforce_size(
        "e", "enforce-size", "refuse starts beyond a worker's size", line);
    const TCLAP::SwitchArg worker_ports("w", "worker-ports",
                                        "one port for each worker", line);
    line.parse(argc, argv);

    QCoreApplication application(argc, argv);
    standin_settings settings;
    settings.port = port.getValue();
    settings.seed = seed.getValue();
    settings.worker_ports = worker_ports.getValue();
    settings.workers.run_factor = run_factor.getValue();
    settings.workers.usage_lag =
        std::chrono::milliseconds(usage_lag.getValue());
    settings.workers.checkpoint_interval =
        std::chrono::milliseconds(checkpoints.getValue());
    settings.workers.enforce_size = enforce_size.getValue();
    platform_standin platform(settings);
    if (!topology.getValue().empty())
    {
        const auto list = json_fields::parse(read_file(topology.getValue()));
        platform.start_with_membership(json_fields::object(list, "topology"));
    }
    std::cout << "stand-ins listen on " << platform.address() << std::endl;
    return QCoreApplication::exec();
}

} // namespace

int main(int argc, char** argv)
{
    try
    {
        return run(argc, argv);
    }
    catch (const std::exception& error)
    {
        std::cerr << "hemlockdeal-standin: " << error.what() << '\n';
        return 1;
    }
}
