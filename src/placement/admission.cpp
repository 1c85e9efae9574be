#include "placement/admission.h"

#include <algorithm>

namespace lentilhoist {

namespace {

/// Requests for each slot of a runner up to which the most urgent start: a
/// queue of three quarters of a batch keeps the engine busy between two load
/// reports.
constexpr double UrgentPerSlot = 1.75;
/// Less for each step of priority.
constexpr double ReductionPerPriority = 0.3;
/// More for a program under way, as only whole programs count.
constexpr double StartedProgramBonus = 0.15;
/// Programs behind their aim earn little; they use what the others leave.
constexpr double LatePerSlot = 1.2;
/// Some share of the places is open to all, so that nothing starves.
constexpr double MinPerSlot = 1.1;

} // namespace

double admissionLimit(const admission_query &Query) {
  const double Slots = Query.Slots;
  if (Query.ProgramTimeLeft && Query.ProgramTimeLeft->count() <= 0)
    return Slots * LatePerSlot;
  double PerSlot = UrgentPerSlot - ReductionPerPriority * Query.Priority;
  if (Query.ProgramStarted)
    PerSlot += StartedProgramBonus;
  return Slots * std::max(PerSlot, MinPerSlot);
}

} // namespace lentilhoist
