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

/// Where an instance stands with regard to one shard.
enum class owner_phase {
  Idle,       ///< Not involved.
  Recovering, ///< Reading the journal.
  Recovered,  ///< The journal has been read; nothing is claimed.
  Claiming,   ///< Writing the takeover record.
  Owning,     ///< Serving the shard's programs.
  HandingOver ///< Writing the handover record.
};

/// Stage of a call that is under way.
enum class call_stage {
  Preparing,    ///< Its reservation or its intent is being written.
  Running,      ///< An attempt is queued or running.
  Committing,   ///< Its result is being written.
  Delivering,   ///< Its result is being given to the shard's new owner.
  AtFormerOwner ///< The former owner is still running it.
};

/// A call that is under way; its effects on the journal are not complete.
struct active_call {
  call_request Request;
  std::uint64_t BodyHash = 0; ///< 0 if a former owner knows it and we do not.
  call_stage Stage = call_stage::Preparing;
  std::set<call_ticket> Tickets; ///< Callers that wait for the answer.
  std::string AttemptId;
  std::string RequestKey; ///< Idempotency key of an exclusive call.
  std::uint32_t Attempts = 0;
  entry_number AwaitedEntry = 0;  ///< Entry that must be durable to go on.
  instant IntentAt;               ///< When the intent was appended.
  microseconds Deadline{0};       ///< Steady end of the whole call.
  microseconds CommitDeadline{0}; ///< Answer now even if not durable.
  std::uint64_t PromptBound = 0;
  std::uint64_t MaxTokens = 0;
  attempt_result Result;      ///< Set from stage Committing on.
  bool NeedsTexts = false;    ///< Waits for the history to be loaded.
  bool EndAfterwards = false; ///< End the program when the call is done.
  end_reason EndReason = end_reason::Caller;
  std::set<call_ticket> EndTickets;
};

/// A call that waits for the one before it, for texts to be loaded or for the
/// former owner's send window to pass.
struct held_call {
  call_request Request;
  std::set<call_ticket> Tickets;
  microseconds Deadline{0};
};

/// Tokens that attempts may draw. Only a durable reservation covers a draw, so
/// that a crash can't hide what was spent.
struct token_grant {
  std::uint64_t Remaining = 0; ///< Undrawn part of the durable reservation.
  std::vector<std::pair<entry_number, std::uint64_t>>
      Pending; ///< Later reservations, less the draws made since.
};

/// The outcome of a call whose texts must be loaded before it is recorded.
struct held_outcome {
  outcome_resolved Outcome;
  call_ticket Ticket = 0;
};

/// An answer that waits for a look at the journal.
struct unverified_answer {
  answer_caller Reply;
  microseconds Deadline{0};
};

/// Records that will be written together, and what to do once they are durable.
struct journal_batch {
  std::vector<journal_record> Records;
  action_list AfterCommit;
  std::size_t Bytes = 0; ///< Estimated stored size.
};

/// A batch whose write is under way.
struct sealed_batch {
  entry_number Number = 0;
  std::uint64_t Nonce = 0;
  std::string Bytes;
  journal_batch Batch;
  bool WritePending = false; ///< An answer of the platform is outstanding.
  microseconds RetryAt{0};
  microseconds RetryDelay{0};
  microseconds SealedAt{0};
  std::string Snapshot; ///< Set if a snapshot is due at this entry.
};

/// What this owner knows of an entry that may be deleted one day.
struct collectable_entry {
  microseconds FirstSeenAt{0}; ///< When this owner first knew of it.
  entry_number UnreferencedAfter =
      0; ///< Nothing needs it once this is durable.
};

/// Answers of the platform to a read of an entry.
enum class read_status { Found, Absent, Failed };

/// What a read of an entry yielded.
struct entry_read_result {
  read_status Status = read_status::Failed;
  journal_entry Entry; ///< Valid if Found.
};

/// Answers of the platform to a conditional create.
enum class write_status { Created, Exists, Indeterminate };

/// One instance's hold on one shard. Plain data; the functions below decide.
struct shard_owner {
  shard_index Shard = 0;
  std::string Self;
  owner_settings Settings;
  owner_phase Phase = owner_phase::Idle;
  shard_state State;                 ///< Includes records not yet durable.
  entry_number Committed = 0;        ///< Last durable entry.
  entry_number Snapshot = 0;         ///< Last entry covered by a snapshot.
  std::deque<journal_batch> Pending; ///< Batches not yet sealed.
  std::optional<sealed_batch> Sealed;
  double WriteCredit = 0;              ///< Writes that the budget allows now.
  microseconds CreditUpdatedAt{0};     ///< When the credit was last topped up.
  microseconds OwnershipVerifiedAt{0}; ///< Start of the last durable write.
  std::map<program_id, token_grant> Grants;
  std::map<program_id, active_call> Active;
  std::map<std::string, active_call>
      OrphanedCalls; ///< Side effects of an earlier
                     ///< hold, by their attempt.
  std::map<std::pair<program_id, std::uint32_t>, held_call> Held;
  std::vector<held_outcome> HeldOutcomes;
  std::vector<unverified_answer>
      UnverifiedAnswers;          ///< Wait for a look at the journal.
  std::size_t CoveredByCheck = 0; ///< How many of them the present look covers.
  microseconds OwnershipCheckStartedAt{0}; ///< When the present look began.
  bool OwnershipCheckPending = false; ///< A look at the journal is under way.
  std::set<entry_number>
      LoadingEntries;                   ///< Entries being read for their texts.
  std::set<program_id> InDoubtPrograms; ///< Had an open intent at the takeover.
  microseconds SideEffectsAllowedAt{0}; ///< End of the former owner's window.
  std::map<entry_number, collectable_entry>
      CollectableEntries;                ///< Entries by number.
  std::vector<std::string> OldSnapshots; ///< Keys to delete.
  microseconds NextSweepAt{0};           ///< Next look at every program.
  std::string Successor;                 ///< Target of a handover.
  std::mt19937_64 Random;                ///< Source of nonces.
};

