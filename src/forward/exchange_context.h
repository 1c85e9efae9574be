#pragma once

#include "admission/line_budget.h"
#include "admission/memory_account.h"
#include "config/route_table.h"
#include "forward/receive_gate.h"
#include "forward/retry_policy.h"
#include "forward/runner_connection_pool.h"
#include "forward/transfer_gate.h"
#include "history/history_client.h"
#include "limit/permit_issuer.h"
#include "limit/quota_stock.h"
#include "metrics/metrics.h"
#include "path/relay_directory.h"
#include "path/runner_path.h"
#include "placement/runner_directory.h"
#include "quarantine/broken_sends.h"

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <set>
#include <string>

namespace lentilhoist {

class exchange;

/// State shared by all exchanges of one instance. Used on the event loop only.
struct exchange_context {
  asio::io_context &Loop;
  std::string Domain; ///< Failure domain of this instance.
  metrics &Metrics;
  history_client &History;
  runner_connection_pool &Pool;
  runner_directory Runners{};
  /// Issues this instance's share of limits while no replica can be reached.
  permit_issuer OwnShare{};
  quota_table Quotas{};     ///< Permits of workspaces.
  suspect_table Suspects{}; ///< Evidence against requests.
  broken_sends Broken{};
  retry_budget Resends{};     ///< Of all requests of this instance.
  runner_path Path{};         ///< This instance's own path to runners.
  relay_directory Relays{};   ///< Instances that may have one instead.
  std::string RelayAddress{}; ///< Where this instance relays for others.
  asio::steady_timer PathTimer{Loop};
  bool PathTimerSet = false;
  std::function<void()> OnPathLost{}; ///< May be empty.
  /// Connections that only test a runner or a relay.
  std::set<std::shared_ptr<runner_connection>> PathProbes{};
  /// Runners by ID and incarnation to which such a connection is under way.
  std::set<std::pair<std::string, std::int64_t>> RunnerProbes{};
  /// Runners by ID and incarnation that refused a connection, until it is known
  /// whether they or the path have failed.
  std::set<std::pair<std::string, std::int64_t>> RunnerRefusals{};
  /// Exchanges that wait for a runner without a relay.
  std::set<std::weak_ptr<exchange>, std::owner_less<>> DirectExchanges{};
  /// Told that an incarnation of a runner leaves; may be empty.
  std::function<void(const std::string &Id, std::int64_t BornMs)>
      OnRunnerLeaving{};
  route_table_ptr Routes{};  ///< Null before the first configuration.
  instant ConfigUpdatedAt{}; ///< When Routes was last replaced.
  /// When the runner registry was last known to be current; zero if never.
  instant RegistryConfirmedAt{};
  bool Draining = false; ///< The process is shutting down.
  /// While draining, requests sent later must end by LastDeadline.
  instant UnboundedSendsUntil{};
  /// What ends later may be cut by the exit of the process; zero for no bound.
  instant LastDeadline{};
  std::size_t BodyBytes = 0; ///< Total body size of requests in progress.
  std::size_t MaxBodyBytes = 0;
  /// Bytes held for callers and other instances.
  memory_account Memory{};
  receive_gate Gate{Loop, Memory};
  /// Of requests whose earlier turns are too large to be held.
  transfer_gate Transfers{Loop};
  line_budget GiveWayLines{}; ///< Log lines of clients that give way.
  std::size_t ActiveRequests = 0;
  /// Requests whose caller has disconnected and that must not be cancelled on
  /// the runner. Keeps them alive.
  std::set<std::shared_ptr<exchange>> Detached{};
};

} // namespace lentilhoist
