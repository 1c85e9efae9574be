#pragma once

#include "core/instant.h"
#include "net/tcp_stream.h"

#include <asio/io_context.hpp>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <string>

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
  /// \param Now the present time.
  /// \returns an open connection, now owned by the caller, or null if there is
  /// none.
  std::shared_ptr<tcp_stream> acquire(const std::string &Address, instant Now);

  /// \returns a new connection that is not connected yet.
  std::shared_ptr<tcp_stream> createUnconnected();

  /// Returns a connection to the pool. Its last response must have been read
  /// completely.
  /// \param Address the runner as IP:PORT.
  /// \param Stream the connection.
  /// \param KeepAlive the keep-alive time that the runner stated, if any.
  /// \param Now the present time.
  void release(const std::string &Address, std::shared_ptr<tcp_stream> Stream,
               std::optional<std::chrono::seconds> KeepAlive, instant Now);

  /// Closes connections that have been idle for too long.
  /// \param Now the present time.
  void closeExpired(instant Now);

  /// Closes all idle connections to a runner.
  /// \param Address the runner as IP:PORT.
  void closeAll(const std::string &Address) { Idle.erase(Address); }

private:
  /// Owns an idle connection and closes it on destruction.
  struct idle_connection {
    std::shared_ptr<tcp_stream> Stream;
    instant Expiry{};
    idle_connection(std::shared_ptr<tcp_stream> Given, instant Until)
        : Stream(std::move(Given)), Expiry(Until) {}
    idle_connection(const idle_connection &) = delete;
    idle_connection &operator=(const idle_connection &) = delete;
    ~idle_connection() {
      if (Stream)
        Stream->close();
    }
  };

  asio::io_context &Loop;
  std::map<std::string, std::list<idle_connection>> Idle;
};

} // namespace lentilhoist
