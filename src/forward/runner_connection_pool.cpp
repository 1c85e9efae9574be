#include "forward/runner_connection_pool.h"

#include <algorithm>

namespace lentilhoist {

namespace {
/// Fraction of the runner's keep-alive time during which a connection is
/// reused. The rest covers network delay and timers that fire late.
constexpr double ReusableFraction = 0.6;
/// Idle time if the runner states no keep-alive time.
constexpr milliseconds DefaultIdleTime{500};
} // namespace

std::shared_ptr<runner_connection>
runner_connection_pool::acquire(const std::string &Address, bool Relayed,
                                std::string_view Attempt, instant Now) {
  idle_map &Way = Idle[Relayed ? 1 : 0];
  const auto Found = Way.find(Address);
  if (Found == Way.end())
    return nullptr;
  auto &Connections = Found->second;
  Connections.remove_if([&](const idle_connection &Item) {
    return !Item.Connection->reusable() || Item.Expiry.Steady <= Now.Steady;
  });
  // The most recently used connection is the least likely to be closing.
  const auto Last = std::find_if(Connections.rbegin(), Connections.rend(),
                                 [&](const idle_connection &Item) {
                                   return !Item.Connection->hasRefused(Attempt);
                                 });
  if (Last == Connections.rend())
    return nullptr;
  auto Connection = std::exchange(Last->Connection, nullptr);
  Connections.erase(std::next(Last).base());
  return Connection;
}

std::vector<std::string_view>
runner_connection_pool::idleAddresses(bool Relayed, instant Now) const {
  std::vector<std::string_view> Addresses;
  for (const auto &[Address, Connections] : Idle[Relayed ? 1 : 0])
    if (std::any_of(Connections.begin(), Connections.end(),
                    [&](const idle_connection &Item) {
                      return Item.Connection->reusable() &&
                             Item.Expiry.Steady > Now.Steady;
                    }))
      Addresses.emplace_back(Address);
  return Addresses;
}

std::shared_ptr<runner_connection>
runner_connection_pool::createUnconnected(runner_target Target) {
  return std::make_shared<runner_connection>(Loop, std::move(Target));
}

void runner_connection_pool::release(
    std::shared_ptr<runner_connection> Connection,
    std::optional<std::chrono::seconds> KeepAlive, instant Now) {
  milliseconds Time = DefaultIdleTime;
  if (KeepAlive)
    Time = milliseconds(static_cast<std::int64_t>(
        static_cast<double>(milliseconds(*KeepAlive).count()) *
        ReusableFraction));
  tcp_stream::handlers Handlers;
  // Unsolicited bytes cannot be matched to a request, so the connection cannot
  // be reused.
  Handlers.OnBytes =
      [Weak = std::weak_ptr<runner_connection>(Connection)](std::string_view) {
        if (const auto Self = Weak.lock())
          Self->close();
      };
  Connection->setHandlers(std::move(Handlers));
  Connection->pauseReading(false);
  idle_map &Way = Idle[Connection->relayed() ? 1 : 0];
  const std::string Address = Connection->target().Address;
  Way[Address].emplace_back(std::move(Connection), later(Now, Time));
}

void runner_connection_pool::closeAll(const std::string &Relay) {
  for (auto &[Address, Connections] : Idle[Relay.empty() ? 0 : 1])
    Connections.remove_if([&](const idle_connection &Item) {
      return Item.Connection->target().Relay == Relay;
    });
}

void runner_connection_pool::closeExpired(instant Now) {
  for (idle_map &Way : Idle)
    for (auto Runner = Way.begin(); Runner != Way.end();) {
      Runner->second.remove_if([&](const idle_connection &Item) {
        return !Item.Connection->reusable() || Item.Expiry.Steady <= Now.Steady;
      });
      Runner = Runner->second.empty() ? Way.erase(Runner) : std::next(Runner);
    }
}

} // namespace lentilhoist
