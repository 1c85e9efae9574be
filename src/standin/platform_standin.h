#pragma once

#include "standin/fault_switch.h"
#include "standin/rate_gate.h"

#include <condition_variable>
#include <cstdint>
#include <deque>
#include <map>
#include <mutex>
#include <nlohmann/json.hpp>
#include <string>

namespace lentilhoist {

/// Settings of the stand-in of the platform.
struct platform_standin_settings {
  http_server_settings Server;
  int InstanceLagMilliseconds = 1'000; ///< Lag of the instance list.
  double WritesPerSecond = 0; ///< More are refused with 429; 0 for no limit.
  double ReadsPerSecond = 0;  ///< Likewise; a waiting watch counts as one.
  std::uint64_t Seed = 1;
};

/// Stand-in of the platform: an object API with versions, conditional updates
/// and watches, and a lagging list of instances. It counts every call.
class platform_standin {
public:
  /// \param Settings where and how to serve.
  explicit platform_standin(platform_standin_settings Settings);

  /// Serves until stop().
  void start() { Server.start(); }
  void stop();

  /// \returns the port that is served.
  int port() const { return Server.port(); }

private:
  struct object {
    std::string Value;
    std::uint64_t Version = 0;
  };
  struct change {
    std::uint64_t Revision = 0;
    std::string Key;
  };
  struct instance_change {
    std::chrono::steady_clock::time_point VisibleAt;
    std::string Id;
    nlohmann::json Description; ///< Null removes the instance.
  };

  using handler =
      std::function<void(const httplib::Request &, httplib::Response &)>;

  handler limited(rate_gate &Gate, handler Handle);
  void installObjectRoutes();
  void installInstanceRoutes();
  void put(const httplib::Request &Request, httplib::Response &Response);
  void get(const httplib::Request &Request, httplib::Response &Response);
  void remove(const httplib::Request &Request, httplib::Response &Response);
  void list(const httplib::Request &Request, httplib::Response &Response);
  void watch(const httplib::Request &Request, httplib::Response &Response);
  void applyInstanceChanges();
  void recordChange(const std::string &Key);

  platform_standin_settings Settings;
  http_server Server;
  fault_switch Faults;
  rate_gate Writes;
  rate_gate Reads;
  std::mutex Mutex;
  std::condition_variable Changed;
  bool Stopping = false;
  std::uint64_t Revision = 0;
  std::map<std::string, object> Objects;
  std::deque<change> Changes;
  std::map<std::string, nlohmann::json> Instances;
  std::deque<instance_change> InstanceChanges;
  std::map<std::string, std::uint64_t> Counters;
};

} // namespace lentilhoist
