#include "history_explore/history_world.h"

#include <algorithm>

namespace lentilhoist {

namespace {

/// As in the daemon.
constexpr milliseconds MembershipInterval{300};
constexpr milliseconds TakeoverDelay{2'500};
constexpr milliseconds ConflictTime{5'000};
constexpr milliseconds StoreTimeout{2'000};
/// Time from a change in the store to its arrival at those that watch it.
constexpr milliseconds MinWatchDelay{1};
constexpr milliseconds MaxWatchDelay{60};
/// Machines start within this time of each other.
constexpr milliseconds StartSpan{300};
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
  Replica.Up = false;
  Replicas.push_back(std::move(Replica));
  const std::size_t Index = Replicas.size() - 1;
  Clock.after(Choice.between(microseconds(0), StartSpan), [this, Index] {
    if (Replicas[Index].Present && Replicas[Index].Life == 0)
      startReplica(Index);
  });
}

void history_world::startReplica(std::size_t Index) {
  model_replica &Replica = Replicas[Index];
  Replica.Up = true;
  ++Replica.Life;
  Replica.State = {};
  Replica.Set.reset();
  Replica.State.Address = ignoresReplicas(Replica) ? "" : Replica.Name;
  Replica.Change =
      std::make_unique<membership_change>(changeEnvironment(Index));
  Replica.Copy = {};
  Replica.LastHeard.clear();
  for (const replica_change &Change : Replica.Synced)
    applyChange(Replica.State, Change, 1, Limits, Clock.now());
  Replica.ConflictTimeout = later(Clock.now(), ConflictTime);
  note(Replica.Name + " starts, complete " +
       std::to_string(Replica.State.Complete) + ", turns " +
       std::to_string(Replica.State.Turns.size()));
  watchSet(Index);
  scheduleDecide(Index, Replica.Life);
}

/// Lets a replica read the stored set, as its watch reports it.
void history_world::watchSet(std::size_t Index) {
  Clock.after(Choice.between(MinWatchDelay, MaxWatchDelay),
              [this, Index, Life = Replicas[Index].Life] {
                if (Replicas[Index].Life == Life)
                  onReplica(Index, [this, Index] { decide(Index); });
              });
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
  if (ignoresReplicas(Replica))
    Request.SetReplicas = 0;
  replica_outcome Outcome =
      handleRequest(Replica.State, Request, 1, Limits, Clock.now());
  if (ignoresConflicts(Replica))
    Replica.State.Conflicting.reset();
  if (ignoresReplicas(Replica))
    Outcome.Reply.SetReplicas = 0;
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
  // A disk may hang.
  const auto Time = Choice.chance(20)
                        ? Choice.between(milliseconds(20), milliseconds(900))
                        : Choice.between(milliseconds(1), milliseconds(6));
  Clock.after(Time, [this, Index, Life = Replica.Life, Count,
                     Handlers = std::exchange(Replica.AfterSync, {})] {
    model_replica &Disk = Replicas[Index];
    if (Disk.Life != Life)
      return;
    const auto End = Disk.Written.begin() + static_cast<std::ptrdiff_t>(Count);
    Disk.Synced.insert(Disk.Synced.end(), Disk.Written.begin(), End);
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
  if (StoreDown || !Stored ||
      (Replica.Set && Replica.Set->Revision == Stored->Revision))
    return;
  Replica.Set = Stored;
  if (!Stored->Established || !isNews(Replica.State, *Stored))
    return;
  replica_change Change;
  Change.Kind = change_kind::Set;
  Change.Set = *Stored;
  applyChange(Replica.State, Change, 1, Limits, Clock.now());
  if (ignoresConflicts(Replica))
    Replica.State.Conflicting.reset();
  if (Replica.State.Conflicting)
    Replica.ConflictTimeout = later(Clock.now(), ConflictTime);
  persist(Index, {Change}, nullptr);
}

void history_world::decide(std::size_t Index) {
  takeSet(Index);
  model_replica &Replica = Replicas[Index];
  // An instance that has never reached the store can't know the set.
  if (!Replica.Set && StoreDown)
    return;
  if (!Replica.Set || !Replica.Set->find(Replica.Name)) {
    if (Replica.Change->busy())
      return;
    probe(Index);
    Replica.ChangedSet = Replica.Set;
    Replica.Change->begin(decideMembership(viewOf(Index)));
    return;
  }
  if (Replica.Set->Established)
    continueAsMember(Index);
}

void history_world::continueAsMember(std::size_t Index) {
  model_replica &Replica = Replicas[Index];
  const bool Unresolved = Replica.State.Conflicting &&
                          Replica.ConflictTimeout.Steady <= Clock.now().Steady;
  if (Unresolved && !Replica.Change->busy())
    Replica.Change->write(withNewVersion(*Replica.Set));
  if (!Replica.State.Complete) {
    copy(Index);
    return;
  }
  const auto Next = withoutPredecessor(*Replica.Set, Replica.Name);
  if (Next && !Replica.Change->busy())
    Replica.Change->write(*Next);
}

bool history_world::ignoresConflicts(const model_replica &Replica) const {
  return Replica.OlderBuild ||
         Settings.Planted == planted_history_fault::IgnoredConflict;
}

/// \returns whether a replica answers senders whatever set they use.
bool history_world::ignoresReplicas(const model_replica &Replica) const {
  return ignoresConflicts(Replica) ||
         Settings.Planted == planted_history_fault::OldSetAccepted;
}

bool history_world::writesLate(const model_replica &Replica) const {
  return Replica.OlderBuild ||
         Settings.Planted == planted_history_fault::LateRevision;
}

membership_view history_world::viewOf(std::size_t Index) const {
  const model_replica &Replica = Replicas[Index];
  membership_view View;
  View.Node = View.Address = Replica.Name;
  View.Set = Replica.Set;
  View.FirstStart = Replica.FirstStart;
  View.Conflicting = Replica.State.Conflicting;
  if (Replica.Set)
    for (const replica_slot &Slot : Replica.Set->Slots) {
      const auto Heard = Replica.LastHeard.find(Slot.Address);
      View.Unreachable.push_back(Heard != Replica.LastHeard.end() &&
                                 Clock.now().Steady - Heard->second.Steady >
                                     TakeoverDelay);
    }
  return View;
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

membership_change::environment
history_world::changeEnvironment(std::size_t Index) {
  membership_change::environment Environment;
  Environment.Persist = [this, Index](const replica_change &Marker,
                                      membership_change::on_durable OnDone) {
    applyChange(Replicas[Index].State, Marker, 1, Limits, Clock.now());
    persist(Index, {Marker}, [OnDone = std::move(OnDone)] { OnDone(true); });
  };
  Environment.Write = [this, Index](const replica_set &Next, bool Create,
                                    const std::function<void()> &OnDone) {
    writeSet(Index, Next, Create, OnDone);
  };
  Environment.Known = [this, Index]() -> const std::optional<replica_set> & {
    const model_replica &Replica = Replicas[Index];
    return writesLate(Replica) ? Replica.ChangedSet : Replica.Set;
  };
  Environment.OnDropped = [this](const replica_set &Next) {
    note("a change of revision " + std::to_string(Next.Revision) +
         " is dropped");
  };
  return Environment;
}

void history_world::writeSet(std::size_t Index, replica_set Next, bool Create,
                             const std::function<void()> &OnDone) {
  if (!Create && writesLate(Replicas[Index]))
    Next.Revision = Replicas[Index].Set->Revision;
  // The store may hold a call back; it is executed although its sender has
  // given up.
  const auto Time = Choice.chance(30)
                        ? Choice.between(milliseconds(100), seconds(4))
                        : Choice.between(milliseconds(1), milliseconds(30));
  Clock.after(Time, [this, Next, Create] {
    const bool Holds = Create ? !Stored : Stored->Revision == Next.Revision;
    if (!StoreDown && Holds)
      storeSet(Next);
  });
  Clock.after(std::min<microseconds>(Time, StoreTimeout),
              [this, Index, OnDone, Life = Replicas[Index].Life] {
                if (Replicas[Index].Life != Life)
                  return;
                onReplica(Index, [this, Index, OnDone] {
                  OnDone();
                  decide(Index);
                });
              });
}

void history_world::storeSet(const replica_set &Next) {
  const std::uint64_t Revision = Stored ? Stored->Revision + 1 : 1;
  if (Stored && Stored->Established && Next.Version > Stored->Version)
    ++Result.Takeovers;
  Stored = Next;
  Stored->Revision = Revision;
  note("set, revision " + std::to_string(Revision) + " " +
       encodeReplicaSet(Next));
  std::set<std::string> Members;
  for (const replica_slot &Slot : Next.Slots)
    Members.insert(Slot.Address);
  const auto Known = Memberships.emplace(Next.Version, Members).first;
  if (Known->second != Members && Settings.OlderBuild)
    ++Result.Conflicts;
  else if (Known->second != Members)
    breach("version " + std::to_string(Next.Version) +
           " of the replica set was stored with other members");
  for (std::size_t Index = 0; Index < Replicas.size(); ++Index)
    if (Replicas[Index].Up)
      watchSet(Index);
  for (std::size_t Index = 0; Index < Edges.size(); ++Index)
    if (!Choice.chance(300))
      Clock.after(Choice.between(MinWatchDelay, MaxWatchDelay),
                  [this, Index, Set = *Stored] {
                    if (!StoreDown)
                      adoptSet(Index, Set);
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
                             Restart = Replica.Copy.Restarts] {
      copy_progress &Copy = Replicas[Index].Copy;
      if (Replicas[Index].Life == Life && Copy.Restarts == Restart)
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
           Restart = Replica.Copy.Restarts](const replica_reply &Reply) {
            model_replica &Self = Replicas[Index];
            if (Self.Life != Life || Self.Copy.Restarts != Restart ||
                Self.Set->Version != Self.Copy.Version ||
                Reply.Status != replica_status::Done)
              return;
            const std::uint64_t End = Target == 0 ? Reply.Head : Target;
            auto Changes =
                applyCopyBatch(Self.State, Reply, 1, Limits, Clock.now());
            persist(
                Index, std::move(Changes),
                [this, Index, Source, End, Life, Restart, At = Reply.Cursor] {
                  model_replica &Copier = Replicas[Index];
                  if (Copier.Life != Life || Copier.Copy.Restarts != Restart ||
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
                       std::to_string(Copier.Copy.Version));
                });
          });
}

history_explore_result history_world::run() {
  constexpr std::size_t EdgeCount = 3;
  constexpr std::size_t ProgramCount = 4;
  constexpr std::uint64_t Budget = 600;
  for (int Index = 0; Index < 3; ++Index)
    addReplica(true);
  // More machines than slots may start at once.
  for (int Index = 0; Index < 3; ++Index)
    if (Choice.chance(250))
      addReplica(Choice.chance(700));
  if (Settings.OlderBuild)
    Replicas[Choice.below(Replicas.size())].OlderBuild = true;
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
