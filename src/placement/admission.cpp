#include "placement/admission.h"

#include <algorithm>

namespace lentilhoist {

namespace {

/// Requests for each slot of a runner up to which the most urgent start: a
/// queue of half a batch keeps the engine busy between two load reports.
constexpr double UrgentPerSlot = 1.5;
/// Less for each step of priority.
constexpr double PriorityStep = 0.35;
/// More for a program under way, as only whole programs count.
constexpr double UnderWayBonus = 0.15;
/// Programs behind their aim earn little; they use what the others leave.
constexpr double LatePerSlot = 0.9;
/// Some share of the places is open to all, so that nothing starves.
constexpr double LeastPerSlot = 0.85;

} // namespace

double admissionLimit(const admission_question &Question) {
  const double Slots = Question.Slots;
  if (Question.ProgramTimeLeft && Question.ProgramTimeLeft->count() <= 0)
    return Slots * LatePerSlot;
  double PerSlot = UrgentPerSlot - PriorityStep * Question.Priority;
  if (Question.UnderWay)
    PerSlot += UnderWayBonus;
  return Slots * std::max(PerSlot, LeastPerSlot);
}

} // namespace lentilhoist
