#pragma once

#include "core/instant.h"
#include "placement/runner_speed.h"

#include <cstdint>

namespace lentilhoist {

// Rejects requests that cannot finish in time, under a load of callers whose
// time is short or at a service whose queues have become long. Such a request
// would take capacity from others and earn nothing.

/// When a request could be complete at the runner that suits it best.
struct completion_estimate {
  bool Known = false;    ///< The figures rest on enough observations.
  double EarliestMs = 0; ///< Almost no request takes less.
  double ExpectedMs = 0; ///< Typical time.
  double QueueMs = 0;    ///< Part of ExpectedMs spent in the runner's queue.
};

/// Takes another runner into account.
/// \param Best the estimate for the best runner so far; updated.
/// \param ExpectedMs expected completion time at the runner, uncorrected.
/// \param QueueMs part of it spent in the queue.
/// \param Range how actual times compare with expected ones.
void offerRunner(completion_estimate &Best, double ExpectedMs, double QueueMs,
                 const completion_range &Range);

/// \param Estimate the estimate for the best runner.
/// \param TimeLeft time left to complete the request.
/// \returns whether the request certainly cannot finish in time; false if the
/// estimate is not known.
bool cannotFinish(const completion_estimate &Estimate, milliseconds TimeLeft);

/// Estimates when a request like a rejected one can finish in time again.
/// \param Estimate the estimate for the best runner.
/// \param Hash selects the jitter, which spreads callers that are rejected at
/// the same time.
/// \returns the value of Retry-After: the time in which the queue at the best
/// runner ends, within bounds, and as much jitter at most.
milliseconds roomExpectedIn(const completion_estimate &Estimate,
                            std::uint64_t Hash);

} // namespace lentilhoist
