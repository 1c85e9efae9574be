#pragma once

#include <array>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace lentilhoist {

/// Faults put in on purpose, to show that the explorer finds them.
enum class planted_fault {
  None,
  NoNonceCheck,      ///< An entry of another writer passes as one's own.
  SendBeforeIntent,  ///< A side effect is sent before its intent is durable.
  NoSendBy,          ///< A side effect is sent however late.
  RerunIntent,       ///< A takeover forgets open intents, so they run again.
  SnapshotDropsTail, ///< A snapshot lacks the last call of a program.
  NoHorizonCheck,    ///< An entry that was deleted can be created again.
};

inline constexpr std::array<std::string_view, 7> PlantedFaultNames{
    "none",         "no_nonce_check",      "send_before_intent", "no_send_by",
    "rerun_intent", "snapshot_drops_tail", "no_horizon_check"};

/// Settings of one exploration.
struct explore_settings {
  std::uint64_t Seed = 1;
  planted_fault Planted = planted_fault::None;
  bool KeepSteps = false; ///< Record what happened, for printing.
};

/// Result of one exploration.
struct explore_result {
  std::vector<std::string> Breaches; ///< Promises that did not hold.
  std::vector<std::string> Steps;    ///< What happened, if it was kept.
  std::uint64_t Events = 0;
  std::uint64_t Calls = 0;     ///< Calls that callers accepted.
  std::uint64_t Takeovers = 0; ///< Claims that became durable.
};

/// Runs one random history of faults against the decision and journal logic,
/// in virtual time, and checks the promises after every event. Equal settings
/// give equal results.
/// \param Settings the settings.
/// \returns the result.
explore_result explore(const explore_settings &Settings);

} // namespace lentilhoist
