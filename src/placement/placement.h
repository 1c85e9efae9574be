#pragma once

#include "config/route.h"
#include "placement/deadline_admission.h"
#include "placement/runner_directory.h"

#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace lentilhoist {

/// Inputs of a placement decision other than the state of the runners.
struct placement_query {
  std::string Service;
  std::string Domain; ///< Failure domain of this instance.
  const request_traits *Request = nullptr;
  std::optional<engine_traits> Engine; ///< Set for model engines only.
  std::set<std::string> Excluded;      ///< IDs of runners already tried.
  int Priority = 0; ///< Of the workspace or route; 0 is the most urgent.
  /// Rank of the request at runners that limit their rate.
  permit_rank Rank = permit_rank::New;
  /// Prefer the runner with the fewest requests: this one may end it.
  bool Isolate = false;
  bool OverShare = false;      ///< See admission_query.
  bool ProgramStarted = false; ///< Earlier requests of the program are known.
  /// Spreads requests that are placed at the same moment over runners of nearly
  /// equal cost; 0 for none.
  std::uint64_t Spread = 0;
  /// Sorted addresses of runners to which this instance has an idle connection;
  /// nothing if that is not known.
  std::optional<std::vector<std::string_view>> Connected{};
};

/// The selected runner and the estimates behind the selection.
struct placement_result {
  std::string Runner;    ///< ID; empty if no candidate admits the request.
  double CostMs = 0;     ///< Estimated delay with penalties, in milliseconds.
  double Load = 0;       ///< Estimated requests at the runner.
  double ExpectedMs = 0; ///< Time until the response is complete.
  /// Part of ExpectedMs spent in the runner's queue.
  double QueueMs = 0;
  speed_estimate Speed;          ///< Estimate of the runner's speed.
  bool Connected = false;        ///< An idle connection to it was known.
  std::int64_t CachedTokens = 0; ///< Prompt tokens that need no prefill.
  std::size_t Candidates = 0;    ///< Eligible runners, full ones included.
  bool InBackoff = false;        ///< Even the best candidate is in backoff.
  bool Full = false;        ///< No candidate admits a request of this priority.
  bool RateLimited = false; ///< Runners of the service limit their rate.
  std::size_t Limited = 0;  ///< Candidates that lack only a permit.
  /// Runner for which a permit should be requested: the best of those that lack
  /// one. If a runner was selected, only if a spare permit for a better one
  /// should be requested. Empty if there is none.
  std::string PermitRunner;
  /// When the request could be complete at any runner of the service, also one
  /// that does not admit it now.
  completion_estimate Completion{};
  milliseconds LoadAge{-1}; ///< Age of the load report; -1 if there was none.
};

/// Estimates the number of requests at a runner. Requests of this instance are
/// known exactly. Requests of other instances come from the runner's latest
/// load report; as the report ages, its weight shifts to the average over the
/// runners of the service, which in turn decays to zero.
/// \param Directory the runner directory; supplies the service averages.
/// \param Runner the runner.
/// \param Now the current time.
/// \returns running and waiting requests.
double estimateLoad(const runner_directory &Directory,
                    const runner_view &Runner, instant Now);

/// Estimates the length of the prompt prefix in the runner's cache.
/// \param Runner the runner.
/// \param Request the request with its prompt parts.
/// \returns tokens at the start of the prompt that are probably cached.
std::int64_t cachedPrefixTokens(const runner_view &Runner,
                                const request_traits &Request);

/// Selects the runner with the lowest expected completion time, with penalties
/// for other failure domains and new connections.
/// \param Directory the runner directory.
/// \param Query the request and its service; its Request must not be null.
/// \param Now the current time.
/// \returns the selected runner with its estimates.
placement_result placeRequest(const runner_directory &Directory,
                              const placement_query &Query, instant Now);

} // namespace lentilhoist
