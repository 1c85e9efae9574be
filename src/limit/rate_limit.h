#pragma once

#include "core/instant.h"

namespace lentilhoist {

/// Rate of requests that a runner accepts from all instances together, as one
/// of its responses stated it.
struct rate_limit {
  double PerSecond = 0; ///< Requests a second; 0 if there is no limit.
  /// When it was stated; the least value if nothing is known.
  instant StatedAt{microseconds::min(), milliseconds(0)};

  /// \returns whether the runner limits the rate of requests.
  bool active() const { return PerSecond > 0; }
};

/// Bounds of a plausible limit, in requests a second.
inline constexpr double MinRateLimit = 1e-6;
inline constexpr double MaxRateLimit = 1e6;

/// \param PerSecond a stated limit.
/// \returns whether it is a plausible limit; false for NaN.
inline bool isRateLimit(double PerSecond) {
  return PerSecond >= MinRateLimit && PerSecond <= MaxRateLimit;
}

/// A limit that was stated longer ago than this says nothing about the runner's
/// need now. It exceeds the interval of the pings in which replicas list
/// limits.
inline constexpr seconds LimitFreshness{5};

/// \param Limit a runner's limit.
/// \param Now the current time.
/// \returns whether the runner has stated a limit lately.
inline bool isRecent(const rate_limit &Limit, instant Now) {
  return Limit.active() && Now.Steady - Limit.StatedAt.Steady < LimitFreshness;
}

/// Replaces what is known about a runner's limit by a later statement.
/// \param Known what is known; updated.
/// \param Stated the statement.
/// \returns whether the limit has changed.
inline bool adoptLimit(rate_limit &Known, const rate_limit &Stated) {
  if (Stated.StatedAt.Steady < Known.StatedAt.Steady)
    return false;
  const bool Changed = Known.PerSecond != Stated.PerSecond;
  Known = Stated;
  return Changed;
}

} // namespace lentilhoist
