#pragma once

#include "core/instant.h"
#include "decision/call_request.h"
#include "journal/journal_entry.h"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace lentilhoist {

/// Create a journal entry if it is absent.
struct write_entry {
  shard_index Shard = 0;
  entry_number Number = 0;
  std::string Bytes;
};

/// Read a journal entry: its create failed or has an unknown outcome, or its
/// texts are required.
struct read_entry {
  shard_index Shard = 0;
  entry_number Number = 0;
};

/// Read the latest snapshot and all entries after it.
struct read_journal {
  shard_index Shard = 0;
};

/// Store a snapshot of the shard's state.
struct write_snapshot {
  shard_index Shard = 0;
  entry_number Number = 0; ///< Last entry that the snapshot covers.
  std::string Bytes;
};

/// Delete an entry or an old snapshot that is no longer referenced.
struct delete_object {
  shard_index Shard = 0;
  std::string Key;
};

/// Run one attempt of a call at a runner.
struct start_attempt {
  call_request Call;
  std::string Tenant;
  std::string Class;
  std::string AttemptId;
  std::string RequestKey;           ///< Idempotency key for a service.
  std::string History;              ///< Messages of earlier model calls,
                                    ///< comma-separated JSON.
  std::string PreferredRunner;      ///< Runner that caches the prompt's
                                    ///< prefix, or empty.
  std::uint64_t AttainedTokens = 0; ///< Tokens that the program has used.
  std::uint64_t PromptBound = 0;    ///< Upper bound of the prompt, in tokens.
  std::uint64_t MaxTokens = 0;
  instant SendBy; ///< Latest send time; valid if HasSendBy.
  bool HasSendBy = false;
  microseconds Timeout{0}; ///< Remaining time of the call.
};

/// Stop an attempt whose result is no longer needed.
struct cancel_attempt {
  program_id Program;
  std::string AttemptId;
};

/// Ask a service whether it executed the request with an idempotency key.
struct query_outcome {
  program_id Program;
  std::uint32_t Call = 0;
  std::string Service;
  std::string RequestKey;
};

/// Send the answer to a waiting caller.
struct answer_caller {
  call_ticket Ticket = 0;
  call_answer Answer;
};

/// Send the result of a call to the shard's new owner.
struct deliver_result {
  call_request Call;
  std::string To; ///< Successor of a handover; empty if unknown.
  attempt_result Result;
};

/// Read the entry number of the shard's latest snapshot.
struct read_snapshot_number {
  shard_index Shard = 0;
};

/// Allow a runner to drop the cache of a program.
struct release_cache {
  program_id Program;
  std::string Runner;
};

/// Report that the phase of the shard changed on this instance.
struct report_phase {
  shard_index Shard = 0;
};

/// Check whether another instance has written the next journal entry.
struct check_next_entry {
  shard_index Shard = 0;
  entry_number Number = 0;
  bool CheckSnapshots = false; ///< The entry may have been written and deleted
                               ///< since; check afterwards whether a snapshot
                               ///< covers it.
};

/// Side effect that the decision functions request; performed by the process.
using action =
    std::variant<write_entry, read_entry, read_journal, write_snapshot,
                 delete_object, start_attempt, cancel_attempt, query_outcome,
                 answer_caller, deliver_result, release_cache, report_phase,
                 read_snapshot_number, check_next_entry>;

using action_list = std::vector<action>;

} // namespace lentilhoist
