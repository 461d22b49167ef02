// Implements the event dispatcher with epoll and an eventfd.
#include "http/epoll_dispatcher.hpp"

#include <algorithm>
#include <cstdint>
#include <limits>
#include <vector>

#include <QCoreApplication>
#include <QSocketNotifier>
#include <QTimerEvent>
#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <unistd.h>

namespace hemlockdeal
{

namespace
{

constexpr int events_per_wait = 256;

constexpr std::array<unsigned, 3> events_of_type = {EPOLLIN, EPOLLOUT,
                                                    EPOLLPRI};
// An error or hang-up is found by the next read or write.
constexpr std::array<unsigned, 3> triggers_of_type = {
    EPOLLIN | EPOLLHUP | EPOLLERR, EPOLLOUT | EPOLLHUP | EPOLLERR, EPOLLPRI};

} // namespace

epoll_dispatcher::epoll_dispatcher(QObject* parent)
    : QAbstractEventDispatcher(parent), epoll_(::epoll_create1(EPOLL_CLOEXEC)),
      wakeup_(::eventfd(0, EFD_CLOEXEC | EFD_NONBLOCK))
{
    if (epoll_ < 0 || wakeup_ < 0)
    {
        qFatal("cannot create the descriptors of the event loop");
    }
    epoll_event event{};
    event.events = EPOLLIN;
    event.data.fd = wakeup_;
    ::epoll_ctl(epoll_, EPOLL_CTL_ADD, wakeup_, &event);
}

epoll_dispatcher::~epoll_dispatcher()
{
    ::close(wakeup_);
    ::close(epoll_);
}

bool epoll_dispatcher::processEvents(QEventLoop::ProcessEventsFlags flags)
{
    interrupted_ = false;
    Q_EMIT awake();
    QCoreApplication::sendPostedEvents();
    const bool may_wait =
        flags.testFlag(QEventLoop::WaitForMoreEvents) && !interrupted_;
    apply_changes();
    const int milliseconds = wait_milliseconds(may_wait);
    if (milliseconds != 0)
    {
        Q_EMIT aboutToBlock();
    }
    const bool had_sockets = wait(milliseconds);
    const bool had_timers = fire_timers();
    return had_sockets || had_timers;
}

unsigned epoll_dispatcher::wanted_events(const watched& w)
{
    unsigned wanted = 0;
    for (std::size_t type = 0; type < w.notifiers.size(); ++type)
    {
        wanted |= w.notifiers[type] != nullptr ? events_of_type[type] : 0U;
    }
    return wanted;
}

void epoll_dispatcher::registerSocketNotifier(QSocketNotifier* notifier)
{
    const int descriptor = static_cast<int>(notifier->socket());
    watched_[descriptor].notifiers[notifier->type()] = notifier;
    changed_.insert(descriptor);
}

void epoll_dispatcher::unregisterSocketNotifier(QSocketNotifier* notifier)
{
    const int descriptor = static_cast<int>(notifier->socket());
    const auto found = watched_.find(descriptor);
    if (found == watched_.end())
    {
        return;
    }
    found->second.notifiers[notifier->type()] = nullptr;
    if (wanted_events(found->second) != 0)
    {
        changed_.insert(descriptor);
        return;
    }
    // The descriptor may be closed and its number used again before the next
    // wait, so it is removed at once.
    if (found->second.applied != 0)
    {
        ::epoll_ctl(epoll_, EPOLL_CTL_DEL, descriptor, nullptr);
    }
    watched_.erase(found);
    changed_.erase(descriptor);
}

void epoll_dispatcher::apply_changes()
{
    std::ranges::for_each(changed_, [this](int descriptor) {
        watched& w = watched_.at(descriptor);
        const unsigned wanted = wanted_events(w);
        if (wanted == w.applied)
        {
            return;
        }
        epoll_event event{};
        event.events = wanted;
        event.data.fd = descriptor;
        ::epoll_ctl(epoll_, w.applied == 0 ? EPOLL_CTL_ADD : EPOLL_CTL_MOD,
                    descriptor, &event);
        w.applied = wanted;
    });
    changed_.clear();
}

int epoll_dispatcher::wait_milliseconds(bool may_wait) const
{
    if (!may_wait)
    {
        return 0;
    }
    if (order_.empty())
    {
        return -1;
    }
    const auto left = std::chrono::ceil<std::chrono::milliseconds>(
        order_.begin()->first - clock::now());
    return static_cast<int>(std::clamp<std::int64_t>(
        left.count(), 0, std::numeric_limits<int>::max()));
}

bool epoll_dispatcher::wait(int milliseconds)
{
    std::array<epoll_event, events_per_wait> events; // NOLINT: filled below
    const int count =
        ::epoll_wait(epoll_, events.data(), events_per_wait, milliseconds);
    for (int i = 0; i < count; ++i)
    {
        activate(events[i].data.fd, events[i].events);
    }
    return count > 0;
}

void epoll_dispatcher::activate(int descriptor, unsigned events)
{
    if (descriptor == wakeup_)
    {
        take_wakeup();
        return;
    }
    for (std::size_t type = 0; type < triggers_of_type.size(); ++type)
    {
        // Looked up each time, because the event before may have changed it.
        const auto found = watched_.find(descriptor);
        if (found == watched_.end())
        {
            return;
        }
        QSocketNotifier* notifier = found->second.notifiers[type];
        if (notifier != nullptr && (events & triggers_of_type[type]) != 0)
        {
            QEvent event(QEvent::SockAct);
            QCoreApplication::sendEvent(notifier, &event);
        }
    }
}

void epoll_dispatcher::wakeUp()
{
    if (woken_.exchange(true))
    {
        return;
    }
    const std::uint64_t one = 1;
    [[maybe_unused]] const auto written = ::write(wakeup_, &one, sizeof one);
}

void epoll_dispatcher::take_wakeup()
{
    std::uint64_t count = 0;
    [[maybe_unused]] const auto got = ::read(wakeup_, &count, sizeof count);
    // A wake-up after this writes again, and the posted events are sent at the
    // start of the next turn.
    woken_ = false;
}

void epoll_dispatcher::interrupt()
{
    interrupted_ = true;
    wakeUp();
}

void epoll_dispatcher::registerTimer(int id, qint64 interval,
                                     Qt::TimerType type, QObject* object)
{
    const std::chrono::milliseconds time(interval);
    const timer t{time, type, object, clock::now() + time};
    timers_[id] = t;
    order_.emplace(t.due, id);
}

bool epoll_dispatcher::unregisterTimer(int id)
{
    const auto found = timers_.find(id);
    if (found == timers_.end())
    {
        return false;
    }
    order_.erase({found->second.due, id});
    timers_.erase(found);
    return true;
}

bool epoll_dispatcher::unregisterTimers(QObject* object)
{
    const auto timers = registeredTimers(object);
    std::ranges::for_each(
        timers, [this](const TimerInfo& t) { unregisterTimer(t.timerId); });
    return !timers.isEmpty();
}

QList<QAbstractEventDispatcher::TimerInfo>
epoll_dispatcher::registeredTimers(QObject* object) const
{
    QList<TimerInfo> timers;
    std::ranges::for_each(timers_, [&](const auto& entry) {
        if (entry.second.object == object)
        {
            timers.append(TimerInfo(
                entry.first, static_cast<int>(entry.second.interval.count()),
                entry.second.type));
        }
    });
    return timers;
}

int epoll_dispatcher::remainingTime(int id)
{
    const auto found = timers_.find(id);
    if (found == timers_.end())
    {
        return -1;
    }
    const auto left = std::chrono::ceil<std::chrono::milliseconds>(
        found->second.due - clock::now());
    return static_cast<int>(std::max<std::int64_t>(left.count(), 0));
}

// Fires each timer that is due now once.
bool epoll_dispatcher::fire_timers()
{
    const auto now = clock::now();
    std::vector<int> due;
    for (auto t = order_.begin(); t != order_.end() && t->first <= now; ++t)
    {
        due.push_back(t->second);
    }
    std::ranges::for_each(due, [&](int id) {
        const auto found = timers_.find(id);
        // A timer that fired before may have stopped or restarted this one.
        if (found == timers_.end() || found->second.due > now)
        {
            return;
        }
        timer& t = found->second;
        order_.erase({t.due, id});
        t.due = std::max(t.due + t.interval, now);
        order_.emplace(t.due, id);
        QTimerEvent event(id);
        QCoreApplication::sendEvent(t.object, &event);
    });
    return !due.empty();
}

} // namespace hemlockdeal
