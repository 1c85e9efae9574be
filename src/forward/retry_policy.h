#pragma once

#include "config/route.h"

#include <chrono>
#include <cstdint>
#include <string_view>

namespace lentilhoist {

/// Why sending a request to a runner produced no response to relay.
enum class send_outcome {
  NotSent, ///< The connection was never established.
  Refused, ///< The runner states that it did not execute the request.
  Unknown, ///< May have been executed: broken connection or response.
};

/// \param Outcome the value to name.
/// \returns its stable text form.
const char *sendOutcomeName(send_outcome Outcome);

/// Failed sends so far for one attempt of a caller.
struct send_counts {
  int MayHaveRun = 0; ///< Sends that may have been executed.
  int NotRun = 0;     ///< Sends that were certainly not executed.
};

/// Adds a failed send.
/// \param Sends the counts to update.
/// \param Outcome how the send failed.
void countFailedSend(send_counts &Sends, send_outcome Outcome);

/// \param Route supplies the route kind and the limit on attempts.
/// \param Sends the failed sends so far.
/// \returns whether the request may be sent to another runner.
bool mayResend(const route &Route, const send_counts &Sends);

/// Some statuses tell the caller that the request was not executed. They are
/// passed on only if the runner states that, and only an error can state it.
/// \param Status the status of a runner's response.
/// \param NotExecuted whether the response states that the request was not
/// executed.
/// \returns whether the status and the statement agree.
bool isCredible(int Status, bool NotExecuted);

/// Why the proxy answers a request with an error of its own.
enum class proxy_error {
  NoConfiguration,    ///< This instance has no configuration yet.
  NoRoute,            ///< No route matches.
  BadRequest,         ///< A required header is missing or malformed.
  NoRunner,           ///< No runner is available.
  PathLost,           ///< Neither this instance nor a relay reaches runners.
  RunnersFull,        ///< Runners refused it or could not be reached.
  RateLimited,        ///< The runners' limits leave no room for it.
  Quarantined,        ///< Requests like it have ended runners.
  HistoryUnavailable, ///< Too few history replicas answered in time.
  BudgetExhausted,    ///< The turn exceeds the program's token budget.
  UnknownTurn,        ///< The turn that it continues is not stored.
  RunnerFailed,       ///< The last send failed and may have been executed.
  TimedOut,           ///< The caller's or the route's deadline passed.
  Overloaded,         ///< The limit on buffered request bodies is reached.
  NoTime,             ///< It certainly cannot finish before its deadline.
  Stopping,           ///< This process may exit before the request ends.
};

/// \param Reason the value to name.
/// \returns its stable text form.
const char *proxyErrorName(proxy_error Reason);

/// \param Reason the error.
/// \param Sends the failed sends so far.
/// \returns the HTTP status. 503, which tells the caller that the request was
/// not executed, is returned only if no send may have been executed.
int statusOf(proxy_error Reason, const send_counts &Sends);

/// Delay for the Retry-After header of a request that was not executed.
/// \param Reason the error.
/// \param Hash selects the jitter, which spreads callers that are rejected at
/// the same time.
/// \returns the delay: a base and jitter that depend on the error.
std::chrono::milliseconds retryAfter(proxy_error Reason, std::uint64_t Hash);

} // namespace lentilhoist
