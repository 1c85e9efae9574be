#pragma once

#include "core/instant.h"

#include <optional>

namespace lentilhoist {

/// Inputs that determine how loaded a runner may be to accept a request.
struct admission_query {
  int Priority = 0;            ///< Priority of the route; 0 is the most urgent.
  bool ProgramStarted = false; ///< The program has begun.
  /// Time left until the program's completion target, if the caller gave one;
  /// zero or negative once the target has passed.
  std::optional<milliseconds> ProgramTimeLeft;
  int Slots = 0; ///< Requests that the runner processes concurrently.
  /// Runners of the service limit their rate, so that the others carry more
  /// than their part for as long as that lasts.
  bool RateLimited = false;
  /// Its workspace sends more than its rate, and this is one of the requests
  /// beyond; see isOverShare().
  bool OverShare = false;
};

/// Computes the admission limit by trunk reservation: requests that are more
/// valuable to finish may be sent to a more heavily loaded runner. Requests
/// that are not admitted wait. Under overload the capacity thus goes to urgent
/// programs and to programs already started, and instances need not agree on an
/// order.
/// \param Query properties of the request and the runner.
/// \returns number of requests at the runner, running and waiting; the request
/// is admitted if the runner's load is below it.
double admissionLimit(const admission_query &Query);

} // namespace lentilhoist
