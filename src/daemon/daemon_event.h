#pragma once

#include "call/answer_sink.h"
#include "call/caller_request.h"
#include "decision/runner_table.h"
#include "objects/journal_store.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <variant>

namespace lentilhoist {

/// A request for a shard's owner came in.
struct request_arrived {
  owner_request Request;
  std::shared_ptr<answer_sink> Sink;
};

/// The platform answered a write of an entry.
struct write_finished {
  shard_index Shard = 0;
  entry_number Number = 0;
  write_status Status = write_status::Indeterminate;
};

/// An entry was read, or could not be.
struct entry_loaded {
  shard_index Shard = 0;
  entry_number Number = 0;
  entry_read_result Read;
};

/// A look at the next entry was answered.
struct next_entry_checked {
  shard_index Shard = 0;
  entry_number Number = 0;
  entry_read_result Read;
};

/// A shard's journal was read, or could not be.
struct journal_loaded {
  shard_index Shard = 0;
  std::optional<stored_shard> Stored;
};

/// The number of the latest snapshot was read, or could not be.
struct snapshot_number_loaded {
  shard_index Shard = 0;
  std::optional<entry_number> Number;
};

/// The platform confirmed a snapshot.
struct snapshot_stored {
  shard_index Shard = 0;
  entry_number Number = 0;
};

/// An attempt at a runner ended.
struct attempt_finished {
  program_id Program;
  std::string AttemptId;
  attempt_result Result;
};

/// The new owner of a shard took a result, or refused it.
struct result_delivered {
  program_id Program;
  bool Durable = false;
};

/// A runner dropped a program's cache.
struct cache_dropped {
  program_id Program;
  std::string Runner;
};

/// A service told the outcome of a call in doubt.
struct outcome_found {
  outcome_resolved Outcome;
};

/// A runner reported its load, or did not.
struct load_reported {
  std::string Runner;
  runner_load Load;
};

/// An engine listed the programs whose prefixes it caches.
struct cache_listed {
  std::string Runner;
  std::vector<program_id> Sessions;
};

/// Another instance says that a shard waits for this one.
struct shard_offered {
  shard_index Shard = 0;
};

/// Runs on the scheduler's thread, for operators.
struct inspection {
  std::function<void()> Run;
};

/// Whatever the scheduler's thread is told.
using daemon_event =
    std::variant<request_arrived, write_finished, entry_loaded, journal_loaded,
                 snapshot_number_loaded, snapshot_stored, attempt_finished,
                 result_delivered, cache_dropped, outcome_found, load_reported,
                 shard_offered, inspection, cache_listed, next_entry_checked>;

} // namespace lentilhoist
