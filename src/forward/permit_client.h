#pragma once

#include "forward/exchange_context.h"

namespace lentilhoist {

/// Outcome of a request for a permit.
struct permit_outcome {
  bool Granted = false;
  milliseconds Delay{0}; ///< Granted: time until the permit may be used.
};

/// Requests a permit for a runner that limits its rate, from the issuer that
/// all instances ask for that runner. If no issuer can be reached, this
/// instance takes its share of the limit. The permit is added to the runner's
/// stock, where any request of this instance may use it.
/// \param Context state of the instance.
/// \param RunnerId a known runner with a limit.
/// \param Rank how much the request gains.
/// \param MaxDelay longest that the request can wait.
/// \param Attempt the request, for the log.
/// \param OnDone called later with the outcome, unless the reply is lost.
void requestPermit(exchange_context &Context, const std::string &RunnerId,
                   permit_rank Rank, milliseconds MaxDelay,
                   const std::string &Attempt,
                   std::function<void(permit_outcome)> OnDone);

/// Applies the limits that a replica has listed.
/// \param Context state of the instance.
/// \param Notices the limits.
/// \param Now the current time.
void applyLimitNotices(exchange_context &Context,
                       const std::vector<limit_notice> &Notices, instant Now);

/// \param PerSecond a rate in requests a second.
/// \returns its text form in log lines.
std::string formatRate(double PerSecond);

} // namespace lentilhoist
