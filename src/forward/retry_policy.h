#pragma once

#include "config/route.h"
#include "core/instant.h"

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

/// Resends that each request of an instance adds to its budget, and those that
/// each second adds. Without a bound, each of many failed requests is sent up
/// to nine times, which prolongs the overload that made them fail.
inline constexpr double ResendsPerRequest = 0.5;
inline constexpr double ResendsPerSecond = 10;
/// Resends that may be made at once: more than an instance has requests at a
/// runner that ends.
inline constexpr double MaxStoredResends = 100;

/// Resends that an instance may still make.
struct retry_budget {
  double Resends = MaxStoredResends;
  instant RefilledAt{}; ///< Zero before the first refill.
};

/// Adds the share of a new request.
/// \param Budget the budget; updated.
/// \param Now the current time.
void recordRequest(retry_budget &Budget, instant Now);

/// Takes a resend from the budget.
/// \param Budget the budget; updated.
/// \param Now the current time.
/// \returns false if it is exhausted: the request must not be resent.
bool takeResend(retry_budget &Budget, instant Now);

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
  Unauthorized,       ///< Its key is missing or belongs to no workspace.
  WorkspaceChanged,   ///< Its key has been moved to another workspace.
  RouteUnreadable,    ///< Its route, or what may be its route, can't be read.
  BadRequest,         ///< A required header is missing or malformed.
  InputTooLarge,      ///< No history replica could store it.
  NoRunner,           ///< No runner is available.
  PathLost,           ///< Neither this instance nor a relay reaches runners.
  RunnersFull,        ///< Runners refused it or could not be reached.
  QuotaExceeded,      ///< Its workspace has used up its quota.
  QuotaUndecided,     ///< No issuer has decided on its workspace's quota.
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
/// \returns the HTTP status. 429 and 503, which tell the caller that the
/// request was not executed, are returned only if no send may have been
/// executed.
int statusOf(proxy_error Reason, const send_counts &Sends);

/// Delay for the Retry-After header of a request that was not executed.
/// \param Reason the error.
/// \param Hash selects the jitter, which spreads callers that are rejected at
/// the same time.
/// \returns the delay: a base and jitter that depend on the error.
std::chrono::milliseconds retryAfter(proxy_error Reason, std::uint64_t Hash);

} // namespace lentilhoist
