// Runs the tests with an event loop.
#include <QCoreApplication>
#include <gtest/gtest.h>

#include "http/http.hpp"

int main(int argc, char** argv)
{
    // The same dispatcher as in the entry VM's program.
    QCoreApplication::setEventDispatcher(new hemlockdeal::epoll_dispatcher);
    QCoreApplication application(argc, argv);
    testing::InitGoogleTest(&argc, argv);
    return RUN_ALL_TESTS();
}
