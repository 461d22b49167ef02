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

constexpr std::array<unsigned, 3> interest_events = {EPOLLIN, EPOLLOUT,
                                                     EPOLLPRI};
// Errors and hang-ups trigger the read and write notifiers; the next read or
// write reports the error.
constexpr std::array<unsigned, 3> trigger_events = {
    EPOLLIN | EPOLLHUP | EPOLLERR, EPOLLOUT | EPOLLHUP | EPOLLERR, EPOLLPRI};

} // namespace

epoll_dispatcher::epoll_dispatcher(QObject* parent)
    : QAbstractEventDispatcher(parent),
      epoll_fd_(::epoll_create1(EPOLL_CLOEXEC)),
      wakeup_fd_(::eventfd(0, EFD_CLOEXEC | EFD_NONBLOCK))
{
    if (epoll_fd_ < 0 || wakeup_fd_ < 0)
    {
        qFatal("cannot create the epoll and eventfd descriptors");
    }
    epoll_event event{};
    event.events = EPOLLIN;
    event.data.fd = wakeup_fd_;
    ::epoll_ctl(epoll_fd_, EPOLL_CTL_ADD, wakeup_fd_, &event);
}

epoll_dispatcher::~epoll_dispatcher()
{
    ::close(wakeup_fd_);
    ::close(epoll_fd_);
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
    const bool had_socket_events = wait(milliseconds);
    const bool had_timer_events = fire_timers();
    return had_socket_events || had_timer_events;
}

unsigned epoll_dispatcher::requested_events(const registration& r)
{
    unsigned requested = 0;
    for (std::size_t type = 0; type < r.notifiers.size(); ++type)
    {
        requested |= r.notifiers[type] != nullptr ? interest_events[type] : 0U;
    }
    return requested;
}

void epoll_dispatcher::registerSocketNotifier(QSocketNotifier* notifier)
{
    const int descriptor = static_cast<int>(notifier->socket());
    registrations_[descriptor].notifiers[notifier->type()] = notifier;
    changed_descriptors_.insert(descriptor);
}

void epoll_dispatcher::unregisterSocketNotifier(QSocketNotifier* notifier)
{
    const int descriptor = static_cast<int>(notifier->socket());
    const auto found = registrations_.find(descriptor);
    if (found == registrations_.end())
    {
        return;
    }
    found->second.notifiers[notifier->type()] = nullptr;
    if (requested_events(found->second) != 0)
    {
        changed_descriptors_.insert(descriptor);
        return;
    }
    // The descriptor may be closed and its number reused before the next wait,
    // so it is removed immediately.
    if (found->second.registered_events != 0)
    {
        ::epoll_ctl(epoll_fd_, EPOLL_CTL_DEL, descriptor, nullptr);
    }
    registrations_.erase(found);
    changed_descriptors_.erase(descriptor);
}

void epoll_dispatcher::apply_changes()
{
    std::ranges::for_each(changed_descriptors_, [this](int descriptor) {
        registration& r = registrations_.at(descriptor);
        const unsigned requested = requested_events(r);
        if (requested == r.registered_events)
        {
            return;
        }
        epoll_event event{};
        event.events = requested;
        event.data.fd = descriptor;
        ::epoll_ctl(epoll_fd_,
                    r.registered_events == 0 ? EPOLL_CTL_ADD : EPOLL_CTL_MOD,
                    descriptor, &event);
        r.registered_events = requested;
    });
    changed_descriptors_.clear();
}

int epoll_dispatcher::wait_milliseconds(bool may_wait) const
{
    if (!may_wait)
    {
        return 0;
    }
    if (timer_queue_.empty())
    {
        return -1;
    }
    const auto remaining = std::chrono::ceil<std::chrono::milliseconds>(
        timer_queue_.begin()->first - clock::now());
    return static_cast<int>(std::clamp<std::int64_t>(
        remaining.count(), 0, std::numeric_limits<int>::max()));
}

bool epoll_dispatcher::wait(int milliseconds)
{
    std::array<epoll_event, events_per_wait> events; // NOLINT: filled below
    const int count =
        ::epoll_wait(epoll_fd_, events.data(), events_per_wait, milliseconds);
    for (int i = 0; i < count; ++i)
    {
        dispatch_events(events[i].data.fd, events[i].events);
    }
    return count > 0;
}

void epoll_dispatcher::dispatch_events(int descriptor, unsigned events)
{
    if (descriptor == wakeup_fd_)
    {
        clear_wakeup();
        return;
    }
    for (std::size_t type = 0; type < trigger_events.size(); ++type)
    {
        // Looked up for each type, because the handler of the previous event
        // may have changed the registration.
        const auto found = registrations_.find(descriptor);
        if (found == registrations_.end())
        {
            return;
        }
        QSocketNotifier* notifier = found->second.notifiers[type];
        if (notifier != nullptr && (events & trigger_events[type]) != 0)
        {
            QEvent event(QEvent::SockAct);
            QCoreApplication::sendEvent(notifier, &event);
        }
    }
}

void epoll_dispatcher::wakeUp()
{
    if (wakeup_pending_.exchange(true))
    {
        return;
    }
    const std::uint64_t one = 1;
    [[maybe_unused]] const auto written = ::write(wakeup_fd_, &one, sizeof one);
}

void epoll_dispatcher::clear_wakeup()
{
    std::uint64_t count = 0;
    [[maybe_unused]] const auto got = ::read(wakeup_fd_, &count, sizeof count);
    // A later wake-up writes to the eventfd again; posted events are sent at
    // the start of the next iteration.
    wakeup_pending_ = false;
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
    timer_queue_.emplace(t.due, id);
}

bool epoll_dispatcher::unregisterTimer(int id)
{
    const auto found = timers_.find(id);
    if (found == timers_.end())
    {
        return false;
    }
    timer_queue_.erase({found->second.due, id});
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
    const auto remaining = std::chrono::ceil<std::chrono::milliseconds>(
        found->second.due - clock::now());
    return static_cast<int>(std::max<std::int64_t>(remaining.count(), 0));
}

// Fires each timer that is currently due, at most once per call.
bool epoll_dispatcher::fire_timers()
{
    const auto now = clock::now();
    std::vector<int> due;
    for (auto t = timer_queue_.begin();
         t != timer_queue_.end() && t->first <= now; ++t)
    {
        due.push_back(t->second);
    }
    std::ranges::for_each(due, [&](int id) {
        const auto found = timers_.find(id);
        // The handler of an earlier timer may have stopped or restarted this
        // one.
        if (found == timers_.end() || found->second.due > now)
        {
            return;
        }
        timer& t = found->second;
        timer_queue_.erase({t.due, id});
        t.due = std::max(t.due + t.interval, now);
        timer_queue_.emplace(t.due, id);
        QTimerEvent event(id);
        QCoreApplication::sendEvent(t.object, &event);
    });
    return !due.empty();
}

} // namespace hemlockdeal
