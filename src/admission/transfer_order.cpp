#include "admission/transfer_order.h"

#include <algorithm>
#include <numeric>

namespace lentilhoist {

namespace {

/// Weight of the newest window in the mean, as 1/N.
constexpr int MeanDivisor = 8;

} // namespace

bool mayOpen(const transfer_windows &Windows) {
  return Windows.Limit == 0 || Windows.Open < Windows.Limit;
}

transfer_decision decideTransfers(const transfer_windows &Windows,
                                  const std::vector<waiting_transfer> &Waiting,
                                  instant Now) {
  std::vector<std::size_t> Order(Waiting.size());
  std::iota(Order.begin(), Order.end(), std::size_t{0});
  std::stable_sort(
      Order.begin(), Order.end(), [&](std::size_t Left, std::size_t Right) {
        return Waiting[Left].Arrival.Steady < Waiting[Right].Arrival.Steady;
      });
  transfer_decision Decision;
  transfer_windows After = Windows;
  for (const std::size_t Index : Order) {
    if (Waiting[Index].GiveUpAt.Steady <= Now.Steady) {
      Decision.Reject.push_back(Index);
    } else if (mayOpen(After)) {
      ++After.Open;
      Decision.Open.push_back(Index);
    }
  }
  return Decision;
}

milliseconds expectedWait(const transfer_windows &Windows, std::size_t Ahead) {
  if (Windows.Limit == 0)
    return milliseconds(0);
  // Each turn of all windows serves as many requests as there are windows.
  return Windows.MeanTime * static_cast<int>(Ahead + 1) /
         static_cast<int>(Windows.Limit);
}

void recordTransfer(transfer_windows &Windows, milliseconds OpenTime) {
  if (Windows.MeanTime.count() == 0)
    Windows.MeanTime = OpenTime;
  else
    Windows.MeanTime += (OpenTime - Windows.MeanTime) / MeanDivisor;
}

} // namespace lentilhoist
