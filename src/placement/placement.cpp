#include "placement/placement.h"

#include "placement/admission.h"

#include <algorithm>
#include <cmath>

namespace lentilhoist {

namespace {

/// Prefill rate of the engines, from the deployments' data sheet.
constexpr double PrefillTokensPerMs = 122.0;
/// Increase of the step duration per request in the batch, from the data sheet.
constexpr double StepMsPerRequest = 0.0355;
/// Base duration of a decoding step, from the data sheet.
constexpr double StepMs = 2.92;
/// Generated tokens assumed without a hint from the caller: seven events of ten
/// tokens.
constexpr double DefaultOutputTokens = 70;
/// Mean request duration at a plain service, used to estimate the queueing
/// delay at a full runner. Durations in the data sheet range from 20 to 80 ms.
constexpr double ServiceDurationMs = 45;
/// Two transfers between failure domains take 11 ms; the rest accounts for the
/// cost of the traffic.
constexpr double CrossDomainPenaltyMs = 16;
/// Time that a runner saves if it handled the object recently: half of the
/// work.
constexpr double AffinitySavingMs = 20;
/// Cost of each request beside one that may end the runner.
constexpr double IsolationMsPerRequest = 100;
/// Ranks runners in backoff after all others.
constexpr double BackoffPenaltyMs = 10'000;
/// Ranks an ejected runner after all others that may take a request now, and
/// after those that have just refused for load and will soon.
constexpr double EjectedPenaltyMs = 20'000;
/// Added for a backoff after failures: a runner that fails part of its requests
/// ranks before one that could not be used at all just now.
constexpr double FailurePenaltyMs = 20'000;
/// Age at which a load report has lost all weight, about the duration of a
/// request.
constexpr milliseconds LoadReportLifetime{1'500};

struct runner_cost {
  double Total = 0;
  double Load = 0;
  std::int64_t CachedTokens = 0;
  bool InBackoff = false;
  bool Full = false;
};

/// Returns the weight of a report by its age, falling linearly from 1 to 0.
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
                        bool RateLimited, instant Now) {
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
                admissionLimit(
                    {Query.Priority,
                     !Request.PreviousTurn.empty() ||
                         (RateLimited && Query.Rank == permit_rank::UnderWay),
                     Request.ProgramTimeLeft, Runner.Entry.Slots, RateLimited,
                     Query.OverShare});
    // A slot becomes free when a request of the batch ends.
    if (ExcessRequests > 0)
      Cost.Total += ExcessRequests / Slots * StepMs * Output;
  } else {
    if (ExcessRequests > 0)
      Cost.Total += ExcessRequests / Slots * ServiceDurationMs;
    // Balances requests among runners that all have free slots.
    Cost.Total += Cost.Load;
    if (!Request.AffinityKey.empty() &&
        Runner.RecentContent.contains(Request.AffinityKey))
      Cost.Total -= AffinitySavingMs;
  }
  if (Runner.Entry.Domain != Query.Domain)
    Cost.Total += CrossDomainPenaltyMs;
  if (Query.Isolate)
    Cost.Total = Cost.Load * IsolationMsPerRequest;
  Cost.InBackoff = Runner.RefusedUntil.Steady > Now.Steady ||
                   Runner.FailedUntil.Steady > Now.Steady;
  if (Cost.InBackoff)
    Cost.Total += BackoffPenaltyMs;
  if (Runner.FailedUntil.Steady > Now.Steady)
    Cost.Total += FailurePenaltyMs;
  // A runner on trial gets one request of this instance at a time.
  const runner_standing Standing = standingOf(Runner, Now);
  if (Standing == runner_standing::Ejected ||
      (Standing == runner_standing::OnTrial && Runner.Outstanding > 0))
    Cost.Total += EjectedPenaltyMs;
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

namespace {

/// The best of the runners that lack a permit.
struct permit_candidate {
  std::string Runner;
  double Cost = 0;

  void offer(const std::string &Id, double NewCost) {
    if (!Runner.empty() && NewCost >= Cost)
      return;
    Runner = Id;
    Cost = NewCost;
  }
};

} // namespace

placement_result placeRequest(const runner_directory &Directory,
                              const placement_query &Query, instant Now) {
  placement_result Best;
  Best.RateLimited =
      std::any_of(Directory.Runners.begin(), Directory.Runners.end(),
                  [&](const auto &Item) {
                    const runner_view &Runner = Item.second;
                    return Runner.Entry.Service == Query.Service &&
                           takesRequests(Runner) &&
                           isRecent(Runner.Permits.Limit, Now);
                  });
  permit_candidate Needed;
  permit_candidate Spare;
  std::size_t Full = 0;
  for (const auto &[Id, Runner] : Directory.Runners) {
    if (Runner.Entry.Service != Query.Service || !takesRequests(Runner) ||
        Query.Excluded.contains(Id))
      continue;
    ++Best.Candidates;
    const runner_cost Cost =
        computeCost(Directory, Runner, Query, Best.RateLimited, Now);
    if (Cost.Full) {
      ++Full;
      continue;
    }
    if (!maySend(Runner.Permits, Now)) {
      ++Best.Limited;
      const double Total = Cost.Total + queueDelayMs(Runner.Permits, Now);
      if (shouldRequest(Runner.Permits, Query.Rank, Now))
        Needed.offer(Id, Total);
      if (shouldRequest(Runner.Permits, permit_rank::Spare, Now))
        Spare.offer(Id, Total);
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
  const bool Selected = !Best.Runner.empty() && !Best.InBackoff;
  if (!Selected)
    Best.PermitRunner = Needed.Runner;
  else if (Spare.Cost < Best.CostMs)
    Best.PermitRunner = Spare.Runner;
  return Best;
}

} // namespace lentilhoist
