// Test program with a QCoreApplication, whose event dispatcher Qt's sockets
// need.
#include <QCoreApplication>

#include <gtest/gtest.h>

int main(int argc, char** argv)
{
    const QCoreApplication application(argc, argv);
    testing::InitGoogleTest(&argc, argv);
    return RUN_ALL_TESTS();
}
