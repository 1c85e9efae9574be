#pragma once

#include <cstdint>
#include <msgpack.hpp>
#include <string>
#include <vector>

namespace lentilhoist {

/// Identifies requests with equal method, host, path and body.
using request_signature = std::uint64_t;

/// The end of a runner's process while a request was at it.
struct crash_notice {
  std::string Runner;      ///< ID.
  std::int64_t BornMs = 0; ///< Incarnation that ended.
  std::uint64_t AgeMs = 0; ///< Time since it ended.
  /// The runner had produced no output for the request yet, as is the case if
  /// the request ends it at the start.
  bool Early = false;
  MSGPACK_DEFINE(Runner, BornMs, AgeMs, Early)
};

/// Evidence about requests of one signature as one instance tells it to
/// another. Notices are merged, in any order and repeatedly.
struct suspect_notice {
  request_signature Signature = 0;
  std::vector<crash_notice> Crashes;
  /// Time since such a request was answered in full, and since one was sent
  /// out of quarantine as a trial; negative if that never happened.
  std::int64_t CompletedAgeMs = -1;
  std::int64_t TrialAgeMs = -1;
  MSGPACK_DEFINE(Signature, Crashes, CompletedAgeMs, TrialAgeMs)
};

} // namespace lentilhoist
