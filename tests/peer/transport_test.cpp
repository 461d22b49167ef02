// Tests of the peer transport: messages from unauthenticated clients, malformed
// input on the port, and connections that stall without being closed.
#include <atomic>
#include <condition_variable>
#include <mutex>
#include <random>

#include <arpa/inet.h>
#include <gmock/gmock.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include "peer/peer.hpp"
#include "random_message.hpp"

using namespace hemlockdeal;
using namespace hemlockdeal::test;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace
{

// The transport of one daemon; records the calls of its handlers.
class node
{
public:
    explicit node(std::string id) : id_(std::move(id)) {}

    void start(std::vector<peer_address> known = {},
               milliseconds heartbeat = milliseconds(1000))
    {
        peer_transport_settings settings;
        settings.listen = "127.0.0.1:0";
        settings.public_key = keys.public_key;
        settings.secret_key = keys.secret_key;
        settings.known = std::move(known);
        settings.heartbeat_interval = heartbeat;
        settings.heartbeat_timeout = 3 * heartbeat;
        transport = std::make_unique<peer_transport>(
            settings,
            peer_handlers{[this](peer_message m) {
                              update([&] { received.push_back(std::move(m)); });
                          },
                          [this](const vm_id& peer, bool up) {
                              update([&] { connected[peer.value()] = up; });
                          },
                          [this](const std::string& reason) {
                              update([&] { refusals.push_back(reason); });
                          }});
    }

    // Address and key of this node, optionally with another address.
    peer_address own_address(const std::string& address = {}) const
    {
        return {vm_id(id_), address.empty() ? transport->address() : address,
                keys.public_key};
    }

    template <typename Condition>
    bool wait_for(Condition condition, milliseconds time = seconds(10))
    {
        std::unique_lock lock(mutex_);
        return changed_.wait_for(lock, time, [&] { return condition(*this); });
    }

    bool wait_for_connection(const std::string& peer, bool up,
                             milliseconds time = seconds(10))
    {
        return wait_for(
            [&](node& n) {
                const auto state = n.connected.find(peer);
                return state != n.connected.end() && state->second == up;
            },
            time);
    }

    std::size_t received_count()
    {
        const std::lock_guard lock(mutex_);
        return received.size();
    }

    curve_key_pair keys = make_curve_key_pair();
    std::vector<peer_message> received;
    std::map<std::string, bool> connected;
    std::vector<std::string> refusals;

private:
    template <typename Change>
    void update(Change change)
    {
        {
            const std::lock_guard lock(mutex_);
            change();
        }
        changed_.notify_all();
    }

    std::mutex mutex_; // guards received, connected and refusals
    std::condition_variable changed_;
    std::string id_;

public:
    // Declared last: its thread must end before the other members are
    // destroyed.
    std::unique_ptr<peer_transport> transport;
};

peer_message make_message(const std::string& sender, std::uint64_t number)
{
    return {vm_id(sender), incarnation(1), {}, confirm_request{number}};
}

bool has_received(node& n, std::size_t count)
{
    return n.received.size() >= count;
}

// Number in messages whose arrival does not matter.
constexpr std::uint64_t early_message = 1'000'000;

struct transport_test : testing::Test
{
    // Starts both nodes and connects each to the other.
    void connect_nodes()
    {
        a.start();
        b.start();
        a.transport->add_peer(b.own_address());
        b.transport->add_peer(a.own_address());
        ASSERT_TRUE(a.wait_for_connection("b", true));
        ASSERT_TRUE(b.wait_for_connection("a", true));
    }

    // True once `a` has counted exactly this many bytes sent to `b`.
    bool wait_for_bytes_sent(std::uint64_t expected)
    {
        const auto is_counted = [&] {
            return a.transport->bytes()[vm_id("b")].bytes_sent == expected;
        };
        const auto end = std::chrono::steady_clock::now() + seconds(10);
        while (!is_counted() && std::chrono::steady_clock::now() < end)
        {
            std::this_thread::sleep_for(std::chrono::microseconds(50));
        }
        return is_counted();
    }

    // Sends a message to `b` and waits until the transport sent or dropped it,
    // so that the queues do not fill.
    bool send_until_handled(std::uint64_t number)
    {
        const auto handled = [&] {
            const auto traffic = a.transport->bytes()[vm_id("b")];
            return traffic.bytes_sent + traffic.dropped;
        };
        const auto before = handled();
        const auto sent =
            a.transport->send(vm_id("b"), make_message("a", number));
        const auto end = std::chrono::steady_clock::now() + seconds(10);
        while (handled() == before && std::chrono::steady_clock::now() < end)
        {
            std::this_thread::sleep_for(std::chrono::microseconds(50));
        }
        return sent && handled() != before;
    }

    node a{"a"};
    node b{"b"};
};

int connect_to(const std::string& address)
{
    const auto colon = address.find(':');
    sockaddr_in to{};
    to.sin_family = AF_INET;
    to.sin_port =
        htons(static_cast<std::uint16_t>(std::stoi(address.substr(colon + 1))));
    to.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    EXPECT_EQ(connect(descriptor, reinterpret_cast<sockaddr*>(&to), sizeof to),
              0);
    return descriptor;
}

// TCP proxy whose connections can be stalled: they stay open, but no bytes are
// forwarded any more.
class stallable_proxy
{
public:
    explicit stallable_proxy(std::string target) : target_(std::move(target))
    {
        sockaddr_in own{};
        own.sin_family = AF_INET;
        own.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        socklen_t size = sizeof own;
        listener_ = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        EXPECT_EQ(bind(listener_, reinterpret_cast<sockaddr*>(&own), size), 0);
        EXPECT_EQ(listen(listener_, 8), 0);
        getsockname(listener_, reinterpret_cast<sockaddr*>(&own), &size);
        address_ = "127.0.0.1:" + std::to_string(ntohs(own.sin_port));
        thread_ = std::thread([this] { run(); });
    }

    ~stallable_proxy()
    {
        stopping_ = true;
        thread_.join();
        std::ranges::for_each(pairs_, [](const auto& pair) {
            close(pair.first);
            close(pair.second);
        });
        close(listener_);
    }

    const std::string& address() const { return address_; }
    // Stalls all open connections permanently; new connections work.
    void stall_open_connections() { stall_requested_ = true; }

private:
    void run()
    {
        while (!stopping_)
        {
            if (stall_requested_.exchange(false))
            {
                first_forwarded_ = pairs_.size();
            }
            std::vector<pollfd> polled{{listener_, POLLIN, 0}};
            for (auto i = first_forwarded_; i < pairs_.size(); ++i)
            {
                polled.push_back({pairs_[i].first, POLLIN, 0});
                polled.push_back({pairs_[i].second, POLLIN, 0});
            }
            poll(polled.data(), polled.size(), 20);
            for (std::size_t i = 1; i < polled.size() && !stall_requested_; ++i)
            {
                const auto& pair = pairs_[first_forwarded_ + (i - 1) / 2];
                forward(polled[i], i % 2 == 1 ? pair.second : pair.first);
            }
            if (polled[0].revents != 0)
            {
                pairs_.emplace_back(accept(listener_, nullptr, nullptr),
                                    connect_to(target_));
            }
        }
    }

    static void forward(const pollfd& from, int to)
    {
        std::array<char, 4096> bytes{};
        if (from.revents == 0)
        {
            return;
        }
        const auto size = recv(from.fd, bytes.data(), bytes.size(), 0);
        if (size <= 0)
        {
            shutdown(to, SHUT_WR);
            return;
        }
        send(to, bytes.data(), static_cast<std::size_t>(size), MSG_NOSIGNAL);
    }

    std::string target_;
    std::string address_;
    int listener_ = -1;
    std::vector<std::pair<int, int>> pairs_;
    std::size_t first_forwarded_ = 0;
    std::atomic<bool> stall_requested_ = false;
    std::atomic<bool> stopping_ = false;
    std::thread thread_;
};

} // namespace

