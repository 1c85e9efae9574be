#pragma once

#include "placement/runner_directory.h"

#include <set>
#include <string>
#include <vector>

namespace lentilhoist {

/// Whether this instance reaches runners over the network by itself.
enum class path_state {
  Open,
  Lost, ///< Requests go through other instances.
};

/// \param State the value to name.
/// \returns its stable text form.
const char *pathStateName(path_state State);

/// Time without a byte from any runner, with requests at runners, after which
/// the path is probed. Of several requests at several runners one is answered
/// sooner; where that is wrong, a round costs a few connections.
inline constexpr milliseconds SilenceBeforeProbe{150};
/// The same after a round that found the path open and while no runner has sent
/// a byte since: requests that take long are no reason to go on probing.
inline constexpr milliseconds SilenceBeforeNextProbe{1'000};
/// Silence of all runners, on a lost path, after which the requests at them are
/// taken for lost: SilenceBeforeProbe and the time of a round.
inline constexpr milliseconds CutOffSilence{400};
/// Time between the starts of two rounds of probes.
inline constexpr milliseconds ProbeInterval{250};
/// The same after a round that found the path open. It bounds what runners that
/// fail for reasons of their own cost the others.
inline constexpr milliseconds OpenProbeInterval{500};
/// Time after which the results that a round still lacks are given up; a
/// connection attempt ends within half of it.
inline constexpr milliseconds MaxRoundTime{500};
/// Runners that a round tries while the path is open. The path is lost only if
/// none of them accepts a connection.
inline constexpr std::size_t ProbesPerRound = 3;
/// Runners that must accept a connection before a lost path is open: in rounds
/// in a row, each of which reached one.
inline constexpr std::size_t RunnersToRegain = 2;

/// What this instance knows about its own path to runners. One runner that
/// fails or is silent says nothing about the path; a round of probes to several
/// runners, in as many failure domains as there are, decides.
struct runner_path {
  path_state State = path_state::Open;
  instant ChangedAt{}; ///< When State last changed; zero if it never did.
  int Outstanding = 0; ///< Requests sent without a relay that have not ended.
  /// Start of the current silence of all runners; zero if no request is
  /// outstanding.
  instant SilentSince{};
  bool Suspected = false;      ///< A connection failed since the last round.
  bool RoundSucceeded = false; ///< A runner accepted since the last round.
  /// A runner accepted a connection, and none has sent a byte since.
  bool QuietSinceAccept = false;
  instant RoundStart{};         ///< Of the last round; zero if there was none.
  std::uint64_t Rounds = 0;     ///< Number of rounds so far.
  std::size_t RoundSize = 0;    ///< Runners probed in the last round.
  std::set<std::string> Probed; ///< Runners of the round with no result yet.
  std::size_t Failed = 0;       ///< Failed probes of the round.
  /// Lost: runners that accepted a connection in this round and those before
  /// it.
  std::set<std::string> Regained;
};

/// Records that a request was sent to a runner without a relay.
/// \param Path the path.
/// \param Now the current time.
void recordPathSent(runner_path &Path, instant Now);

/// Records that such a request has ended.
/// \param Path the path.
void recordPathEnded(runner_path &Path);

/// Records that bytes of a runner arrived without a relay.
/// \param Path the path.
/// \param Now the current time.
void recordPathHeard(runner_path &Path, instant Now);

/// Records the result of a connection attempt without a relay, of a probe or a
/// request.
/// \param Path the path.
/// \param Runner the runner's ID.
/// \param Accepted whether the connection was established.
/// \param Now the current time.
/// \returns whether the state has changed.
bool recordPathConnect(runner_path &Path, const std::string &Runner,
                       bool Accepted, instant Now);

/// Starts a round of probes if one is due: after a connection failed, after
/// SilenceBeforeProbe, and while the path is lost.
/// \param Path the path.
/// \param Directory the known runners.
/// \param Now the current time.
/// \returns IDs of the runners to connect to; empty if no round is due.
std::vector<std::string> startProbeRound(runner_path &Path,
                                         const runner_directory &Directory,
                                         instant Now);

/// Selects a runner whose answer tells whether another one or the path has
/// failed.
/// \param Directory the known runners.
/// \param Failed ID of the other one.
/// \returns ID of the runner that was heard last, if possible in another
/// failure domain; empty if there is no other runner.
std::string chooseWitness(const runner_directory &Directory,
                          const std::string &Failed);

/// \param Path the path.
/// \param Now the current time.
/// \returns whether the path is lost and all runners have been silent for
/// CutOffSilence: no response is to be expected from them.
bool isCutOff(const runner_path &Path, instant Now);

} // namespace lentilhoist
