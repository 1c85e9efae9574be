#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace lentilhoist {

/// What may be repeated of a route's requests.
enum class route_kind {
  Idempotent,    ///< May run more than once.
  NonIdempotent, ///< Runs at most once for each attempt of a caller.
  Streaming,     ///< Answered by a stream of events; runs at most once.
};

/// \param Kind the value to name.
/// \returns its stable text form.
const char *routeKindName(route_kind Kind);

/// One service of a route with its share of the requests.
struct route_target {
  std::string Service;
  double Weight = 1; ///< Relative to the other targets of the route.
};

/// Which requests go to which service, and what holds for them.
struct route {
  std::string Name;
  std::string Host;
  std::string PathPrefix; ///< Begins and ends with a slash.
  route_kind Kind = route_kind::NonIdempotent;
  std::chrono::milliseconds Timeout{0}; ///< Longest wait of a caller; 0: none.
  std::chrono::milliseconds Objective{0}; ///< Full worth within this time.
  int Priority = 0;                       ///< 0 is the most urgent.
  std::vector<route_target> Targets;
  int MaxAttempts = 1;       ///< Runners that one attempt may run on.
  bool KeepsHistory = false; ///< Turns that continue from earlier turns.
  std::chrono::milliseconds Retention{0}; ///< How long turns are kept.
  bool Sticky = false; ///< Runners are faster at objects they had recently.
};

/// What the operator says of a model engine.
struct engine_traits {
  int Slots = 0;
  std::int64_t MemoryTokens = 0; ///< Shared by requests and kept prefixes.
  std::uint64_t TokensPerEvent = 1;
};

/// A service that runners belong to.
struct service {
  std::string Name;
  std::size_t MaxConnections =
      0; ///< For each runner, from all callers; 0: no limit.
  std::optional<engine_traits> Engine;
};

/// Limits on what a caller may send.
struct caller_limits {
  std::size_t MaxHeadBytes = 16'384;
  std::size_t MaxBodyBytes = 4'194'304;
  std::chrono::milliseconds HeadTimeout{3'000};
  std::chrono::milliseconds IdleTimeout{15'000};
};

/// One version of the operator's configuration.
struct configuration {
  std::int64_t Version = 0;
  std::vector<route> Routes;
  std::vector<service> Services;
  caller_limits Limits;
};

} // namespace lentilhoist
