#pragma once

#include <array>
#include <cstdint>
#include <msgpack.hpp>
#include <string>
#include <string_view>

namespace lentilhoist {

/// How much a request gains from a permit, in descending order. Decides how
/// long a queue of permits it may join.
enum class permit_rank {
  UnderWay, ///< Belongs to a program that has begun and may meet its target.
  New,      ///< Begins a program.
  Late,     ///< Belongs to a program that is past its target.
  Spare,    ///< No request waits: for a later one, while there is no queue.
};

/// Names of permit_rank in log lines.
inline constexpr std::array<std::string_view, 4> PermitRankNames{
    "under_way", "new", "late", "spare"};

/// An instance's request for permission to send one request to a runner that
/// limits its rate.
struct permit_request {
  std::string Runner;      ///< ID.
  std::int64_t BornMs = 0; ///< Incarnation of the runner.
  double PerSecond = 0;    ///< Limit as known to the instance; 0: none.
  std::uint64_t AgeMs = 0; ///< Time since the runner stated that limit.
  permit_rank Rank = permit_rank::New;
  std::uint64_t MaxDelayMs = 0; ///< Longest that the request can wait.
  /// The issuer that comes first for this runner is unreachable.
  bool Standby = false;
  MSGPACK_DEFINE(Runner, BornMs, PerSecond, AgeMs, Rank, MaxDelayMs, Standby)
};

/// An issuer's decision on a permit_request.
struct permit_reply {
  bool Granted = false;
  /// Granted: time until the permit may be used. Else: time until another
  /// request of the same rank may succeed.
  std::uint64_t DelayMs = 0;
  double PerSecond = 0;    ///< Newest limit known; 0: the runner has none.
  std::uint64_t AgeMs = 0; ///< Time since the runner stated that limit.
  MSGPACK_DEFINE(Granted, DelayMs, PerSecond, AgeMs)
};

/// A runner's limit as one instance tells it to another.
struct limit_notice {
  std::string Runner; ///< ID.
  std::int64_t BornMs = 0;
  double PerSecond = 0;
  std::uint64_t AgeMs = 0; ///< Time since the runner stated it.
  MSGPACK_DEFINE(Runner, BornMs, PerSecond, AgeMs)
};

} // namespace lentilhoist

MSGPACK_ADD_ENUM(lentilhoist::permit_rank)