// Failure: a type of message is not delivered, or out of order.
TEST_F(transport_test, each_body_arrives)
{
    connect_nodes();
    EXPECT_TRUE(rc::check([&] {
        std::vector<peer_message> sent;
        for (std::size_t i = 0; i < std::variant_size_v<peer_body>; ++i)
        {
            sent.push_back(any_message(i, "a"));
        }
        const auto before = b.received_count();
        for (const auto& message : sent)
        {
            RC_ASSERT(a.transport->send(vm_id("b"), message));
        }
        RC_ASSERT(b.wait_for(
            [&](node& n) { return has_received(n, before + sent.size()); }));
        for (std::size_t i = 0; i < sent.size(); ++i)
        {
            RC_ASSERT(equal(b.received.at(before + i), sent[i]));
        }
    }));
    const auto received = b.transport->bytes().at(vm_id("a")).bytes_received;
    EXPECT_GT(received, 0U);
    // The sender counts a message just after it has handed it over.
    EXPECT_TRUE(wait_for_bytes_sent(received))
        << a.transport->bytes().at(vm_id("b")).bytes_sent
        << " bytes sent, expected " << received;
}

// Failure: a broadcast reaches only some peers, or a peer cannot reply.
TEST_F(transport_test, message_to_all_reaches_all)
{
    connect_nodes();
    node c{"c"};
    c.start({a.own_address(), b.own_address()});
    a.transport->add_peer(c.own_address());
    b.transport->add_peer(c.own_address());
    ASSERT_TRUE(c.wait_for_connection("a", true));
    ASSERT_TRUE(c.wait_for_connection("b", true));
    ASSERT_TRUE(c.transport->send_to_all(make_message("c", 1)));
    EXPECT_TRUE(a.wait_for([](node& n) { return has_received(n, 1); }));
    EXPECT_TRUE(b.wait_for([](node& n) { return has_received(n, 1); }));
    ASSERT_TRUE(a.wait_for_connection("c", true));
    ASSERT_TRUE(a.transport->send(vm_id("c"), make_message("a", 1)));
    EXPECT_TRUE(c.wait_for([](node& n) { return has_received(n, 1); }));
}

