#pragma once

#include "core/instant.h"
#include "tunnel/runner_connection.h"

#include <array>
#include <asio/io_context.hpp>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace lentilhoist {

/// Pool of idle connections to runners. A connection is kept only while the
/// runner is known to keep it open: if the runner closes it while a request is
/// on its way, the outcome of the request is unknown.
class runner_connection_pool {
public:
  /// \param Loop event loop for new connections; must outlive the pool.
  explicit runner_connection_pool(asio::io_context &Loop) : Loop(Loop) {}

  /// Takes an idle connection out of the pool.
  /// \param Address the runner as IP:PORT.
  /// \param Relayed whether the connection goes through a relay.
  /// \param Attempt the request to send; connections on which it was refused
  /// before are left in the pool.
  /// \param Now the present time.
  /// \returns an open connection, now owned by the caller, or null if there is
  /// none.
  std::shared_ptr<runner_connection> acquire(const std::string &Address,
                                             bool Relayed,
                                             std::string_view Attempt,
                                             instant Now);

  /// \param Relayed whether the connections go through a relay.
  /// \param Now the present time.
  /// \returns addresses of the runners with an idle connection that may be
  /// used, sorted; valid until the pool changes.
  std::vector<std::string_view> idleAddresses(bool Relayed, instant Now) const;

  /// \param Target the runner.
  /// \returns a new connection that is not connected yet.
  std::shared_ptr<runner_connection> createUnconnected(runner_target Target);

  /// Returns a connection to the pool. Its last response must have been read
  /// completely.
  /// \param Connection the connection.
  /// \param KeepAlive the keep-alive time that the runner stated, if any.
  /// \param Now the present time.
  void release(std::shared_ptr<runner_connection> Connection,
               std::optional<std::chrono::seconds> KeepAlive, instant Now);

  /// Closes connections that have been idle for too long.
  /// \param Now the present time.
  void closeExpired(instant Now);

  /// Closes all idle connections that go the same way.
  /// \param Relay address of the relay; empty for those without one.
  void closeAll(const std::string &Relay);

private:
  /// Owns an idle connection and closes it on destruction.
  struct idle_connection {
    std::shared_ptr<runner_connection> Connection;
    instant Expiry{};
    idle_connection(std::shared_ptr<runner_connection> Given, instant Until)
        : Connection(std::move(Given)), Expiry(Until) {}
    idle_connection(const idle_connection &) = delete;
    idle_connection &operator=(const idle_connection &) = delete;
    ~idle_connection() {
      if (Connection)
        Connection->close();
    }
  };
  using idle_map = std::map<std::string, std::list<idle_connection>>;

  asio::io_context &Loop;
  /// By the runner's address; direct connections, then those through relays.
  std::array<idle_map, 2> Idle;
};

} // namespace lentilhoist
