// Guards against configurations that revert, two changes that are accepted as
// the same version, and versions that do not reach a connected daemon.
#include <deque>
#include <memory>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "control/control.hpp"
#include "support/fake_table.hpp"

using namespace hemlockdeal;
using namespace std::chrono_literals;

namespace
{

// Accepts every text; the manager does not interpret the content.
struct any_declaration
{
    result<declaration> operator()(const std::string&) const
    {
        return declaration{};
    }
};

using manager = configuration_manager<any_declaration>;

const availability_zone_id zone("zone-a");

struct node
{
    std::unique_ptr<manager> daemon;
    bool table_cut = false;
    bool peers_cut = false;
    std::uint64_t max_version = 0;
};

// Daemons that share one table. Messages are delivered immediately unless a
// random fault drops them.
class cluster
{
public:
    explicit cluster(std::size_t size) : nodes_(size)
    {
        for (std::size_t i = 0; i < size; ++i)
        {
            restart(i);
        }
    }

    test::fake_table table;
    time_point now{100s};
    // Accepted versions by change ID, as reported to the operators.
    std::map<std::string, std::uint64_t> accepted;
    std::vector<std::string> violations;
    // Percentage of table requests and, independently, of commit responses that
    // are lost.
    int loss_percent = 0;
    std::function<int()> random_percent = [] { return 100; };

    std::vector<node>& nodes() { return nodes_; }

    void restart(std::size_t i)
    {
        nodes_[i].daemon = std::make_unique<manager>(
            vm_id("entry-" + std::to_string(i)), zone, any_declaration{});
        nodes_[i].max_version = 0;
    }

    void change(std::size_t i, const std::string& id)
    {
        configuration_change c;
        c.id = id;
        c.author = id;
        c.based_on = nodes_[i].daemon->state().version();
        const auto number = ++last_request_;
        requests_[number] = id;
        nodes_[i].daemon->on_operator(number, c, now, unix_ms());
        run_actions();
    }

    void step(duration d)
    {
        now += d;
        for (auto& n : nodes_)
        {
            n.daemon->on_tick(now, unix_ms(), {});
        }
        run_actions();
        check();
    }

private:
    std::int64_t unix_ms() const
    {
        return now.time_since_epoch().count() / 1000;
    }

    bool lost() { return random_percent() < loss_percent; }

    void run_actions()
    {
        for (bool busy = true; busy;)
        {
            busy = false;
            for (std::size_t i = 0; i < nodes_.size(); ++i)
            {
                for (auto& action : nodes_[i].daemon->take_actions())
                {
                    busy = true;
                    execute(i, action);
                }
            }
        }
    }

    void execute(std::size_t i, const control_action& action)
    {
        auto& n = nodes_[i];
        if (const auto* read = std::get_if<read_row>(&action))
        {
            if (n.table_cut || lost())
            {
                n.daemon->on_row(read->number,
                                 error{error_code::unavailable, "cut"}, now,
                                 unix_ms());
                return;
            }
            n.daemon->on_row(read->number, table.row(read->key), now,
                             unix_ms());
        }
        else if (const auto* send = std::get_if<send_commit>(&action))
        {
            commit_outcome outcome = commit_unknown{"cut"};
            if (!n.table_cut && !lost())
            {
                outcome = table.commit(send->commit);
                if (lost())
                {
                    outcome = commit_unknown{"answer lost"};
                }
            }
            n.daemon->on_outcome(send->commit.id, outcome, now, unix_ms());
        }
        else if (const auto* peer = std::get_if<send_to_peer>(&action))
        {
            deliver(i, *peer);
        }
        else if (const auto* reply = std::get_if<operator_answer>(&action))
        {
            record_reply(*reply);
        }
    }

    void deliver(std::size_t from, const send_to_peer& message)
    {
        for (std::size_t to = 0; to < nodes_.size(); ++to)
        {
            const vm_id receiver("entry-" + std::to_string(to));
            if (to == from || (message.to && *message.to != receiver) ||
                nodes_[from].peers_cut || nodes_[to].peers_cut)
            {
                continue;
            }
            peer_message m;
            m.sender = vm_id("entry-" + std::to_string(from));
            m.body = message.body;
            nodes_[to].daemon->on_peer(m, now, unix_ms());
        }
    }

