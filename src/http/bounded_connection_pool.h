#pragma once

#include "http/bounded_connection.h"

#include <memory>
#include <mutex>
#include <vector>

namespace lentilhoist {

/// Idle connections to one server. Safe to share between threads.
class bounded_connection_pool {
public:
  /// \param GivenTarget the server.
  explicit bounded_connection_pool(endpoint GivenTarget);

  /// \returns an idle connection that may be used again, or a new one.
  std::unique_ptr<bounded_connection> acquire();

  /// Takes back a connection. One that can't be used again is closed.
  /// \param Connection the connection.
  void release(std::unique_ptr<bounded_connection> Connection);

private:
  endpoint Target;
  std::mutex Mutex;
  std::vector<std::unique_ptr<bounded_connection>> Idle;
};

} // namespace lentilhoist
