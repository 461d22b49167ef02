// Creates the application object, which event loops require, before the first
// test.
#include <memory>

#include <QCoreApplication>
#include <gtest/gtest.h>

#include "proxy/proxy.hpp"

namespace
{

class application_environment : public testing::Environment
{
public:
    void SetUp() override
    {
        // The same dispatcher as in the daemon's proxy thread.
        QCoreApplication::setEventDispatcher(new hemlockdeal::epoll_dispatcher);
        application_ = std::make_unique<QCoreApplication>(argc_, nullptr);
    }
    void TearDown() override { application_.reset(); }

private:
    int argc_ = 0;
    std::unique_ptr<QCoreApplication> application_;
};

[[maybe_unused]] const auto* const environment =
    testing::AddGlobalTestEnvironment(new application_environment);

} // namespace
