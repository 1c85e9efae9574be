#pragma once

#include "core/instant.h"
#include "decision/action.h"
#include "decision/owner_settings.h"
#include "decision/shard_state.h"

#include <deque>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace lentilhoist {

/// Phase of an instance's ownership of one shard.
enum class owner_phase {
  Idle,       ///< Neither owner nor claimant.
  Recovering, ///< Reading the journal.
  Recovered,  ///< The journal has been read; no claim is made yet.
  Claiming,   ///< Writing the takeover record.
  Owning,     ///< Serving the shard's programs.
  HandingOver ///< Writing the handover record.
};

/// Stage of an active call.
enum class call_stage {
  Preparing,    ///< Waits for its reservation, its intent or texts.
  Running,      ///< An attempt is queued or running.
  Committing,   ///< Its result is being written.
  Delivering,   ///< Its result is being sent to the shard's new owner.
  AtFormerOwner ///< The former owner is still running it.
};

/// A call in progress; its records are not all durable yet.
struct active_call {
  call_request Request;
  std::uint64_t BodyHash = 0; ///< 0 if only the former owner knows it.
  call_stage Stage = call_stage::Preparing;
  std::set<call_ticket> Tickets; ///< Callers to answer.
  std::string AttemptId;
  std::string RequestKey; ///< Idempotency key of an exclusive call.
  std::uint32_t Attempts = 0;
  entry_number AwaitedEntry = 0; ///< Entry whose commit the call waits for.
  instant IntentAt;              ///< When the intent was appended.
  microseconds Deadline{0};      ///< Monotonic time limit of the whole call.
  /// Monotonic time at which the call is answered although what it waits for is
  /// not durable.
  microseconds CommitDeadline{0};
  std::uint64_t PromptBound = 0; ///< Upper bound of the prompt's tokens.
  std::uint64_t MaxTokens = 0;
  attempt_result Result;      ///< Set from stage Committing on.
  bool NeedsTexts = false;    ///< Waits for texts of the history.
  bool EndAfterwards = false; ///< The program ends once the call has ended.
  end_reason EndReason = end_reason::Caller;
  std::set<call_ticket> EndTickets; ///< Callers waiting for the program's end.
};

/// A call that waits for its predecessor, for texts to be loaded or for the end
/// of the former owner's send window.
struct held_call {
  call_request Request;
  std::set<call_ticket> Tickets;
  microseconds Deadline{0};
};

/// Tokens that attempts of a program may draw. A draw must be covered by a
/// durable reservation, so that tokens spent before a crash are accounted for.
struct token_grant {
  std::uint64_t Remaining = 0; ///< Undrawn tokens of the durable reservation.
  /// Reservations by entry that are not durable yet, less draws made since.
  std::vector<std::pair<entry_number, std::uint64_t>> Pending;
};

/// An outcome that is recorded once the texts of its call are loaded.
struct held_outcome {
  outcome_resolved Outcome;
  call_ticket Ticket = 0;
};

/// An answer that is sent once an ownership check has passed.
struct unverified_answer {
  answer_caller Reply;
  microseconds Deadline{0};
};

/// Records that are written as one entry, and the actions to perform once they
/// are durable.
struct journal_batch {
  std::vector<journal_record> Records;
  action_list AfterCommit;
  std::size_t Bytes = 0; ///< Estimated size when stored.
};

/// A batch that is being written; it takes no more records.
struct sealed_batch {
  entry_number Number = 0;
  std::uint64_t Nonce = 0; ///< Tells the entry from others with its number.
  std::string Bytes;
  journal_batch Batch;
  bool WritePending = false; ///< Sent and not answered yet.
  microseconds RetryAt{0};
  microseconds RetryDelay{0};
  microseconds SealedAt{0};
  std::string Snapshot; ///< Written after the entry; empty if none is due.
};

