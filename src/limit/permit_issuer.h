#pragma once

#include "limit/permit_message.h"
#include "limit/rate_limit.h"

#include <string>
#include <unordered_map>
#include <vector>

namespace lentilhoist {

/// When the next request may reach a runner that limits its rate.
struct runner_schedule {
  std::int64_t BornMs = 0; ///< Incarnation; a newer one starts anew.
  rate_limit Limit;
  instant NextStart{}; ///< Earliest start of the next permit.
};

/// Issues permits for requests to runners that limit their rate. For each
/// runner, all instances ask the same issuer, so that the sum of their requests
/// keeps the limit. The state is small and is not saved: an issuer that has
/// just started learns a limit from the next request for a permit, and begins
/// without credit for the past.
struct permit_issuer {
  std::unordered_map<std::string, runner_schedule> Runners; ///< By ID.
};

/// Credit of a runner that got fewer requests than its limit allows, as a time.
inline constexpr milliseconds MaxPermitCredit{500};
/// Part of the limit that an issuer gives out in place of the first in the
/// order. Instances that can't reach the first issuer and those that still can
/// must not exceed the limit together by much.
inline constexpr double StandbyShare = 0.25;
/// Runners that an issuer keeps at most; beyond the number of runners that the
/// largest deployment has.
inline constexpr std::size_t MaxScheduledRunners = 16'384;
/// A runner is forgotten if no permit was requested for this long.
inline constexpr seconds ScheduleLifetime{30};
/// Limits that a reply to a ping lists at most.
inline constexpr std::size_t MaxListedLimits = 64;

/// \param Rank how much the request gains.
/// \returns how far ahead a permit of this rank may start. While the queue is
/// longer, the capacity is left to higher ranks.
milliseconds permitHorizon(permit_rank Rank);

/// Decides on a request for a permit.
/// \param Issuer the issuer; updated.
/// \param Request the request.
/// \param Now the current time.
/// \returns the decision, with the newest limit known of the runner.
permit_reply issuePermit(permit_issuer &Issuer, const permit_request &Request,
                         instant Now);

/// Lists limits, so that instances that have not heard of them yet, for example
/// after a restart, respect them too.
/// \param Issuer the issuer.
/// \param Now the current time.
/// \returns at most MaxListedLimits limits, those stated last.
std::vector<limit_notice> listLimits(const permit_issuer &Issuer, instant Now);

/// Forgets runners for which no permits were requested lately.
/// \param Issuer the issuer; updated.
/// \param Now the current time.
void forgetIdleRunners(permit_issuer &Issuer, instant Now);

} // namespace lentilhoist
