#pragma once

#include "core/instant.h"

#include <algorithm>
#include <array>
#include <cstddef>
#include <cstdint>

namespace lentilhoist {

/// Number of requests that a workspace may send through all instances together.
struct quota {
  std::int64_t Version = 0; ///< Of the configuration that states it.
  double PerSecond = 0;     ///< 0: no limit.
  double Burst = 0;         ///< Requests beyond the rate at a time.

  /// \returns whether requests are limited.
  bool active() const { return PerSecond > 0; }
};

/// Window in which the arrivals at runners are counted.
inline constexpr seconds QuotaWindow{5};
/// Part by which arrivals in a window may exceed rate and burst.
inline constexpr double QuotaOverrun = 0.1;
/// Arrivals in a window beyond that.
inline constexpr double QuotaSlack = 20;

/// A permit may be used for this long after it was requested. Each millisecond
/// lets arrivals of a longer time fall into one window.
inline constexpr milliseconds QuotaPermitLife{150};
/// Longest time from the check of a permit until the request reaches the
/// runner. Three exchanges through a relay in another failure domain take 27
/// ms; the rest is for a busy machine.
inline constexpr milliseconds QuotaArrivalDelay{100};

/// Capacity of a bucket beyond the burst, for permits that lapse unused.
inline constexpr double QuotaExtraCapacity = 2;
/// Tokens of a bucket at the start of its issuer.
inline constexpr double QuotaStartCredit = 2;
/// Starts of one issuer within a window that the slack covers; a restart takes
/// about a second, in which no tokens are issued.
inline constexpr double QuotaCoveredStarts = 2;
/// Capacity of the bucket of a stand-in by its position in the order.
inline constexpr std::array<double, 5> QuotaStandInCapacity{0, 2, 1, 1, 1};
/// Part of the allowance for stand-ins by position. An instance asks a later
/// one only if all earlier ones are unreachable for it.
inline constexpr std::array<double, 5> QuotaStandInPart{0, 0.6, 0.08, 0.08,
                                                        0.08};
/// Part of that allowance for all instances that reach no issuer.
inline constexpr double QuotaOwnPart = 0.16;

/// Workspaces that a view for operators lists at most.
inline constexpr std::size_t MaxListedQuotas = 50;

/// \param Quota an active quota.
/// \returns tokens that the bucket of its first issuer holds at most.
inline double quotaCapacity(const quota &Quota) {
  return std::max(Quota.Burst, 1.0) + QuotaExtraCapacity;
}

/// Computes what stand-ins may issue while other instances still get the whole
/// rate from the first issuer: what the permitted arrivals in a window leave
/// after rate, capacity, start credits and the lives of permits.
/// \param Quota an active quota.
/// \returns requests a second, for all stand-ins together.
inline double standInRate(const quota &Quota) {
  const auto ToSeconds = [](auto Time) {
    return std::chrono::duration<double>(Time).count();
  };
  const double Window = ToSeconds(QuotaWindow);
  const double Issued =
      Window + ToSeconds(QuotaPermitLife) + ToSeconds(QuotaArrivalDelay);
  double Left = (Quota.PerSecond * Window + Quota.Burst) * (1 + QuotaOverrun) +
                QuotaSlack;
  Left -= Quota.PerSecond * Issued + quotaCapacity(Quota);
  Left -= QuotaStartCredit * QuotaCoveredStarts;
  for (const double Capacity : QuotaStandInCapacity)
    Left -= Capacity;
  // One more for the instances that issue for themselves.
  Left -= 1;
  return std::clamp(Left / Issued, 0.0, Quota.PerSecond);
}

} // namespace lentilhoist
