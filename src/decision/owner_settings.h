#pragma once

#include "core/instant.h"
#include "journal/record.h"

#include <cstdint>

namespace lentilhoist {

/// Settings of the owner of a shard. "Texts" are the request and response
/// bodies of a program's history.
struct owner_settings {
  double WritesPerSecond = 50; ///< The shard's share of the fleet's budget.
  double WriteBurst = 8;       ///< Maximum number of writes in a burst.
  microseconds WriteRetryMin{milliseconds(20)}; ///< First retry delay.
  microseconds WriteRetryMax{seconds(2)};       ///< Longest retry delay.

  /// Time after the intent of an exclusive call in which it may be sent.
  microseconds SendWindow{seconds(2)};
  /// Wait for a commit, after which a result is returned although it is not
  /// durable.
  microseconds CommitTimeout{seconds(2)};
  microseconds CallTimeout{seconds(120)};   ///< Default of a model call.
  microseconds ServiceTimeout{seconds(10)}; ///< Default of a service call.
  /// Wait for the result of a call that the former owner still runs.
  microseconds FormerOwnerTimeout{seconds(60)};
  std::uint64_t DefaultMaxTokens = 512;
  std::uint64_t NewPromptTokens = 2048; ///< Reserved for new messages.
  std::uint32_t MaxAttempts = 3;        ///< Per call.
  std::uint32_t MaxHeldCalls = 8;       ///< Per program.
  std::size_t MaxBatchBytes = 900'000;  ///< Below the platform's value limit.
  std::size_t MaxUncommittedBytes = 8U << 20U; ///< Calls beyond are refused.
  std::size_t MaxTextBytes = 8U << 20U; ///< Texts of the shard in memory.
  entry_number SnapshotInterval = 64;   ///< Entries between snapshots.
  milliseconds Retention{seconds(600)}; ///< Of programs that have ended.
  std::size_t DeletesPerTick = 4;
  microseconds CollectDelay{seconds(600)}; ///< Minimum age at deletion.
  microseconds SweepInterval{seconds(1)};  ///< Between passes over programs.
  /// Wait for the result of an attempt after the call's deadline.
  microseconds AttemptGracePeriod{seconds(5)};
  /// Calls whose tokens are reserved in advance; so many can run while the
  /// platform is unavailable.
  std::uint32_t CallsReservedAhead = 4;
};

} // namespace lentilhoist
