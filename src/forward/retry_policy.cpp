#include "forward/retry_policy.h"

#include <algorithm>

namespace lentilhoist {

namespace {

using std::chrono::milliseconds;

/// Resends after a send that was not executed, for each attempt of a caller.
/// With more, a service at capacity spends its time refusing requests.
constexpr int MaxNotRunSends = 8;

/// After a restart, the configuration, the list of runners and the quorum are
/// available again within about this time.
constexpr milliseconds ShortRetryDelay{250};
/// Runners at capacity free about a tenth of their slots in this time.
constexpr milliseconds RunnersFullRetryDelay{150};

/// Limits are stated for a second, and what they leave is given out that far
/// ahead to programs under way.
constexpr milliseconds RateLimitedRetryDelay{300};
constexpr milliseconds RateLimitedRetrySpread{900};

/// Another instance takes the request at once.
constexpr milliseconds StoppingRetryDelay{10};
constexpr milliseconds StoppingRetrySpread{40};

/// A trial may follow as soon as FirstQuarantine is over.
constexpr milliseconds QuarantineRetryDelay{5'000};

/// Range of times at which rejected callers return.
struct retry_delays {
  milliseconds Base;
  milliseconds Spread;
};

void addResends(retry_budget &Budget, double Amount) {
  Budget.Resends = std::min(Budget.Resends + Amount, MaxStoredResends);
}

void refill(retry_budget &Budget, instant Now) {
  const std::chrono::duration<double> Passed =
      Now.Steady - Budget.RefilledAt.Steady;
  if (Budget.RefilledAt.Steady.count() != 0 && Passed.count() > 0)
    addResends(Budget, Passed.count() * ResendsPerSecond);
  Budget.RefilledAt = Now;
}

retry_delays retryDelays(proxy_error Reason) {
  switch (Reason) {
  case proxy_error::RunnersFull:
  case proxy_error::Overloaded:
    return {RunnersFullRetryDelay, RunnersFullRetryDelay};
  case proxy_error::RateLimited:
    return {RateLimitedRetryDelay, RateLimitedRetrySpread};
  case proxy_error::Quarantined:
    return {QuarantineRetryDelay, QuarantineRetryDelay};
  case proxy_error::Stopping:
    return {StoppingRetryDelay, StoppingRetrySpread};
  default:
    return {ShortRetryDelay, ShortRetryDelay};
  }
}

} // namespace

const char *sendOutcomeName(send_outcome Outcome) {
  switch (Outcome) {
  case send_outcome::NotSent:
    return "not_sent";
  case send_outcome::Refused:
    return "refused";
  case send_outcome::Unknown:
    return "unknown";
  }
  return "unknown";
}

const char *proxyErrorName(proxy_error Reason) {
  switch (Reason) {
  case proxy_error::NoConfiguration:
    return "no_configuration";
  case proxy_error::NoRoute:
    return "no_route";
  case proxy_error::Unauthorized:
    return "unauthorized";
  case proxy_error::WorkspaceChanged:
    return "workspace_changed";
  case proxy_error::RouteUnreadable:
    return "route_unreadable";
  case proxy_error::BadRequest:
    return "bad_request";
  case proxy_error::InputTooLarge:
    return "input_too_large";
  case proxy_error::NoRunner:
    return "no_runner";
  case proxy_error::PathLost:
    return "path_lost";
  case proxy_error::RunnersFull:
    return "runners_full";
  case proxy_error::QuotaExceeded:
    return "quota_exceeded";
  case proxy_error::QuotaUndecided:
    return "quota_undecided";
  case proxy_error::RateLimited:
    return "rate_limited";
  case proxy_error::Quarantined:
    return "quarantined";
  case proxy_error::HistoryUnavailable:
    return "history_away";
  case proxy_error::BudgetExhausted:
    return "budget_spent";
  case proxy_error::UnknownTurn:
    return "unknown_turn";
  case proxy_error::RunnerFailed:
    return "runner_failed";
  case proxy_error::TimedOut:
    return "timed_out";
  case proxy_error::Overloaded:
    return "overloaded";
  case proxy_error::NoTime:
    return "no_time";
  case proxy_error::Stopping:
    return "stopping";
  }
  return "unknown";
}

void countFailedSend(send_counts &Sends, send_outcome Outcome) {
  if (Outcome == send_outcome::Unknown)
    ++Sends.MayHaveRun;
  else
    ++Sends.NotRun;
}

bool mayResend(const route &Route, const send_counts &Sends) {
  if (Sends.NotRun > MaxNotRunSends)
    return false;
  if (Route.Kind == route_kind::Idempotent)
    return Sends.MayHaveRun < Route.MaxAttempts;
  return Sends.MayHaveRun == 0;
}

void recordRequest(retry_budget &Budget, instant Now) {
  refill(Budget, Now);
  addResends(Budget, ResendsPerRequest);
}

bool takeResend(retry_budget &Budget, instant Now) {
  refill(Budget, Now);
  if (Budget.Resends < 1)
    return false;
  Budget.Resends -= 1;
  return true;
}

bool isCredible(int Status, bool NotExecuted) {
  if (NotExecuted)
    return Status >= 400;
  return Status != 408 && Status != 429 && Status != 503;
}

int statusOf(proxy_error Reason, const send_counts &Sends) {
  switch (Reason) {
  case proxy_error::NoRoute:
  case proxy_error::UnknownTurn:
    return 404;
  case proxy_error::Unauthorized:
    return 401;
  case proxy_error::BadRequest:
    return 400;
  case proxy_error::InputTooLarge:
    return 413;
  case proxy_error::BudgetExhausted:
    return 402;
  case proxy_error::QuotaExceeded:
    return Sends.MayHaveRun == 0 ? 429 : 502;
  case proxy_error::TimedOut:
    return Sends.MayHaveRun == 0 ? 503 : 504;
  default:
    return Sends.MayHaveRun == 0 ? 503 : 502;
  }
}

milliseconds retryAfter(proxy_error Reason, std::uint64_t Hash) {
  const auto [Base, Spread] = retryDelays(Reason);
  return Base + milliseconds(static_cast<std::int64_t>(
                    Hash % static_cast<std::uint64_t>(Spread.count())));
}

} // namespace lentilhoist