// Failure: a daemon that starts before a peer has its key is refused once and
// never connects to that peer again.
TEST_F(transport_test, peer_that_adds_the_key_later_is_connected)
{
    connect_nodes();
    node c{"c"};
    c.start({b.own_address()});
    EXPECT_FALSE(c.wait_for(
        [](node& n) { return n.connected.contains("b") && n.connected["b"]; },
        milliseconds(500)));
    b.transport->add_peer(c.own_address());
    ASSERT_TRUE(c.wait_for_connection("b", true));
    ASSERT_TRUE(c.transport->send(vm_id("b"), make_message("c", 1)));
    EXPECT_TRUE(b.wait_for([](node& n) { return has_received(n, 1); }));
}

// Failure: messages of a daemon with an unknown key are accepted.
TEST_F(transport_test, unknown_key_is_refused)
{
    connect_nodes();
    node unknown_client{"a"};
    unknown_client.start({b.own_address()});
    EXPECT_TRUE(b.wait_for([&](node& n) {
        return std::ranges::any_of(n.refusals, [&](const auto& reason) {
            return reason.find(unknown_client.keys.public_key) !=
                   std::string::npos;
        });
    }));
    unknown_client.transport->send(vm_id("b"), make_message("a", 666));
    ASSERT_TRUE(a.transport->send(vm_id("b"), make_message("a", 1)));
    EXPECT_TRUE(b.wait_for([](node& n) { return has_received(n, 1); }));
    EXPECT_EQ(std::get<confirm_request>(b.received.at(0).body).number, 1U);
    EXPECT_EQ(b.received_count(), 1U);
    EXPECT_GT(b.transport->refused(), 0U);
    EXPECT_FALSE(unknown_client.connected["b"]);
}

// Failure: a daemon sends a message with another daemon's id as the sender.
TEST_F(transport_test, sender_must_own_the_key)
{
    connect_nodes();
    a.transport->send(vm_id("b"), make_message("c", 666));
    EXPECT_TRUE(b.wait_for([](node& n) { return !n.refusals.empty(); }));
    EXPECT_EQ(b.received_count(), 0U);
}

// Failure: a daemon sends messages to a server that has the peer's address but
// not its key.
TEST_F(transport_test, server_with_a_wrong_key_receives_nothing)
{
    a.start();
    b.start();
    b.transport->add_peer(a.own_address());
    auto wrong = b.own_address();
    wrong.public_key = make_curve_key_pair().public_key;
    a.transport->add_peer(wrong);
    EXPECT_FALSE(a.wait_for([](node& n) { return n.connected["b"]; },
                            milliseconds(500)));
    // Otherwise the transport may handle it after the right key was added.
    ASSERT_TRUE(send_until_handled(1));
    EXPECT_EQ(a.transport->bytes().at(vm_id("b")).bytes_sent, 0U);
    a.transport->add_peer(b.own_address());
    ASSERT_TRUE(a.wait_for_connection("b", true));
    a.transport->send(vm_id("b"), make_message("a", 2));
    ASSERT_TRUE(b.wait_for([](node& n) { return has_received(n, 1); }));
    EXPECT_EQ(std::get<confirm_request>(b.received.at(0).body).number, 2U);
}