    void record_reply(const operator_answer& reply)
    {
        const auto* done = std::get_if<change_accepted>(&reply.reply);
        if (done == nullptr)
        {
            return;
        }
        const auto& id = requests_[reply.number];
        const auto is_duplicate =
            std::ranges::any_of(accepted, [&](const auto& other) {
                return other.second == done->version.value() &&
                       other.first != id;
            });
        if (is_duplicate)
        {
            violations.push_back("two changes were accepted as version " +
                                 std::to_string(done->version.value()));
        }
        accepted[id] = done->version.value();
    }

    void check()
    {
        for (auto& n : nodes_)
        {
            const auto version = n.daemon->state().version().value();
            if (version < n.max_version)
            {
                violations.emplace_back("a version fell");
            }
            n.max_version = version;
        }
        for (const auto& [id, version] : accepted)
        {
            const auto row =
                table.row(configuration_key(configuration_version(version)));
            if (!row ||
                value_of(parse_configuration_row(row->value)).change != id)
            {
                violations.push_back("accepted change " + id + " was undone");
            }
        }
    }

    std::vector<node> nodes_;
    std::map<std::uint64_t, std::string> requests_;
    std::uint64_t last_request_ = 0;
};

// Applies random changes and faults; returns the violations found.
std::vector<std::string> run_random_faults(cluster& c, int steps)
{
    const auto count = static_cast<int>(c.nodes().size());
    c.loss_percent = *rc::gen::inRange(0, 40);
    c.random_percent = [] { return *rc::gen::inRange(0, 100); };
    for (int i = 0; i < steps; ++i)
    {
        const auto index =
            static_cast<std::size_t>(*rc::gen::inRange(0, count));
        auto& n = c.nodes()[index];
        switch (*rc::gen::inRange(0, 8))
        {
        case 0:
            n.table_cut = !n.table_cut;
            break;
        case 1:
            n.peers_cut = !n.peers_cut;
            break;
        case 2:
            c.restart(index);
            break;
        case 3:
        case 4:
            c.change(index, "change-" + std::to_string(i));
            break;
        default:
            break;
        }
        c.step(std::chrono::milliseconds(*rc::gen::inRange(10, 1200)));
    }
    return c.violations;
}

} // namespace

// Failure: with lost responses, restarts, partitions and concurrent writers, a
// version decreases, an accepted change is undone, or two changes are accepted
// as one version.
RC_GTEST_PROP(configuration_manager, accepted_changes_stay, ())
{
    cluster c(4);
    RC_ASSERT(run_random_faults(c, 30).empty());
}

// Failure: a daemon that is connected only through a peer does not receive an
// accepted version within the required 3 s.
RC_GTEST_PROP(configuration_manager, reaches_all_within_three_seconds, ())
{
    cluster c(4);
    run_random_faults(c, 20);
    c.loss_percent = 0;
    for (auto& n : c.nodes())
    {
        n.peers_cut = false;
        n.table_cut = true;
    }
    c.nodes()[0].table_cut = false;
    for (int i = 0; i < 100; ++i)
    {
        c.step(100ms);
    }
    c.change(0, "last");
    RC_ASSERT(c.accepted.contains("last"));
    for (int i = 0; i < 30; ++i)
    {
        c.step(100ms);
    }
    for (const auto& n : c.nodes())
    {
        RC_ASSERT(n.daemon->state().version().value() == c.accepted["last"]);
        RC_ASSERT(n.daemon->state().is_fresh(c.now));
    }
}

