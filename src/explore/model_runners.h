#pragma once

#include "decision/action.h"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace lentilhoist {

/// Identity of a call over all its issues.
using call_key = std::pair<program_id, std::uint32_t>;

/// The engine and the service as structs, with what they ran.
struct model_runners {
  std::map<program_id, std::uint64_t> SpentTokens;
  std::set<program_id> Caches; ///< Programs that the engine caches.
  std::map<std::string, std::string> Outcomes; ///< Responses by request key.
  std::map<call_key, int> Runs;                ///< Executions of side effects.
  std::map<program_id, std::uint32_t> LastRun; ///< Last call with one.
  std::vector<std::string> Breaches;
};

/// Text that the model generates: a digest of all that it was told.
/// \param History messages of earlier calls.
/// \param Body messages of this call.
/// \returns the answer as an array of one message.
std::string modelAnswer(const std::string &History, const std::string &Body);

/// Runs a side effect.
/// \param Start the attempt that asked for it.
/// \param[in,out] Runners the runners; gains a breach if it ran before or out
/// of order.
/// \returns the response.
std::string runSideEffect(const start_attempt &Start, model_runners &Runners);

} // namespace lentilhoist
