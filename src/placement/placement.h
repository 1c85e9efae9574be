#pragma once

#include "config/route.h"
#include "placement/runner_directory.h"

#include <set>
#include <string>

namespace lentilhoist {

/// What a placement is decided by, beside the runners.
struct placement_query {
  std::string Service;
  std::string Domain; ///< Failure domain of this instance.
  const request_traits *Request = nullptr;
  std::optional<engine_traits> Engine; ///< If the service is a model engine.
  std::set<std::string> Excluded;      ///< Runners already tried.
  int Priority = 0;                    ///< Of its route; 0 is the most urgent.
};

/// Where a request goes, with the figures that decided it.
struct placement_result {
  std::string Runner;            ///< Empty if there is none.
  double CostMs = 0;             ///< Expected delay by this choice.
  double Load = 0;               ///< Requests expected at the runner.
  std::int64_t CachedTokens = 0; ///< Prompt tokens that need not be read again.
  std::size_t Candidates = 0;
  bool InBackoff = false;   ///< Even the best one has just refused or failed.
  bool Full = false;        ///< No engine has room for a request of this rank.
  milliseconds LoadAge{-1}; ///< Age of the load report; -1 if there was none.
};

/// Estimates the requests at a runner: those of this instance, and those of
/// others from its newest report, which gives way to the mean of its service's
/// runners as it ages, and this to nothing.
/// \param Directory the runners.
/// \param Runner the runner.
/// \param Now the present time.
/// \returns running and waiting requests.
double estimateLoad(const runner_directory &Directory,
                    const runner_view &Runner, instant Now);

/// \param Runner the runner.
/// \param Request the request.
/// \returns tokens at the start of the prompt that the runner likely keeps.
std::int64_t cachedPrefixTokens(const runner_view &Runner,
                                const request_traits &Request);

/// Chooses the runner from which the answer is expected first.
/// \param Directory the runners.
/// \param Question the request and its service.
/// \param Now the present time.
/// \returns the choice.
placement_result placeRequest(const runner_directory &Directory,
                              const placement_query &Query, instant Now);

} // namespace lentilhoist
