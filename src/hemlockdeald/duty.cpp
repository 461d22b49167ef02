// Start and stop of a duty's thread.
#include "duty.hpp"

#include <QMetaObject>

namespace hemlockdeal
{

duty::duty(const QString& name, QAbstractEventDispatcher* dispatcher)
{
    if (dispatcher != nullptr)
    {
        thread_.setEventDispatcher(dispatcher);
    }
    thread_.setObjectName(name);
    context_.moveToThread(&thread_);
}

duty::~duty()
{
    stop();
}

void duty::start()
{
    thread_.start();
}

void duty::run_and_wait(const std::function<void()>& action)
{
    if (!thread_.isRunning())
    {
        action();
        return;
    }
    QMetaObject::invokeMethod(&context_, action, Qt::BlockingQueuedConnection);
}

void duty::stop()
{
    thread_.quit();
    thread_.wait();
}

} // namespace hemlockdeal
