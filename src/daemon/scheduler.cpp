#include "daemon/scheduler.h"

#include "call/dispatch_request.h"
#include "decision/call_flow.h"
#include "decision/shard_placement.h"
#include "log/log.h"

#include <condition_variable>

namespace lentilhoist {

namespace {

constexpr std::size_t EventCapacity = 16'384;
constexpr std::size_t JobCapacity = 8'192;
constexpr std::size_t ChoreThreads = 8;
constexpr milliseconds TickInterval{10};
constexpr milliseconds ReviewInterval{100};
constexpr milliseconds ReviewBackoff{300};
constexpr milliseconds InspectWait{2'000};
constexpr seconds GaugeInterval{1};
constexpr milliseconds PostRetry{1};

std::string callerTenant(const owner_request &Request) {
  if (const auto *Create = std::get_if<create_request>(&Request))
    return Create->Tenant;
  return {};
}

} // namespace

scheduler::scheduler(const daemon_settings &Given, object_store &GivenStore,
                     membership_node &GivenMembers, metrics &GivenMeasures)
    : Settings(Given), Store(GivenStore), Members(GivenMembers),
      Measures(GivenMeasures), Events(EventCapacity) {
  std::random_device Seed;
  for (shard_index Shard = 0; Shard < Settings.Shards; ++Shard) {
    shard_owner Owner;
    Owner.Shard = Shard;
    Owner.State.Shard = Shard;
    Owner.Self = Settings.Identity.Id;
    Owner.Settings = Settings.Owner;
    Owner.Random.seed((static_cast<std::uint64_t>(Seed()) << 32U) | Seed());
    Owners.emplace(Shard, std::move(Owner));
    Notes[Shard];
  }
  Runners.Domain = Settings.Identity.Domain;
  Runners.Settings = Settings.Dispatch;
  for (const runner_settings &Runner : Settings.Runners)
    Runners.Runners[Runner.Name].Settings = Runner;
}

scheduler::~scheduler() { stop(); }

void scheduler::start(peer_link &GivenLink, blocking_router GivenRoute) {
  Link = &GivenLink;
  Route = std::move(GivenRoute);
  PlatformWorkers =
      std::make_unique<worker_threads>(Settings.PlatformThreads, JobCapacity);
  AttemptWorkers =
      std::make_unique<worker_threads>(Settings.AttemptThreads, JobCapacity);
  ChoreWorkers = std::make_unique<worker_threads>(ChoreThreads, JobCapacity);
  Thread = std::thread([this] { run(); });
}

void scheduler::stop() {
  if (!Thread.joinable())
    return;
  Stopping = true;
  Thread.join();
  PlatformWorkers->stop();
  AttemptWorkers->stop();
  ChoreWorkers->stop();
}

void scheduler::run() {
  refreshView();
  while (!Stopping) {
    auto Event = Events.pop(TickInterval);
    const instant Now = readClock();
    if (Event)
      handle(*Event, Now);
    if (Now.Steady < NextTickAt)
      continue;
    NextTickAt = Now.Steady + TickInterval;
    tick(Now);
  }
}

void scheduler::post(const daemon_event &Event) {
  while (!Stopping) {
    if (Events.push(Event))
      return;
    std::this_thread::sleep_for(PostRetry);
  }
}

void scheduler::submit(owner_request Request,
                       const std::shared_ptr<answer_sink> &Sink) {
  if (!Events.push(request_arrived{std::move(Request), Sink}))
    Sink->finish(
        makeErrorAnswer(error_code::Overloaded, "the instance is overloaded"));
}

void scheduler::offerShard(shard_index Shard) { post(shard_offered{Shard}); }

void scheduler::reportLoad(const std::string &Runner, const runner_load &Load) {
  post(load_reported{Runner, Load});
}

void scheduler::reportCache(const std::string &Runner,
                            std::vector<program_id> Sessions) {
  post(cache_listed{Runner, std::move(Sessions)});
}

bool scheduler::inspect(const std::function<void()> &Run) {
  struct rendezvous {
    std::mutex Mutex;
    std::condition_variable Done;
    bool Finished = false;
    bool Abandoned = false;
  };
  const auto Shared = std::make_shared<rendezvous>();
  post(inspection{[Shared, Run] {
    const std::lock_guard Lock(Shared->Mutex);
    if (!Shared->Abandoned)
      Run();
    Shared->Finished = true;
    Shared->Done.notify_all();
  }});
  std::unique_lock Lock(Shared->Mutex);
  const bool Ran = Shared->Done.wait_for(Lock, InspectWait,
                                         [&] { return Shared->Finished; });
  Shared->Abandoned = !Ran;
  return Ran;
}

void scheduler::tick(instant Now) {
  refreshView();
  for (auto &[Shard, Owner] : Owners) {
    if (Owner.Phase == owner_phase::Idle && !Owner.Sealed)
      continue;
    action_list Actions;
    onOwnerTick(Now, Owner, Actions);
    perform(Actions, Now);
  }
  reviewShards(Now);
  placeQueued(Now);
  if (Now.Steady >= NextGaugesAt) {
    NextGaugesAt = Now.Steady + GaugeInterval;
    publishGauges();
  }
}

void scheduler::refreshView() {
  auto Latest = Members.view();
  if (Latest == View)
    return;
  View = std::move(Latest);
  Candidates.clear();
  for (const member_identity &Member : ownerCandidates(*View))
    Candidates.push_back(Member.Id);
}

void scheduler::handle(daemon_event &Event, instant Now) {
  action_list Actions;
  if (auto *Arrived = std::get_if<request_arrived>(&Event)) {
    onRequest(*Arrived, Now);
  } else if (const auto *Written = std::get_if<write_finished>(&Event)) {
    onWriteResult(Written->Number, Written->Status, Now,
                  Owners.at(Written->Shard), Actions);
  } else if (const auto *Read = std::get_if<entry_loaded>(&Event)) {
    onEntryRead(Read->Number, Read->Read, Now, Owners.at(Read->Shard), Actions);
  } else if (const auto *Checked = std::get_if<next_entry_checked>(&Event)) {
    onOwnershipChecked(Checked->Number, Checked->Read, Now,
                       Owners.at(Checked->Shard), Actions);
  } else if (auto *Loaded = std::get_if<journal_loaded>(&Event)) {
    onJournalLoaded(*Loaded, Now);
  } else if (const auto *LatestSnapshot =
                 std::get_if<snapshot_number_loaded>(&Event)) {
    onSnapshotNumberRead(LatestSnapshot->Number, Now,
                         Owners.at(LatestSnapshot->Shard), Actions);
  } else if (const auto *Stored = std::get_if<snapshot_stored>(&Event)) {
    onSnapshotWritten(Stored->Number, Owners.at(Stored->Shard));
  } else if (const auto *Ended = std::get_if<attempt_finished>(&Event)) {
    forgetAttempt(Ended->AttemptId);
    onAttemptEnded(Ended->Result.Runner, Ended->Result, Now, Runners);
    onAttemptResult(Ended->Program, Ended->AttemptId, Ended->Result, Now,
                    Owners.at(Ended->Program.Shard), Actions);
  } else if (const auto *Given = std::get_if<result_delivered>(&Event)) {
    onResultDelivered(Given->Program, Given->Durable,
                      Owners.at(Given->Program.Shard), Actions);
  } else if (const auto *Dropped = std::get_if<cache_dropped>(&Event)) {
    onCacheReleased(Dropped->Program, Dropped->Runner, Now,
                    Owners.at(Dropped->Program.Shard), Actions);
  } else if (const auto *Found = std::get_if<outcome_found>(&Event)) {
    onOutcomeResolved(Found->Outcome, 0, Now,
                      Owners.at(Found->Outcome.Program.Shard), Actions);
  } else if (const auto *Reported = std::get_if<load_reported>(&Event)) {
    onLoadReported(*Reported);
  } else if (const auto *Offered = std::get_if<shard_offered>(&Event)) {
    shard_owner &Owner = Owners.at(Offered->Shard);
    if (Owner.Phase == owner_phase::Idle)
      beginRecovery(Now, Owner, Actions);
    else
      verifyOwnership(Now, Owner, Actions);
  } else if (const auto *Cached = std::get_if<cache_listed>(&Event)) {
    for (const auto &[Shard, Owner] : Owners)
      onCacheListed(Cached->Runner, Cached->Sessions, Owner, Actions);
  } else if (const auto *Inspect = std::get_if<inspection>(&Event)) {
    Inspect->Run();
  }
  perform(Actions, Now);
  placeQueued(Now);
}

void scheduler::onRequest(request_arrived &Arrived, instant Now) {
  const program_id Program = programOf(Arrived.Request);
  if (Owners.count(Program.Shard) == 0) {
    Arrived.Sink->finish(
        makeErrorAnswer(error_code::UnknownProgram, "no such shard"));
    return;
  }
  const call_ticket Ticket = NextTicket++;
  const auto *Call = std::get_if<call_request>(&Arrived.Request);
  waiting_caller Caller;
  Caller.Sink = Arrived.Sink;
  Caller.Program = Program;
  Caller.Streams = Call != nullptr && Call->Kind == call_kind::Model;
  Caller.Since = Now.Steady;
  Caller.Tenant = callerTenant(Arrived.Request);
  const auto &Programs = Owners.at(Program.Shard).State.Programs;
  const auto Known = Programs.find(Program);
  if (Known != Programs.end()) {
    Caller.Tenant = Known->second.Tenant;
    Caller.Class = Known->second.Class;
  }
  if (Caller.Streams)
    Hub.attach(Program, Ticket, Arrived.Sink);
  Callers.emplace(Ticket, std::move(Caller));
  if (mustPark(Program.Shard)) {
    Notes[Program.Shard].Parked.push_back(
        {std::move(Arrived.Request), Ticket, Now.Steady + Settings.RouteWait});
    return;
  }
  action_list Actions;
  dispatchRequest(Arrived.Request, Ticket, Now, Owners.at(Program.Shard),
                  Actions);
  perform(Actions, Now);
}

bool scheduler::mustPark(shard_index Shard) const {
  const shard_owner &Owner = Owners.at(Shard);
  if (Owner.Phase == owner_phase::Owning)
    return false;
  return Owner.Phase != owner_phase::Idle ||
         desiredOwner(Shard) == Settings.Identity.Id;
}

void scheduler::releaseParked(shard_index Shard, instant Now) {
  std::vector<parked_request> Parked = std::move(Notes[Shard].Parked);
  Notes[Shard].Parked.clear();
  for (const parked_request &Request : Parked) {
    action_list Actions;
    dispatchRequest(Request.Request, Request.Ticket, Now, Owners.at(Shard),
                    Actions);
    perform(Actions, Now);
  }
}

std::string scheduler::desiredOwner(shard_index Shard) const {
  return chooseOwner(Shard, Candidates);
}

void scheduler::reviewShards(instant Now) {
  for (auto &[Shard, Owner] : Owners) {
    shard_notes &Note = Notes[Shard];
    if (Now.Steady >= Note.NextReviewAt) {
      Note.NextReviewAt = Now.Steady + ReviewInterval;
      reviewShard(Owner, Now);
    }
    const bool Late =
        !Note.Parked.empty() && Now.Steady >= Note.Parked.front().Deadline;
    if (Late)
      releaseParked(Shard, Now);
  }
}

void scheduler::reviewShard(shard_owner &Owner, instant Now) {
  const std::string Desired = desiredOwner(Owner.Shard);
  if (Owner.Phase == owner_phase::Idle && Desired == Settings.Identity.Id) {
    action_list Actions;
    beginRecovery(Now, Owner, Actions);
    perform(Actions, Now);
  } else if (Owner.Phase == owner_phase::Recovered) {
    considerClaim(Owner, Now);
  } else if (Owner.Phase == owner_phase::Owning) {
    considerHandover(Owner, Desired, Now);
  }
}

void scheduler::considerClaim(shard_owner &Owner, instant Now) {
  const claim_decision Decision =
      decideClaim(Owner, desiredOwner(Owner.Shard),
                  [this](const std::string &Id) { return isAlive(Id, *View); });
  if (Decision == claim_decision::Claim) {
    action_list Actions;
    claimShard(Now, Owner, Actions);
    perform(Actions, Now);
    return;
  }
  const std::string Holder = currentOwner(Owner.State);
  const auto Member = findMember(Holder, *View);
  if (Decision == claim_decision::RequestHandover && Member)
    Link->offer(*Member, Owner.Shard);
  Owner.Phase = owner_phase::Idle;
  Owner.Successor = Holder;
  Notes[Owner.Shard].NextReviewAt = Now.Steady + ReviewBackoff;
  if (Decision == claim_decision::Skip)
    releaseParked(Owner.Shard, Now);
}

void scheduler::considerHandover(shard_owner &Owner, const std::string &Desired,
                                 instant Now) {
  shard_notes &Note = Notes[Owner.Shard];
  if (Desired.empty() || Desired == Settings.Identity.Id) {
    Note.MisplacedSince = microseconds(0);
    return;
  }
  if (Note.MisplacedSince.count() == 0)
    Note.MisplacedSince = Now.Steady;
  const bool Settled =
      View->Leaving || Now.Steady - Note.MisplacedSince >= Settings.SettleTime;
  if (!Settled || isSuspect(Desired, *View))
    return;
  Note.MisplacedSince = microseconds(0);
  action_list Actions;
  handOver(Desired, Now, Owner, Actions);
  perform(Actions, Now);
}

void scheduler::onJournalLoaded(journal_loaded &Loaded, instant Now) {
  shard_owner &Owner = Owners.at(Loaded.Shard);
  if (!Loaded.Stored) {
    if (Owner.Phase == owner_phase::Recovering)
      Owner.Phase = owner_phase::Idle;
    Notes[Loaded.Shard].NextReviewAt = Now.Steady + ReviewBackoff;
    return;
  }
  action_list Actions;
  onJournalRead(std::move(Loaded.Stored->State), Loaded.Stored->SnapshotNumber,
                Now, Owner, Actions);
  perform(Actions, Now);
}

void scheduler::onLoadReported(const load_reported &Reported) {
  onLoadReport(Reported.Runner, Reported.Load, Runners);
}

void scheduler::onPhase(shard_index Shard, instant Now) {
  shard_owner &Owner = Owners.at(Shard);
  switch (Owner.Phase) {
  case owner_phase::Recovered:
    considerClaim(Owner, Now);
    return;
  case owner_phase::Owning:
    logEvent(log_level::Info, "shard_taken",
             {{"shard", std::to_string(Shard)},
              {"entry", std::to_string(Owner.Committed)},
              {"programs", std::to_string(Owner.State.Programs.size())}});
    Measures.count("lentilhoist_shards_taken_total");
    releaseParked(Shard, Now);
    return;
  case owner_phase::Idle: {
    logEvent(log_level::Info, "shard_released",
             {{"shard", std::to_string(Shard)}, {"to", Owner.Successor}});
    const auto Member = findMember(Owner.Successor, *View);
    if (Member && Member->Id != Settings.Identity.Id)
      Link->offer(*Member, Shard);
    if (!mustPark(Shard))
      releaseParked(Shard, Now);
    return;
  }
  case owner_phase::Recovering:
  case owner_phase::Claiming:
  case owner_phase::HandingOver:
    return;
  }
}

bool scheduler::isIdle() {
  bool Idle = false;
  inspect([&] {
    Idle = Callers.empty() && AttemptRunner.empty();
    for (const auto &[Shard, Owner] : Owners) {
      if (Owner.Phase != owner_phase::Idle || !Owner.Active.empty())
        Idle = false;
    }
  });
  return Idle;
}

} // namespace lentilhoist
