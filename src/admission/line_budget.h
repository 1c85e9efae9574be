#pragma once

#include "core/instant.h"

#include <cstdint>
#include <optional>

namespace lentilhoist {

/// Log lines of one kind in a second, and those that were left out.
struct line_budget {
  std::uint32_t PerSecond = 10;
  std::uint32_t Written = 0; ///< Since Second.
  std::uint64_t Suppressed = 0;
  instant Second{};
};

/// \param Budget the budget of the kind.
/// \param Now the current time.
/// \returns how many lines were left out since the last one if a line may be
/// written now; otherwise nothing, and the line is counted as left out.
inline std::optional<std::uint64_t> takeLine(line_budget &Budget, instant Now) {
  if (Now.Steady - Budget.Second.Steady >= milliseconds(1'000)) {
    Budget.Second = Now;
    Budget.Written = 0;
  }
  if (Budget.Written >= Budget.PerSecond) {
    ++Budget.Suppressed;
    return std::nullopt;
  }
  ++Budget.Written;
  const std::uint64_t Suppressed = Budget.Suppressed;
  Budget.Suppressed = 0;
  return Suppressed;
}

} // namespace lentilhoist
