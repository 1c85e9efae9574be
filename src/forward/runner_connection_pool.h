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

/// Idle connections to runners. A connection is kept only while the runner is
/// known to keep it: a close that crosses a request leaves its outcome unknown.
class runner_connection_pool {
public:
  /// \param Loop the event loop.
  explicit runner_connection_pool(asio::io_context &Loop) : Loop(Loop) {}

  /// \param Address the runner as IP:PORT.
  /// \param Now the present time.
  /// \returns an idle connection, or null.
  std::shared_ptr<tcp_stream> acquire(const std::string &Address, instant Now);

  /// \returns a connection that is to be connected.
  std::shared_ptr<tcp_stream> createUnconnected();

  /// Keeps a connection whose request has ended with nothing left unread.
  /// \param Address the runner as IP:PORT.
  /// \param Stream the connection.
  /// \param KeepAlive how long the runner keeps it; nothing if it did not say.
  /// \param Now the present time.
  void release(const std::string &Address, std::shared_ptr<tcp_stream> Stream,
               std::optional<std::chrono::seconds> KeepAlive, instant Now);

  /// Closes the connections whose time is over.
  /// \param Now the present time.
  void closeExpired(instant Now);

  /// Closes all connections to a runner.
  /// \param Address the runner as IP:PORT.
  void closeAll(const std::string &Address) { Idle.erase(Address); }

private:
  /// A connection without a request; closes it when it goes.
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
