// Start, stop and blocking calls of a thread with an event loop.
#include "event_loop_thread.hpp"

#include <QMetaObject>

namespace hemlockdeal
{

event_loop_thread::event_loop_thread(const QString& name,
                                     QAbstractEventDispatcher* dispatcher)
{
    if (dispatcher != nullptr)
    {
        thread_.setEventDispatcher(dispatcher);
    }
    thread_.setObjectName(name);
    context_.moveToThread(&thread_);
}

event_loop_thread::~event_loop_thread()
{
    stop();
}

void event_loop_thread::start()
{
    thread_.start();
}

void event_loop_thread::run_and_wait(const std::function<void()>& action)
{
    if (!thread_.isRunning())
    {
        action();
        return;
    }
    QMetaObject::invokeMethod(&context_, action, Qt::BlockingQueuedConnection);
}

void event_loop_thread::stop()
{
    thread_.quit();
    thread_.wait();
}

} // namespace hemlockdeal
