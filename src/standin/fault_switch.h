#pragma once

#include "http/http_server.h"

#include <atomic>
#include <chrono>
#include <mutex>
#include <random>
#include <set>
#include <string>

namespace lentilhoist {

/// Faults that a stand-in shows while they are switched on.
struct fault_settings {
  double Refuse = 0;         ///< Share of requests refused with 503.
  double DropAnswer = 0;     ///< Share answered only after HoldMilliseconds.
  int DelayMilliseconds = 0; ///< Added to each request.
  int HoldMilliseconds = 4'000;
  bool Outage = false; ///< Refuses everything.
  bool Silent = false; ///< Connections open at the switch stay mute.
};

/// Switches the faults of one stand-in over HTTP (`POST /admin/faults`).
class fault_switch {
public:
  /// Adds the routes of the switch and the delay, refusal and silence of each
  /// request.
  /// \param Server the stand-in's server.
  /// \param Seed seed of the random choices.
  void install(http_server &Server, std::uint64_t Seed);

  /// Holds the answer back if its loss was drawn; call after the effect.
  void maybeDropAnswer();

  /// \param Request a request.
  /// \returns whether its connection has gone silent.
  bool isSilent(const httplib::Request &Request);

  /// Blocks while the connection is silent.
  /// \param Request a request on the connection.
  void waitWhileSilent(const httplib::Request &Request);

private:
  bool guard(const httplib::Request &Request, httplib::Response &Response);
  bool draw(double Share);

  std::mutex Mutex;
  fault_settings Faults;
  std::mt19937_64 Random;
  std::set<int> OpenPorts;   ///< Remote ports seen.
  std::set<int> SilentPorts; ///< Remote ports that get no more bytes.
};

} // namespace lentilhoist
