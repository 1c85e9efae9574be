#include "explore/world.h"

#include "decision/call_flow.h"
#include "decision/shard_placement.h"

#include <algorithm>
#include <fmt/format.h>

namespace lentilhoist {

namespace {

constexpr std::size_t InstanceCount = 3;
constexpr milliseconds TickInterval{100};
constexpr milliseconds BeliefInterval{400};
constexpr seconds FaultTime{25};
constexpr seconds HealTime{45};
constexpr milliseconds SweepInterval{2'000};

/// Short times, so that a virtual minute meets every path.
owner_settings smallSettings() {
  owner_settings Settings;
  Settings.SendWindow = milliseconds(800);
  Settings.CommitTimeout = milliseconds(900);
  Settings.CallTimeout = seconds(6);
  Settings.ServiceTimeout = seconds(3);
  Settings.FormerOwnerTimeout = seconds(5);
  Settings.AttemptGracePeriod = milliseconds(500);
  Settings.SnapshotInterval = 4;
  Settings.MaxTextBytes = 100;
  Settings.CollectDelay = seconds(4);
  Settings.Retention = seconds(300);
  Settings.DefaultMaxTokens = 40;
  Settings.NewPromptTokens = 60;
  Settings.CallsReservedAhead = 2;
  return Settings;
}

} // namespace

world::world(const explore_settings &Given)
    : Settings(Given), Choice(Given.Seed) {
  Store.Truth.Shard = 0;
  ServiceKnowsKeys = Choice.chance(500);
  FaultsEnd = FaultTime;
  for (std::size_t Index = 0; Index < InstanceCount; ++Index) {
    model_instance Instance;
    Instance.Name = fmt::format("i{}", Index);
    Instances.push_back(std::move(Instance));
  }
  makePrograms();
}

void world::note(const std::string &Text) {
  if (Settings.KeepSteps)
    Result.Steps.push_back(fmt::format(
        "{:>9.3f} {}",
        std::chrono::duration<double>(Clock.now().Steady).count(), Text));
}

void world::breach(std::string Text) {
  note("BREACH " + Text);
  Result.Breaches.push_back(std::move(Text));
}

std::size_t world::indexOf(const std::string &Name) const {
  for (std::size_t Index = 0; Index < Instances.size(); ++Index) {
    if (Instances[Index].Name == Name)
      return Index;
  }
  return Instances.size();
}

void world::startInstance(std::size_t Index) {
  model_instance &Instance = Instances[Index];
  ++Instance.Life;
  Instance.Up = true;
  Instance.Paused = false;
  Instance.Deferred.clear();
  Instance.Owner = shard_owner();
  Instance.Owner.Self = Instance.Name;
  Instance.Owner.Settings = smallSettings();
  Instance.Owner.Random.seed(Choice.seed());
  note(Instance.Name + " starts");
  const std::uint64_t Life = Instance.Life;
  Clock.after(Choice.between(milliseconds(1), TickInterval),
              [this, Index, Life] { tickInstance(Index, Life); });
}

void world::onInstance(std::size_t Index, std::function<void()> Event) {
  model_instance &Instance = Instances[Index];
  if (!Instance.Up)
    return;
  if (Instance.Paused)
    Instance.Deferred.push_back(std::move(Event));
  else
    Event();
}

void world::tickInstance(std::size_t Index, std::uint64_t Life) {
  if (Instances[Index].Life != Life || !Instances[Index].Up)
    return;
  Clock.after(TickInterval, [this, Index, Life] { tickInstance(Index, Life); });
  if (Instances[Index].Paused)
    return;
  action_list Actions;
  onOwnerTick(Clock.now(), Instances[Index].Owner, Actions);
  perform(Index, Actions);
  driveOwnership(Index);
}

void world::driveOwnership(std::size_t Index) {
  model_instance &Instance = Instances[Index];
  shard_owner &Owner = Instance.Owner;
  action_list Actions;
  if (Owner.Phase == owner_phase::Idle && Instance.Desired == Instance.Name)
    beginRecovery(Clock.now(), Owner, Actions);
  else if (Owner.Phase == owner_phase::Owning &&
           Instance.Desired != Instance.Name && !Instance.Desired.empty())
    handOver(Instance.Desired, Clock.now(), Owner, Actions);
  perform(Index, Actions);
}

void world::onPhase(std::size_t Index) {
  model_instance &Instance = Instances[Index];
  shard_owner &Owner = Instance.Owner;
  if (Owner.Phase == owner_phase::Owning)
    note(fmt::format("{} owns the shard at entry {}", Instance.Name,
                     Owner.Committed));
  if (Owner.Phase == owner_phase::Idle && !Owner.Successor.empty())
    offerShard(Owner.Successor);
  if (Owner.Phase != owner_phase::Recovered)
    return;
  const claim_decision Decision =
      decideClaim(Owner, Instance.Desired, [&](const std::string &Name) {
        return Name == Instance.Name || Instance.Believed[Name];
      });
  action_list Actions;
  if (Decision == claim_decision::Claim) {
    claimShard(Clock.now(), Owner, Actions);
  } else {
    const std::string Holder = currentOwner(Owner.State);
    Owner.Phase = owner_phase::Idle;
    Owner.Successor = Holder;
    if (Decision == claim_decision::RequestHandover)
      offerShard(Holder);
  }
  perform(Index, Actions);
}

void world::offerShard(const std::string &Name) {
  const std::size_t Index = indexOf(Name);
  if (Index == Instances.size() || (FaultsOn && Choice.chance(100)))
    return;
  Clock.after(Choice.between(milliseconds(1), milliseconds(20)), [this, Index] {
    onInstance(Index, [this, Index] {
      action_list Actions;
      shard_owner &Owner = Instances[Index].Owner;
      if (Owner.Phase == owner_phase::Idle)
        beginRecovery(Clock.now(), Owner, Actions);
      else
        verifyOwnership(Clock.now(), Owner, Actions);
      perform(Index, Actions);
    });
  });
}

void world::sweepCaches() {
  const std::vector<program_id> Sessions(Runners.Caches.begin(),
                                         Runners.Caches.end());
  for (std::size_t Index = 0; Index < Instances.size(); ++Index) {
    onInstance(Index, [this, Index, Sessions] {
      action_list Actions;
      onCacheListed("engine", Sessions, Instances[Index].Owner, Actions);
      perform(Index, Actions);
    });
  }
  Clock.after(SweepInterval, [this] { sweepCaches(); });
}

void world::perform(std::size_t Index, action_list &Actions) {
  for (action &Action : Actions)
    performOne(Index, Action);
}

void world::performOne(std::size_t Index, action &Action) {
  if (const auto *Write = std::get_if<write_entry>(&Action)) {
    performWrite(Index, *Write);
  } else if (const auto *Read = std::get_if<read_entry>(&Action)) {
    performRead(Index, *Read);
  } else if (const auto *Check = std::get_if<check_next_entry>(&Action)) {
    performCheckNextEntry(Index, *Check);
  } else if (std::holds_alternative<read_journal>(Action)) {
    performReadJournal(Index);
  } else if (std::holds_alternative<read_snapshot_number>(Action)) {
    performReadSnapshotNumber(Index);
  } else if (const auto *Snapshot = std::get_if<write_snapshot>(&Action)) {
    performSnapshot(Index, *Snapshot);
  } else if (const auto *Delete = std::get_if<delete_object>(&Action)) {
    note(fmt::format("{} deletes {}", Instances[Index].Name, Delete->Key));
    if (!storeFails())
      Store.Objects.erase(Delete->Key);
  } else if (const auto *Start = std::get_if<start_attempt>(&Action)) {
    performAttempt(Index, *Start);
  } else if (const auto *Query = std::get_if<query_outcome>(&Action)) {
    performQuery(Index, *Query);
  } else if (const auto *Answer = std::get_if<answer_caller>(&Action)) {
    const auto Found = Tickets.find(Answer->Ticket);
    if (Found == Tickets.end())
      return;
    const auto Handler = std::move(Found->second);
    Tickets.erase(Found);
    Clock.after(Choice.between(milliseconds(0), milliseconds(10)),
                [Handler, Reply = Answer->Answer] { Handler(Reply); });
  } else if (const auto *Deliver = std::get_if<deliver_result>(&Action)) {
    performDelivery(Index, *Deliver, 0);
  } else if (const auto *Release = std::get_if<release_cache>(&Action)) {
    performRelease(Index, *Release);
  } else if (std::holds_alternative<report_phase>(Action)) {
    onPhase(Index);
  }
}

void world::scheduleFaults() {
  if (Clock.now().Steady >= FaultsEnd) {
    healAll();
    return;
  }
  injectFault();
  Clock.after(Choice.between(milliseconds(50), milliseconds(2'000)),
              [this] { scheduleFaults(); });
}

void world::injectFault() {
  const std::size_t Index = Choice.below(Instances.size());
  switch (Choice.below(6)) {
  case 0:
    if (Instances[Index].Up)
      crash(Index);
    return;
  case 1:
  case 2:
    pauseFor(Index, Choice.between(milliseconds(50), milliseconds(6'000)));
    return;
  case 3:
    Outage = !Outage;
    note(Outage ? "the platform goes down" : "the platform is back");
    return;
  case 4:
    ++Rotation;
    note("another instance should own the shard");
    return;
  default:
    Outage = false;
    return;
  }
}

void world::crash(std::size_t Index) {
  model_instance &Instance = Instances[Index];
  note(Instance.Name + " crashes");
  Instance.Up = false;
  Instance.Deferred.clear();
  const std::uint64_t Life = Instance.Life;
  Clock.after(Choice.between(milliseconds(20), milliseconds(5'000)),
              [this, Index, Life] {
                if (Instances[Index].Life == Life)
                  startInstance(Index);
              });
}

void world::pauseFor(std::size_t Index, microseconds Time) {
  model_instance &Instance = Instances[Index];
  if (!Instance.Up || Instance.Paused)
    return;
  note(fmt::format("{} is paused", Instance.Name));
  Instance.Paused = true;
  const std::uint64_t Life = Instance.Life;
  Clock.after(Time, [this, Index, Life] {
    model_instance &Woken = Instances[Index];
    if (Woken.Life != Life || !Woken.Up)
      return;
    note(fmt::format("{} goes on", Woken.Name));
    Woken.Paused = false;
    auto Events = std::move(Woken.Deferred);
    Woken.Deferred.clear();
    for (const auto &Event : Events)
      onInstance(Index, Event);
  });
}

void world::healAll() {
  FaultsOn = false;
  Outage = false;
  note("no more faults");
}

void world::refreshBeliefs() {
  for (model_instance &Instance : Instances) {
    std::vector<std::string> Candidates;
    for (const model_instance &Other : Instances) {
      const bool Wrong = FaultsOn && Choice.chance(60);
      const bool Alive = Other.Up && !Other.Paused;
      // News travel slowly: half of the time the old belief stays.
      if (!FaultsOn || Choice.chance(500))
        Instance.Believed[Other.Name] = Wrong ? !Alive : Alive;
      if (Other.Name == Instance.Name || Instance.Believed[Other.Name])
        Candidates.push_back(Other.Name);
    }
    Instance.Desired = Candidates[Rotation % Candidates.size()];
  }
  Clock.after(BeliefInterval, [this] { refreshBeliefs(); });
}

bool world::allFinished() const {
  return std::all_of(Programs.begin(), Programs.end(),
                     [](const auto &Program) { return Program.Ended; });
}

explore_result world::run() {
  for (std::size_t Index = 0; Index < Instances.size(); ++Index)
    startInstance(Index);
  refreshBeliefs();
  sweepCaches();
  for (std::size_t Program = 0; Program < Programs.size(); ++Program)
    Clock.after(Choice.between(milliseconds(0), seconds(3)),
                [this, Program] { createProgram(Program); });
  Clock.after(milliseconds(500), [this] { scheduleFaults(); });
  const microseconds Limit = FaultsEnd + HealTime;
  try {
    while (Clock.now().Steady < Limit && Result.Breaches.empty() &&
           Clock.step()) {
      ++Result.Events;
      checkPromises();
    }
  } catch (const corrupt_entry &Error) {
    breach(std::string("an owner contradicts itself: ") + Error.what());
  }
  if (Result.Breaches.empty())
    checkAtTheEnd();
  Result.Takeovers = Store.Takeovers;
  return std::move(Result);
}

void world::checkPromises() {
  for (std::string &Text : Store.Corruptions)
    breach("the journal contradicts itself: " + Text);
  Store.Corruptions.clear();
  for (std::string &Text : Runners.Breaches)
    breach(std::move(Text));
  Runners.Breaches.clear();
  for (const model_program &Program : Programs) {
    const auto Spent = Runners.SpentTokens.find(Program.Create.Program);
    if (Spent != Runners.SpentTokens.end() &&
        Spent->second > Program.Create.Budget.Tokens)
      breach(fmt::format("{} spent {} of {} tokens",
                         formatProgramId(Program.Create.Program), Spent->second,
                         Program.Create.Budget.Tokens));
  }
}

/// Notes what each instance still has to do.
void world::noteLeftovers() {
  for (const model_instance &Instance : Instances) {
    const shard_owner &Owner = Instance.Owner;
    note(fmt::format("{} phase {} entry {} pending {} sealed {} held {}",
                     Instance.Name, static_cast<int>(Owner.Phase),
                     Owner.Committed, Owner.Pending.size(),
                     Owner.Sealed.has_value(), Owner.Held.size()));
    for (const auto &[Id, Program] : Owner.State.Programs) {
      for (const recorded_call &Call : Program.Calls)
        note(fmt::format("  {} call {} entry {} loaded {} stored {}",
                         formatProgramId(Id), Call.Call, Call.Entry,
                         Call.Loaded,
                         findEntry(0, Call.Entry, Store).has_value()));
    }
    for (const auto &[Id, Call] : Owner.Active)
      note(fmt::format("  active {} call {} stage {} waits for {}",
                       formatProgramId(Id), Call.Request.Call,
                       static_cast<int>(Call.Stage), Call.AwaitedEntry));
  }
}

void world::checkAtTheEnd() {
  noteLeftovers();
  if (!allFinished())
    breach("a program did not come to its end once the faults were over");
  if (!Runners.Caches.empty())
    breach("an engine holds the cache of an ended program");
  for (const model_program &Program : Programs) {
    const auto Found = Store.Truth.Programs.find(Program.Create.Program);
    if (Found == Store.Truth.Programs.end()) {
      breach("a program is missing from the journal");
      continue;
    }
    const auto &Calls = Found->second.Calls;
    for (std::size_t Call = 0; Call < Program.Responses.size(); ++Call) {
      const bool Kept = Call < Calls.size() &&
                        (Calls[Call].Response == Program.Responses[Call] ||
                         Program.Runs[Call] == run_state::OutcomeUnknown);
      if (!Kept)
        breach(fmt::format("call {} of {} was lost from the history", Call + 1,
                           formatProgramId(Program.Create.Program)));
    }
  }
}

explore_result explore(const explore_settings &Settings) {
  world World(Settings);
  return World.run();
}

} // namespace lentilhoist
