#include "placement/runner_directory.h"

#include <algorithm>
#include <cmath>
#include <set>

namespace lentilhoist {

namespace {

/// A full runner frees a slot about every tenth of a request's duration.
constexpr milliseconds RefusalBackoff{60};
/// Backoff after the first failure; doubles with each consecutive failure.
constexpr milliseconds InitialFailureBackoff{100};
constexpr int MaxFailureDoublings = 5;
/// Time constant of the average over load reports, about the duration of a
/// turn.
constexpr std::chrono::duration<double> ServiceLoadTimeConstant{0.3};
/// Minimum weight of a report when several arrive in quick succession.
constexpr double MinReportWeight = 0.1;
/// Maximum number of recent entries per runner; a runner's cache holds fewer.
constexpr std::size_t MaxRecentEntries = 600;
/// Time for which the statement of a runner that is not registered is kept. A
/// runner that leaves ends within a minute or so, whatever the registry says.
constexpr std::chrono::minutes LeavingMemory{15};

void applyEjection(const runner_directory &Directory, runner_view &Runner) {
  const auto Found = Directory.Outliers.Runners.find(Runner.Entry.Id);
  const bool Known = Found != Directory.Outliers.Runners.end();
  Runner.Ejected = Known && Found->second.Ejected;
  Runner.TrialsFrom = Known ? Found->second.TrialsFrom : instant{};
}

void pruneRecentContent(runner_view &Runner) {
  if (Runner.RecentContent.size() <= MaxRecentEntries)
    return;
  std::vector<std::int64_t> Times;
  Times.reserve(Runner.RecentContent.size());
  for (const auto &[Id, Used] : Runner.RecentContent)
    Times.push_back(Used.Steady.count());
  const auto Median =
      Times.begin() + static_cast<std::ptrdiff_t>(Times.size() / 2);
  std::nth_element(Times.begin(), Median, Times.end());
  std::erase_if(Runner.RecentContent, [&](const auto &Item) {
    return Item.second.Steady.count() < *Median;
  });
}

} // namespace

namespace {

/// Summarizes the speeds of a service's runners if that is due.
service_speed &updatedSpeed(runner_directory &Directory,
                            const std::string &Service, instant Now) {
  service_speed &Speed = Directory.Speeds[Service];
  if (!summaryDue(Speed, Now))
    return Speed;
  std::vector<group_member> Members;
  for (auto &[Id, Runner] : Directory.Runners)
    if (Runner.Entry.Service == Service)
      Members.push_back({Runner.Entry.Domain, &Runner.Speed});
  summarizeSpeeds(Speed, Members, Now);
  return Speed;
}

} // namespace

bool upsertRunner(runner_directory &Directory, const runner_entry &Entry) {
  Directory.Missing.erase(Entry.Id);
  const auto [Found, Added] = Directory.Runners.try_emplace(Entry.Id);
  runner_view &Runner = Found->second;
  if (!Added && Runner.Entry == Entry)
    return false;
  const bool Restarted = !Added && (Runner.Entry.BornMs != Entry.BornMs ||
                                    Runner.Entry.Address != Entry.Address);
  if (Restarted) {
    const int Outstanding = Runner.Outstanding;
    Runner = {};
    // Requests to the previous incarnation are still counted down when they
    // end.
    Runner.Outstanding = Outstanding;
  }
  Runner.Entry = Entry;
  Runner.Leaving = isLeaving(Directory, Entry.Id, Entry.BornMs);
  applyEjection(Directory, Runner);
  return true;
}

bool recordLeaving(runner_directory &Directory, const std::string &Id,
                   std::int64_t BornMs, instant Now) {
  const auto [Found, Added] =
      Directory.Leaving.try_emplace(Id, leaving_notice{BornMs, Now});
  // A late response of an earlier incarnation.
  if (!Added && Found->second.BornMs >= BornMs)
    return false;
  Found->second = {BornMs, Now};
  if (runner_view *View = findIncarnation(Directory, Id, BornMs))
    View->Leaving = true;
  return true;
}

bool isLeaving(const runner_directory &Directory, const std::string &Id,
               std::int64_t BornMs) {
  const auto Found = Directory.Leaving.find(Id);
  return Found != Directory.Leaving.end() && Found->second.BornMs == BornMs;
}

void forgetLeaving(runner_directory &Directory, instant Now) {
  std::erase_if(Directory.Leaving, [&](const auto &Item) {
    return !Directory.Runners.contains(Item.first) &&
           Now.Steady - Item.second.ReceivedAt.Steady > LeavingMemory;
  });
}

runner_view *findIncarnation(runner_directory &Directory, const std::string &Id,
                             std::int64_t BornMs) {
  const auto Found = Directory.Runners.find(Id);
  if (Found == Directory.Runners.end() || Found->second.Entry.BornMs != BornMs)
    return nullptr;
  return &Found->second;
}

bool removeRunner(runner_directory &Directory, const std::string &Id) {
  Directory.Missing.erase(Id);
  return Directory.Runners.erase(Id) != 0;
}

void replaceRunners(runner_directory &Directory,
                    const std::vector<runner_entry> &Entries, instant RemoveAt,
                    instant Now) {
  std::set<std::string> Listed;
  for (const runner_entry &Entry : Entries) {
    Listed.insert(Entry.Id);
    upsertRunner(Directory, Entry);
  }
  for (const auto &[Id, Runner] : Directory.Runners)
    if (!Listed.contains(Id))
      Directory.Missing.try_emplace(Id, RemoveAt);
  removeMissing(Directory, Now);
}

std::vector<std::string> removeMissing(runner_directory &Directory,
                                       instant Now) {
  std::vector<std::string> Removed;
  for (const auto &[Id, RemoveAt] : Directory.Missing)
    if (RemoveAt.Steady <= Now.Steady)
      Removed.push_back(Id);
  for (const std::string &Id : Removed)
    removeRunner(Directory, Id);
  return Removed;
}

void recordLoad(runner_directory &Directory, runner_view &Runner,
                const load_report &Load, instant Now) {
  Runner.Load = Load;
  Runner.LoadReceivedAt = Now;
  Runner.OutstandingAtReport = Runner.Outstanding;
  if (Load.Slowdown) {
    recordSlowdown(Runner.Speed, *Load.Slowdown, Now);
    updatedSpeed(Directory, Runner.Entry.Service, Now);
  }
  if (Runner.Entry.Slots <= 0)
    return;
  service_load &Service = Directory.ServiceLoads[Runner.Entry.Service];
  const double Others =
      std::max(0, Load.Running + Load.Waiting - Runner.Outstanding);
  const double PerSlot = Others / Runner.Entry.Slots;
  const auto Age =
      std::chrono::duration<double>(Now.Steady - Service.Time.Steady);
  const double RetainedWeight = std::exp(-Age / ServiceLoadTimeConstant);
  const double Weight = std::max(1 - RetainedWeight, MinReportWeight);
  Service.OthersPerSlot += Weight * (PerSlot - Service.OthersPerSlot);
  Service.Time = Now;
}

void recordWork(runner_directory &Directory, runner_view &Runner,
                const work_observation &Work, instant Now) {
  recordWork(updatedSpeed(Directory, Runner.Entry.Service, Now), Runner.Speed,
             Runner.Entry.Domain, Work, Now);
}

const service_speed *findSpeed(const runner_directory &Directory,
                               const std::string &Service) {
  const auto Found = Directory.Speeds.find(Service);
  return Found == Directory.Speeds.end() ? nullptr : &Found->second;
}

void recordRefusal(runner_view &Runner, instant Now) {
  Runner.RefusedUntil = later(Now, RefusalBackoff);
}

void recordFailure(runner_view &Runner, instant Now) {
  const int Doublings =
      std::min(Runner.ConsecutiveFailures, MaxFailureDoublings);
  ++Runner.ConsecutiveFailures;
  Runner.FailedUntil = later(Now, InitialFailureBackoff * (1 << Doublings));
}

void recordSuccess(runner_view &Runner) {
  Runner.ConsecutiveFailures = 0;
  Runner.FailedUntil = {};
}

const char *runnerStandingName(runner_standing Standing) {
  switch (Standing) {
  case runner_standing::Sound:
    return "sound";
  case runner_standing::Ejected:
    return "ejected";
  case runner_standing::OnTrial:
    return "on_trial";
  }
  return "unknown";
}

runner_standing standingOf(const runner_view &Runner, instant Now) {
  if (!Runner.Ejected)
    return runner_standing::Sound;
  return Now.Steady < Runner.TrialsFrom.Steady ? runner_standing::Ejected
                                               : runner_standing::OnTrial;
}

void applyEjections(runner_directory &Directory) {
  for (auto &[Id, Runner] : Directory.Runners)
    applyEjection(Directory, Runner);
}

void recordContent(runner_view &Runner, const request_traits &Request,
                   instant Now) {
  for (const prompt_part &Part : Request.Prompt)
    Runner.RecentContent[Part.Id] = Now;
  if (!Request.Session.empty())
    Runner.RecentContent[Request.Session] = Now;
  if (!Request.AffinityKey.empty())
    Runner.RecentContent[Request.AffinityKey] = Now;
  pruneRecentContent(Runner);
}

} // namespace lentilhoist
