#include "placement/placement.h"

#include "core/hash.h"
#include "placement/admission.h"

#include <algorithm>
#include <cmath>

namespace lentilhoist {

namespace {

/// Generated tokens assumed without a hint from the caller: seven events of ten
/// tokens.
constexpr double DefaultOutputTokens = 70;
/// Two transfers between failure domains take 11 ms; the rest accounts for the
/// cost of the traffic.
constexpr double CrossDomainPenaltyMs = 16;
/// Part of the work that a runner saves if it handled the object recently:
/// 20 of 45 ms.
constexpr double AffinitySaving = 20.0 / 45.0;
/// Cost of a request at a plain service that has free slots.
constexpr double PlainLoadMs = 1;
/// Cost of a new connection: a handshake takes a round trip, 1.8 or 9 ms
/// between failure domains. The mean is used for all, since the runner has to
/// accept it as well.
constexpr double NewConnectionMs = 5.4;
/// Requests that other instances may add to a runner before this one hears of
/// it: the largest perturbation. With one, instances that place at the same
/// moment would all choose a runner that is one request ahead.
constexpr double UnseenRequests = 2;
/// One of so many requests may go to a failure domain of which nothing is known
/// as if it were near. Without it, an instance in a slow domain that is never
/// full does not learn that others are faster.
constexpr std::uint64_t ExplorationInterval = 32;
/// Bounds of a runner's factor where it determines how many requests may queue.
constexpr double MinQueueFactor = 0.5;
constexpr double MaxQueueFactor = 2;
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
  double ExpectedMs = 0;
  double QueueMs = 0;
  speed_estimate Speed;
  bool Connected = false;
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

/// Limits the queue at a runner to the same time for slow and fast runners.
/// \returns number of requests up to which a runner takes another one.
double queueLimit(double Limit, double Slots, double Factor) {
  if (Limit <= Slots)
    return Limit;
  return Slots +
         (Limit - Slots) / std::clamp(Factor, MinQueueFactor, MaxQueueFactor);
}

/// \returns a number from 0 to 1 that differs between requests and runners.
double perturbation(const std::string &Runner, std::uint64_t Spread) {
  constexpr int MantissaBits = 53;
  return std::ldexp(
      static_cast<double>(stableHash(Runner, Spread) >> (64 - MantissaBits)),
      -MantissaBits);
}

/// Adds the expected time of a request at an engine.
/// \returns cost of one more request that is ahead of it.
double addEngineTime(runner_cost &Cost, const runner_view &Runner,
                     const request_traits &Request, const base_rates &Rates) {
  const double Slots = Runner.Entry.Slots;
  const double Multiple = Cost.Speed.multiple();
  Cost.CachedTokens = cachedPrefixTokens(Runner, Request);
  const double UncachedTokens = static_cast<double>(
      std::max<std::int64_t>(0, Request.PromptTokens - Cost.CachedTokens));
  const double Output = outputTokens(Request);
  const double Batch = std::min(Cost.Load, Slots);
  const double WorkMs =
      Rates.StartMs + UncachedTokens / Rates.PrefillTokensPerMs +
      Output * (Rates.StepMs + Batch * Rates.StepMsPerRequest);
  // A slot becomes free when a request of the batch ends.
  const double Excess = std::max(0.0, Cost.Load - Slots + 1);
  const double SlotMs = Rates.StepMs * Output / Slots;
  Cost.QueueMs = Excess * SlotMs * Multiple;
  Cost.ExpectedMs = WorkMs * Multiple + Cost.QueueMs;
  return Multiple * (Excess > 0 ? SlotMs : Rates.StepMsPerRequest * Output);
}

/// Adds the expected time of a request at a plain service.
/// \returns cost of one more request that is ahead of it.
double addPlainTime(runner_cost &Cost, const runner_view &Runner,
                    const request_traits &Request, const base_rates &Rates) {
  const double Slots = Runner.Entry.Slots;
  const double Multiple = Cost.Speed.multiple();
  const double Excess = std::max(0.0, Cost.Load - Slots + 1);
  Cost.QueueMs = Excess / Slots * Rates.PlainMs * Multiple;
  double WorkMs = Rates.PlainMs;
  if (!Request.AffinityKey.empty() &&
      Runner.RecentContent.contains(Request.AffinityKey))
    WorkMs -= AffinitySaving * Rates.PlainMs;
  Cost.ExpectedMs = WorkMs * Multiple + Cost.QueueMs;
  return PlainLoadMs + (Excess > 0 ? Rates.PlainMs / Slots * Multiple : 0);
}

/// \returns the expected cost of the way to a runner.
double pathCost(const runner_cost &Cost, const runner_view &Runner,
                const placement_query &Query) {
  double Ms = Query.Connected && !Cost.Connected ? NewConnectionMs : 0;
  const bool Explores =
      Query.Spread % ExplorationInterval == 1 && !Cost.Speed.DomainObserved;
  if (Runner.Entry.Domain != Query.Domain && !Explores)
    Ms += CrossDomainPenaltyMs;
  return Ms;
}

runner_cost computeCost(const runner_directory &Directory,
                        const runner_view &Runner, const placement_query &Query,
                        const service_speed *Service, const base_rates &Rates,
                        bool RateLimited, instant Now) {
  runner_cost Cost;
  Cost.Load = estimateLoad(Directory, Runner, Now);
  Cost.Speed = estimateSpeed(Service, Runner.Speed, Runner.Entry.Domain, Now);
  Cost.Connected =
      Query.Connected &&
      std::binary_search(Query.Connected->begin(), Query.Connected->end(),
                         std::string_view(Runner.Entry.Address));
  const request_traits &Request = *Query.Request;
  double NextRequestMs = 0;
  if (Query.Engine) {
    NextRequestMs = addEngineTime(Cost, Runner, Request, Rates);
    const double Limit = admissionLimit(
        {Query.Priority,
         !Request.PreviousTurn.empty() || Query.ProgramStarted ||
             (RateLimited && Query.Rank == permit_rank::UnderWay),
         Request.ProgramTimeLeft, Runner.Entry.Slots, RateLimited,
         Query.OverShare});
    Cost.Full =
        Cost.Load >= queueLimit(Limit, Runner.Entry.Slots, Cost.Speed.Factor);
    Cost.Total = Cost.ExpectedMs;
  } else {
    NextRequestMs = addPlainTime(Cost, Runner, Request, Rates);
    // Balances requests among runners that all have free slots.
    Cost.Total = Cost.ExpectedMs + Cost.Load * PlainLoadMs;
  }
  Cost.Total += pathCost(Cost, Runner, Query);
  if (Query.Spread != 0)
    Cost.Total += perturbation(Runner.Entry.Id, Query.Spread) * UnseenRequests *
                  NextRequestMs;
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
  const service_speed *Service = findSpeed(Directory, Query.Service);
  const base_rates Rates = baseRates(Service);
  permit_candidate Needed;
  permit_candidate Spare;
  std::size_t Full = 0;
  const completion_range Range = completionRange(Service, Now);
  for (const auto &[Id, Runner] : Directory.Runners) {
    if (Runner.Entry.Service != Query.Service || !takesRequests(Runner))
      continue;
    const runner_cost Cost = computeCost(Directory, Runner, Query, Service,
                                         Rates, Best.RateLimited, Now);
    // Runners that were tried are tried again after a wait.
    offerRunner(Best.Completion, Cost.ExpectedMs, Cost.QueueMs, Range);
    if (Query.Excluded.contains(Id))
      continue;
    ++Best.Candidates;
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
    Best.ExpectedMs = Cost.ExpectedMs;
    Best.QueueMs = Cost.QueueMs;
    Best.Speed = Cost.Speed;
    Best.Connected = Cost.Connected;
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
