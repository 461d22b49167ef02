// Guards against a list of workers that loses entries.
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <stdexcept>
#include <string>

#include <QByteArray>
#include <QCoreApplication>
#include <QElapsedTimer>
#include <QUrl>
#include <QUrlQuery>
#include <boost/json.hpp>
#include <gtest/gtest.h>

#include "declaration_feeds.hpp"

using namespace hemlockdeal;
using namespace hemlockdeal::adapter;

namespace
{

const std::string valid_entry =
    R"({"service":"s","address":"10.0.0.1:80","zone":"z","state":"ready",)"
    R"("capacity":{"cpu":16000,"mem_mb":64000}})";
class worker_feed_test : public testing::Test
{
protected:
    worker_feed_test() : application(argc, nullptr)
    {
        while (!server)
        {
            try
            {
                server = std::make_unique<http_server>(
                    address, http_server_limits{},
                    [this](const http_request& request,
                           const http_responder& responder) {
                        ++calls;
                        responder({200, {}, page_of(request.target)});
                    });
            }
            catch (const std::runtime_error&)
            {
                ++address.port;
            }
        }
        store = std::make_unique<store_port>(address);
        feed = std::make_unique<worker_feed>(
            *store, std::map<availability_zone_id, region_id>{});
    }

    std::string page_of(const std::string& target) const
    {
        const QUrlQuery query(QUrl(QString::fromStdString(target)));
        const auto item = [&](const char* name) {
            return query.queryItemValue(name, QUrl::FullyDecoded).toStdString();
        };
        boost::json::array page;
        bool has_more = false;
        for (auto row = rows.lower_bound(item("from")); row != rows.end();
             ++row)
        {
            has_more = page.size() == std::stoul(item("limit"));
            if (has_more)
            {
                break;
            }
            page.push_back(boost::json::object{
                {"table", "servers"},
                {"part", ""},
                {"key", row->first},
                {"ver", 5},
                {"value", QByteArray::fromStdString(row->second)
                              .toBase64()
                              .toStdString()}});
        }
        return boost::json::serialize(boost::json::object{
            {"rows", page}, {"ver", 5}, {"more_pages", has_more}});
    }

    node::worker_changes read_all()
    {
        std::optional<node::worker_list_outcome> outcome;
        feed->read_all(
            [&](const node::worker_list_outcome& o) { outcome = o; });
        QElapsedTimer passed;
        passed.start();
        while (!outcome && passed.elapsed() < 5000)
        {
            QCoreApplication::processEvents(QEventLoop::AllEvents, 10);
        }
        const auto* const changes =
            outcome ? std::get_if<node::worker_changes>(&*outcome) : nullptr;
        EXPECT_NE(changes, nullptr);
        return changes == nullptr ? node::worker_changes{} : *changes;
    }

    int argc = 0;
    QCoreApplication application;
    socket_address address{"127.0.0.1", 43100};
    std::unique_ptr<http_server> server;
    std::unique_ptr<store_port> store;
    std::unique_ptr<worker_feed> feed;
    std::map<std::string, std::string> rows;
    std::size_t calls = 0;
};

} // namespace

// Failure: an entry whose key goes on with a space or control character is
// skipped where a page ends, and its worker is not used.
TEST_F(worker_feed_test, no_entry_is_skipped_between_two_pages)
{
    for (int i = 1000; i < 1500; ++i)
    {
        rows["i-" + std::to_string(i)] = valid_entry;
    }
    for (const std::string next : {"\x01", " ", " 2", "!", "0"})
    {
        rows["i-1499" + next] = valid_entry;
    }
    const auto read = read_all();
    EXPECT_TRUE(read.is_snapshot);
    EXPECT_EQ(read.changes.size(), rows.size());
    EXPECT_EQ(calls, 2U);
    EXPECT_EQ(read.changes.back().id, worker_id("i-14990"));
}
