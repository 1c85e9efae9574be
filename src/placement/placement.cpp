#include "placement/placement.h"

#include "placement/admission.h"

#include <algorithm>
#include <cmath>

namespace lentilhoist {

namespace {

/// Speed at which engines read prompts; from the deployments' sheet.
constexpr double PrefillTokensPerMs = 122.0;
/// Growth of a step by each request in the batch; from the sheet.
constexpr double StepMsPerRequest = 0.0355;
/// Time of one step; from the sheet.
constexpr double StepMs = 2.92;
/// Generated tokens when a caller gives no hint: seven events of ten tokens.
constexpr double DefaultOutputTokens = 70;
/// Mean duration at a plain service, for the wait behind a full one; the
/// sheet's works range from 20 to 80 ms.
constexpr double ServiceDurationMs = 45;
/// Two crossings between failure domains, 11 ms, and the price of the bytes.
constexpr double CrossDomainPenaltyMs = 16;
/// What a runner saves that has handled the object recently: half of the work.
constexpr double AffinitySavingMs = 20;
/// A runner that has just refused or failed comes after all others.
constexpr double BackoffPenaltyMs = 10'000;
/// A load report tells nothing any more after this; requests last about as
/// long.
constexpr milliseconds LoadReportLifetime{1'500};

struct runner_cost {
  double Total = 0;
  double Load = 0;
  std::int64_t CachedTokens = 0;
  bool InBackoff = false;
  bool Full = false;
};

/// Part of a report that still holds, from 1 to 0.
double freshness(instant Reported, instant Now) {
  const auto Age = Now.Steady - Reported.Steady;
  return std::max(0.0, 1.0 - static_cast<double>(Age.count()) /
                                 static_cast<double>(
                                     microseconds(LoadReportLifetime).count()));
}

double outputTokens(const request_traits &Request) {
  if (Request.OutputHint > 0)
    return static_cast<double>(Request.OutputHint);
  return DefaultOutputTokens;
}

runner_cost computeCost(const runner_directory &Directory,
                        const runner_view &Runner, const placement_query &Query,
                        instant Now) {
  runner_cost Cost;
  Cost.Load = estimateLoad(Directory, Runner, Now);
  const request_traits &Request = *Query.Request;
  const double Slots = Runner.Entry.Slots;
  const double ExcessRequests = Cost.Load - Slots + 1;
  if (Query.Engine) {
    Cost.CachedTokens = cachedPrefixTokens(Runner, Request);
    const double UncachedTokens = static_cast<double>(
        std::max<std::int64_t>(0, Request.PromptTokens - Cost.CachedTokens));
    const double Output = outputTokens(Request);
    Cost.Total += UncachedTokens / PrefillTokensPerMs;
    Cost.Total += std::min(Cost.Load, Slots) * StepMsPerRequest * Output;
    Cost.Full = Cost.Load >=
                admissionLimit({Query.Priority, !Request.PreviousTurn.empty(),
                                Request.ProgramTimeLeft, Runner.Entry.Slots});
    // A place becomes free when one of the batch ends.
    if (ExcessRequests > 0)
      Cost.Total += ExcessRequests / Slots * StepMs * Output;
  } else {
    if (ExcessRequests > 0)
      Cost.Total += ExcessRequests / Slots * ServiceDurationMs;
    // Spreads requests where places are free everywhere.
    Cost.Total += Cost.Load;
    if (!Request.AffinityKey.empty() &&
        Runner.RecentContent.contains(Request.AffinityKey))
      Cost.Total -= AffinitySavingMs;
  }
  if (Runner.Entry.Domain != Query.Domain)
    Cost.Total += CrossDomainPenaltyMs;
  Cost.InBackoff = Runner.RefusedUntil.Steady > Now.Steady ||
                   Runner.FailedUntil.Steady > Now.Steady;
  if (Cost.InBackoff)
    Cost.Total += BackoffPenaltyMs;
  return Cost;
}

} // namespace

double estimateLoad(const runner_directory &Directory,
                    const runner_view &Runner, instant Now) {
  const double Own = Runner.Outstanding;
  const double Fresh = Runner.Load ? freshness(Runner.LoadReceivedAt, Now) : 0;
  double Others = 0;
  if (Runner.Load)
    Others = Fresh * std::max(0, Runner.Load->Running + Runner.Load->Waiting -
                                     Runner.OutstandingAtReport);
  const auto Service = Directory.ServiceLoads.find(Runner.Entry.Service);
  if (Service != Directory.ServiceLoads.end())
    Others += (1 - Fresh) * freshness(Service->second.Time, Now) *
              Service->second.OthersPerSlot * Runner.Entry.Slots;
  return Own + Others;
}

std::int64_t cachedPrefixTokens(const runner_view &Runner,
                                const request_traits &Request) {
  std::int64_t CachedTokens = 0;
  for (const prompt_part &Part : Request.Prompt) {
    if (!Runner.RecentContent.contains(Part.Id))
      break;
    CachedTokens += Part.Tokens;
  }
  return CachedTokens;
}

placement_result placeRequest(const runner_directory &Directory,
                              const placement_query &Query, instant Now) {
  placement_result Best;
  std::size_t Full = 0;
  for (const auto &[Id, Runner] : Directory.Runners) {
    if (Runner.Entry.Service != Query.Service || Runner.Entry.Draining ||
        Query.Excluded.contains(Id))
      continue;
    ++Best.Candidates;
    const runner_cost Cost = computeCost(Directory, Runner, Query, Now);
    if (Cost.Full) {
      ++Full;
      continue;
    }
    if (!Best.Runner.empty() && Cost.Total >= Best.CostMs)
      continue;
    Best.Runner = Id;
    Best.CostMs = Cost.Total;
    Best.Load = Cost.Load;
    Best.CachedTokens = Cost.CachedTokens;
    Best.InBackoff = Cost.InBackoff;
    Best.LoadAge = Runner.Load ? std::chrono::duration_cast<milliseconds>(
                                     Now.Steady - Runner.LoadReceivedAt.Steady)
                               : milliseconds(-1);
  }
  Best.Full = Best.Runner.empty() && Full > 0;
  return Best;
}

} // namespace lentilhoist