/// Garbage collection state of an entry.
struct collectable_entry {
  microseconds FirstSeenAt{0}; ///< When this owner learned of it.
  /// Entry whose commit makes this one unreferenced; 0 if not known yet.
  entry_number UnreferencedAfter = 0;
};

/// Result of a read of an entry.
enum class read_status { Found, Absent, Failed };

/// Result of a read of an entry, with the entry.
struct entry_read_result {
  read_status Status = read_status::Failed;
  journal_entry Entry; ///< Valid if Found.
};

/// Result of a conditional create. Indeterminate: the platform did not confirm
/// or deny it, so the object may exist.
enum class write_status { Created, Exists, Indeterminate };

/// State of one instance's ownership of one shard. Plain data without I/O: the
/// functions below change it and return the actions to perform.
struct shard_owner {
  shard_index Shard = 0;
  std::string Self; ///< Name of this instance.
  owner_settings Settings;
  owner_phase Phase = owner_phase::Idle;
  shard_state State;                 ///< Includes records not yet durable.
  entry_number Committed = 0;        ///< Last durable entry.
  entry_number Snapshot = 0;         ///< Last entry covered by a snapshot.
  std::deque<journal_batch> Pending; ///< Batches to write after Sealed.
  std::optional<sealed_batch> Sealed;
  double WriteCredit = 0;          ///< Tokens of the write rate limiter.
  microseconds CreditUpdatedAt{0}; ///< When WriteCredit was last refilled.
  /// Start of the last write or check that proved the ownership.
  microseconds OwnershipVerifiedAt{0};
  std::map<program_id, token_grant> Grants;
  std::map<program_id, active_call> Active;
  /// Exclusive calls by attempt that this instance sent in an earlier period of
  /// ownership and that were settled since. Their outcome is still awaited.
  std::map<std::string, active_call> OrphanedCalls;
  std::map<std::pair<program_id, std::uint32_t>, held_call> Held;
  std::vector<held_outcome> HeldOutcomes;
  std::vector<unverified_answer>
      UnverifiedAnswers; ///< Await an ownership check.
  /// Number of leading elements of UnverifiedAnswers that the pending check
  /// covers.
  std::size_t CoveredByCheck = 0;
  microseconds OwnershipCheckStartedAt{0};
  bool OwnershipCheckPending = false;
  std::set<entry_number> LoadingEntries; ///< Being read for their texts.
  std::set<program_id> InDoubtPrograms; ///< Had an open intent at the takeover.
  /// End of the former owner's send window.
  microseconds SideEffectsAllowedAt{0};
  std::map<entry_number, collectable_entry> CollectableEntries;
  std::vector<std::string> OldSnapshots; ///< Object keys to delete.
  microseconds NextSweepAt{0};           ///< Next pass over all programs.
  std::string Successor;                 ///< Owner or next owner, where known.
  std::mt19937_64 Random;                ///< Source of nonces.
};

/// Starts to read the journal, in order to claim the shard or to find its
/// owner.
/// \param Now the present time.
/// \param[in,out] Owner the shard's owner.
/// \param[out] Actions gains the read of the journal.
void beginRecovery(instant Now, shard_owner &Owner, action_list &Actions);

/// Handles the journal that the platform returned.
/// \param State the latest snapshot with all later entries applied.
/// \param SnapshotNumber last entry that the snapshot covers, 0 if there is no
/// snapshot.
/// \param Now the present time.
/// \param[in,out] Owner the shard's owner.
/// \param[out] Actions gains a report of the phase.
void onJournalRead(shard_state State, entry_number SnapshotNumber, instant Now,
                   shard_owner &Owner, action_list &Actions);

/// Claims a shard whose journal has been read.
/// \param Now the present time.
/// \param[in,out] Owner the shard's owner, in phase Recovered.
/// \param[out] Actions gains the write of the takeover record.
void claimShard(instant Now, shard_owner &Owner, action_list &Actions);

