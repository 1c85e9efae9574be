#pragma once

#include "standin/fault_switch.h"
#include "standin/rate_gate.h"

#include <atomic>

namespace lentilhoist {

/// Settings of the stand-in of the weight store.
struct weights_standin_settings {
  http_server_settings Server;
  double LoadsPerSecond = 2;  ///< More are refused with 429.
  int LoadMilliseconds = 200; ///< Time that one load takes.
  std::uint64_t Seed = 1;
};

/// Stand-in of the weight store, which limits the rate of loads.
class weights_standin {
public:
  /// \param Settings where and how to serve.
  explicit weights_standin(weights_standin_settings Settings);

  /// Serves until stop().
  void start() { Server.start(); }
  void stop() { Server.stop(); }

  /// \returns the port that is served.
  int port() const { return Server.port(); }

private:
  weights_standin_settings Settings;
  http_server Server;
  fault_switch Faults;
  rate_gate Gate;
  std::atomic<std::uint64_t> Loads{0};
  std::atomic<std::uint64_t> Refusals{0};
};

} // namespace lentilhoist
