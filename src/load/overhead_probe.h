#pragma once

#include "http/http_client.h"

#include <string>

namespace lentilhoist {

/// Latencies of one model call of one token, in milliseconds.
struct overhead_result {
  double DirectP50 = 0;
  double DirectP99 = 0;
  double ThroughP50 = 0; ///< To the last byte, with the commit.
  double ThroughP99 = 0;
  double DirectFirstP50 = 0; ///< To the first byte.
  double DirectFirstP99 = 0;
  double ThroughFirstP50 = 0;
  double ThroughFirstP99 = 0;
};

/// Measures what the way through an instance adds over calling the engine
/// directly. The two kinds of call alternate, at a pace within a shard's share
/// of the platform's writes.
/// \param Engine the engine.
/// \param Instance an instance's caller address.
/// \param Calls number of calls of each kind.
/// \returns the latencies.
/// \throws std::runtime_error if a call fails.
overhead_result probeOverhead(const endpoint &Engine, const endpoint &Instance,
                              int Calls);

} // namespace lentilhoist
