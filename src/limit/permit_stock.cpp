#include "limit/permit_stock.h"

#include <algorithm>

namespace lentilhoist {

namespace {

bool isUsable(const permit &Permit, instant Now) {
  return Permit.From.Steady <= Now.Steady && Permit.Until.Steady > Now.Steady;
}

} // namespace

bool maySend(const permit_stock &Stock, instant Now) {
  return !Stock.Limit.active() ||
         std::any_of(
             Stock.Permits.begin(), Stock.Permits.end(),
             [&](const permit &Permit) { return isUsable(Permit, Now); });
}

double queueDelayMs(const permit_stock &Stock, instant Now) {
  const microseconds Left = Stock.QueueEnd.Steady - Now.Steady;
  return std::max(0.0, std::chrono::duration<double, std::milli>(Left).count());
}

void usePermit(permit_stock &Stock, instant Now) {
  std::erase_if(Stock.Permits, [&](const permit &Permit) {
    return Permit.Until.Steady <= Now.Steady;
  });
  auto First = Stock.Permits.end();
  for (auto Item = Stock.Permits.begin(); Item != Stock.Permits.end(); ++Item)
    if (isUsable(*Item, Now) && (First == Stock.Permits.end() ||
                                 Item->Until.Steady < First->Until.Steady))
      First = Item;
  if (First != Stock.Permits.end())
    Stock.Permits.erase(First);
}

bool shouldRequest(const permit_stock &Stock, permit_rank Rank, instant Now) {
  if (!Stock.Limit.active())
    return false;
  const auto Index = static_cast<std::size_t>(Rank);
  if (Stock.RefusedUntil[Index].Steady > Now.Steady)
    return false;
  if (Rank != permit_rank::Spare)
    return true;
  const bool Requested =
      Stock.SpareRequestedAt.Steady.count() != 0 &&
      Now.Steady - Stock.SpareRequestedAt.Steady < PermitReplyTimeout;
  return !Requested && std::none_of(Stock.Permits.begin(), Stock.Permits.end(),
                                    [&](const permit &Permit) {
                                      return Permit.Until.Steady > Now.Steady;
                                    });
}

bool applyReply(permit_stock &Stock, permit_rank Rank,
                const permit_reply &Reply, instant RequestedAt, instant Now) {
  if (Rank == permit_rank::Spare)
    Stock.SpareRequestedAt = {};
  const bool Changed = applyNotice(Stock, Reply.PerSecond, Reply.AgeMs, Now);
  const auto Delay = milliseconds(static_cast<std::int64_t>(
      std::min<std::uint64_t>(Reply.DelayMs, 60'000)));
  Stock.QueueEnd = later(Now, Delay);
  if (!Reply.Granted) {
    Stock.RefusedUntil[static_cast<std::size_t>(Rank)] = later(Now, Delay);
    return Changed;
  }
  if (Stock.Limit.active() &&
      Now.Steady - RequestedAt.Steady < PermitReplyTimeout)
    Stock.Permits.push_back(
        {later(Now, Delay), later(Now, Delay + PermitLifetime)});
  return Changed;
}

bool applyNotice(permit_stock &Stock, double PerSecond, std::uint64_t AgeMs,
                 instant Now) {
  if (PerSecond != 0 && !isRateLimit(PerSecond))
    return false;
  const auto Age = milliseconds(
      static_cast<std::int64_t>(std::min<std::uint64_t>(AgeMs, 3'600'000)));
  const bool Changed =
      adoptLimit(Stock.Limit, {PerSecond, {Now.Steady - Age, Now.Unix}});
  if (!Stock.Limit.active())
    Stock.Permits.clear();
  return Changed;
}

} // namespace lentilhoist
