#pragma once

#include <algorithm>
#include <chrono>
#include <mutex>

namespace lentilhoist {

/// Limits a rate, with a burst of one second's worth, at least one unit.
class rate_gate {
public:
  /// \param PerSecond units a second; 0 for no limit.
  explicit rate_gate(double GivenPerSecond)
      : PerSecond(GivenPerSecond), Burst(std::max(GivenPerSecond, 1.0)),
        Credit(Burst), ToppedUpAt(std::chrono::steady_clock::now()) {}

  /// \param Units how many units to take.
  /// \returns whether the rate allows them now.
  bool take(double Units) {
    if (PerSecond <= 0)
      return true;
    const std::lock_guard Lock(Mutex);
    const auto Now = std::chrono::steady_clock::now();
    Credit +=
        PerSecond * std::chrono::duration<double>(Now - ToppedUpAt).count();
    Credit = std::min(Credit, Burst);
    ToppedUpAt = Now;
    if (Credit < Units)
      return false;
    Credit -= Units;
    return true;
  }

private:
  std::mutex Mutex;
  double PerSecond;
  double Burst;
  double Credit;
  std::chrono::steady_clock::time_point ToppedUpAt;
};

} // namespace lentilhoist