// Failure: a peer is replaced while its connection is being set up, and the
// transport then serves no connection any more.
TEST_F(transport_test, peer_replaced_during_handshakes_does_not_block_others)
{
    constexpr int rounds = 100;
    // Closed sockets count towards ZeroMQ's limit of 1,023 until its own
    // threads have processed them.
    constexpr int replacements_per_round = 20;
    constexpr int max_pause_us = 1000;
    a.start();
    b.start({a.own_address()});
    node c{"c"};
    c.start({a.own_address()});
    std::mt19937 random(20261205);
    for (int round = 0; round < rounds; ++round)
    {
        for (int i = 0; i < replacements_per_round; ++i)
        {
            a.transport->add_peer(b.own_address());
            std::this_thread::sleep_for(
                std::chrono::microseconds(random() % max_pause_us));
        }
        a.transport->add_peer(c.own_address());
        ASSERT_TRUE(a.wait_for_connection("c", true)) << "round " << round;
        a.transport->remove_peer(vm_id("c"));
        ASSERT_TRUE(a.wait_for_connection("c", false)) << "round " << round;
    }
}

// Failure: a message sent right after a connection was reported is dropped,
// because another one was dropped shortly before.
TEST_F(transport_test, message_after_the_report_of_a_connection_arrives)
{
    constexpr std::size_t rounds = 20;
    a.start();
    b.start();
    b.transport->add_peer(a.own_address());
    for (std::size_t round = 0; round < rounds; ++round)
    {
        a.transport->add_peer(b.own_address());
        while (!a.wait_for_connection("b", true, milliseconds(0)))
        {
            ASSERT_TRUE(send_until_handled(early_message));
        }
        ASSERT_TRUE(a.transport->send(vm_id("b"), make_message("a", round)));
        ASSERT_TRUE(b.wait_for([&](node& n) {
            return std::ranges::any_of(n.received, [&](const auto& m) {
                return std::get<confirm_request>(m.body).number == round;
            });
        })) << "round "
            << round;
        a.transport->remove_peer(vm_id("b"));
        ASSERT_TRUE(a.wait_for_connection("b", false));
    }
}

// Failure: messages of a burst are dropped although the queue to the peer is
// nearly empty.
TEST_F(transport_test, bursts_smaller_than_the_queue_arrive)
{
    constexpr std::size_t burst = 100;
    constexpr std::size_t rounds = 200;
    connect_nodes();
    for (std::size_t round = 1; round <= rounds; ++round)
    {
        for (std::size_t i = 0; i < burst; ++i)
        {
            ASSERT_TRUE(a.transport->send(vm_id("b"), make_message("a", i)));
        }
        const auto arrived =
            b.wait_for([&](node& n) { return has_received(n, round * burst); });
        ASSERT_TRUE(arrived)
            << "round " << round << ": "
            << a.transport->bytes().at(vm_id("b")).dropped << " dropped";
    }
}

// Failure: messages of a removed peer are still accepted on its open
// connection.
TEST_F(transport_test, messages_of_a_removed_peer_are_refused)
{
    connect_nodes();
    b.transport->remove_peer(vm_id("a"));
    ASSERT_TRUE(b.wait_for_connection("a", false));
    a.transport->send(vm_id("b"), make_message("a", 1));
    EXPECT_TRUE(b.wait_for([](node& n) { return !n.refusals.empty(); }));
    EXPECT_EQ(b.received_count(), 0U);
}

