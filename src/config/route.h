#pragma once

#include "config/api_key.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace lentilhoist {

/// Whether the requests of a route may be retried.
enum class route_kind {
  Idempotent,    ///< May be executed more than once.
  NonIdempotent, ///< Executed at most once per caller attempt.
  Streaming,     ///< Event-stream response; executed at most once.
};

/// \param Kind the value to name.
/// \returns its stable text form.
const char *routeKindName(route_kind Kind);

/// A service that receives a share of the requests of a route.
struct route_target {
  std::string Service;
  double Weight = 1; ///< Relative to the other targets of the route.
};

/// Maps requests to services and sets their time limits and retry rules.
struct route {
  std::string Name;
  std::string Host;
  std::string PathPrefix; ///< Begins and ends with a slash.
  route_kind Kind = route_kind::NonIdempotent;
  std::chrono::milliseconds Timeout{0};   ///< Request timeout; 0: none.
  std::chrono::milliseconds Objective{0}; ///< Latency objective for full value.
  int Priority = 0;                       ///< 0 is the highest priority.
  std::vector<route_target> Targets;
  int MaxAttempts = 1;       ///< Maximum number of runners per caller attempt.
  bool KeepsHistory = false; ///< Conversation turns build on earlier turns.
  std::chrono::milliseconds Retention{0}; ///< Retention time of turns.
  bool Sticky = false; ///< Runners process recently used objects faster.
  bool Public = false; ///< Needs no key where workspaces are configured.
  /// Its services can't be read: its requests are rejected as not run.
  bool Unreadable = false;
};

/// Operator's description of a model engine.
struct engine_traits {
  int Slots = 0;
  std::int64_t MemoryTokens = 0; ///< Shared by requests and cached prefixes.
  std::uint64_t TokensPerEvent = 1;
};

/// A service provided by a group of runners.
struct service {
  std::string Name;
  std::size_t MaxConnections =
      0; ///< Per runner, over all callers; 0: no limit.
  std::optional<engine_traits> Engine;
};

/// Size limits in bytes and timeouts for requests of callers.
struct caller_limits {
  std::size_t MaxHeadBytes = 16'384;
  std::size_t MaxBodyBytes = 4'194'304;
  std::chrono::milliseconds HeadTimeout{3'000};
  std::chrono::milliseconds IdleTimeout{15'000};
};

/// A customer whose callers share a quota and own their turns.
struct workspace {
  std::string Name;
  std::optional<int>
      Priority;             ///< Replaces that of the route; 0 is the highest.
  double RatePerSecond = 0; ///< Requests a second; 0: no limit.
  double Burst = 0;         ///< Requests beyond the rate at a time.
  std::vector<key_digest> Keys{}; ///< See digestOfKey().
};

/// Most workspaces that a log line about faults of a configuration names.
inline constexpr std::size_t MaxNamedWorkspaces = 8;

/// What was left out of the list of workspaces, for the log.
struct workspace_faults {
  std::size_t Entries = 0;  ///< Entries without a usable name, or malformed.
  std::size_t Keys = 0;     ///< Keys that are empty or no text.
  std::size_t Fields = 0;   ///< Other fields that are malformed.
  std::size_t Repeated = 0; ///< Entries that name a workspace once more.
  /// Names of workspaces with faults, at most MaxNamedWorkspaces.
  std::vector<std::string> Workspaces{};
};

/// One version of the operator's configuration.
struct configuration {
  std::int64_t Version = 0;
  std::vector<route> Routes;
  std::vector<service> Services;
  /// There are routes of a kind that is not known. Requests that match none of
  /// the others may be theirs.
  bool UnknownRoutes = false;
  caller_limits Limits;
  /// Nothing if the deployment has no workspaces, so that requests need no key.
  std::optional<std::vector<workspace>> Workspaces;
  /// Keys of entries that were left out. They are valid for no workspace, also
  /// if another entry lists them.
  std::vector<key_digest> ClaimedKeys;
  workspace_faults WorkspaceFaults;
};

} // namespace lentilhoist
