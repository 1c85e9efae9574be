#pragma once

#include "experiment/scenario.h"

#include <array>
#include <cstdint>
#include <string>
#include <vector>

namespace lentilhoist {

/// Who gets which engine, and when.
enum class experiment_policy {
  Product,          ///< As the daemon decides.
  NoRanks,          ///< The daemon's placement, places in order of arrival.
  LeastOutstanding, ///< The engine with the fewest requests of this instance.
  RoundRobin,
};

inline constexpr std::array<const char *, 4> ExperimentPolicyNames{
    "product", "no_ranks", "least_outstanding", "round_robin"};

/// How the programs of one kind fared.
struct kind_result {
  std::string Name;
  int Programs = 0;
  int InAim = 0;
  int Late = 0;
  int Failed = 0;
  double Owed = 0; ///< Worth if all were in aim.
  double Earned = 0;
};

/// How one run went.
struct experiment_result {
  std::vector<kind_result> Kinds;
  /// Worth earned and owed of the programs that began in each two seconds.
  std::vector<std::pair<double, double>> Windows;
  int Refusals = 0; ///< By instances, of turns.
  std::int64_t TokensRead = 0;
  std::int64_t TokensKept = 0;
};

/// \param Result a run.
/// \returns worth earned of worth owed.
double earnedShare(const experiment_result &Result);

/// \param Result a run.
/// \returns the mean of the two worst windows.
double worstWindows(const experiment_result &Result);

/// Plays a scenario in virtual time with the decisions of the daemon. Left out
/// of the model: sub-agents, faults, the history, connections and plain
/// services (their time is in the pauses).
/// \param Scenario the scenario.
/// \param Policy who gets which engine.
/// \param Seed of all random choices.
/// \returns how it went; the same for the same arguments.
experiment_result runExperiment(const scenario &Scenario,
                                experiment_policy Policy, std::uint64_t Seed);

} // namespace lentilhoist
