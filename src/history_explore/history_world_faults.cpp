#include "history_explore/history_world.h"

#include <algorithm>

namespace lentilhoist {

namespace {

/// Time for the replica set to form before the first fault.
constexpr milliseconds FormingTime{3'000};
constexpr milliseconds FaultTime{16'000};
/// Time to heal before the last checks: takeovers and copies included.
constexpr milliseconds HealTime{8'000};

} // namespace

void history_world::scheduleFaults() {
  const int Count = 4 + static_cast<int>(Choice.below(9));
  for (int Index = 0; Index < Count; ++Index)
    Clock.after(FormingTime + Choice.between(microseconds(0), FaultTime),
                [this] { injectFault(); });
  Clock.after(FormingTime + FaultTime, [this] { healAll(); });
  Clock.after(FormingTime + FaultTime + HealTime, [this] { checkAtTheEnd(); });
}

/// One disk may be lost at a time: not before all members hold everything
/// again, and no successor still needs its predecessor.
bool history_world::mayLoseDisk() const {
  if (!Stored || !Stored->Established)
    return false;
  return std::all_of(Stored->Slots.begin(), Stored->Slots.end(),
                     [this](const replica_slot &Slot) {
                       const auto Index = indexOf(Slot.Address);
                       if (!Index || !Slot.Predecessor.empty())
                         return false;
                       const model_replica &Replica = Replicas[*Index];
                       return Replica.Present && Replica.Up &&
                              Replica.State.Complete;
                     });
}

void history_world::losePower(std::size_t Index, bool LoseDisk,
                              microseconds Down) {
  model_replica &Replica = Replicas[Index];
  if (!Replica.Present || !Replica.Up)
    return;
  stopReplica(Index);
  if (LoseDisk) {
    Replica.Synced.clear();
    Replica.FirstStart = false;
  }
  note(Replica.Name + (LoseDisk ? " loses its disk" : " loses power"));
  Clock.after(Down, [this, Index, Life = Replica.Life] {
    if (Replicas[Index].Present && Replicas[Index].Life == Life)
      startReplica(Index);
  });
}

void history_world::injectFault() {
  const std::size_t Index = Choice.below(Replicas.size());
  model_replica &Replica = Replicas[Index];
  const auto Time = Choice.between(milliseconds(300), milliseconds(6'000));
  switch (Choice.below(11)) {
  case 0:
    losePower(Index, false, Time);
    return;
  case 1: // All processes are killed at the same moment.
    for (std::size_t Other = 0; Other < Replicas.size(); ++Other)
      losePower(Other, false, Choice.between(milliseconds(200), seconds(1)));
    return;
  case 2:
  case 3:
    if (mayLoseDisk())
      losePower(Index, true, Choice.between(milliseconds(200), seconds(2)));
    return;
  case 4: // Gone for good; an empty one comes at another address.
    if (!mayLoseDisk() || !Replica.Present)
      return;
    stopReplica(Index);
    Replica.Present = false;
    note(Replica.Name + " is gone for good");
    Clock.after(Choice.between(milliseconds(0), seconds(3)),
                [this] { addReplica(false); });
    return;
  case 5:
    Replica.Cut = true;
    note(Replica.Name + " is cut off");
    Clock.after(Time, [this, Index] { Replicas[Index].Cut = false; });
    return;
  case 6:
    Replica.FrozenUntil = later(Clock.now(), Time);
    note(Replica.Name + " freezes");
    return;
  case 7:
    StoreDown = true;
    note("the store is away");
    Clock.after(Time, [this] { StoreDown = false; });
    return;
  case 8: {
    model_edge &Edge = Edges[Choice.below(Edges.size())];
    ++Edge.Life; // A new process knows nothing of before.
    Edge.Set = {};
    note(Edge.Name + " restarts");
    return;
  }
  case 9: {
    const std::size_t Cut = Choice.below(Edges.size());
    Edges[Cut].Cut = true;
    note(Edges[Cut].Name + " is cut off");
    Clock.after(Time, [this, Cut] { Edges[Cut].Cut = false; });
    return;
  }
  default:
    if (Replicas.size() < 6)
      addReplica(false);
    return;
  }
}

void history_world::healAll() {
  FaultsOn = false;
  StoreDown = false;
  for (std::size_t Index = 0; Index < Replicas.size(); ++Index) {
    Replicas[Index].Cut = false;
    Replicas[Index].FrozenUntil = Clock.now();
    if (Replicas[Index].Present && !Replicas[Index].Up)
      startReplica(Index);
  }
  for (std::size_t Index = 0; Index < Edges.size(); ++Index) {
    Edges[Index].Cut = false;
    if (Stored)
      adoptSet(Index, *Stored);
  }
  // Replicas go on deciding; the exploration ends behind the last checks.
  constexpr milliseconds LastChecks{11'000};
  Clock.after(HealTime + LastChecks, [this] {
    for (std::size_t Index = 0; Index < Replicas.size(); ++Index)
      if (Replicas[Index].Up)
        stopReplica(Index);
  });
}

} // namespace lentilhoist
