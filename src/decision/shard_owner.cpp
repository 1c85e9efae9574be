#include "decision/shard_owner.h"

#include "decision/call_flow.h"
#include "decision/call_steps.h"

#include <algorithm>
#include <cassert>

namespace lentilhoist {

namespace {

/// Estimated stored size of a record without its texts.
constexpr std::size_t RecordOverheadBytes = 192;

std::size_t estimateBytes(const journal_record &Record) {
  if (const auto *Done = std::get_if<call_completed>(&Record))
    return RecordOverheadBytes + Done->Request.size() + Done->Response.size();
  if (const auto *Known = std::get_if<outcome_resolved>(&Record))
    return RecordOverheadBytes + Known->Request.size() + Known->Response.size();
  if (const auto *Intent = std::get_if<call_intended>(&Record))
    return RecordOverheadBytes + Intent->Request.size();
  return RecordOverheadBytes;
}

entry_number lastSealed(const shard_owner &Owner) {
  return Owner.Sealed ? Owner.Sealed->Number : Owner.Committed;
}

/// A deleted entry could be created again. None is deleted before it is
/// CollectDelay old, so a writer that was last proven the owner less than half
/// of that ago can't have met a deleted one.
/// A claimant may have read the journal between a snapshot and the deletions
/// that it allowed, so it always checks.
bool needsHorizonCheck(instant Now, const shard_owner &Owner) {
  return Owner.Phase == owner_phase::Claiming ||
         Now.Steady - Owner.ProvenAt >= Owner.Settings.CollectDelay / 2;
}

void scheduleRetry(instant Now, sealed_batch &Sealed,
                   const owner_settings &Settings) {
  Sealed.Waiting = false;
  Sealed.RetryDelay = std::clamp(Sealed.RetryDelay * 2, Settings.WriteRetryMin,
                                 Settings.WriteRetryMax);
  Sealed.RetryAt = Now.Steady + Sealed.RetryDelay;
}

void sendWrite(shard_owner &Owner, action_list &Actions) {
  sealed_batch &Sealed = *Owner.Sealed;
  Sealed.Waiting = true;
  Actions.push_back(write_entry{Owner.Shard, Sealed.Number, Sealed.Bytes});
}

void clearVolatile(shard_owner &Owner) {
  Owner.Pending.clear();
  Owner.Sealed.reset();
  Owner.Held.clear();
  Owner.Grants.clear();
  Owner.Loading.clear();
  Owner.Unproven.clear();
  Owner.CoveredByLook = 0;
  Owner.Looking = false;
  Owner.HeldOutcomes.clear();
  Owner.Collectable.clear();
  Owner.OldSnapshots.clear();
  Owner.Doubtful.clear();
}

/// Answers those who waited for records that will not become durable here.
void refuseAfterCommit(const action_list &AfterCommit, shard_owner &Owner,
                       action_list &Actions) {
  for (const action &Then : AfterCommit) {
    const auto *Answer = std::get_if<answer_caller>(&Then);
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
  for (const unproven_answer &Answer : Owner.Unproven)
    answer(Answer.Told.Ticket, makeNotOwnerAnswer(Owner), Actions);
  for (const held_outcome &Outcome : Owner.HeldOutcomes)
    answer(Outcome.Ticket, makeNotOwnerAnswer(Owner), Actions);
}

/// Gives up a shard that another instance has taken.
void depose(const std::string &NewOwner, shard_owner &Owner,
            action_list &Actions) {
  const bool Claiming = Owner.Phase == owner_phase::Claiming;
  Owner.Phase = owner_phase::Idle;
  Owner.Successor = NewOwner;
  refuseUncommitted(Owner, Actions);
  if (!Claiming)
    releaseCalls(false, Owner, Actions);
  clearVolatile(Owner);
  Owner.State = shard_state();
  Owner.State.Shard = Owner.Shard;
  Actions.push_back(report_phase{Owner.Shard});
}

void enterOwning(const journal_batch &Batch, instant Now, shard_owner &Owner,
                 action_list &Actions) {
  const auto &Taken = std::get<shard_taken>(Batch.Records.front());
  Owner.Phase = owner_phase::Owning;
  Actions.push_back(report_phase{Owner.Shard});
  resumeAfterTakeover(Taken.Clean, Now, Owner, Actions);
}

void leaveOwning(shard_owner &Owner, action_list &Actions) {
  Owner.Phase = owner_phase::Idle;
  refuseUncommitted(Owner, Actions);
  releaseCalls(true, Owner, Actions);
  clearVolatile(Owner);
  Owner.State = shard_state();
  Owner.State.Shard = Owner.Shard;
  Actions.push_back(report_phase{Owner.Shard});
}

void finishCommit(instant Now, shard_owner &Owner, action_list &Actions) {
  sealed_batch Done = std::move(*Owner.Sealed);
  Owner.Sealed.reset();
  Owner.Committed = Done.Number;
  Owner.ProvenAt = Done.SealedAt;
  Owner.Collectable.emplace(Done.Number, seen_entry{Now.Steady});
  std::move(Done.Batch.AfterCommit.begin(), Done.Batch.AfterCommit.end(),
            std::back_inserter(Actions));
  if (!Done.Snapshot.empty())
    Actions.push_back(
        write_snapshot{Owner.Shard, Done.Number, std::move(Done.Snapshot)});
  if (Owner.Phase == owner_phase::Claiming)
    enterOwning(Done.Batch, Now, Owner, Actions);
  onCommitted(Done.Batch, Done.Number, Now, Owner, Actions);
  if (Owner.Phase == owner_phase::HandingOver && Owner.Pending.empty())
    leaveOwning(Owner, Actions);
  sealBatch(Now, Owner, Actions);
  if (!Owner.Unproven.empty())
    verifyOwnership(Now, Owner, Actions);
}

void confirmCommit(instant Now, shard_owner &Owner, action_list &Actions) {
  if (needsHorizonCheck(Now, Owner)) {
    Actions.push_back(read_snapshot_number{Owner.Shard});
    return;
  }
  finishCommit(Now, Owner, Actions);
}

/// Tops up the shard's share of the fleet's write budget.
void refillWriteCredit(instant Now, shard_owner &Owner) {
  const double Elapsed =
      std::chrono::duration<double>(Now.Steady - Owner.CreditAt).count();
  Owner.CreditAt = Now.Steady;
  Owner.WriteCredit =
      std::min(Owner.WriteCredit + Elapsed * Owner.Settings.WritesPerSecond,
               Owner.Settings.WriteBurst);
}

/// Deletes only with what the budget leaves over half of the burst, so that
/// commits go first.
std::size_t deleteBudget(const shard_owner &Owner) {
  const double Spare = Owner.WriteCredit - Owner.Settings.WriteBurst / 2;
  return std::min(Owner.Settings.DeletesPerTick,
                  static_cast<std::size_t>(std::max(Spare, 0.0)));
}

/// The state runs ahead of what is durable, so an entry that it does not need
/// is dead only once all that it has applied is durable.
bool isDead(entry_number Number, seen_entry &Entry, const shard_owner &Owner) {
  if (Owner.State.LiveTurns.count(Number) != 0)
    return false;
  if (Entry.DeadSince == 0)
    Entry.DeadSince = lastSealed(Owner) + Owner.Pending.size();
  return Owner.Committed >= Entry.DeadSince;
}

void collectObjects(instant Now, shard_owner &Owner, action_list &Actions) {
  refillWriteCredit(Now, Owner);
  const std::size_t Budget = deleteBudget(Owner);
  std::size_t Used = 0;
  while (Used < Budget && !Owner.OldSnapshots.empty()) {
    Actions.push_back(delete_object{Owner.Shard, Owner.OldSnapshots.back()});
    Owner.OldSnapshots.pop_back();
    ++Used;
  }
  auto Next = Owner.Collectable.begin();
  while (Used < Budget && Next != Owner.Collectable.end()) {
    auto &[Number, Entry] = *Next;
    if (Number > Owner.Snapshot ||
        Now.Steady - Entry.SeenAt < Owner.Settings.CollectDelay)
      break;
    if (!isDead(Number, Entry, Owner)) {
      ++Next;
      continue;
    }
    Actions.push_back(
        delete_object{Owner.Shard, entryKey(Owner.Shard, Number)});
    Next = Owner.Collectable.erase(Next);
    ++Used;
  }
  Owner.WriteCredit -= static_cast<double>(Used);
}

} // namespace

void beginRecovery(instant Now, shard_owner &Owner, action_list &Actions) {
  assert(Owner.Phase == owner_phase::Idle ||
         Owner.Phase == owner_phase::Recovered);
  Owner.Phase = owner_phase::Recovering;
  Owner.ProvenAt = Now.Steady;
  Actions.push_back(read_journal{Owner.Shard});
}

void onJournalRead(shard_state State, entry_number SnapshotNumber, instant Now,
                   shard_owner &Owner, action_list &Actions) {
  if (Owner.Phase != owner_phase::Recovering)
    return;
  clearVolatile(Owner);
  Owner.State = std::move(State);
  Owner.Committed = Owner.State.LastEntry;
  Owner.Snapshot = SnapshotNumber;
  for (entry_number Number = SnapshotNumber + 1; Number <= Owner.Committed;
       ++Number)
    Owner.Collectable.emplace(Number, seen_entry{Now.Steady});
  for (const auto &[Number, Turns] : Owner.State.LiveTurns)
    Owner.Collectable.emplace(Number, seen_entry{Now.Steady});
  Owner.Phase = owner_phase::Recovered;
  Actions.push_back(report_phase{Owner.Shard});
}

void claimShard(instant Now, shard_owner &Owner, action_list &Actions) {
  assert(Owner.Phase == owner_phase::Recovered && !Owner.Sealed);
  Owner.Phase = owner_phase::Claiming;
  // A named successor that never claimed the shard changed nothing, so the
  // handover is as good for any other claimant.
  const bool Clean = !Owner.State.HandedTo.empty();
  for (const auto &[Id, Program] : Owner.State.Programs) {
    if (!Clean && hasOpenIntent(Program))
      Owner.Doubtful.insert(Id);
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
    if (Call.Stage == call_stage::Running || Call.Stage == call_stage::Remote)
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

void afterCommit(action Then, shard_owner &Owner) {
  assert(!Owner.Pending.empty());
  Owner.Pending.back().AfterCommit.push_back(std::move(Then));
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
  const bool StateEndsHere = Owner.Pending.empty();
  if (StateEndsHere &&
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
  case write_status::Unclear:
    scheduleRetry(Now, *Owner.Sealed, Owner.Settings);
    return;
  }
}

namespace {

void onSealedEntryRead(const entry_read &Read, instant Now, shard_owner &Owner,
                       action_list &Actions) {
  if (Read.Status != read_status::Found) {
    scheduleRetry(Now, *Owner.Sealed, Owner.Settings);
    return;
  }
  const bool Ours = Read.Entry.Writer == Owner.Self &&
                    Read.Entry.Nonce == Owner.Sealed->Nonce;
  if (Ours)
    confirmCommit(Now, Owner, Actions);
  else
    depose(Read.Entry.Writer, Owner, Actions);
}

} // namespace

void onEntryRead(entry_number Number, const entry_read &Read, instant Now,
                 shard_owner &Owner, action_list &Actions) {
  if (Owner.Sealed && Owner.Sealed->Number == Number) {
    onSealedEntryRead(Read, Now, Owner, Actions);
    return;
  }
  if (Owner.Loading.erase(Number) == 0)
    return;
  if (Read.Status == read_status::Found)
    loadTexts(Read.Entry, Owner.State);
  retryHeldCalls(Now, Owner, Actions);
}

void verifyOwnership(instant Now, shard_owner &Owner, action_list &Actions) {
  if (Owner.Phase != owner_phase::Owning || Owner.Looking || Owner.Sealed)
    return;
  Owner.Looking = true;
  Owner.LookedAt = Now.Steady;
  Owner.CoveredByLook = Owner.Unproven.size();
  Actions.push_back(check_next_entry{Owner.Shard, Owner.Committed + 1,
                                     needsHorizonCheck(Now, Owner)});
}

namespace {

bool isOwnEntry(const journal_entry &Entry, const shard_owner &Owner) {
  return Owner.Sealed && Owner.Sealed->Number == Entry.Number &&
         Owner.Sealed->Nonce == Entry.Nonce && Entry.Writer == Owner.Self;
}

void answerCovered(shard_owner &Owner, action_list &Actions) {
  const auto End =
      Owner.Unproven.begin() + static_cast<std::ptrdiff_t>(Owner.CoveredByLook);
  for (auto Next = Owner.Unproven.begin(); Next != End; ++Next)
    Actions.push_back(std::move(Next->Told));
  Owner.Unproven.erase(Owner.Unproven.begin(), End);
  Owner.CoveredByLook = 0;
}

} // namespace

void onLookedAhead(entry_number Number, const entry_read &Read, instant Now,
                   shard_owner &Owner, action_list &Actions) {
  if (!Owner.Looking)
    return;
  Owner.Looking = false;
  if (Owner.Phase != owner_phase::Owning || Read.Status == read_status::Failed)
    return;
  if (Read.Status == read_status::Found) {
    // An own entry proves nothing: it may be a deleted one created anew. Its
    // commit will tell.
    const bool Foreign =
        Number > Owner.Committed && !isOwnEntry(Read.Entry, Owner);
    if (Foreign)
      depose(Read.Entry.Writer, Owner, Actions);
    return;
  }
  Owner.ProvenAt = std::max(Owner.ProvenAt, Owner.LookedAt);
  answerCovered(Owner, Actions);
  if (!Owner.Unproven.empty())
    verifyOwnership(Now, Owner, Actions);
}

void onHorizonRead(std::optional<entry_number> Number, instant Now,
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
  // Either the entry had been deleted and was created anew, or a successor has
  // taken a snapshot since. The entry stays, as the successor may need it.
  depose(std::string(), Owner, Actions);
}

void onSnapshotWritten(entry_number Number, shard_owner &Owner) {
  if (Number <= Owner.Snapshot)
    return;
  if (Owner.Snapshot != 0)
    Owner.OldSnapshots.push_back(snapshotKey(Owner.Shard, Owner.Snapshot));
  Owner.Snapshot = Number;
}

void onOwnerTick(instant Now, shard_owner &Owner, action_list &Actions) {
  if (Owner.Sealed && !Owner.Sealed->Waiting &&
      Now.Steady >= Owner.Sealed->RetryAt)
    sendWrite(Owner, Actions);
  onCallTick(Now, Owner, Actions);
  if (Owner.Phase != owner_phase::Owning)
    return;
  collectObjects(Now, Owner, Actions);
  sealBatch(Now, Owner, Actions);
}

} // namespace lentilhoist
