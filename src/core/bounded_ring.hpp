// Bounded single-producer, single-consumer queue.
#pragma once

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <utility>

#include <boost/lockfree/spsc_queue.hpp>

namespace hemlockdeal
{

// Never blocks. A push to a full ring fails and is counted; the producer
// handles the failure by rejecting the work or retrying later.
template <typename T>
class bounded_ring
{
public:
    explicit bounded_ring(std::size_t capacity)
        : queue_(capacity), capacity_(capacity)
    {}

    bounded_ring(const bounded_ring&) = delete;
    bounded_ring& operator=(const bounded_ring&) = delete;

    ~bounded_ring()
    {
        queue_.consume_all([](T* item) { delete item; });
    }

    // Returns false, without moving from `item`, if the ring is full.
    bool push(T&& item)
    {
        if (queue_.write_available() == 0)
        {
            rejected_.fetch_add(1, std::memory_order_relaxed);
            return false;
        }
        // Cannot fail: this thread is the only producer.
        return queue_.push(new T(std::move(item)));
    }

    bool pop(T& item)
    {
        return queue_.consume_one([&](T* stored) {
            item = std::move(*stored);
            delete stored;
        });
    }

    // Calls `consume` with each queued item and returns the number of items.
    template <typename Function>
    std::size_t consume_all(Function&& consume)
    {
        return queue_.consume_all([&](T* stored) {
            const std::unique_ptr<T> item(stored);
            consume(std::move(*item));
        });
    }

    std::size_t size() const { return queue_.read_available(); }
    std::size_t capacity() const { return capacity_; }

    // Number of pushes that failed since construction.
    std::uint64_t rejected() const
    {
        return rejected_.load(std::memory_order_relaxed);
    }

private:
    // Stores owning pointers: the queue of Boost 1.81 copies its items, and
    // messages may be move-only.
    boost::lockfree::spsc_queue<T*> queue_;
    std::size_t capacity_;
    std::atomic<std::uint64_t> rejected_ = 0;
};

} // namespace hemlockdeal
