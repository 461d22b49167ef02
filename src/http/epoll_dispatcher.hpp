// Event dispatcher for threads with thousands of sockets. Qt's own ones call
// poll() with every socket for each turn of the loop: with 3,000 idle callers
// that was 89% of the processor time of a request.
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

// Set it with QThread::setEventDispatcher() before the thread starts. Timers
// are as precise as epoll_wait (1 ms), whatever type they ask for. Of the
// flags of processEvents() only WaitForMoreEvents is considered.
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

    // May be called from any thread.
    void wakeUp() override;
    void interrupt() override;

private:
    using clock = std::chrono::steady_clock;

    struct watched
    {
        // By QSocketNotifier::Type: read, write, exception.
        std::array<QSocketNotifier*, 3> notifiers{};
        // What the kernel was told, 0 for nothing.
        unsigned applied = 0;
    };

    struct timer
    {
        std::chrono::milliseconds interval{};
        Qt::TimerType type = Qt::PreciseTimer;
        QObject* object = nullptr;
        clock::time_point due;
    };

    static unsigned wanted_events(const watched& w);
    // Sockets switch their write notifier on and off for each write; only the
    // state before the next wait counts.
    void apply_changes();
    int wait_milliseconds(bool may_wait) const;
    bool wait(int milliseconds);
    void activate(int descriptor, unsigned events);
    void take_wakeup();
    bool fire_timers();

    int epoll_ = -1;
    int wakeup_ = -1;
    std::unordered_map<int, watched> watched_;
    std::unordered_set<int> changed_;
    std::unordered_map<int, timer> timers_;
    // Invariant: one entry for each timer, with its `due`.
    std::set<std::pair<clock::time_point, int>> order_;
    std::atomic<bool> woken_ = false;
    std::atomic<bool> interrupted_ = false;
};

} // namespace hemlockdeal
