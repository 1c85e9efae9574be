#pragma once

#include "core/instant.h"
#include "decision/call_request.h"
#include "journal/journal_entry.h"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace lentilhoist {

/// Create an entry if it is absent.
struct write_entry {
  shard_index Shard = 0;
  entry_number Number = 0;
  std::string Bytes;
};

/// Read an entry whose create had an unclear or negative answer, or whose
/// texts are needed.
struct read_entry {
  shard_index Shard = 0;
  entry_number Number = 0;
};

/// Read the latest snapshot and all entries after it.
struct read_journal {
  shard_index Shard = 0;
};

/// Store a snapshot.
struct write_snapshot {
  shard_index Shard = 0;
  entry_number Number = 0;
  std::string Bytes;
};

/// Delete an entry or an old snapshot that nothing needs.
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
  std::string RequestKey;      ///< Idempotency key for a service.
  std::string History;         ///< Messages of earlier model calls.
  std::string PreferredRunner; ///< Holds the prefix, or empty.
  std::uint64_t AttainedTokens = 0;
  std::uint64_t PromptBound = 0; ///< Upper bound of the prompt's tokens.
  std::uint64_t MaxTokens = 0;
  instant SendBy; ///< Latest time to send.
  bool HasSendBy = false;
  microseconds Timeout{0};
};

/// Stop an attempt whose result nobody needs.
struct cancel_attempt {
  program_id Program;
  std::string AttemptId;
};

/// Ask a service whether it ran the request with a key.
struct query_outcome {
  program_id Program;
  std::uint32_t Call = 0;
  std::string Service;
  std::string RequestKey;
};

/// Tell a waiting caller the answer.
struct answer_caller {
  call_ticket Ticket = 0;
  call_answer Answer;
};

/// Give the result of a call to the shard's new owner.
struct deliver_result {
  call_request Call;
  std::string To;
  attempt_result Result;
};

/// Read the number of the shard's latest snapshot.
struct read_snapshot_number {
  shard_index Shard = 0;
};

/// Tell a runner that it may drop a program's cache.
struct release_cache {
  program_id Program;
  std::string Runner;
};

/// The shard's ownership changed on this instance.
struct report_phase {
  shard_index Shard = 0;
};

/// Look whether another instance has written the next entry.
struct check_next_entry {
  shard_index Shard = 0;
  entry_number Number = 0;
  bool CheckSnapshots = false; ///< The entry may have been deleted since; look
                               ///< afterwards whether a snapshot covers it.
};

/// Whatever a decision asks the process to do.
using action =
    std::variant<write_entry, read_entry, read_journal, write_snapshot,
                 delete_object, start_attempt, cancel_attempt, query_outcome,
                 answer_caller, deliver_result, release_cache, report_phase,
                 read_snapshot_number, check_next_entry>;

using action_list = std::vector<action>;

} // namespace lentilhoist