// Failure: malformed bytes from an unauthenticated client make the port
// unusable for the other peers.
TEST_F(transport_test, random_bytes_do_not_break_the_port)
{
    connect_nodes();
    std::mt19937 random(7);
    for (int i = 0; i < 50; ++i)
    {
        const int unknown_client = connect_to(b.transport->address());
        std::string noise(random() % 2000, '\0');
        std::ranges::generate(noise,
                              [&] { return static_cast<char>(random()); });
        if (i % 2 == 0)
        {
            // A valid ZMTP 3.1 greeting before the random bytes.
            std::string greeting("\xff\0\0\0\0\0\0\0\1\x7f\3\1CURVE", 17);
            greeting.resize(64, '\0');
            noise.insert(0, greeting);
        }
        send(unknown_client, noise.data(), noise.size(), MSG_NOSIGNAL);
        close(unknown_client);
    }
    ASSERT_TRUE(a.transport->send(vm_id("b"), make_message("a", 1)));
    EXPECT_TRUE(b.wait_for([](node& n) { return has_received(n, 1); }));
    EXPECT_EQ(b.received_count(), 1U);
    node late{"late"};
    b.transport->add_peer({vm_id("late"), "127.0.0.1:1", late.keys.public_key});
    late.start({b.own_address()});
    EXPECT_TRUE(late.wait_for_connection("b", true));
}

// Failure: a stalled connection still counts as connected and is not replaced.
TEST_F(transport_test, stalled_connection_is_detected_and_replaced)
{
    const milliseconds heartbeat(100);
    a.start({}, heartbeat);
    b.start({}, heartbeat);
    stallable_proxy proxy(b.transport->address());
    b.transport->add_peer(a.own_address());
    a.transport->add_peer(b.own_address(proxy.address()));
    ASSERT_TRUE(a.wait_for_connection("b", true));
    const auto start = std::chrono::steady_clock::now();
    proxy.stall_open_connections();
    ASSERT_TRUE(a.wait_for_connection("b", false));
    EXPECT_GE(std::chrono::steady_clock::now() - start, 2 * heartbeat);
    ASSERT_TRUE(a.wait_for_connection("b", true));
    ASSERT_TRUE(a.transport->send(vm_id("b"), make_message("a", 1)));
    EXPECT_TRUE(b.wait_for([](node& n) { return has_received(n, 1); }));
}

// Failure: messages to an unreachable peer are queued and delivered much later,
// or block the shutdown.
TEST_F(transport_test, messages_to_an_unreachable_peer_are_dropped)
{
    a.start({{vm_id("b"), "127.0.0.1:1", b.keys.public_key}});
    for (std::uint64_t i = 0; i < 100; ++i)
    {
        a.transport->send(vm_id("b"), make_message("a", i));
    }
    a.transport->send(vm_id("nobody"), make_message("a", 1));
    const auto dropped = [&] {
        const auto bytes = a.transport->bytes();
        const auto nobody = bytes.find(vm_id("nobody"));
        return nobody != bytes.end() && nobody->second.dropped == 1;
    };
    for (int i = 0; i < 1000 && !dropped(); ++i)
    {
        std::this_thread::sleep_for(milliseconds(10));
    }
    EXPECT_TRUE(dropped());
    EXPECT_EQ(a.transport->bytes().at(vm_id("b")).dropped, 100U);
    const auto start = std::chrono::steady_clock::now();
    a.transport.reset();
    EXPECT_LT(std::chrono::steady_clock::now() - start, seconds(1));
}

// Failure: a peer with an invalid address or key prevents others from being
// added.
TEST_F(transport_test, invalid_peer_is_reported_and_others_are_added)
{
    a.start();
    b.start({a.own_address()});
    a.transport->add_peer({vm_id("c"), "nowhere", b.keys.public_key});
    a.transport->add_peer({vm_id("d"), "127.0.0.1:1", "short"});
    a.transport->add_peer(b.own_address());
    EXPECT_TRUE(a.wait_for_connection("b", true));
    EXPECT_TRUE(a.wait_for([](node& n) { return n.refusals.size() == 2; }));
}

// Failure: a transport with invalid settings starts without an error.
TEST_F(transport_test, invalid_settings_are_reported)
{
    a.start();
    peer_transport_settings settings;
    settings.listen = a.transport->address();
    settings.public_key = b.keys.public_key;
    settings.secret_key = b.keys.secret_key;
    EXPECT_THROW(peer_transport(settings, {}), std::runtime_error);
    settings.listen = "127.0.0.1:0";
    settings.secret_key = "short";
    EXPECT_THROW(peer_transport(settings, {}), std::runtime_error);
}
