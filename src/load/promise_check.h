#pragma once

#include "load/load_settings.h"
#include "load/program_runner.h"

#include <cstdint>
#include <string>
#include <vector>

namespace lentilhoist {

/// What the stand-ins' records say of a whole run.
struct record_summary {
  std::vector<std::string> Breaches;
  std::uint64_t PromptTokens = 0;
  std::uint64_t ComputedTokens = 0; ///< Prompt tokens not found in a cache.
  std::uint64_t Executions = 0;     ///< Of side effects.
  std::size_t HeldSessions = 0;     ///< Caches of ended programs.
};

/// Holds the reports of all programs against the stand-ins' own records: each
/// side effect at most once, those answered exactly once, budgets kept, no
/// cache held by ended programs.
/// \param Settings the run's settings.
/// \param Reports what the callers saw.
/// \returns the summary with all breaches.
record_summary checkPromises(const load_settings &Settings,
                             const std::vector<program_report> &Reports);

} // namespace lentilhoist
