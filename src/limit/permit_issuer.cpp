#include "limit/permit_issuer.h"

#include <algorithm>

namespace lentilhoist {

namespace {

using std::chrono::duration_cast;

/// A stated limit older than this is not adopted: ages come from other
/// processes.
constexpr std::uint64_t MaxStatementAgeMs = 600'000;
/// Delay before another request after one that can't be decided on.
constexpr std::uint64_t UndecidedDelayMs = 500;

microseconds intervalOf(double PerSecond) {
  return duration_cast<microseconds>(
      std::chrono::duration<double>(1 / PerSecond));
}

std::uint64_t roundUpMs(microseconds Time) {
  return static_cast<std::uint64_t>(
      std::chrono::ceil<milliseconds>(Time).count());
}

std::uint64_t ageMs(const rate_limit &Limit, instant Now) {
  return static_cast<std::uint64_t>(
      duration_cast<milliseconds>(Now.Steady - Limit.StatedAt.Steady).count());
}

bool isValid(const permit_request &Request) {
  return Request.Rank >= permit_rank::UnderWay &&
         Request.Rank <= permit_rank::Spare &&
         Request.AgeMs <= MaxStatementAgeMs &&
         (Request.PerSecond == 0 || isRateLimit(Request.PerSecond));
}

/// \returns the schedule of the runner; null if the request names an earlier
/// incarnation or there is no room.
runner_schedule *findSchedule(permit_issuer &Issuer,
                              const permit_request &Request, instant Now) {
  if (Issuer.Runners.size() >= MaxScheduledRunners)
    forgetIdleRunners(Issuer, Now);
  if (Issuer.Runners.size() >= MaxScheduledRunners &&
      !Issuer.Runners.contains(Request.Runner))
    return nullptr;
  const auto [Found, Added] = Issuer.Runners.try_emplace(Request.Runner);
  runner_schedule &Schedule = Found->second;
  if (!Added && Request.BornMs < Schedule.BornMs)
    return nullptr;
  if (Added || Request.BornMs > Schedule.BornMs)
    Schedule = {Request.BornMs, {}, Now};
  return &Schedule;
}

} // namespace

milliseconds permitHorizon(permit_rank Rank) {
  switch (Rank) {
  case permit_rank::UnderWay:
    return milliseconds(1'000);
  case permit_rank::New:
    return milliseconds(250);
  case permit_rank::Late:
    return milliseconds(100);
  case permit_rank::Spare:
    return milliseconds(0);
  }
  return milliseconds(0);
}

permit_reply issuePermit(permit_issuer &Issuer, const permit_request &Request,
                         instant Now) {
  permit_reply Reply;
  Reply.DelayMs = UndecidedDelayMs;
  Reply.PerSecond = Request.PerSecond;
  Reply.AgeMs = Request.AgeMs;
  if (!isValid(Request))
    return Reply;
  runner_schedule *Schedule = findSchedule(Issuer, Request, Now);
  if (!Schedule)
    return Reply;
  const instant StatedAt = {
      Now.Steady - milliseconds(static_cast<std::int64_t>(Request.AgeMs)),
      Now.Unix};
  adoptLimit(Schedule->Limit, {Request.PerSecond, StatedAt});
  Reply.PerSecond = Schedule->Limit.PerSecond;
  Reply.AgeMs = ageMs(Schedule->Limit, Now);
  if (!Schedule->Limit.active()) {
    Reply.Granted = true;
    Reply.DelayMs = 0;
    return Reply;
  }
  const microseconds Start =
      std::max(Schedule->NextStart.Steady, Now.Steady - MaxPermitCredit);
  const microseconds Wait = std::max(microseconds(0), Start - Now.Steady);
  const microseconds MaxWait =
      std::min(permitHorizon(Request.Rank),
               milliseconds(static_cast<std::int64_t>(
                   std::min<std::uint64_t>(Request.MaxDelayMs, 60'000))));
  if (Wait > MaxWait) {
    Reply.DelayMs = roundUpMs(Wait - MaxWait);
    return Reply;
  }
  const double Share = Request.Standby ? StandbyShare : 1.0;
  Schedule->NextStart = {Start + intervalOf(Schedule->Limit.PerSecond * Share),
                         Now.Unix};
  Reply.Granted = true;
  Reply.DelayMs = roundUpMs(Wait);
  return Reply;
}

std::vector<limit_notice> listLimits(const permit_issuer &Issuer, instant Now) {
  std::vector<limit_notice> Notices;
  for (const auto &[Runner, Schedule] : Issuer.Runners)
    if (Schedule.Limit.active())
      Notices.push_back({Runner, Schedule.BornMs, Schedule.Limit.PerSecond,
                         ageMs(Schedule.Limit, Now)});
  const auto Newer = [](const limit_notice &Left, const limit_notice &Right) {
    return std::tie(Left.AgeMs, Left.Runner) <
           std::tie(Right.AgeMs, Right.Runner);
  };
  const std::size_t Count = std::min(Notices.size(), MaxListedLimits);
  std::partial_sort(Notices.begin(),
                    Notices.begin() + static_cast<std::ptrdiff_t>(Count),
                    Notices.end(), Newer);
  Notices.resize(Count);
  return Notices;
}

void forgetIdleRunners(permit_issuer &Issuer, instant Now) {
  std::erase_if(Issuer.Runners, [&](const auto &Item) {
    return Now.Steady - Item.second.Limit.StatedAt.Steady > ScheduleLifetime &&
           Now.Steady - Item.second.NextStart.Steady > ScheduleLifetime;
  });
}

} // namespace lentilhoist
