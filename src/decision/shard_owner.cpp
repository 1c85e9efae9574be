#include "decision/shard_owner.h"

#include "decision/call_flow.h"
#include "decision/call_steps.h"

#include <algorithm>
#include <cassert>

namespace lentilhoist {

namespace {

/// Estimated size of a stored record without its texts.
constexpr std::size_t RecordBaseBytes = 192;

std::size_t estimateBytes(const journal_record &Record) {
  if (const auto *Done = std::get_if<call_completed>(&Record))
    return RecordBaseBytes + Done->Request.size() + Done->Response.size();
  if (const auto *Resolved = std::get_if<outcome_resolved>(&Record))
    return RecordBaseBytes + Resolved->Request.size() +
           Resolved->Response.size();
  if (const auto *Intent = std::get_if<call_intended>(&Record))
    return RecordBaseBytes + Intent->Request.size();
  return RecordBaseBytes;
}

entry_number lastSealed(const shard_owner &Owner) {
  return Owner.Sealed ? Owner.Sealed->Number : Owner.Committed;
}

/// Whether a write must be checked against the latest snapshot before it counts
/// as committed: the conditional create of an entry also succeeds if that entry
/// has existed and was deleted. Entries are deleted CollectDelay after they
/// were written at the earliest, so an instance whose ownership was verified
/// less than half of that ago cannot have re-created one. A claimant always
/// checks: it may have read the journal after a snapshot was taken and before
/// the entries that the snapshot covers were deleted.
bool needsSnapshotCheck(instant Now, const shard_owner &Owner) {
  return Owner.Phase == owner_phase::Claiming ||
         Now.Steady - Owner.OwnershipVerifiedAt >=
             Owner.Settings.CollectDelay / 2;
}

void scheduleRetry(instant Now, sealed_batch &Sealed,
                   const owner_settings &Settings) {
  Sealed.WritePending = false;
  Sealed.RetryDelay = std::clamp(Sealed.RetryDelay * 2, Settings.WriteRetryMin,
                                 Settings.WriteRetryMax);
  Sealed.RetryAt = Now.Steady + Sealed.RetryDelay;
}

void sendWrite(shard_owner &Owner, action_list &Actions) {
  sealed_batch &Sealed = *Owner.Sealed;
  Sealed.WritePending = true;
  Actions.push_back(write_entry{Owner.Shard, Sealed.Number, Sealed.Bytes});
}

void clearVolatileState(shard_owner &Owner) {
  Owner.Pending.clear();
  Owner.Sealed.reset();
  Owner.Held.clear();
  Owner.Grants.clear();
  Owner.LoadingEntries.clear();
  Owner.UnverifiedAnswers.clear();
  Owner.CoveredByCheck = 0;
  Owner.OwnershipCheckPending = false;
  Owner.HeldOutcomes.clear();
  Owner.CollectableEntries.clear();
  Owner.OldSnapshots.clear();
  Owner.InDoubtPrograms.clear();
}

/// Refuses the callers whose answers waited for records that this instance will
/// not commit.
void refuseAfterCommit(const action_list &AfterCommit, shard_owner &Owner,
                       action_list &Actions) {
  for (const action &Deferred : AfterCommit) {
    const auto *Answer = std::get_if<answer_caller>(&Deferred);
    if (Answer != nullptr)
      Actions.push_back(
          answer_caller{Answer->Ticket, makeNotOwnerAnswer(Owner)});
  }
}

void refuseUncommitted(shard_owner &Owner, action_list &Actions) {
  if (Owner.Sealed)
    refuseAfterCommit(Owner.Sealed->Batch.AfterCommit, Owner, Actions);
  for (const journal_batch &Batch : Owner.Pending)
    refuseAfterCommit(Batch.AfterCommit, Owner, Actions);
  for (const unverified_answer &Answer : Owner.UnverifiedAnswers)
    answer(Answer.Reply.Ticket, makeNotOwnerAnswer(Owner), Actions);
  for (const held_outcome &Outcome : Owner.HeldOutcomes)
    answer(Outcome.Ticket, makeNotOwnerAnswer(Owner), Actions);
}

/// Drops the ownership or the claim of a shard that another instance has
/// claimed.
void loseOwnership(const std::string &NewOwner, shard_owner &Owner,
                   action_list &Actions) {
  const bool Claiming = Owner.Phase == owner_phase::Claiming;
  Owner.Phase = owner_phase::Idle;
  Owner.Successor = NewOwner;
  refuseUncommitted(Owner, Actions);
  if (!Claiming)
    releaseCalls(false, Owner, Actions);
  clearVolatileState(Owner);
  Owner.State = shard_state();
  Owner.State.Shard = Owner.Shard;
  Actions.push_back(report_phase{Owner.Shard});
}

void completeClaim(const journal_batch &Batch, instant Now, shard_owner &Owner,
                   action_list &Actions) {
  const auto &Taken = std::get<shard_taken>(Batch.Records.front());
  Owner.Phase = owner_phase::Owning;
  Actions.push_back(report_phase{Owner.Shard});
  resumeAfterTakeover(Taken.Clean, Now, Owner, Actions);
}

void completeHandover(shard_owner &Owner, action_list &Actions) {
  Owner.Phase = owner_phase::Idle;
  refuseUncommitted(Owner, Actions);
  releaseCalls(true, Owner, Actions);
  clearVolatileState(Owner);
  Owner.State = shard_state();
  Owner.State.Shard = Owner.Shard;
  Actions.push_back(report_phase{Owner.Shard});
}

void finishCommit(instant Now, shard_owner &Owner, action_list &Actions) {
  sealed_batch Done = std::move(*Owner.Sealed);
  Owner.Sealed.reset();
  Owner.Committed = Done.Number;
  Owner.OwnershipVerifiedAt = Done.SealedAt;
  Owner.CollectableEntries.emplace(Done.Number, collectable_entry{Now.Steady});
  std::move(Done.Batch.AfterCommit.begin(), Done.Batch.AfterCommit.end(),
            std::back_inserter(Actions));
  if (!Done.Snapshot.empty())
    Actions.push_back(
        write_snapshot{Owner.Shard, Done.Number, std::move(Done.Snapshot)});
  if (Owner.Phase == owner_phase::Claiming)
    completeClaim(Done.Batch, Now, Owner, Actions);
  onCommitted(Done.Batch, Done.Number, Now, Owner, Actions);
  if (Owner.Phase == owner_phase::HandingOver && Owner.Pending.empty())
    completeHandover(Owner, Actions);
  sealBatch(Now, Owner, Actions);
  if (!Owner.UnverifiedAnswers.empty())
    verifyOwnership(Now, Owner, Actions);
}

void confirmCommit(instant Now, shard_owner &Owner, action_list &Actions) {
  if (needsSnapshotCheck(Now, Owner)) {
    Actions.push_back(read_snapshot_number{Owner.Shard});
    return;
  }
  finishCommit(Now, Owner, Actions);
}

/// Refills the token bucket of the shard's share of the fleet's write budget.
void refillWriteCredit(instant Now, shard_owner &Owner) {
  const double Elapsed =
      std::chrono::duration<double>(Now.Steady - Owner.CreditUpdatedAt).count();
  Owner.CreditUpdatedAt = Now.Steady;
  Owner.WriteCredit =
      std::min(Owner.WriteCredit + Elapsed * Owner.Settings.WritesPerSecond,
               Owner.Settings.WriteBurst);
}

/// Deletions may use only the credit above half of the burst, so that commits
/// have priority.
std::size_t deletionBudget(const shard_owner &Owner) {
  const double Spare = Owner.WriteCredit - Owner.Settings.WriteBurst / 2;
  return std::min(Owner.Settings.DeletesPerTick,
                  static_cast<std::size_t>(std::max(Spare, 0.0)));
}

/// The state includes records that are not durable yet. An entry that the state
/// no longer references is garbage only once those records are durable.
bool isUnreferenced(entry_number Number, collectable_entry &Entry,
                    const shard_owner &Owner) {
  if (Owner.State.LiveTurns.count(Number) != 0)
    return false;
  if (Entry.UnreferencedAfter == 0)
    Entry.UnreferencedAfter = lastSealed(Owner) + Owner.Pending.size();
  return Owner.Committed >= Entry.UnreferencedAfter;
}

void collectGarbage(instant Now, shard_owner &Owner, action_list &Actions) {
  refillWriteCredit(Now, Owner);
  const std::size_t Budget = deletionBudget(Owner);
  std::size_t Used = 0;
  while (Used < Budget && !Owner.OldSnapshots.empty()) {
    Actions.push_back(delete_object{Owner.Shard, Owner.OldSnapshots.back()});
    Owner.OldSnapshots.pop_back();
    ++Used;
  }
  auto Next = Owner.CollectableEntries.begin();
  while (Used < Budget && Next != Owner.CollectableEntries.end()) {
    auto &[Number, Entry] = *Next;
    if (Number > Owner.Snapshot ||
        Now.Steady - Entry.FirstSeenAt < Owner.Settings.CollectDelay)
      break;
    if (!isUnreferenced(Number, Entry, Owner)) {
      ++Next;
      continue;
    }
    Actions.push_back(
        delete_object{Owner.Shard, entryKey(Owner.Shard, Number)});
    Next = Owner.CollectableEntries.erase(Next);
    ++Used;
  }
  Owner.WriteCredit -= static_cast<double>(Used);
}

} // namespace

void beginRecovery(instant Now, shard_owner &Owner, action_list &Actions) {
  assert(Owner.Phase == owner_phase::Idle ||
         Owner.Phase == owner_phase::Recovered);
  Owner.Phase = owner_phase::Recovering;
  Owner.OwnershipVerifiedAt = Now.Steady;
  Actions.push_back(read_journal{Owner.Shard});
}

void onJournalRead(shard_state State, entry_number SnapshotNumber, instant Now,
                   shard_owner &Owner, action_list &Actions) {
  if (Owner.Phase != owner_phase::Recovering)
    return;
  clearVolatileState(Owner);
  Owner.State = std::move(State);
  Owner.Committed = Owner.State.LastEntry;
  Owner.Snapshot = SnapshotNumber;
  for (entry_number Number = SnapshotNumber + 1; Number <= Owner.Committed;
       ++Number)
    Owner.CollectableEntries.emplace(Number, collectable_entry{Now.Steady});
  for (const auto &[Number, Turns] : Owner.State.LiveTurns)
    Owner.CollectableEntries.emplace(Number, collectable_entry{Now.Steady});
  Owner.Phase = owner_phase::Recovered;
  Actions.push_back(report_phase{Owner.Shard});
}

void claimShard(instant Now, shard_owner &Owner, action_list &Actions) {
  assert(Owner.Phase == owner_phase::Recovered && !Owner.Sealed);
  Owner.Phase = owner_phase::Claiming;
  // A handover target that has not claimed the shard has not changed it, so the
  // handover is valid for any other claimant.
  const bool Clean = !Owner.State.HandedTo.empty();
  for (const auto &[Id, Program] : Owner.State.Programs) {
    if (!Clean && hasOpenIntent(Program))
      Owner.InDoubtPrograms.insert(Id);
  }
  appendRecord(shard_taken{Owner.Self, Clean}, Owner);
  Owner.WriteCredit = std::max(Owner.WriteCredit, 1.0);
  sealBatch(Now, Owner, Actions);
}

void handOver(const std::string &To, instant Now, shard_owner &Owner,
              action_list &Actions) {
  assert(Owner.Phase == owner_phase::Owning);
  std::vector<program_id> InFlight;
  for (const auto &[Program, Call] : Owner.Active) {
    if (Call.Stage == call_stage::Running ||
        Call.Stage == call_stage::AtFormerOwner)
      InFlight.push_back(Program);
  }
  appendRecord(shard_handed_over{Owner.Self, To, std::move(InFlight)}, Owner);
  Owner.Phase = owner_phase::HandingOver;
  Owner.Successor = To;
  Owner.WriteCredit = std::max(Owner.WriteCredit, 1.0);
  sealBatch(Now, Owner, Actions);
}

entry_number appendRecord(const journal_record &Record, shard_owner &Owner) {
  const std::size_t Bytes = estimateBytes(Record);
  if (Owner.Pending.empty() ||
      Owner.Pending.back().Bytes + Bytes > Owner.Settings.MaxBatchBytes)
    Owner.Pending.emplace_back();
  const entry_number Number = lastSealed(Owner) + Owner.Pending.size();
  applyRecord(Record, Number, Owner.State);
  Owner.Pending.back().Records.push_back(Record);
  Owner.Pending.back().Bytes += Bytes;
  return Number;
}

void afterCommit(action Deferred, shard_owner &Owner) {
  assert(!Owner.Pending.empty());
  Owner.Pending.back().AfterCommit.push_back(std::move(Deferred));
}

std::size_t uncommittedBytes(const shard_owner &Owner) {
  std::size_t Bytes = Owner.Sealed ? Owner.Sealed->Bytes.size() : 0;
  for (const journal_batch &Batch : Owner.Pending)
    Bytes += Batch.Bytes;
  return Bytes;
}

void sealBatch(instant Now, shard_owner &Owner, action_list &Actions) {
  refillWriteCredit(Now, Owner);
  if (Owner.Sealed || Owner.Pending.empty() || Owner.WriteCredit < 1)
    return;
  sealed_batch Sealed;
  Sealed.Number = Owner.Committed + 1;
  Sealed.Nonce = Owner.Random();
  Sealed.SealedAt = Now.Steady;
  Sealed.Batch = std::move(Owner.Pending.front());
  Owner.Pending.pop_front();
  Sealed.Bytes = encodeEntry({Owner.Shard, Sealed.Number, Owner.Self,
                              Sealed.Nonce, Sealed.Batch.Records});
  Owner.State.LastEntry = Sealed.Number;
  const bool IsLastBatch = Owner.Pending.empty();
  if (IsLastBatch &&
      Sealed.Number >= Owner.Snapshot + Owner.Settings.SnapshotInterval)
    Sealed.Snapshot = encodeSnapshot(Owner.State);
  Owner.WriteCredit -= Sealed.Snapshot.empty() ? 1 : 2;
  Owner.Sealed = std::move(Sealed);
  sendWrite(Owner, Actions);
}

void onWriteResult(entry_number Number, write_status Status, instant Now,
                   shard_owner &Owner, action_list &Actions) {
  if (!Owner.Sealed || Owner.Sealed->Number != Number)
    return;
  switch (Status) {
  case write_status::Created:
    confirmCommit(Now, Owner, Actions);
    return;
  case write_status::Exists:
    Actions.push_back(read_entry{Owner.Shard, Number});
    return;
  case write_status::Indeterminate:
    scheduleRetry(Now, *Owner.Sealed, Owner.Settings);
    return;
  }
}

namespace {

void onSealedEntryRead(const entry_read_result &Read, instant Now,
                       shard_owner &Owner, action_list &Actions) {
  if (Read.Status != read_status::Found) {
    scheduleRetry(Now, *Owner.Sealed, Owner.Settings);
    return;
  }
  const bool IsOwn = Read.Entry.Writer == Owner.Self &&
                     Read.Entry.Nonce == Owner.Sealed->Nonce;
  if (IsOwn)
    confirmCommit(Now, Owner, Actions);
  else
    loseOwnership(Read.Entry.Writer, Owner, Actions);
}

} // namespace

void onEntryRead(entry_number Number, const entry_read_result &Read,
                 instant Now, shard_owner &Owner, action_list &Actions) {
  if (Owner.Sealed && Owner.Sealed->Number == Number) {
    onSealedEntryRead(Read, Now, Owner, Actions);
    return;
  }
  if (Owner.LoadingEntries.erase(Number) == 0)
    return;
  if (Read.Status == read_status::Found)
    loadTexts(Read.Entry, Owner.State);
  retryHeldCalls(Now, Owner, Actions);
}

void verifyOwnership(instant Now, shard_owner &Owner, action_list &Actions) {
  if (Owner.Phase != owner_phase::Owning || Owner.OwnershipCheckPending ||
      Owner.Sealed)
    return;
  Owner.OwnershipCheckPending = true;
  Owner.OwnershipCheckStartedAt = Now.Steady;
  Owner.CoveredByCheck = Owner.UnverifiedAnswers.size();
  Actions.push_back(check_next_entry{Owner.Shard, Owner.Committed + 1,
                                     needsSnapshotCheck(Now, Owner)});
}

namespace {

bool isOwnEntry(const journal_entry &Entry, const shard_owner &Owner) {
  return Owner.Sealed && Owner.Sealed->Number == Entry.Number &&
         Owner.Sealed->Nonce == Entry.Nonce && Entry.Writer == Owner.Self;
}

void sendVerifiedAnswers(shard_owner &Owner, action_list &Actions) {
  const auto End = Owner.UnverifiedAnswers.begin() +
                   static_cast<std::ptrdiff_t>(Owner.CoveredByCheck);
  for (auto Next = Owner.UnverifiedAnswers.begin(); Next != End; ++Next)
    Actions.push_back(std::move(Next->Reply));
  Owner.UnverifiedAnswers.erase(Owner.UnverifiedAnswers.begin(), End);
  Owner.CoveredByCheck = 0;
}

} // namespace

void onOwnershipChecked(entry_number Number, const entry_read_result &Read,
                        instant Now, shard_owner &Owner, action_list &Actions) {
  if (!Owner.OwnershipCheckPending)
    return;
  Owner.OwnershipCheckPending = false;
  if (Owner.Phase != owner_phase::Owning || Read.Status == read_status::Failed)
    return;
  if (Read.Status == read_status::Found) {
    // An entry of this instance does not prove the ownership: it may have been
    // created in place of a deleted one. Its commit decides.
    const bool WrittenByOther =
        Number > Owner.Committed && !isOwnEntry(Read.Entry, Owner);
    if (WrittenByOther)
      loseOwnership(Read.Entry.Writer, Owner, Actions);
    return;
  }
  Owner.OwnershipVerifiedAt =
      std::max(Owner.OwnershipVerifiedAt, Owner.OwnershipCheckStartedAt);
  sendVerifiedAnswers(Owner, Actions);
  if (!Owner.UnverifiedAnswers.empty())
    verifyOwnership(Now, Owner, Actions);
}

void onSnapshotNumberRead(std::optional<entry_number> Number, instant Now,
                          shard_owner &Owner, action_list &Actions) {
  if (!Owner.Sealed)
    return;
  if (!Number) {
    scheduleRetry(Now, *Owner.Sealed, Owner.Settings);
    return;
  }
  if (*Number < Owner.Sealed->Number) {
    finishCommit(Now, Owner, Actions);
    return;
  }
  // Either the entry was created in place of a deleted one, or a later owner
  // has taken a snapshot since. It is not deleted, as the later owner may need
  // it.
  loseOwnership(std::string(), Owner, Actions);
}

void onSnapshotWritten(entry_number Number, shard_owner &Owner) {
  if (Number <= Owner.Snapshot)
    return;
  if (Owner.Snapshot != 0)
    Owner.OldSnapshots.push_back(snapshotKey(Owner.Shard, Owner.Snapshot));
  Owner.Snapshot = Number;
}

void onOwnerTick(instant Now, shard_owner &Owner, action_list &Actions) {
  if (Owner.Sealed && !Owner.Sealed->WritePending &&
      Now.Steady >= Owner.Sealed->RetryAt)
    sendWrite(Owner, Actions);
  onCallTick(Now, Owner, Actions);
  if (Owner.Phase != owner_phase::Owning)
    return;
  collectGarbage(Now, Owner, Actions);
  sealBatch(Now, Owner, Actions);
}

} // namespace lentilhoist
