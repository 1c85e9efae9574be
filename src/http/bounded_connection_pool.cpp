#include "http/bounded_connection_pool.h"

#include <utility>

namespace lentilhoist {

namespace {

constexpr std::size_t MaxIdleConnections = 64;

} // namespace

bounded_connection_pool::bounded_connection_pool(endpoint GivenTarget)
    : Target(std::move(GivenTarget)) {}

std::unique_ptr<bounded_connection> bounded_connection_pool::acquire() {
  {
    const std::lock_guard Lock(Mutex);
    while (!Idle.empty()) {
      auto Connection = std::move(Idle.back());
      Idle.pop_back();
      if (Connection->reusable())
        return Connection;
    }
  }
  return std::make_unique<bounded_connection>(Target);
}

void bounded_connection_pool::release(
    std::unique_ptr<bounded_connection> Connection) {
  if (!Connection->reusable())
    return;
  const std::lock_guard Lock(Mutex);
  if (Idle.size() < MaxIdleConnections)
    Idle.push_back(std::move(Connection));
}

} // namespace lentilhoist
