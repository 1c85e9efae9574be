#pragma once

#include "core/instant.h"

#include <optional>

namespace lentilhoist {

/// What decides how full a runner may be for a request to be sent to it.
struct admission_query {
  int Priority = 0;            ///< Of its route; 0 is the most urgent.
  bool ProgramStarted = false; ///< Its program has turns behind it.
  /// Time until the program should be finished, if it is told.
  std::optional<milliseconds> ProgramTimeLeft;
  int Slots = 0; ///< Requests that the runner works on at once.
};

/// Trunk reservation: the more a request is worth finishing, the more requests
/// a runner may have when it is sent there. What is not admitted waits, so that
/// in an overload the places go to the urgent programs and to those under way,
/// and instances need not agree on an order.
/// \param Question the request and the runner.
/// \returns requests at the runner, running and waiting, below which the
/// request is sent to it.
double admissionLimit(const admission_query &Query);

} // namespace lentilhoist
