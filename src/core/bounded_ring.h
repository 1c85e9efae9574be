#pragma once

#include <atomic>
#include <boost/lockfree/queue.hpp>
#include <chrono>
#include <cstddef>
#include <memory>
#include <optional>
#include <semaphore>

namespace lentilhoist {

/// A bounded queue that joins threads: any number push, any number pop. A full
/// ring refuses, so that overload shows at once.
template <typename Message> class bounded_ring {
public:
  /// \param Capacity messages that the ring holds.
  explicit bounded_ring(std::size_t Capacity) : Queue(Capacity) {}

  ~bounded_ring() {
    Message *Left = nullptr;
    while (Queue.pop(Left))
      delete Left;
  }

  /// \param Value the message to push.
  /// \returns whether there was room.
  bool push(Message Value) {
    auto Owned = std::make_unique<Message>(std::move(Value));
    if (!Queue.bounded_push(Owned.get()))
      return false;
    (void)Owned.release();
    Available.release();
    return true;
  }

  /// \param Timeout longest wait.
  /// \returns the next message, or nothing once the wait is over.
  std::optional<Message> pop(std::chrono::microseconds Timeout) {
    if (!Available.try_acquire_for(Timeout))
      return std::nullopt;
    Message *Taken = nullptr;
    if (!Queue.pop(Taken))
      return std::nullopt;
    const std::unique_ptr<Message> Owned(Taken);
    return std::move(*Owned);
  }

private:
  boost::lockfree::queue<Message *> Queue;
  std::counting_semaphore<> Available{0};
};

} // namespace lentilhoist
