// A VM whose path to the store has a limited rate.
#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>

#include <QCoreApplication>
#include <QElapsedTimer>

#include "store_fixture.hpp"
#include "support/slow_link.hpp"

namespace hemlockdeal::adapter::test
{

class slow_store_fixture : public store_fixture
{
protected:
    using milliseconds = std::chrono::milliseconds;

    // In bytes a second.
    static constexpr double slow_rate = 150'000;
    static constexpr milliseconds patience{8000};

    slow_store_fixture()
        : link(store_address.port),
          port(std::make_unique<store_port>(
              socket_address{"127.0.0.1", link.port()}, budget))
    {}

    // Processes events until the condition holds; false after `patience`.
    bool wait_until(const std::function<bool()>& condition)
    {
        QElapsedTimer passed;
        passed.start();
        while (!condition() && passed.elapsed() < patience.count())
        {
            port->expire(boot_now());
            QCoreApplication::processEvents(QEventLoop::AllEvents, 10);
        }
        return condition();
    }

    // Bytes of responses that were given up.
    std::uint64_t wasted_bytes() const
    {
        std::uint64_t wasted = 0;
        for (const auto& [path, kind] : port->call_log().traffic())
        {
            wasted += kind.wasted;
        }
        return wasted;
    }

    const node::declaration_budget budget{milliseconds(4000)};
    hemlockdeal::test::slow_link link;
    std::unique_ptr<store_port> port;
};

} // namespace hemlockdeal::adapter::test
