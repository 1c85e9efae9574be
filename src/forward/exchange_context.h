#pragma once

#include "config/route_table.h"
#include "forward/runner_connection_pool.h"
#include "history/history_client.h"
#include "metrics/metrics.h"
#include "placement/runner_directory.h"

#include <asio/io_context.hpp>
#include <memory>
#include <set>
#include <string>

namespace lentilhoist {

class exchange;

/// What the requests of one instance share. Used on the event loop only.
struct exchange_context {
  asio::io_context &Loop;
  std::string Domain; ///< Failure domain of this instance.
  metrics &Metrics;
  history_client &History;
  runner_connection_pool &Pool;
  runner_directory Runners{};
  route_table_ptr Routes{};    ///< Null before the first configuration.
  instant ConfigUpdatedAt{};   ///< When the configuration was learnt.
  instant RegistryUpdatedAt{}; ///< When the registry was last heard.
  bool Draining = false;       ///< The process is about to end.
  std::size_t BodyBytes = 0;   ///< Bodies of requests under way.
  std::size_t MaxBodyBytes = 0;
  std::size_t ActiveRequests = 0;
  /// Requests whose caller has left and whose run must not be cut off.
  std::set<std::shared_ptr<exchange>> Detached{};
};

} // namespace lentilhoist
