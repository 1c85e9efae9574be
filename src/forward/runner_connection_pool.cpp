#include "forward/runner_connection_pool.h"

namespace lentilhoist {

namespace {
/// Part of the runner's idle time during which a connection is used again;
/// the rest covers the way there and timers that fire late.
constexpr double ReusableFraction = 0.6;
/// Kept this long if the runner does not say for how long it keeps it.
constexpr milliseconds DefaultIdleTime{500};
} // namespace

std::shared_ptr<tcp_stream>
runner_connection_pool::acquire(const std::string &Address, instant Now) {
  const auto Found = Idle.find(Address);
  if (Found == Idle.end())
    return nullptr;
  auto &Connections = Found->second;
  while (!Connections.empty()) {
    // The most recently used one is the least likely to be closing.
    auto &Last = Connections.back();
    std::shared_ptr<tcp_stream> Stream;
    if (!Last.Stream->closed() && Last.Expiry.Steady > Now.Steady)
      Stream = std::exchange(Last.Stream, nullptr);
    Connections.pop_back();
    if (Stream)
      return Stream;
  }
  return nullptr;
}

std::shared_ptr<tcp_stream> runner_connection_pool::createUnconnected() {
  return std::make_shared<tcp_stream>(asio::ip::tcp::socket(Loop),
                                      socket_settings{});
}

void runner_connection_pool::release(
    const std::string &Address, std::shared_ptr<tcp_stream> Stream,
    std::optional<std::chrono::seconds> KeepAlive, instant Now) {
  milliseconds Time = DefaultIdleTime;
  if (KeepAlive)
    Time = milliseconds(static_cast<std::int64_t>(
        static_cast<double>(milliseconds(*KeepAlive).count()) *
        ReusableFraction));
  tcp_stream::handlers Handlers;
  // Bytes without a request belong to no request: the connection is spoiled.
  Handlers.OnBytes = [Weak =
                          std::weak_ptr<tcp_stream>(Stream)](std::string_view) {
    if (const auto Self = Weak.lock())
      Self->close();
  };
  Stream->setHandlers(std::move(Handlers));
  Stream->pauseReading(false);
  Idle[Address].emplace_back(std::move(Stream), later(Now, Time));
}

void runner_connection_pool::closeExpired(instant Now) {
  for (auto Runner = Idle.begin(); Runner != Idle.end();) {
    Runner->second.remove_if([&](const idle_connection &Connection) {
      return Connection.Stream->closed() ||
             Connection.Expiry.Steady <= Now.Steady;
    });
    Runner = Runner->second.empty() ? Idle.erase(Runner) : std::next(Runner);
  }
}

} // namespace lentilhoist
