// Compares requests through one proxy with requests sent directly to the
// stand-in endpoints: throughput, latency at half load, processor time and
// memory. Ratios are computed within one run, since absolute figures depend on
// the machine.
// Usage: proxy_bench [rounds] [seconds per measurement]
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <functional>
#include <future>
#include <thread>

#include <QEventLoop>
#include <QThread>
#include <malloc.h>
#include <netinet/in.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <unistd.h>

#include "load_generator.hpp"
#include "proxy/proxy.hpp"
#include "standin/endpoint_standin.hpp"

using namespace hemlockdeal;

namespace
{

constexpr std::size_t endpoints = 8;
constexpr std::size_t connections = 32;
constexpr std::size_t request_body = 200;
constexpr std::size_t response_body = 1000;
constexpr int idle_connections = 3000;

// Thread with an event loop, in which objects are created and called.
class loop_thread
{
public:
    // The name identifies the thread in profilers.
    explicit loop_thread(const char* name)
        : thread_(QThread::create([this] { run(); }))
    {
        thread_->setObjectName(name);
        thread_->setEventDispatcher(new epoll_dispatcher);
        thread_->start();
        ready_.get_future().wait();
    }

    ~loop_thread()
    {
        call([this] { loop_->quit(); });
        thread_->wait();
    }

    loop_thread(const loop_thread&) = delete;
    loop_thread& operator=(const loop_thread&) = delete;

    void call(const std::function<void()>& function)
    {
        QMetaObject::invokeMethod(loop_, function,
                                  Qt::BlockingQueuedConnection);
    }

    double processor_seconds()
    {
        rusage usage{};
        call([&] { getrusage(RUSAGE_THREAD, &usage); });
        const auto seconds = [](const timeval& t) {
            return static_cast<double>(t.tv_sec) +
                   static_cast<double>(t.tv_usec) / 1e6;
        };
        return seconds(usage.ru_utime) + seconds(usage.ru_stime);
    }

private:
    void run()
    {
        QEventLoop loop;
        loop_ = &loop;
        ready_.set_value();
        loop.exec();
    }

    std::promise<void> ready_;
    QEventLoop* loop_ = nullptr;
    std::unique_ptr<QThread> thread_;
};

configuration benchmark_configuration()
{
    configuration c;
    c.version = configuration_version(1);
    c.content.classes = {{class_id("read"), class_kind::latency_critical,
                          std::chrono::seconds(5)}};
    service s;
    s.id = service_id("orders");
    s.routes = {{"/read", class_id("read")}};
    c.content.services = {s};
    c.content.zones = {{availability_zone_id("zone-a"), region_id("region-1")}};
    return c;
}

member benchmark_member(const std::string& id, member_kind kind,
                        const std::string& address)
{
    member m;
    m.id = id;
    m.kind = kind;
    m.zone = availability_zone_id("zone-a");
    m.region = region_id("region-1");
    m.address = address;
    m.service = service_id("orders");
    m.slots = 8;
    m.connections = 64;
    return m;
}

// Endpoints in one thread and a proxy in another.
class benchmark_setup
{
public:
    benchmark_setup()
    {
        endpoint_thread_.call([this] { start_endpoints(); });
        proxy_thread_.call([this] { start_proxy(); });
    }

    ~benchmark_setup()
    {
        proxy_thread_.call([this] { proxy_.reset(); });
        endpoint_thread_.call([this] { endpoints_.clear(); });
    }

    benchmark_setup(const benchmark_setup&) = delete;
    benchmark_setup& operator=(const benchmark_setup&) = delete;

    loop_thread& proxy_thread() { return proxy_thread_; }
    loop_thread& endpoint_thread() { return endpoint_thread_; }
    const std::vector<std::uint16_t>& direct() const { return direct_; }
    const std::vector<std::uint16_t>& proxied() const { return proxied_; }

private:
    void start_endpoints()
    {
        endpoint_options options;
        options.response_bytes = response_body;
        options.counts_runs = false;
        for (std::size_t i = 0; i < endpoints; ++i)
        {
            endpoints_.push_back(std::make_unique<endpoint_standin>(options));
            if (!endpoints_.back()->listen("127.0.0.1", 0))
            {
                std::abort();
            }
            direct_.push_back(endpoints_.back()->port());
            list_.members.push_back(
                benchmark_member("i" + std::to_string(i), member_kind::endpoint,
                                 endpoints_.back()->address()));
        }
        list_.members.push_back(
            benchmark_member("entry-1", member_kind::entry_vm, ""));
    }

    void start_proxy()
    {
        request_settings settings;
        settings.vm = vm_id("entry-1");
        settings.zone = availability_zone_id("zone-a");
        settings.region = region_id("region-1");
        settings.process = incarnation(1);
        proxy_outputs outputs;
        outputs.commit = [](send_commit&) { return true; };
        outputs.read = [](read_row&) { return true; };
        outputs.to_peer = [](send_to_peer&&) {};
        outputs.event = [](record_event&&) {};
        proxy_ =
            std::make_unique<proxy_server<request_core<>>>(settings, outputs);
        if (!proxy_->listen("127.0.0.1", 0))
        {
            std::abort();
        }
        proxied_ = {proxy_->port()};
        proxy_->on_configuration(benchmark_configuration());
        proxy_->on_membership(list_);
    }

