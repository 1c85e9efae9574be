#include "path/runner_path.h"

#include "core/hash.h"

#include <algorithm>
#include <map>

namespace lentilhoist {

namespace {

/// Chooses runners of as many failure domains as possible.
/// \param Directory the known runners.
/// \param Count how many.
/// \param Rank ranks runners within their domain and domains; the highest is
/// chosen first.
/// \returns their IDs.
template <typename rank_function>
std::vector<std::string> chooseSpread(const runner_directory &Directory,
                                      std::size_t Count,
                                      const rank_function &Rank) {
  using ranked = std::pair<std::uint64_t, std::string>;
  std::map<std::string, std::vector<ranked>> Domains;
  for (const auto &[Id, Runner] : Directory.Runners) {
    if (!takesRequests(Runner))
      continue;
    std::vector<ranked> &Best = Domains[Runner.Entry.Domain];
    Best.emplace_back(Rank(Id, Runner), Id);
    std::sort(Best.begin(), Best.end(), std::greater<>());
    if (Best.size() > Count)
      Best.pop_back();
  }
  std::vector<std::string> Chosen;
  for (std::size_t Place = 0; Place < Count; ++Place) {
    std::vector<ranked> Row;
    for (const auto &[Domain, Best] : Domains)
      if (Place < Best.size())
        Row.push_back(Best[Place]);
    std::sort(Row.begin(), Row.end(), std::greater<>());
    for (const ranked &Item : Row)
      if (Chosen.size() < Count)
        Chosen.push_back(Item.second);
  }
  return Chosen;
}

void changeState(runner_path &Path, path_state State, instant Now) {
  Path.State = State;
  Path.ChangedAt = Now;
  Path.Suspected = false;
  Path.Probed.clear();
  Path.Regained.clear();
  Path.Failed = 0;
  Path.QuietSinceAccept = false;
}

bool isSilent(const runner_path &Path, milliseconds Time, instant Now) {
  return Path.SilentSince.Steady.count() != 0 &&
         Now.Steady - Path.SilentSince.Steady >= Time;
}

} // namespace

const char *pathStateName(path_state State) {
  switch (State) {
  case path_state::Open:
    return "open";
  case path_state::Lost:
    return "lost";
  }
  return "unknown";
}

void recordPathSent(runner_path &Path, instant Now) {
  if (Path.Outstanding++ == 0)
    Path.SilentSince = Now;
}

void recordPathEnded(runner_path &Path) {
  if (Path.Outstanding > 0 && --Path.Outstanding == 0)
    Path.SilentSince = {};
}

void recordPathHeard(runner_path &Path, instant Now) {
  Path.QuietSinceAccept = false;
  if (Path.Outstanding > 0)
    Path.SilentSince = Now;
}

bool recordPathConnect(runner_path &Path, const std::string &Runner,
                       bool Accepted, instant Now) {
  const bool WasProbed = Path.Probed.erase(Runner) != 0;
  if (Path.State == path_state::Lost) {
    if (!Accepted) {
      Path.Failed += WasProbed ? 1 : 0;
      return false;
    }
    Path.Regained.insert(Runner);
    if (Path.Regained.size() < std::min(RunnersToRegain, Path.RoundSize))
      return false;
    changeState(Path, path_state::Open, Now);
    recordPathHeard(Path, Now);
    return true;
  }
  if (Accepted) {
    // Runners can be reached, so the failures are theirs.
    Path.Suspected = false;
    Path.RoundSucceeded = true;
    Path.QuietSinceAccept = true;
    Path.Probed.clear();
    return false;
  }
  if (!WasProbed) {
    Path.Suspected = true;
    return false;
  }
  ++Path.Failed;
  if (!Path.Probed.empty() || Path.Failed < Path.RoundSize)
    return false;
  changeState(Path, path_state::Lost, Now);
  return true;
}

std::vector<std::string> startProbeRound(runner_path &Path,
                                         const runner_directory &Directory,
                                         instant Now) {
  const bool Lost = Path.State == path_state::Lost;
  const milliseconds Silence =
      Path.QuietSinceAccept ? SilenceBeforeNextProbe : SilenceBeforeProbe;
  if (!Lost && !Path.Suspected && !isSilent(Path, Silence, Now))
    return {};
  const auto Age = Now.Steady - Path.RoundStart.Steady;
  const bool UnderWay = !Path.Probed.empty() && Age < MaxRoundTime;
  const milliseconds Interval =
      !Lost && Path.RoundSucceeded ? OpenProbeInterval : ProbeInterval;
  if (Path.Rounds > 0 && (Age < Interval || UnderWay))
    return {};
  const std::uint64_t Round = ++Path.Rounds;
  // While the path is open, runners that were heard last are the most likely to
  // answer; on a lost path each round tries others.
  const auto Rank = [&](const std::string &Id, const runner_view &Runner) {
    return Lost ? stableHash(Id, Round)
                : static_cast<std::uint64_t>(
                      std::max<std::int64_t>(0, Runner.HeardAt.Steady.count()));
  };
  std::vector<std::string> Chosen =
      chooseSpread(Directory, Lost ? RunnersToRegain : ProbesPerRound, Rank);
  if (Lost && Path.Failed == Path.RoundSize)
    Path.Regained.clear();
  Path.RoundStart = Now;
  Path.RoundSize = Chosen.size();
  Path.RoundSucceeded = false;
  Path.Suspected = false;
  Path.Failed = 0;
  Path.Probed = {Chosen.begin(), Chosen.end()};
  return Chosen;
}

std::string chooseWitness(const runner_directory &Directory,
                          const std::string &Failed) {
  const auto Known = Directory.Runners.find(Failed);
  const std::string Domain =
      Known == Directory.Runners.end() ? "" : Known->second.Entry.Domain;
  std::string Best;
  std::pair<bool, microseconds> BestRank;
  for (const auto &[Id, Runner] : Directory.Runners) {
    if (Id == Failed || !takesRequests(Runner))
      continue;
    const std::pair Rank{Runner.Entry.Domain != Domain, Runner.HeardAt.Steady};
    if (!Best.empty() && Rank <= BestRank)
      continue;
    Best = Id;
    BestRank = Rank;
  }
  return Best;
}

bool isCutOff(const runner_path &Path, instant Now) {
  return Path.State == path_state::Lost && isSilent(Path, CutOffSilence, Now);
}

} // namespace lentilhoist