/// Starts to read the journal, to claim the shard or to learn who owns it.
/// \param Now the present time.
/// \param[in,out] Owner the hold.
/// \param[out] Actions gains the reads to make.
void beginRecovery(instant Now, shard_owner &Owner, action_list &Actions);

/// Takes what the platform holds of the shard.
/// \param State snapshot with all later entries applied.
/// \param SnapshotNumber entry that the snapshot covers, 0 if there is none.
/// \param Now the present time.
/// \param[in,out] Owner the hold.
/// \param[out] Actions gains a report of the phase.
void onJournalRead(shard_state State, entry_number SnapshotNumber, instant Now,
                   shard_owner &Owner, action_list &Actions);

/// Claims a shard whose journal has been read.
/// \param Now the present time.
/// \param[in,out] Owner the hold, in phase Recovered.
/// \param[out] Actions gains the write of the takeover record.
void claimShard(instant Now, shard_owner &Owner, action_list &Actions);

/// Gives the shard to another instance; calls under way finish here.
/// \param To the successor.
/// \param Now the present time.
/// \param[in,out] Owner the hold, in phase Owning.
/// \param[out] Actions gains the write of the handover record.
void handOver(const std::string &To, instant Now, shard_owner &Owner,
              action_list &Actions);

/// Takes the platform's answer to a write_entry action.
/// \param Number the entry's number.
/// \param Status the answer.
/// \param Now the present time.
/// \param[in,out] Owner the hold.
/// \param[out] Actions gains what the commit allows.
void onWriteResult(entry_number Number, write_status Status, instant Now,
                   shard_owner &Owner, action_list &Actions);

/// Takes the platform's answer to a read_entry action.
/// \param Number the entry's number.
/// \param Read what the platform answered.
/// \param Now the present time.
/// \param[in,out] Owner the hold.
/// \param[out] Actions gains what the entry allows.
void onEntryRead(entry_number Number, const entry_read_result &Read,
                 instant Now, shard_owner &Owner, action_list &Actions);

/// Lets time pass: retries, timeouts, wall-time limits, retention, snapshots.
/// \param Now the present time.
/// \param[in,out] Owner the hold.
/// \param[out] Actions gains what is due.
void onOwnerTick(instant Now, shard_owner &Owner, action_list &Actions);

/// Looks whether another instance has taken the shard: where there is reason to
/// think so, and before answers that come from the state alone.
/// \param Now the present time.
/// \param[in,out] Owner the hold.
/// \param[out] Actions gains the look at the next entry.
void verifyOwnership(instant Now, shard_owner &Owner, action_list &Actions);

/// Takes the platform's answer to a check_next_entry action.
/// \param Number the entry that was looked for.
/// \param Read what the platform answered; Found, with no writer, if a snapshot
/// covers the entry.
/// \param Now the present time.
/// \param[in,out] Owner the hold.
/// \param[out] Actions gains the answers that waited.
void onOwnershipChecked(entry_number Number, const entry_read_result &Read,
                        instant Now, shard_owner &Owner, action_list &Actions);

/// Takes the platform's answer to a read_snapshot_number action.
/// \param Number entry of the latest snapshot, or nothing if the read failed.
/// \param Now the present time.
/// \param[in,out] Owner the hold.
/// \param[out] Actions gains what the commit allows.
void onHorizonRead(std::optional<entry_number> Number, instant Now,
                   shard_owner &Owner, action_list &Actions);

/// Takes the platform's confirmation of a snapshot.
/// \param Number entry that the snapshot covers.
/// \param[in,out] Owner the hold.
void onSnapshotWritten(entry_number Number, shard_owner &Owner);

/// Appends a record to the open batch and applies it to the state.
/// \param Record the record.
/// \param[in,out] Owner the hold, in phase Owning.
/// \returns the entry that will hold the record.
entry_number appendRecord(const journal_record &Record, shard_owner &Owner);

/// Appends an action to perform once all appended records are durable.
/// \param Then the action.
/// \param[in,out] Owner the hold, with at least one record not yet sealed.
void afterCommit(action Deferred, shard_owner &Owner);

/// \param Owner the hold.
/// \returns the bytes of records that are not yet durable.
std::size_t uncommittedBytes(const shard_owner &Owner);

/// Writes the open batch if no write is under way and the rate allows.
/// \param Now the present time.
/// \param[in,out] Owner the hold.
/// \param[out] Actions gains the write.
void sealBatch(instant Now, shard_owner &Owner, action_list &Actions);

} // namespace lentilhoist
