#pragma once

#include "forward/exchange_context.h"

namespace lentilhoist {

/// A request that was sent to a runner, as far as its result tells about the
/// runner.
struct watched_send {
  std::string Request; ///< Attempt id, for the log.
  std::string Runner;
  std::int64_t BornMs = 0;
  bool Relayed = false; ///< Through another instance, which may have failed.
  instant SentAt{};
};

/// Records the result of a request for the detection of outliers, and logs what
/// changes. A result that may be that of this instance's own path, or of a
/// relay, or of a runner that leaves is not recorded.
/// \param Context state of the instance.
/// \param Send the request.
/// \param Outcome its result.
void reportOutcome(exchange_context &Context, const watched_send &Send,
                   const runner_outcome &Outcome);

/// Takes back the faults that a lost path has caused.
/// \param Context state of the instance.
void forgiveOutliers(exchange_context &Context);

} // namespace lentilhoist
