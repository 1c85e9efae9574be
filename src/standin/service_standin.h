#pragma once

#include "standin/fault_switch.h"

#include <map>
#include <mutex>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace lentilhoist {

/// Settings of the stand-in of a plain service.
struct service_standin_settings {
  http_server_settings Server;
  std::string Name = "service";
  int WorkMilliseconds = 5;
  int Slots = 16;
  bool KnowsKeys = true; ///< Answers which request keys it has run.
  std::uint64_t Seed = 1;
};

/// Stand-in of a booking or charging service. It runs every request that it
/// receives and keeps a record, so that a repeated request shows.
class service_standin {
public:
  /// \param Settings where and how to serve.
  explicit service_standin(service_standin_settings Settings);

  /// Serves until stop().
  void start() { Server.start(); }
  void stop() { Server.stop(); }

  /// \returns the port that is served.
  int port() const { return Server.port(); }

private:
  struct execution {
    std::string Key;
    std::string Body;
    std::string Response;
  };

  void run(const httplib::Request &Request, httplib::Response &Response);
  void outcome(const httplib::Request &Request, httplib::Response &Response);
  nlohmann::json load();

  service_standin_settings Settings;
  http_server Server;
  fault_switch Faults;
  std::mutex Mutex;
  int Running = 0;
  bool Draining = false;
  std::vector<execution> Executions;
  std::map<std::string, std::size_t> ByKey;
};

} // namespace lentilhoist
