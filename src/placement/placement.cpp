#include "placement/placement.h"

#include "placement/admission.h"

#include <algorithm>
#include <cmath>

namespace lentilhoist {

namespace {

/// Speed at which engines read prompts; from the deployments' sheet.
constexpr double PrefillTokensPerMs = 122.0;
/// Growth of a step by each request in the batch; from the sheet.
constexpr double StepGrowthMs = 0.0355;
/// Time of one step; from the sheet.
constexpr double StepMs = 2.92;
/// Generated tokens when a caller gives no hint: seven events of ten tokens.
constexpr double DefaultOutputTokens = 70;
/// Mean duration at a plain service, for the wait behind a full one; the
/// sheet's works range from 20 to 80 ms.
constexpr double ServiceMs = 45;
/// Two crossings between failure domains, 11 ms, and the price of the bytes.
constexpr double CrossDomainMs = 16;
/// What a runner saves that has handled the object recently: half of the work.
constexpr double AffinityMs = 20;
/// A runner that has just refused or failed comes after all others.
constexpr double PausedMs = 10'000;
/// A load report tells nothing any more after this; requests last about as
/// long.
constexpr milliseconds LoadLifetime{1'500};

struct cost_parts {
  double Total = 0;
  double Load = 0;
  std::int64_t Kept = 0;
  bool Paused = false;
  bool Full = false;
};

/// Part of a report that still holds, from 1 to 0.
double freshness(instant Reported, instant Now) {
  const auto Age = Now.Steady - Reported.Steady;
  return std::max(
      0.0, 1.0 - static_cast<double>(Age.count()) /
                     static_cast<double>(microseconds(LoadLifetime).count()));
}

double outputTokens(const request_traits &Request) {
  if (Request.OutputHint > 0)
    return static_cast<double>(Request.OutputHint);
  return DefaultOutputTokens;
}

cost_parts costOf(const runner_directory &Directory, const runner_view &Runner,
                  const placement_question &Question, instant Now) {
  cost_parts Cost;
  Cost.Load = estimateLoad(Directory, Runner, Now);
  const request_traits &Request = *Question.Request;
  const double Slots = Runner.Entry.Slots;
  const double Over = Cost.Load - Slots + 1;
  if (Question.Engine) {
    Cost.Kept = keptTokens(Runner, Request);
    const double Unread = static_cast<double>(
        std::max<std::int64_t>(0, Request.PromptTokens - Cost.Kept));
    const double Output = outputTokens(Request);
    Cost.Total += Unread / PrefillTokensPerMs;
    Cost.Total += std::min(Cost.Load, Slots) * StepGrowthMs * Output;
    Cost.Full =
        Cost.Load >=
        admissionLimit({Question.Priority, !Request.PreviousTurn.empty(),
                        Request.ProgramTimeLeft, Runner.Entry.Slots});
    // A place becomes free when one of the batch ends.
    if (Over > 0)
      Cost.Total += Over / Slots * StepMs * Output;
  } else {
    if (Over > 0)
      Cost.Total += Over / Slots * ServiceMs;
    // Spreads requests where places are free everywhere.
    Cost.Total += Cost.Load;
    if (!Request.AffinityKey.empty() &&
        Runner.Recent.contains(Request.AffinityKey))
      Cost.Total -= AffinityMs;
  }
  if (Runner.Entry.Domain != Question.Domain)
    Cost.Total += CrossDomainMs;
  Cost.Paused = Runner.RefusedUntil.Steady > Now.Steady ||
                Runner.FailedUntil.Steady > Now.Steady;
  if (Cost.Paused)
    Cost.Total += PausedMs;
  return Cost;
}

} // namespace

double estimateLoad(const runner_directory &Directory,
                    const runner_view &Runner, instant Now) {
  const double Own = Runner.Outstanding;
  const double Fresh = Runner.Load ? freshness(Runner.LoadTime, Now) : 0;
  double Others = 0;
  if (Runner.Load)
    Others = Fresh * std::max(0, Runner.Load->Running + Runner.Load->Waiting -
                                     Runner.OutstandingAtLoad);
  const auto Service = Directory.Loads.find(Runner.Entry.Service);
  if (Service != Directory.Loads.end())
    Others += (1 - Fresh) * freshness(Service->second.Time, Now) *
              Service->second.OthersPerSlot * Runner.Entry.Slots;
  return Own + Others;
}

std::int64_t keptTokens(const runner_view &Runner,
                        const request_traits &Request) {
  std::int64_t Kept = 0;
  for (const prompt_part &Part : Request.Prompt) {
    if (!Runner.Recent.contains(Part.Id))
      break;
    Kept += Part.Tokens;
  }
  return Kept;
}

placement_answer placeRequest(const runner_directory &Directory,
                              const placement_question &Question, instant Now) {
  placement_answer Best;
  std::size_t Full = 0;
  for (const auto &[Id, Runner] : Directory.Runners) {
    if (Runner.Entry.Service != Question.Service || Runner.Entry.Draining ||
        Question.Excluded.contains(Id))
      continue;
    ++Best.Candidates;
    const cost_parts Cost = costOf(Directory, Runner, Question, Now);
    if (Cost.Full) {
      ++Full;
      continue;
    }
    if (!Best.Runner.empty() && Cost.Total >= Best.CostMs)
      continue;
    Best.Runner = Id;
    Best.CostMs = Cost.Total;
    Best.Load = Cost.Load;
    Best.KeptTokens = Cost.Kept;
    Best.Paused = Cost.Paused;
    Best.LoadAge = Runner.Load ? std::chrono::duration_cast<milliseconds>(
                                     Now.Steady - Runner.LoadTime.Steady)
                               : milliseconds(-1);
  }
  Best.Full = Best.Runner.empty() && Full > 0;
  return Best;
}

} // namespace lentilhoist