// Verifies that the checks detect a fault: a table that ignores the expected
// row versions accepts the changes of two operators as the same version.
TEST(configuration_manager, ignored_expectations_are_detected)
{
    cluster c(2);
    c.table.ignores_expectations = true;
    c.step(500ms);
    c.nodes()[0].peers_cut = true;
    c.random_percent = [] { return 100; };
    c.change(0, "first");
    c.nodes()[1].daemon =
        std::make_unique<manager>(vm_id("entry-1"), zone, any_declaration{});
    // Deletes the head row, so that the second writer sees what a stale read
    // would return.
    c.table.commit({commit_id("x"),
                    {},
                    {{configuration_head_key, expect_any{}, std::nullopt}}});
    c.change(1, "second");
    c.step(100ms);
    EXPECT_FALSE(c.violations.empty());
}

// Failure: the reply to the operator whose change lost a race does not name
// the accepted change.
TEST(configuration_manager, lost_race_reports_the_accepted_change)
{
    test::fake_table table;
    manager daemon(vm_id("entry-1"), zone, any_declaration{});
    const configuration_row accepted_row{
        configuration_version(1), "", {}, "ana", 0, "other"};
    table.commit({commit_id("w"),
                  {},
                  {{configuration_key(accepted_row.version), expect_absent{},
                    to_text(accepted_row)},
                   {configuration_head_key, expect_absent{},
                    head_to_text(accepted_row.version)}}});
    configuration_change change;
    change.id = "mine";
    change.author = "bento";
    daemon.on_operator(7, change, time_point(1s), 1000);
    std::optional<change_lost_race> lost;
    for (int round = 0; round < 3; ++round)
    {
        for (const auto& action : daemon.take_actions())
        {
            if (const auto* read = std::get_if<read_row>(&action))
            {
                daemon.on_row(read->number, table.row(read->key),
                              time_point(1s), 1000);
            }
            else if (const auto* reply = std::get_if<operator_answer>(&action))
            {
                lost = std::get<change_lost_race>(reply->reply);
            }
        }
    }
    ASSERT_TRUE(lost);
    EXPECT_EQ(lost->author, "ana");
    EXPECT_EQ(lost->version, configuration_version(1));
}

// Failure: a version whose row takes longer to transfer than a change may take
// is asked for again from its first byte and never adopted.
TEST(configuration_manager, version_is_adopted_however_long_its_transfer_takes)
{
    const configuration_version version(1);
    manager daemon(vm_id("entry-0"), zone, any_declaration{});
    time_point now{100s};
    std::vector<std::uint64_t> transfers;
    for (int step = 0; step < 24; ++step)
    {
        now += 500ms;
        daemon.on_tick(now, 0, {});
        for (const auto& action : daemon.take_actions())
        {
            const auto* const read = std::get_if<read_row>(&action);
            if (read == nullptr)
            {
                continue;
            }
            if (read->key != configuration_head_key)
            {
                transfers.push_back(read->number);
                continue;
            }
            daemon.on_row(
                read->number,
                table_row{read->key, row_version(1), head_to_text(version)},
                now, 0);
        }
    }
    ASSERT_EQ(transfers.size(), 1U);
    const configuration_row content{version, "", {}, "ana", 0, "first"};
    daemon.on_row(
        transfers.front(),
        table_row{configuration_key(version), row_version(1), to_text(content)},
        now, 0);
    EXPECT_EQ(daemon.state().version(), version);
}

// Failure: a daemon that has no list of VMs yet confirms for itself alone, and
// a change counts as in force everywhere.
TEST(configuration_manager, confirms_nothing_before_the_list_of_vms_is_known)
{
    manager daemon(vm_id("entry-0"), zone, any_declaration{});
    const auto reply = [&]() -> operator_reply {
        daemon.on_operator(1, confirmations_query{}, time_point(100s), 100'000);
        for (auto& action : daemon.take_actions())
        {
            if (auto* const answer = std::get_if<operator_answer>(&action))
            {
                return answer->reply;
            }
        }
        ADD_FAILURE() << "no reply";
        return {};
    };
    EXPECT_TRUE(std::holds_alternative<error>(reply()));
    daemon.set_known_vms({{vm_id("entry-0"), zone}, {vm_id("entry-1"), zone}});
    const auto later = reply();
    const auto* const daemons =
        std::get_if<std::vector<daemon_confirmation>>(&later);
    ASSERT_NE(daemons, nullptr);
    EXPECT_EQ(daemons->size(), 2U);
}
