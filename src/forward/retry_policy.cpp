#include "forward/retry_policy.h"

namespace lentilhoist {

namespace {

using std::chrono::milliseconds;

/// Sends that end as "not run" beyond the first, for each attempt of a caller:
/// with more of them, a full service spends its time refusing.
constexpr int MaxNotRunSends = 8;

/// A configuration, a first list of runners or a quorum is there again within
/// about this time of a restart.
constexpr milliseconds ShortReturn{250};
/// Runners that are full free a tenth of their places in this time.
constexpr milliseconds FullReturn{150};

milliseconds returnBase(own_answer Reason) {
  switch (Reason) {
  case own_answer::RunnersFull:
  case own_answer::Overloaded:
    return FullReturn;
  default:
    return ShortReturn;
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

const char *ownAnswerName(own_answer Reason) {
  switch (Reason) {
  case own_answer::NoConfiguration:
    return "no_configuration";
  case own_answer::NoRoute:
    return "no_route";
  case own_answer::BadRequest:
    return "bad_request";
  case own_answer::NoRunner:
    return "no_runner";
  case own_answer::RunnersFull:
    return "runners_full";
  case own_answer::HistoryAway:
    return "history_away";
  case own_answer::BudgetSpent:
    return "budget_spent";
  case own_answer::UnknownTurn:
    return "unknown_turn";
  case own_answer::RunnerFailed:
    return "runner_failed";
  case own_answer::TimedOut:
    return "timed_out";
  case own_answer::Overloaded:
    return "overloaded";
  }
  return "unknown";
}

void countSend(send_history &Sends, send_outcome Outcome) {
  if (Outcome == send_outcome::Unknown)
    ++Sends.MayHaveRun;
  else
    ++Sends.NotRun;
}

bool maySendAgain(const route &Route, const send_history &Sends) {
  if (Sends.NotRun > MaxNotRunSends)
    return false;
  if (Route.Kind == route_kind::Idempotent)
    return Sends.MayHaveRun < Route.MaxAttempts;
  return Sends.MayHaveRun == 0;
}

int statusOf(own_answer Reason, const send_history &Sends) {
  switch (Reason) {
  case own_answer::NoRoute:
  case own_answer::UnknownTurn:
    return 404;
  case own_answer::BadRequest:
    return 400;
  case own_answer::BudgetSpent:
    return 402;
  case own_answer::TimedOut:
    return Sends.MayHaveRun == 0 ? 503 : 504;
  default:
    return Sends.MayHaveRun == 0 ? 503 : 502;
  }
}

milliseconds returnAfter(own_answer Reason, std::uint64_t Hash) {
  const milliseconds Base = returnBase(Reason);
  return Base + milliseconds(static_cast<std::int64_t>(
                    Hash % static_cast<std::uint64_t>(Base.count())));
}

} // namespace lentilhoist
