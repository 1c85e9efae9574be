#pragma once

#include <chrono>
#include <cstdint>

namespace lentilhoist {

using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;

/// The present time as every deciding function receives it. Carries a
/// monotonic reading for waits and leases, and a wall-clock reading for limits
/// that must survive a change of owner.
struct instant {
  microseconds Steady{0}; ///< Monotonic clock, comparable in one process only.
  milliseconds Unix{0};   ///< Wall clock, milliseconds since the Unix epoch.
};

/// Reads both clocks.
/// \returns the current instant of this process.
inline instant readClock() {
  using std::chrono::duration_cast;
  const auto Steady = std::chrono::steady_clock::now().time_since_epoch();
  const auto Unix = std::chrono::system_clock::now().time_since_epoch();
  return {duration_cast<microseconds>(Steady),
          duration_cast<milliseconds>(Unix)};
}

/// Advances an instant; used by virtual time and by deadlines.
/// \param Start the instant to advance.
/// \param Amount the time to add.
/// \returns the later instant.
inline instant later(instant Start, microseconds Amount) {
  return {Start.Steady + Amount,
          Start.Unix + std::chrono::duration_cast<milliseconds>(Amount)};
}

} // namespace lentilhoist
