#include "forward/send_timing.h"

#include <algorithm>

namespace lentilhoist {

namespace {

/// Events after the first ones that give a usable mean of the time between
/// events.
constexpr std::uint64_t MinLaterEvents = 2;

double msBetween(instant From, instant To) {
  return static_cast<double>((To.Steady - From.Steady).count()) / 1e3;
}

} // namespace

send_timing startTiming(const placement_result &Placement, int Slots,
                        std::int64_t PromptTokens,
                        const std::optional<engine_traits> &Engine,
                        instant Now) {
  send_timing Timing;
  Timing.ExpectedMs = Placement.ExpectedMs;
  Timing.UncachedTokens = static_cast<double>(
      std::max<std::int64_t>(0, PromptTokens - Placement.CachedTokens));
  Timing.Load = Placement.Load;
  Timing.Slots = Slots;
  Timing.Engine = Engine.has_value();
  if (Engine)
    Timing.TokensPerEvent = std::max<std::uint64_t>(1, Engine->TokensPerEvent);
  Timing.SentAt = Now;
  return Timing;
}

void recordEvents(send_timing &Timing, std::uint64_t Events, instant Now) {
  if (Events <= Timing.Events)
    return;
  if (Timing.Events == 0) {
    Timing.FirstEventAt = Now;
    Timing.FirstEvents = Events;
  }
  Timing.Events = Events;
  Timing.LastEventAt = Now;
}

work_observation observedWork(const send_timing &Timing,
                              const std::optional<load_report> &Load,
                              bool Complete, instant Now) {
  work_observation Work;
  const double Elapsed = msBetween(Timing.SentAt, Now);
  // In a queue, the time depends on other requests more than on the runner.
  const bool FreeSlot = Timing.Load < Timing.Slots;
  Work.UncachedTokens = Timing.UncachedTokens;
  Work.Batch = Load ? std::max(0, Load->Running - 1)
                    : std::min<double>(Timing.Load, Timing.Slots - 1);
  if (Complete) {
    Work.ExpectedMs = Timing.ExpectedMs;
    Work.ActualMs = Elapsed;
  }
  if (!Timing.Engine) {
    // The duration of a request that has not ended is at least the time so far.
    if (FreeSlot && (Complete || Elapsed > Timing.ExpectedMs))
      Work.PlainMs = Elapsed;
    return Work;
  }
  if (Timing.Events == 0)
    return Work;
  if (FreeSlot)
    Work.FirstEventMs = msBetween(Timing.SentAt, Timing.FirstEventAt);
  const std::uint64_t Later = Timing.Events - Timing.FirstEvents;
  if (Later >= MinLaterEvents)
    Work.TokenMs = msBetween(Timing.FirstEventAt, Timing.LastEventAt) /
                   static_cast<double>(Later * Timing.TokensPerEvent);
  return Work;
}

} // namespace lentilhoist
