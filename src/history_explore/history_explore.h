#pragma once

#include <array>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace lentilhoist {

/// Faults put in on purpose, to show that the explorer finds them.
enum class planted_history_fault {
  None,
  NoSync,           ///< A replica answers before its changes are durable.
  IncompleteCounts, ///< Answers of replicas that may lack records decide.
  SmallQuorum,      ///< One replica fewer decides.
  LateReservation,  ///< Tokens are handed out before they are reserved.
  OneSource,        ///< A copy from one replica makes another complete.
  OldSetAccepted,   ///< Replicas answer requests of an older set.
  /// A change of the set is written under the newest revision that is known,
  /// not under that of the set which it was derived from.
  LateRevision,
  /// Sets of one version are taken for the same whatever their replicas; found
  /// beside an instance of an older build.
  IgnoredConflict,
};

inline constexpr std::array<std::string_view, 9> PlantedHistoryFaultNames{
    "none",
    "no_sync",
    "incomplete_counts",
    "small_quorum",
    "late_reservation",
    "one_source",
    "old_set_accepted",
    "late_revision",
    "ignored_conflict"};

/// Settings of one exploration of the history.
struct history_explore_settings {
  std::uint64_t Seed = 1;
  planted_history_fault Planted = planted_history_fault::None;
  bool KeepSteps = false; ///< Record what happened, for printing.
  /// One instance with a disk is of an older build: it may write a set of the
  /// same version with other replicas, and doesn't name its replicas.
  bool OlderBuild = false;
};

/// Result of one exploration of the history.
struct history_explore_result {
  std::vector<std::string> Breaches; ///< Promises that did not hold.
  std::vector<std::string> Steps;    ///< What happened, if it was kept.
  std::uint64_t Events = 0;
  std::uint64_t Turns = 0;     ///< Turns that were acknowledged.
  std::uint64_t Refused = 0;   ///< Reservations that ended without a quorum.
  std::uint64_t Spent = 0;     ///< Reservations refused for the budget.
  std::uint64_t Copies = 0;    ///< Replicas that became complete by a copy.
  std::uint64_t Takeovers = 0; ///< Slots that passed to another instance.
  std::uint64_t Conflicts = 0; ///< Sets of one version with other replicas.
};

/// Runs one random sequence of faults against the replicas of the history, in
/// virtual time, and checks after each event that no acknowledged turn is
/// denied, changed or mixed, that no budget is exceeded, and that nothing is
/// denied without certainty. Equal settings give equal results.
/// \param Settings the settings.
/// \returns the result.
history_explore_result exploreHistory(const history_explore_settings &Settings);

} // namespace lentilhoist
