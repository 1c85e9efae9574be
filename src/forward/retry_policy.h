#pragma once

#include "config/route.h"

#include <chrono>
#include <cstdint>
#include <string_view>

namespace lentilhoist {

/// How a send of a request to a runner ended without an answer to pass on.
enum class send_outcome {
  NotSent, ///< The connection was never established.
  Refused, ///< The runner states that it did not run the request.
  Unknown, ///< It may have run: a broken connection or a broken answer.
};

/// \param Outcome the value to name.
/// \returns its stable text form.
const char *sendOutcomeName(send_outcome Outcome);

/// The sends of one attempt of a caller so far.
struct send_counts {
  int MayHaveRun = 0; ///< Sends after which the request may have run.
  int NotRun = 0;     ///< Sends after which it has certainly not run.
};

/// Counts a failed send.
/// \param Sends the sends so far.
/// \param Outcome how the last one ended.
void countFailedSend(send_counts &Sends, send_outcome Outcome);

/// \param Route the route.
/// \param Sends the failed sends so far.
/// \returns whether the request may be sent to another runner.
bool mayResend(const route &Route, const send_counts &Sends);

/// Why a request gets an answer of the system's own.
enum class proxy_error {
  NoConfiguration,    ///< This instance knows no configuration yet.
  NoRoute,            ///< No route matches.
  BadRequest,         ///< A header that decides about it is missing.
  NoRunner,           ///< No runner of the service is registered.
  RunnersFull,        ///< All runners refused it for want of room.
  HistoryUnavailable, ///< Too few replicas of the history answered.
  BudgetSpent,        ///< The program's budget does not hold the turn.
  UnknownTurn,        ///< The turn that it continues is not kept.
  RunnerFailed,       ///< A runner broke off; whether it ran is not known.
  TimedOut,           ///< The caller's or the route's time is over.
  Overloaded,         ///< This instance has no memory for it.
};

/// \param Reason the value to name.
/// \returns its stable text form.
const char *proxyErrorName(proxy_error Reason);

/// \param Reason why the system answers.
/// \param Sends the sends so far.
/// \returns the status; one that promises "not run" only if that is certain.
int statusOf(proxy_error Reason, const send_counts &Sends);

/// When a caller whose request has not run should come back.
/// \param Reason why it was refused.
/// \param Hash spreads callers that are refused at the same time.
/// \returns the time; zero if the status makes no such statement.
std::chrono::milliseconds retryAfter(proxy_error Reason, std::uint64_t Hash);

} // namespace lentilhoist
