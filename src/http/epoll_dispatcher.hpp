// Event dispatcher for threads with thousands of sockets. Qt's own dispatchers
// call poll() with every socket in each iteration of the event loop: with 3,000
// idle callers this took 89% of the processor time of a request.
#pragma once

#include <array>
#include <atomic>
#include <chrono>
#include <set>
#include <unordered_map>
#include <unordered_set>
#include <utility>

#include <QAbstractEventDispatcher>

namespace hemlockdeal
{

// Install it with QThread::setEventDispatcher() before the thread starts. All
// timers have the precision of epoll_wait (1 ms), whatever timer type they
// request. processEvents() ignores all flags but WaitForMoreEvents.
class epoll_dispatcher : public QAbstractEventDispatcher
{
public:
    explicit epoll_dispatcher(QObject* parent = nullptr);
    ~epoll_dispatcher() override;

    bool processEvents(QEventLoop::ProcessEventsFlags flags) override;

    void registerSocketNotifier(QSocketNotifier* notifier) override;
    void unregisterSocketNotifier(QSocketNotifier* notifier) override;

    void registerTimer(int id, qint64 interval, Qt::TimerType type,
                       QObject* object) override;
    bool unregisterTimer(int id) override;
    bool unregisterTimers(QObject* object) override;
    QList<TimerInfo> registeredTimers(QObject* object) const override;
    int remainingTime(int id) override;

    // Thread-safe.
    void wakeUp() override;
    void interrupt() override;

private:
    using clock = std::chrono::steady_clock;

    struct registration
    {
        // Indexed by QSocketNotifier::Type: read, write, exception.
        std::array<QSocketNotifier*, 3> notifiers{};
        // Event mask registered with epoll; 0 when the descriptor is not
        // registered.
        unsigned registered_events = 0;
    };

    struct timer
    {
        std::chrono::milliseconds interval{};
        Qt::TimerType type = Qt::PreciseTimer;
        QObject* object = nullptr;
        clock::time_point due;
    };

    static unsigned requested_events(const registration& r);
    // Updates the epoll registrations before each wait. Sockets enable and
    // disable their write notifier for each write, so only the last state is
    // applied.
    void apply_changes();
    int wait_milliseconds(bool may_wait) const;
    bool wait(int milliseconds);
    void dispatch_events(int descriptor, unsigned events);
    void clear_wakeup();
    bool fire_timers();

    int epoll_fd_ = -1;
    int wakeup_fd_ = -1;
    std::unordered_map<int, registration> registrations_;
    std::unordered_set<int> changed_descriptors_;
    std::unordered_map<int, timer> timers_;
    // Timers by expiry. Invariant: one entry for each timer, with its `due`.
    std::set<std::pair<clock::time_point, int>> timer_queue_;
    std::atomic<bool> wakeup_pending_ = false;
    std::atomic<bool> interrupted_ = false;
};

} // namespace hemlockdeal
