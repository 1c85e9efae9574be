#pragma once

#include "daemon/request_router.h"
#include "http/http_server.h"
#include "metrics/metrics.h"

#include <atomic>
#include <functional>
#include <string>

namespace lentilhoist {

/// Serves callers over HTTP: programs, model calls in the chat completions
/// shape, service calls and histories.
class caller_server {
public:
  /// \param Settings the daemon's settings.
  /// \param Router passes requests to their owners.
  /// \param Measures the process's metrics.
  caller_server(const daemon_settings &Settings, request_router &Router,
                metrics &Measures);

  /// Binds the port and serves.
  /// \throws std::runtime_error if the port can't be bound.
  void start() { Server.start(); }

  /// Lets the balancer know that this instance goes; requests still work.
  void beginDrain() { Draining = true; }

  /// Lets requests under way finish and stops.
  void stop() { Server.stop(); }

  /// \returns requests being served.
  int openRequests() const { return Open; }

private:
  void installRoutes();
  void createProgram(const httplib::Request &Request,
                     httplib::Response &Response);
  void callModel(const httplib::Request &Request, httplib::Response &Response);
  void callService(const httplib::Request &Request,
                   httplib::Response &Response);
  call_answer
  askAboutProgram(const httplib::Request &Request,
                  const std::function<owner_request(const program_id &)> &Make);
  void readHistory(const httplib::Request &Request,
                   httplib::Response &Response);
  void endProgram(const httplib::Request &Request, httplib::Response &Response);

  const daemon_settings &Settings;
  request_router &Router;
  metrics &Measures;
  http_server Server;
  std::atomic<bool> Draining{false};
  std::atomic<int> Open{0};
};

} // namespace lentilhoist
