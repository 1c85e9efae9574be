#include "admission/pressure.h"

#include <algorithm>
#include <numeric>

namespace lentilhoist {

namespace {

using indices = std::vector<std::size_t>;

/// \returns the clients that wait, longest first.
indices waitingOrder(const std::vector<receiver> &Receivers) {
  indices Order;
  for (std::size_t Index = 0; Index < Receivers.size(); ++Index)
    if (Receivers[Index].Wanted != 0)
      Order.push_back(Index);
  std::stable_sort(Order.begin(), Order.end(),
                   [&](std::size_t Left, std::size_t Right) {
                     return Receivers[Left].WaitingSince.Steady <
                            Receivers[Right].WaitingSince.Steady;
                   });
  return Order;
}

} // namespace

indices stalledOrder(const std::vector<receiver> &Receivers,
                     milliseconds StallTime, instant Now) {
  indices Order;
  for (std::size_t Index = 0; Index < Receivers.size(); ++Index) {
    const receiver &Each = Receivers[Index];
    if (Each.Wanted == 0 && Each.Charged != 0 &&
        Now.Steady - Each.LastProgress.Steady >= StallTime)
      Order.push_back(Index);
  }
  std::stable_sort(Order.begin(), Order.end(),
                   [&](std::size_t Left, std::size_t Right) {
                     const receiver &A = Receivers[Left];
                     const receiver &B = Receivers[Right];
                     if (A.LastProgress.Steady != B.LastProgress.Steady)
                       return A.LastProgress.Steady < B.LastProgress.Steady;
                     return A.Charged > B.Charged;
                   });
  return Order;
}

pressure_decision decidePressure(const memory_account &Account,
                                 const std::vector<receiver> &Receivers,
                                 const pressure_limits &Limits, instant Now) {
  pressure_decision Decision;
  memory_account After = Account;
  std::size_t &Planned =
      After.Bytes[static_cast<std::size_t>(memory_purpose::ReceivingBodies)];
  // Large bodies keep their order among each other; so do all others.
  bool Blocked[2] = {false, false};
  indices Unmet;
  for (const std::size_t Index : waitingOrder(Receivers)) {
    const receiver &Each = Receivers[Index];
    const bool Fits = hasRoom(After, Each.Wanted, Each.Large);
    if (Fits && !Blocked[Each.Large]) {
      Planned += Each.Wanted;
      Decision.Admit.push_back(Index);
    } else if (Each.Optional) {
      continue;
    } else if (Now.Steady - Each.WaitingSince.Steady >= Limits.MaxWait) {
      Decision.Reject.push_back(Index);
    } else {
      if (!Blocked[Each.Large])
        Unmet.push_back(Index);
      Blocked[Each.Large] = true;
    }
  }
  if (Unmet.empty())
    return Decision;
  std::size_t Needed = 0;
  for (const std::size_t Index : Unmet)
    Needed += Receivers[Index].Wanted;
  std::size_t Freed = 0;
  for (const std::size_t Index :
       stalledOrder(Receivers, Limits.StallTime, Now)) {
    if (Freed >= Needed)
      break;
    Freed += Receivers[Index].Charged;
    Decision.Drop.push_back(Index);
  }
  return Decision;
}

} // namespace lentilhoist
