#include "placement/deadline_admission.h"

#include <algorithm>

namespace lentilhoist {

namespace {

/// Bounds of the time after which a rejected caller returns. A runner ends a
/// tenth of its requests in the shorter one; estimates of queues that are
/// longer than the other are not exact.
constexpr double MinRoomMs = 150;
constexpr double MaxRoomMs = 2'000;

} // namespace

void offerRunner(completion_estimate &Best, double ExpectedMs, double QueueMs,
                 const completion_range &Range) {
  if (!Range.Known)
    return;
  const double EarliestMs = ExpectedMs * Range.EarliestRatio;
  if (Best.Known && EarliestMs >= Best.EarliestMs)
    return;
  Best = {true, EarliestMs, ExpectedMs * Range.MeanRatio,
          QueueMs * Range.MeanRatio};
}

bool cannotFinish(const completion_estimate &Estimate, milliseconds TimeLeft) {
  return Estimate.Known &&
         static_cast<double>(TimeLeft.count()) < Estimate.EarliestMs;
}

milliseconds roomExpectedIn(const completion_estimate &Estimate,
                            std::uint64_t Hash) {
  const double Ms = std::clamp(Estimate.QueueMs, MinRoomMs, MaxRoomMs);
  const auto Base = static_cast<std::uint64_t>(Ms);
  return milliseconds(static_cast<std::int64_t>(Base + Hash % Base));
}

} // namespace lentilhoist
