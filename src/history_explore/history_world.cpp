#include "history_explore/history_world.h"

#include <algorithm>

namespace lentilhoist {

namespace {

/// As in the daemon.
constexpr milliseconds MembershipInterval{300};
constexpr milliseconds TakeoverDelay{2'500};
constexpr std::size_t MemoryBytes = 64UL * 1024UL * 1024UL;

} // namespace

history_world::history_world(const history_explore_settings &Given)
    : Settings(Given), Choice(Given.Seed) {
  Limits.MaxBytes = MemoryBytes;
}

void history_world::note(const std::string &Text) {
  if (Settings.KeepSteps)
    Result.Steps.push_back(std::to_string(Clock.now().Steady.count() / 1'000) +
                           " ms: " + Text);
}

void history_world::breach(std::string Text) {
  note("BREACH " + Text);
  Result.Breaches.push_back(std::move(Text));
}

std::optional<std::size_t>
history_world::indexOf(const std::string &Address) const {
  for (std::size_t Index = 0; Index < Replicas.size(); ++Index)
    if (Replicas[Index].Name == Address)
      return Index;
  return std::nullopt;
}

void history_world::addReplica(bool FirstStart) {
  model_replica Replica;
  Replica.Name = "s" + std::to_string(Replicas.size());
  Replica.FirstStart = FirstStart;
  Replicas.push_back(std::move(Replica));
  startReplica(Replicas.size() - 1);
}

void history_world::startReplica(std::size_t Index) {
  model_replica &Replica = Replicas[Index];
  Replica.Up = true;
  ++Replica.Life;
  Replica.State = {};
  Replica.Set.reset();
  Replica.SetRevision = 0;
  Replica.WritingSet = false;
  Replica.Copy = {};
  Replica.LastHeard.clear();
  for (const replica_change &Change : Replica.Synced)
    applyChange(Replica.State, Change, 1, Limits, Clock.now());
  note(Replica.Name + " starts, complete " +
       std::to_string(Replica.State.Complete) + ", turns " +
       std::to_string(Replica.State.Turns.size()));
  scheduleDecide(Index, Replica.Life);
}

void history_world::stopReplica(std::size_t Index) {
  model_replica &Replica = Replicas[Index];
  Replica.Up = false;
  ++Replica.Life;
  Replica.Syncing = false;
  Replica.AfterSync.clear();
  // What was written and not synced survives up to the first missing record.
  const std::size_t Kept = Choice.below(Replica.Written.size() + 1);
  Replica.Synced.insert(Replica.Synced.end(), Replica.Written.begin(),
                        Replica.Written.begin() +
                            static_cast<std::ptrdiff_t>(Kept));
  Replica.Written.clear();
}

/// Runs an event on a replica, later if it is frozen, never if it has ended.
void history_world::onReplica(std::size_t Index, std::function<void()> Event) {
  model_replica &Replica = Replicas[Index];
  if (!Replica.Up)
    return;
  if (Replica.FrozenUntil.Steady <= Clock.now().Steady) {
    Event();
    return;
  }
  const auto Wait = Replica.FrozenUntil.Steady - Clock.now().Steady;
  Clock.after(Wait, [this, Index, Life = Replica.Life,
                     Event = std::move(Event)]() mutable {
    if (Replicas[Index].Life == Life)
      onReplica(Index, std::move(Event));
  });
}

void history_world::request(bool FromCut, const std::string &Address,
                            replica_request Request,
                            std::function<void(replica_reply)> OnReply) {
  const auto Index = indexOf(Address);
  if (!Index)
    return;
  const bool Lost = FaultsOn && Choice.chance(10);
  const auto Delay = Choice.between(microseconds(100), milliseconds(8));
  // Bytes that a partition holds up may arrive after it has healed.
  const bool Blocked = FromCut || Replicas[*Index].Cut;
  if (Lost || (Blocked && !Choice.chance(100)))
    return;
  const auto Extra =
      Blocked ? Choice.between(milliseconds(500), seconds(4)) : microseconds(0);
  Clock.after(Delay + Extra,
              [this, Index = *Index, Request = std::move(Request),
               OnReply = std::move(OnReply)]() mutable {
                onReplica(Index, [this, Index, Request = std::move(Request),
                                  OnReply = std::move(OnReply)]() mutable {
                  handle(Index, std::move(Request), std::move(OnReply));
                });
              });
}

void history_world::handle(std::size_t Index, replica_request Request,
                           std::function<void(replica_reply)> OnReply) {
  model_replica &Replica = Replicas[Index];
  if (Settings.Planted == planted_history_fault::OldSetAccepted)
    Request.SetVersion = std::max(Request.SetVersion, Replica.State.SetVersion);
  replica_outcome Outcome =
      handleRequest(Replica.State, Request, 1, Limits, Clock.now());
  std::function<void()> Answer = [this, Index, Reply = std::move(Outcome.Reply),
                                  OnReply = std::move(OnReply)] {
    if (Replicas[Index].Cut || (FaultsOn && Choice.chance(10)))
      return;
    Clock.after(Choice.between(microseconds(100), milliseconds(8)),
                [Reply, OnReply] { OnReply(Reply); });
  };
  if (Settings.Planted == planted_history_fault::NoSync) {
    Answer();
    Answer = nullptr;
  }
  persist(Index, std::move(Outcome.Changes), std::move(Answer));
}

void history_world::persist(std::size_t Index,
                            std::vector<replica_change> Changes,
                            std::function<void()> OnDone) {
  model_replica &Replica = Replicas[Index];
  if (Changes.empty()) {
    if (OnDone)
      OnDone();
    return;
  }
  Replica.Written.insert(Replica.Written.end(), Changes.begin(), Changes.end());
  if (OnDone)
    Replica.AfterSync.push_back(std::move(OnDone));
  if (!Replica.Syncing)
    syncReplica(Index);
}

void history_world::syncReplica(std::size_t Index) {
  model_replica &Replica = Replicas[Index];
  Replica.Syncing = true;
  const std::size_t Count = Replica.Written.size();
  Clock.after(Choice.between(milliseconds(1), milliseconds(6)),
              [this, Index, Life = Replica.Life, Count,
               Handlers = std::exchange(Replica.AfterSync, {})] {
                model_replica &Disk = Replicas[Index];
                if (Disk.Life != Life)
                  return;
                const auto End =
                    Disk.Written.begin() + static_cast<std::ptrdiff_t>(Count);
                Disk.Synced.insert(Disk.Synced.end(), Disk.Written.begin(),
                                   End);
                Disk.Written.erase(Disk.Written.begin(), End);
                Disk.Syncing = false;
                for (const auto &Handler : Handlers)
                  onReplica(Index, Handler);
                if (!Disk.Written.empty() && Disk.Life == Life && !Disk.Syncing)
                  syncReplica(Index);
              });
}

void history_world::scheduleDecide(std::size_t Index, std::uint64_t Life) {
  Clock.after(MembershipInterval, [this, Index, Life] {
    if (Replicas[Index].Life != Life)
      return;
    onReplica(Index, [this, Index] { decide(Index); });
    scheduleDecide(Index, Life);
  });
}

void history_world::takeSet(std::size_t Index) {
  model_replica &Replica = Replicas[Index];
  if (StoreDown || Replica.SetRevision == StoredRevision)
    return;
  Replica.Set = Stored;
  Replica.SetRevision = StoredRevision;
  if (!Stored->Established || Stored->Version <= Replica.State.SetVersion)
    return;
  replica_change Change;
  Change.Kind = change_kind::Set;
  Change.Set = *Stored;
  applyChange(Replica.State, Change, 1, Limits, Clock.now());
  persist(Index, {Change}, nullptr);
}

void history_world::decide(std::size_t Index) {
  takeSet(Index);
  model_replica &Replica = Replicas[Index];
  // An instance that has never reached the store can't know the set.
  if (!Replica.Set && StoreDown)
    return;
  if (Replica.WritingSet)
    return;
  if (!Replica.Set || !Replica.Set->find(Replica.Name)) {
    probe(Index);
    membership_view View;
    View.Node = View.Address = Replica.Name;
    View.Set = Replica.Set;
    View.FirstStart = Replica.FirstStart;
    if (Replica.Set)
      for (const replica_slot &Slot : Replica.Set->Slots) {
        const auto Heard = Replica.LastHeard.find(Slot.Address);
        View.Unreachable.push_back(Heard != Replica.LastHeard.end() &&
                                   Clock.now().Steady - Heard->second.Steady >
                                       TakeoverDelay);
      }
    act(Index, decideMembership(View));
    return;
  }
  if (!Replica.Set->Established)
    return;
  if (!Replica.State.Complete) {
    copy(Index);
    return;
  }
  if (const auto Next = withoutPredecessor(*Replica.Set, Replica.Name))
    writeSet(Index, *Next, false);
}

void history_world::probe(std::size_t Index) {
  model_replica &Replica = Replicas[Index];
  if (!Replica.Set || !Replica.Set->Established)
    return;
  for (const replica_slot &Slot : Replica.Set->Slots) {
    Replica.LastHeard.try_emplace(Slot.Address, Clock.now());
    request(Replica.Cut, Slot.Address, {},
            [this, Index, Life = Replica.Life,
             Address = Slot.Address](const replica_reply &) {
              if (Replicas[Index].Life == Life)
                Replicas[Index].LastHeard[Address] = Clock.now();
            });
  }
}

void history_world::act(std::size_t Index,
                        const membership_decision &Decision) {
  if (Decision.Step == membership_step::None)
    return;
  model_replica &Replica = Replicas[Index];
  Replica.WritingSet = true;
  replica_change Change;
  Change.Kind = Decision.Step == membership_step::TakeOver
                    ? change_kind::Incomplete
                    : change_kind::Complete;
  applyChange(Replica.State, Change, 1, Limits, Clock.now());
  persist(Index, {Change}, [this, Index, Decision] {
    Replicas[Index].WritingSet = false;
    writeSet(Index, Decision.Set, Decision.Step == membership_step::CreateSet);
    if (Decision.Step == membership_step::TakeOver)
      ++Result.Takeovers;
  });
}

void history_world::writeSet(std::size_t Index, const replica_set &Next,
                             bool Create) {
  model_replica &Replica = Replicas[Index];
  Replica.WritingSet = true;
  const std::uint64_t Revision = Create ? 0 : Replica.SetRevision;
  const std::uint64_t Life = Replica.Life;
  Clock.after(Choice.between(milliseconds(1), milliseconds(30)),
              [this, Index, Next, Revision, Life] {
                // The answer may be lost although the change was made.
                if (!StoreDown && StoredRevision == Revision) {
                  Stored = Next;
                  ++StoredRevision;
                  note("set " + encodeReplicaSet(Next));
                }
                if (Replicas[Index].Life == Life)
                  Replicas[Index].WritingSet = false;
              });
}

void history_world::copy(std::size_t Index) {
  model_replica &Replica = Replicas[Index];
  restartIfSetChanged(Replica.Copy, *Replica.Set);
  for (const std::string &Source :
       claimCopySources(Replica.Copy, *Replica.Set, Replica.Name)) {
    copyFrom(Index, Source, 0, 0);
    // A lost question is asked again, as a link does.
    Clock.after(seconds(1), [this, Index, Life = Replica.Life, Source,
                             Version = Replica.Copy.Version] {
      copy_progress &Copy = Replicas[Index].Copy;
      if (Replicas[Index].Life == Life && Copy.Version == Version)
        Copy.InProgress.erase(Source);
    });
  }
}

void history_world::copyFrom(std::size_t Index, const std::string &Source,
                             std::uint64_t Cursor, std::uint64_t Target) {
  model_replica &Replica = Replicas[Index];
  replica_request Request;
  Request.Operation = replica_operation::Copy;
  Request.SetVersion = Replica.Set->Version;
  Request.Cursor = Cursor;
  Request.Set.push_back(*Replica.Set);
  request(Replica.Cut, Source, std::move(Request),
          [this, Index, Source, Target, Life = Replica.Life,
           Version = Replica.Copy.Version](const replica_reply &Reply) {
            model_replica &Self = Replicas[Index];
            if (Self.Life != Life || Self.Copy.Version != Version ||
                Self.Set->Version != Version ||
                Reply.Status != replica_status::Done)
              return;
            const std::uint64_t End = Target == 0 ? Reply.Head : Target;
            auto Changes =
                applyCopyBatch(Self.State, Reply, 1, Limits, Clock.now());
            persist(
                Index, std::move(Changes),
                [this, Index, Source, End, Life, Version, At = Reply.Cursor] {
                  model_replica &Copier = Replicas[Index];
                  if (Copier.Life != Life || Copier.Copy.Version != Version ||
                      Copier.State.Complete)
                    return;
                  if (At < End) {
                    copyFrom(Index, Source, At, End);
                    return;
                  }
                  Copier.Copy.Copied.insert(Source);
                  const bool Enough =
                      Settings.Planted == planted_history_fault::OneSource ||
                      isCopyComplete(Copier.Copy, *Copier.Set, Copier.Name);
                  if (!Enough)
                    return;
                  replica_change Change;
                  Change.Kind = change_kind::Complete;
                  applyChange(Copier.State, Change, 1, Limits, Clock.now());
                  persist(Index, {Change}, nullptr);
                  ++Result.Copies;
                  note(Copier.Name + " is complete, set " +
                       std::to_string(Version));
                });
          });
}

history_explore_result history_world::run() {
  constexpr std::size_t EdgeCount = 3;
  constexpr std::size_t ProgramCount = 4;
  constexpr std::uint64_t Budget = 600;
  for (int Index = 0; Index < 3; ++Index)
    addReplica(true);
  if (Choice.chance(400))
    addReplica(Choice.chance(500));
  for (std::size_t Index = 0; Index < EdgeCount; ++Index) {
    model_edge Edge;
    Edge.Name = "e" + std::to_string(Index);
    Edges.push_back(Edge);
  }
  for (std::size_t Index = 0; Index < ProgramCount; ++Index) {
    model_budget Program;
    Program.Name = "p" + std::to_string(Index);
    Program.Budget = Budget + Choice.below(Budget * 4);
    Programs.push_back(Program);
  }
  refreshEdges();
  scheduleTurn();
  scheduleFaults();
  while (Result.Breaches.empty() && Clock.step())
    ++Result.Events;
  return std::move(Result);
}

history_explore_result
exploreHistory(const history_explore_settings &Settings) {
  return history_world(Settings).run();
}

} // namespace lentilhoist