    loop_thread endpoint_thread_{"endpoints"};
    loop_thread proxy_thread_{"proxy"};
    membership_list list_;
    std::vector<std::uint16_t> direct_;
    std::vector<std::uint16_t> proxied_;
    std::vector<std::unique_ptr<endpoint_standin>> endpoints_;
    std::unique_ptr<proxy_server<request_core<>>> proxy_;
};

double median(std::vector<double> values)
{
    std::ranges::sort(values);
    return values.empty() ? 0.0 : values[values.size() / 2];
}

// Returns the resident memory after releasing free allocator memory.
double resident_kb()
{
    malloc_trim(0);
    std::ifstream file("/proc/self/statm");
    long total = 0;
    long resident = 0;
    file >> total >> resident;
    return static_cast<double>(resident * sysconf(_SC_PAGESIZE)) / 1024.0;
}

void print_result(const char* name, const load_result& r)
{
    std::printf("  %-8s %8.0f/s  p50 %6.0f us  p99 %6.0f us  p99.9 %6.0f us"
                "  failures %lu\n",
                name, r.per_second, r.percentile(50.0), r.percentile(99.0),
                r.percentile(99.9), static_cast<unsigned long>(r.failures));
}

struct round_results
{
    std::vector<double> throughput_ratio;
    std::vector<double> processor_us;
    std::vector<double> endpoint_us;
    std::vector<double> p50_ratio;
    std::vector<double> p99_ratio;
    std::vector<double> p999_ratio;
};

void measure_round(benchmark_setup& bed, std::chrono::milliseconds time,
                   round_results& results)
{
    load_generator direct(bed.direct(), connections, request_body);
    load_generator proxied(bed.proxied(), connections, request_body);
    direct.run(time / 10);
    proxied.run(time / 10);

    const double endpoint_before = bed.endpoint_thread().processor_seconds();
    const load_result d = direct.run(time);
    const double endpoint_used =
        bed.endpoint_thread().processor_seconds() - endpoint_before;
    const double before = bed.proxy_thread().processor_seconds();
    const load_result p = proxied.run(time);
    const double used = bed.proxy_thread().processor_seconds() - before;
    std::printf("full load, %zu connections\n", connections);
    print_result("direct", d);
    print_result("proxied", p);
    results.throughput_ratio.push_back(p.per_second / d.per_second);
    results.processor_us.push_back(1e6 * used /
                                   static_cast<double>(p.requests));

    results.endpoint_us.push_back(1e6 * endpoint_used /
                                  static_cast<double>(d.requests));

    // Both run at the same rate: half the throughput of the proxy.
    const double rate = p.per_second / 2.0;
    const load_result dh = direct.run(time, rate);
    const load_result ph = proxied.run(time, rate);
    std::printf("half load, %.0f requests/s\n", rate);
    print_result("direct", dh);
    print_result("proxied", ph);
    results.p50_ratio.push_back(ph.percentile(50.0) / dh.percentile(50.0));
    results.p99_ratio.push_back(ph.percentile(99.0) / dh.percentile(99.0));
    results.p999_ratio.push_back(ph.percentile(99.9) / dh.percentile(99.9));
}

// Uses plain sockets, whose memory belongs to the kernel, so that any growth of
// the process is due to the proxy.
std::vector<int> open_idle_connections(std::uint16_t port)
{
    std::vector<int> sockets;
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    for (int i = 0; i < idle_connections; ++i)
    {
        const int s = ::socket(AF_INET, SOCK_STREAM, 0);
        if (::connect(s, reinterpret_cast<const sockaddr*>(&address),
                      sizeof address) != 0)
        {
            std::perror("connect");
            std::abort();
        }
        sockets.push_back(s);
    }
    return sockets;
}

void measure_idle_connections(benchmark_setup& bed,
                              std::chrono::milliseconds time)
{
    const double memory_before = resident_kb();
    const auto sockets = open_idle_connections(bed.proxied().front());
    std::this_thread::sleep_for(std::chrono::seconds(1));
    const double memory = resident_kb() - memory_before;

    const double before = bed.proxy_thread().processor_seconds();
    std::this_thread::sleep_for(time);
    const double idle = bed.proxy_thread().processor_seconds() - before;

    load_generator proxied(bed.proxied(), connections, request_body);
    const double before_load = bed.proxy_thread().processor_seconds();
    const load_result p = proxied.run(time);
    const double used = bed.proxy_thread().processor_seconds() - before_load;

    const double seconds = static_cast<double>(time.count()) / 1000.0;
    std::printf("%d idle connections\n", idle_connections);
    std::printf("  memory            %.1f KB per connection\n",
                memory / idle_connections);
    std::printf("  processor         %.2f us per connection and second\n",
                1e6 * idle / seconds / idle_connections);
    std::printf(
        "  full load         %.0f/s, %.1f us processor time per request\n",
        p.per_second, 1e6 * used / static_cast<double>(p.requests));
    std::ranges::for_each(sockets, [](int s) { ::close(s); });
}

} // namespace

int main(int argc, char** argv)
{
    QCoreApplication::setEventDispatcher(new epoll_dispatcher);
    QCoreApplication application(argc, argv);
    const int rounds = argc > 1 ? std::atoi(argv[1]) : 5;
    const std::chrono::milliseconds time(1000 *
                                         (argc > 2 ? std::atoi(argv[2]) : 2));
    benchmark_setup bed;
    round_results results;
    for (int i = 0; i < rounds; ++i)
    {
        measure_round(bed, time, results);
    }
    std::printf("median of %d rounds, proxied / direct\n", rounds);
    std::printf("  throughput        %.2f (target: at least 0.50)\n",
                median(results.throughput_ratio));
    std::printf("  p50 at half load  %.2f\n", median(results.p50_ratio));
    std::printf("  p99 at half load  %.2f (target: at most 2.00)\n",
                median(results.p99_ratio));
    std::printf("  p99.9 at half     %.2f\n", median(results.p999_ratio));
    std::printf("  processor         %.1f us per request (stand-in: %.1f us)\n",
                median(results.processor_us), median(results.endpoint_us));
    measure_idle_connections(bed, time);
    return 0;
}
