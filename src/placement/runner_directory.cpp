#include "placement/runner_directory.h"

#include <algorithm>
#include <cmath>
#include <set>

namespace lentilhoist {

namespace {

/// A full runner frees a place about once in a tenth of a request's duration.
constexpr milliseconds RefusalPause{60};
/// First pause after a failure; doubles with each in a row.
constexpr milliseconds FailurePause{100};
constexpr int MaxFailureDoublings = 5;
/// Reports are averaged over this time, about that of one turn.
constexpr std::chrono::duration<double> ServiceLoadMemory{0.3};
/// Of reports that come close together, each counts at least this much.
constexpr double LeastReportWeight = 0.1;
/// Prompt parts remembered for each runner; its memory holds fewer.
constexpr std::size_t MaxRecent = 600;

void pruneRecent(runner_view &Runner) {
  if (Runner.Recent.size() <= MaxRecent)
    return;
  std::vector<std::int64_t> Times;
  Times.reserve(Runner.Recent.size());
  for (const auto &[Id, Used] : Runner.Recent)
    Times.push_back(Used.Steady.count());
  const auto Middle =
      Times.begin() + static_cast<std::ptrdiff_t>(Times.size() / 2);
  std::nth_element(Times.begin(), Middle, Times.end());
  std::erase_if(Runner.Recent, [&](const auto &Item) {
    return Item.second.Steady.count() < *Middle;
  });
}

} // namespace

bool putRunner(runner_directory &Directory, const runner_entry &Entry) {
  Directory.Missing.erase(Entry.Id);
  const auto [Found, Added] = Directory.Runners.try_emplace(Entry.Id);
  runner_view &Runner = Found->second;
  if (!Added && Runner.Entry == Entry)
    return false;
  const bool Reborn = !Added && (Runner.Entry.BornMs != Entry.BornMs ||
                                 Runner.Entry.Address != Entry.Address);
  if (Reborn) {
    const int Outstanding = Runner.Outstanding;
    Runner = {};
    // Requests to the earlier life still end here.
    Runner.Outstanding = Outstanding;
  }
  Runner.Entry = Entry;
  return true;
}

runner_view *findLife(runner_directory &Directory, const std::string &Id,
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
                    const std::vector<runner_entry> &Entries, instant GoneAt,
                    instant Now) {
  std::set<std::string> Listed;
  for (const runner_entry &Entry : Entries) {
    Listed.insert(Entry.Id);
    putRunner(Directory, Entry);
  }
  for (const auto &[Id, Runner] : Directory.Runners)
    if (!Listed.contains(Id))
      Directory.Missing.try_emplace(Id, GoneAt);
  removeMissing(Directory, Now);
}

std::vector<std::string> removeMissing(runner_directory &Directory,
                                       instant Now) {
  std::vector<std::string> Removed;
  for (const auto &[Id, GoneAt] : Directory.Missing)
    if (GoneAt.Steady <= Now.Steady)
      Removed.push_back(Id);
  for (const std::string &Id : Removed)
    removeRunner(Directory, Id);
  return Removed;
}

void noteLoad(runner_directory &Directory, runner_view &Runner,
              const load_report &Load, instant Now) {
  Runner.Load = Load;
  Runner.LoadTime = Now;
  Runner.OutstandingAtLoad = Runner.Outstanding;
  if (Runner.Entry.Slots <= 0)
    return;
  service_load &Service = Directory.Loads[Runner.Entry.Service];
  const double Others =
      std::max(0, Load.Running + Load.Waiting - Runner.Outstanding);
  const double PerSlot = Others / Runner.Entry.Slots;
  const auto Age =
      std::chrono::duration<double>(Now.Steady - Service.Time.Steady);
  const double Kept = std::exp(-Age / ServiceLoadMemory);
  const double Weight = std::max(1 - Kept, LeastReportWeight);
  Service.OthersPerSlot += Weight * (PerSlot - Service.OthersPerSlot);
  Service.Time = Now;
}

void noteRefusal(runner_view &Runner, instant Now) {
  Runner.RefusedUntil = later(Now, RefusalPause);
}

void noteFailure(runner_view &Runner, instant Now) {
  const int Doublings = std::min(Runner.FailuresInRow, MaxFailureDoublings);
  ++Runner.FailuresInRow;
  Runner.FailedUntil = later(Now, FailurePause * (1 << Doublings));
}

void noteSuccess(runner_view &Runner) {
  Runner.FailuresInRow = 0;
  Runner.FailedUntil = {};
}

void noteContent(runner_view &Runner, const request_traits &Request,
                 instant Now) {
  for (const prompt_part &Part : Request.Prompt)
    Runner.Recent[Part.Id] = Now;
  if (!Request.Session.empty())
    Runner.Recent[Request.Session] = Now;
  if (!Request.AffinityKey.empty())
    Runner.Recent[Request.AffinityKey] = Now;
  pruneRecent(Runner);
}

} // namespace lentilhoist
