#pragma once

#include "load/load_settings.h"
#include "load/promise_check.h"

#include <string>
#include <vector>

namespace lentilhoist {

/// Result of one run of the load tool.
struct load_result {
  std::vector<program_report> Reports; ///< Sub-agents included.
  record_summary Records;
  double Seconds = 0;
};

/// Runs many programs and checks the promises.
/// \param Settings the run's settings.
/// \returns the result.
load_result runLoad(const load_settings &Settings);

/// \param Result a result.
/// \returns the result as text for people.
std::string describeLoad(const load_result &Result);

/// \param Result a result.
/// \returns the number of breaches.
std::size_t countBreaches(const load_result &Result);

} // namespace lentilhoist