/// Hands the shard over to another instance. This instance completes the calls
/// that are running and delivers their results to the new owner.
/// \param To the new owner.
/// \param Now the present time.
/// \param[in,out] Owner the shard's owner, in phase Owning.
/// \param[out] Actions gains the write of the handover record.
void handOver(const std::string &To, instant Now, shard_owner &Owner,
              action_list &Actions);

/// Handles the platform's answer to a write_entry action.
/// \param Number the entry's number.
/// \param Status the answer.
/// \param Now the present time.
/// \param[in,out] Owner the shard's owner.
/// \param[out] Actions gains the actions that waited for the commit.
void onWriteResult(entry_number Number, write_status Status, instant Now,
                   shard_owner &Owner, action_list &Actions);

/// Handles the platform's answer to a read_entry action.
/// \param Number the entry's number.
/// \param Read the platform's answer.
/// \param Now the present time.
/// \param[in,out] Owner the shard's owner.
/// \param[out] Actions gains the actions that waited for the entry.
void onEntryRead(entry_number Number, const entry_read_result &Read,
                 instant Now, shard_owner &Owner, action_list &Actions);

/// Periodic processing: write retries, timeouts, wall-time limits, retention,
/// garbage collection and batched writes.
/// \param Now the present time.
/// \param[in,out] Owner the shard's owner.
/// \param[out] Actions gains what is due.
void onOwnerTick(instant Now, shard_owner &Owner, action_list &Actions);

/// Starts an ownership check: looks for an entry of another instance after the
/// last durable one. Needed when ownership is in doubt, and before answers that
/// come from the state without a commit. Does nothing if a check or a write is
/// pending.
/// \param Now the present time.
/// \param[in,out] Owner the shard's owner.
/// \param[out] Actions gains the read of the next entry.
void verifyOwnership(instant Now, shard_owner &Owner, action_list &Actions);

/// Handles the platform's answer to a check_next_entry action.
/// \param Number number of the entry that was read.
/// \param Read the platform's answer; Found without a writer if a snapshot
/// covers the entry.
/// \param Now the present time.
/// \param[in,out] Owner the shard's owner.
/// \param[out] Actions gains the answers that waited for the check.
void onOwnershipChecked(entry_number Number, const entry_read_result &Read,
                        instant Now, shard_owner &Owner, action_list &Actions);

/// Handles the platform's answer to a read_snapshot_number action. If the
/// latest snapshot covers the sealed entry, the shard has another owner.
/// \param Number last entry that the latest snapshot covers, or nullopt if the
/// read failed.
/// \param Now the present time.
/// \param[in,out] Owner the shard's owner.
/// \param[out] Actions gains the actions that waited for the commit.
void onSnapshotNumberRead(std::optional<entry_number> Number, instant Now,
                          shard_owner &Owner, action_list &Actions);

/// Handles the confirmation that a snapshot is stored; the previous one is then
/// obsolete.
/// \param Number last entry that the snapshot covers.
/// \param[in,out] Owner the shard's owner.
void onSnapshotWritten(entry_number Number, shard_owner &Owner);

/// Appends a record to the open batch and applies it to the state.
/// \param Record the record.
/// \param[in,out] Owner the shard's owner, in phase Claiming or Owning.
/// \returns the entry that will contain the record.
entry_number appendRecord(const journal_record &Record, shard_owner &Owner);

/// Defers an action until all records appended so far are durable.
/// \param Deferred the action.
/// \param[in,out] Owner the shard's owner, with at least one record that is not
/// sealed.
void afterCommit(action Deferred, shard_owner &Owner);

/// \param Owner the shard's owner.
/// \returns the size of the records that are not durable yet, in bytes.
std::size_t uncommittedBytes(const shard_owner &Owner);

/// Seals the oldest batch and starts to write it, unless a write is pending or
/// the write rate limit is reached.
/// \param Now the present time.
/// \param[in,out] Owner the shard's owner.
/// \param[out] Actions gains the write.
void sealBatch(instant Now, shard_owner &Owner, action_list &Actions);

} // namespace lentilhoist
