// Bounded message ring from one thread to another that wakes the receiver's
// event loop.
#pragma once

#include <atomic>
#include <cstddef>
#include <functional>
#include <utility>

#include <QMetaObject>
#include <QObject>

#include "core/core.hpp"

namespace hemlockdeal
{

template <typename Message>
class mailbox
{
public:
    explicit mailbox(std::size_t capacity) : ring_(capacity) {}

    // Must be called before the first message is posted. `receiver` must live
    // in the receiving thread and outlive all use of the mailbox.
    void connect(QObject& receiver, std::function<void(Message&&)> consume)
    {
        receiver_ = &receiver;
        consume_ = std::move(consume);
    }

    // Returns false when the ring is full; the sender then handles the message
    // as undelivered.
    bool post(Message&& message)
    {
        const auto accepted = ring_.push(std::move(message));
        // One wake-up drains all messages that are in the ring by then.
        if (!scheduled_.exchange(true))
        {
            QMetaObject::invokeMethod(
                receiver_, [this] { drain(); }, Qt::QueuedConnection);
        }
        return accepted;
    }

    const bounded_ring<Message>& ring() const { return ring_; }

private:
    void drain()
    {
        scheduled_ = false;
        ring_.consume_all(consume_);
    }

    bounded_ring<Message> ring_;
    std::atomic<bool> scheduled_ = false;
    QObject* receiver_ = nullptr;
    std::function<void(Message&&)> consume_;
};

} // namespace hemlockdeal
