#pragma once

#include "core/instant.h"
#include "journal/record.h"

#include <cstdint>

namespace lentilhoist {

/// Settings of the hold on a shard.
struct owner_settings {
  double WritesPerSecond = 50; ///< Share of the fleet's write budget.
  double WriteBurst = 8;       ///< Writes that may follow at once.
  microseconds WriteRetryMin{milliseconds(20)};
  microseconds WriteRetryMax{seconds(2)};
  microseconds SendWindow{seconds(2)};      ///< Time to send after an intent.
  microseconds CommitTimeout{seconds(2)};   ///< Wait before answering with a
                                            ///< result that is not durable.
  microseconds CallTimeout{seconds(120)};   ///< Default limit of one call.
  microseconds ServiceTimeout{seconds(10)}; ///< Default limit of a service.
  microseconds FormerOwnerTimeout{seconds(60)}; ///< Wait for a former owner.
  std::uint64_t DefaultMaxTokens = 512;
  std::uint64_t NewPromptTokens = 2048; ///< Reserved for new messages.
  std::uint32_t MaxAttempts = 3;
  std::uint32_t MaxHeldCalls = 8;      ///< Per program.
  std::size_t MaxBatchBytes = 900'000; ///< Below the platform's value limit.
  std::size_t MaxUncommittedBytes = 8U << 20U; ///< Refuse calls beyond it.
  std::size_t MaxTextBytes = 8U << 20U;        ///< Histories held in memory.
  entry_number SnapshotInterval = 64;          ///< Entries between snapshots.
  milliseconds Retention{seconds(600)}; ///< Ended programs stay readable.
  std::size_t DeletesPerTick = 4;
  microseconds CollectDelay{seconds(600)}; ///< Least age of a deleted entry.
  microseconds SweepInterval{seconds(1)};  ///< Between looks at all programs.
  microseconds AttemptGracePeriod{
      seconds(5)};                      ///< Wait for an attempt past its limit.
  std::uint32_t CallsReservedAhead = 4; ///< Calls that an outage can't stop.
};

} // namespace lentilhoist
