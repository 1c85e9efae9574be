#include "placement/admission.h"

#include <algorithm>

namespace lentilhoist {

namespace {

/// Limit per slot for requests of the highest priority. A queue of three
/// quarters of a batch keeps the engine busy between two load reports.
constexpr double UrgentPerSlot = 1.75;
/// Reduction of the limit per slot for each priority level.
constexpr double ReductionPerPriority = 0.3;
/// Increase of the limit per slot for programs already started, because only
/// completed programs count.
constexpr double StartedProgramBonus = 0.15;
/// Limit per slot for programs past their completion target. Finishing them is
/// worth little, so they use the capacity left by others.
constexpr double LatePerSlot = 1.2;
/// Lower bound of the limit per slot by priority, which prevents starvation.
constexpr double MinPerSlot = 1.1;
/// Limits per slot while runners of the service limit their rate. A lack of
/// capacity that lasts can't be waited out: programs under way keep their pace
/// only if hardly any queue forms, so others use what these leave.
constexpr double StartedPerSlotIfLimited = 1.1;
constexpr double OtherPerSlotIfLimited = 0.5;

} // namespace

double admissionLimit(const admission_query &Query) {
  const double Slots = Query.Slots;
  const bool Late =
      Query.ProgramTimeLeft && Query.ProgramTimeLeft->count() <= 0;
  if (Query.RateLimited)
    return Slots * (Query.ProgramStarted && !Late && !Query.OverShare
                        ? StartedPerSlotIfLimited
                        : OtherPerSlotIfLimited);
  if (Query.OverShare)
    return Slots * MinPerSlot;
  if (Late)
    return Slots * LatePerSlot;
  double PerSlot = UrgentPerSlot - ReductionPerPriority * Query.Priority;
  if (Query.ProgramStarted)
    PerSlot += StartedProgramBonus;
  return Slots * std::max(PerSlot, MinPerSlot);
}

} // namespace lentilhoist
