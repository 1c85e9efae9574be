#pragma once

#include "daemon/request_router.h"
#include "daemon/scheduler.h"
#include "http/http_server.h"
#include "instance/membership_node.h"
#include "metrics/metrics.h"
#include "operator/rpc_dispatcher.h"

#include <string>

namespace lentilhoist {

/// Serves operators: JSON-RPC on `/rpc` and metrics on `/metrics`.
class operator_server {
public:
  /// \param Settings the daemon's settings.
  /// \param Token secret that requests must carry; empty for none.
  /// \param Decisions the scheduler to ask.
  /// \param Router passes requests to their owners.
  /// \param Members the view of the group.
  /// \param Measures the process's metrics.
  operator_server(const daemon_settings &Settings, std::string Token,
                  scheduler &Decisions, request_router &Router,
                  membership_node &Members, metrics &Measures);

  /// Binds the port and serves.
  /// \throws std::runtime_error if the port can't be bound.
  void start() { Server.start(); }
  void stop() { Server.stop(); }

private:
  void installRoutes();
  void installMethods();
  std::string status();
  std::string inspectJson(const std::function<nlohmann::json()> &Describe);
  std::string endProgram(const std::string &Parameters);
  std::string showProgram(const std::string &Parameters);
  std::string resolveOutcome(const std::string &Parameters);
  std::string drainRunner(const std::string &Parameters, bool Drained);
  bool isAuthorized(const httplib::Request &Request) const;

  const daemon_settings &Settings;
  std::string Token;
  scheduler &Decisions;
  request_router &Router;
  membership_node &Members;
  metrics &Measures;
  rpc_dispatcher Methods;
  http_server Server;
};

} // namespace lentilhoist
