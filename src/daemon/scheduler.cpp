#include "daemon/scheduler.h"

#include "decision/call_flow.h"
#include "decision/shard_placement.h"
#include "log/log.h"
#include "runner/service_client.h"

#include <condition_variable>
#include <fmt/format.h>

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
constexpr milliseconds DeliveryWait{15'000};

std::string callerTenant(const owner_request &Request) {
  if (const auto *Create = std::get_if<create_request>(&Request))
    return Create->Tenant;
  return {};
}

/// Feeds each kind of request to the decision library.
struct request_dispatcher {
  call_ticket Ticket;
  instant Now;
  shard_owner &Owner;
  action_list &Actions;

  void operator()(const create_request &Request) const {
    onCreate(Request, Ticket, Now, Owner, Actions);
  }
  void operator()(const call_request &Request) const {
    onCall(Request, Ticket, Now, Owner, Actions);
  }
  void operator()(const end_request &Request) const {
    onEnd(Request.Program, Request.Reason, Ticket, Now, Owner, Actions);
  }
  void operator()(const history_request &Request) const {
    onReadHistory(Request.Program, Ticket, Now, Owner, Actions);
  }
  void operator()(const result_request &Request) const {
    onRemoteResult(Request.Call, Request.Result, Ticket, Now, Owner, Actions);
  }
  void operator()(const outcome_resolved &Request) const {
    onOutcomeKnown(Request, Ticket, Now, Owner, Actions);
  }
};

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
    Sink->finish(refuse(error_code::Overloaded, "the instance is overloaded"));
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
  } else if (const auto *Looked = std::get_if<looked_ahead>(&Event)) {
    onLookedAhead(Looked->Number, Looked->Read, Now, Owners.at(Looked->Shard),
                  Actions);
  } else if (auto *Loaded = std::get_if<journal_loaded>(&Event)) {
    onJournalLoaded(*Loaded, Now);
  } else if (const auto *Horizon = std::get_if<horizon_loaded>(&Event)) {
    onHorizonRead(Horizon->Number, Now, Owners.at(Horizon->Shard), Actions);
  } else if (const auto *Stored = std::get_if<snapshot_stored>(&Event)) {
    onSnapshotWritten(Stored->Number, Owners.at(Stored->Shard));
  } else if (const auto *Ended = std::get_if<attempt_finished>(&Event)) {
    AttemptRunner.erase(Ended->AttemptId);
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
    onOutcomeKnown(Found->Outcome, 0, Now,
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
    Arrived.Sink->finish(refuse(error_code::UnknownProgram, "no such shard"));
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
  dispatch(Arrived.Request, Ticket, Now, Actions);
  perform(Actions, Now);
}

void scheduler::dispatch(const owner_request &Request, call_ticket Ticket,
                         instant Now, action_list &Actions) {
  shard_owner &Owner = Owners.at(programOf(Request).Shard);
  std::visit(request_dispatcher{Ticket, Now, Owner, Actions}, Request);
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
    dispatch(Request.Request, Request.Ticket, Now, Actions);
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
  const std::string Holder = holderOf(Owner.State);
  const auto Member = findMember(Holder, *View);
  if (Decision == claim_decision::AskHolder && Member)
    Link->offer(*Member, Owner.Shard);
  Owner.Phase = owner_phase::Idle;
  Owner.Successor = Holder;
  Notes[Owner.Shard].NextReviewAt = Now.Steady + ReviewBackoff;
  if (Decision == claim_decision::Leave)
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

void scheduler::perform(action_list &Actions, instant Now) {
  for (action &Action : Actions)
    performOne(Action, Now);
}

void scheduler::submitPlatformJob(const std::function<void()> &Job) {
  while (!PlatformWorkers->submit(Job) && !Stopping)
    std::this_thread::sleep_for(PostRetry);
}

void scheduler::performOne(action &Action, instant Now) {
  if (auto *Write = std::get_if<write_entry>(&Action)) {
    submitPlatformJob([this, Entry = std::move(*Write)] {
      const auto Start = readClock().Steady;
      const write_status Status = writeEntry(Entry, Store);
      Measures.observe("lentilhoist_commit_seconds", "all", "all",
                       readClock().Steady - Start);
      post(write_finished{Entry.Shard, Entry.Number, Status});
    });
  } else if (const auto *Read = std::get_if<read_entry>(&Action)) {
    submitPlatformJob([this, Entry = *Read] {
      post(entry_loaded{Entry.Shard, Entry.Number,
                        readEntry(Entry.Shard, Entry.Number, Store)});
    });
  } else if (const auto *Look = std::get_if<look_ahead>(&Action)) {
    submitPlatformJob([this, Entry = *Look] {
      post(looked_ahead{Entry.Shard, Entry.Number, lookAhead(Entry, Store)});
    });
  } else if (const auto *Journal = std::get_if<read_journal>(&Action)) {
    submitPlatformJob([this, Shard = Journal->Shard] {
      try {
        post(journal_loaded{Shard, readShard(Shard, Store)});
      } catch (const std::runtime_error &Error) {
        logEvent(log_level::Warning, "journal_unreadable",
                 {{"shard", std::to_string(Shard)}, {"reason", Error.what()}});
        post(journal_loaded{Shard, std::nullopt});
      }
    });
  } else if (const auto *Horizon = std::get_if<read_horizon>(&Action)) {
    submitPlatformJob([this, Shard = Horizon->Shard] {
      post(horizon_loaded{Shard, readHorizon(Shard, Store)});
    });
  } else if (auto *Snapshot = std::get_if<write_snapshot>(&Action)) {
    submitPlatformJob([this, Bytes = std::move(*Snapshot)] {
      if (writeSnapshot(Bytes, Store))
        post(snapshot_stored{Bytes.Shard, Bytes.Number});
    });
  } else if (const auto *Delete = std::get_if<delete_object>(&Action)) {
    submitPlatformJob(
        [this, Object = *Delete] { deleteJournalObject(Object, Store); });
  } else if (auto *Start = std::get_if<start_attempt>(&Action)) {
    startQueued(*Start, Now);
  } else if (const auto *Cancel = std::get_if<cancel_attempt>(&Action)) {
    cancel(*Cancel, Now);
  } else if (const auto *Query = std::get_if<query_outcome>(&Action)) {
    query(*Query);
  } else if (const auto *Answer = std::get_if<answer_caller>(&Action)) {
    answerCaller(*Answer);
  } else if (const auto *Deliver = std::get_if<deliver_result>(&Action)) {
    deliver(*Deliver);
  } else if (const auto *Release = std::get_if<release_cache>(&Action)) {
    release(*Release);
  } else if (const auto *Phase = std::get_if<report_phase>(&Action)) {
    onPhase(Phase->Shard, Now);
  }
}

void scheduler::answerCaller(const answer_caller &Answer) {
  const auto Found = Callers.find(Answer.Ticket);
  if (Found == Callers.end())
    return;
  const waiting_caller Caller = std::move(Found->second);
  Callers.erase(Found);
  if (Caller.Streams)
    Hub.detach(Caller.Program, Answer.Ticket);
  Caller.Sink->finish(Answer.Answer);
  if (Caller.Streams)
    Measures.observe("lentilhoist_call_seconds", Caller.Tenant, Caller.Class,
                     readClock().Steady - Caller.Since);
  Measures.count(fmt::format("lentilhoist_answers_total{{code=\"{}\"}}",
                             errorCodeName(Answer.Answer.Code)));
}

void scheduler::startQueued(start_attempt &Start, instant Now) {
  if (Start.Call.Kind == call_kind::Model)
    Hub.beginAttempt(Start.Call.Program, Start.AttemptId);
  if (!queueAttempt(Start, Now, Runners))
    refuseAttempt(Start, error_code::Overloaded, Now);
}

void scheduler::refuseAttempt(const start_attempt &Attempt, error_code Code,
                              instant Now) {
  attempt_result Result;
  Result.Code = Code;
  Result.Run = run_state::NotRun;
  Result.Status = httpStatus(Code);
  Result.Response = "no runner took the call in time";
  action_list Actions;
  onAttemptResult(Attempt.Call.Program, Attempt.AttemptId, Result, Now,
                  Owners.at(Attempt.Call.Program.Shard), Actions);
  perform(Actions, Now);
}

void scheduler::placeQueued(instant Now) {
  std::vector<refused_attempt> Refused;
  for (const placed_attempt &Placed : placeAttempts(Now, Runners, Refused))
    runAttempt(Placed);
  for (const refused_attempt &Late : Refused)
    refuseAttempt(Late.Attempt, Late.Code, Now);
}

void scheduler::runAttempt(const placed_attempt &Placed) {
  AttemptRunner[Placed.Attempt.AttemptId] = Placed.Runner.Name;
  const bool Accepted =
      AttemptWorkers->submit([this, Placed] { performAttempt(Placed); });
  if (Accepted)
    return;
  attempt_result Result;
  Result.Code = error_code::Overloaded;
  Result.Run = run_state::NotRun;
  Result.Status = httpStatus(Result.Code);
  Result.Runner = Placed.Runner.Name;
  post(attempt_finished{Placed.Attempt.Call.Program, Placed.Attempt.AttemptId,
                        Result});
}

void scheduler::performAttempt(const placed_attempt &Placed) {
  const start_attempt &Attempt = Placed.Attempt;
  const program_id Program = Attempt.Call.Program;
  attempt_result Result;
  if (Attempt.Call.Kind == call_kind::Model) {
    Result = runModelAttempt(
        Placed, Settings.Engine, [&] { return isCancelled(Attempt.AttemptId); },
        [&](std::string_view Text) {
          Hub.addText(Program, Attempt.AttemptId, Text);
        });
  } else {
    Result = runServiceAttempt(Placed);
  }
  logEvent(log_level::Debug, "attempt_finished",
           {{"program", formatProgramId(Program)},
            {"call", std::to_string(Attempt.Call.Call)},
            {"attempt", Attempt.AttemptId},
            {"runner", Placed.Runner.Name},
            {"code", std::string(errorCodeName(Result.Code))}});
  post(attempt_finished{Program, Attempt.AttemptId, Result});
}

bool scheduler::isCancelled(const std::string &AttemptId) {
  const std::lock_guard Lock(CancelMutex);
  return Cancelled.count(AttemptId) != 0;
}

void scheduler::cancel(const cancel_attempt &Cancel, instant) {
  if (withdrawAttempt(Cancel.AttemptId, Runners))
    return;
  const auto Running = AttemptRunner.find(Cancel.AttemptId);
  if (Running == AttemptRunner.end())
    return;
  {
    const std::lock_guard Lock(CancelMutex);
    Cancelled.insert(Cancel.AttemptId);
  }
  const runner_settings Runner = Runners.Runners[Running->second].Settings;
  if (Runner.Kind != runner_kind::Engine)
    return;
  ChoreWorkers->submit([Runner, Cancel] {
    const endpoint Engine{Runner.Address, Runner.Port};
    cancelStream(Engine, Cancel.AttemptId);
    releaseSession(Engine, formatProgramId(Cancel.Program));
  });
}

void scheduler::deliver(const deliver_result &Deliver) {
  ChoreWorkers->submit([this, Deliver] {
    const call_answer Answer =
        Route(result_request{Deliver.Call, Deliver.Result}, DeliveryWait);
    post(result_delivered{Deliver.Call.Program,
                          Answer.Code == error_code::None &&
                              Answer.CommittedThrough >= Deliver.Call.Call});
  });
}

void scheduler::release(const release_cache &Release) {
  const auto Found = Runners.Runners.find(Release.Runner);
  if (Found == Runners.Runners.end()) {
    post(cache_dropped{Release.Program, Release.Runner});
    return;
  }
  const endpoint Engine{Found->second.Settings.Address,
                        Found->second.Settings.Port};
  ChoreWorkers->submit([this, Release, Engine] {
    if (releaseSession(Engine, formatProgramId(Release.Program)))
      post(cache_dropped{Release.Program, Release.Runner});
  });
}

void scheduler::query(const query_outcome &Query) {
  std::vector<endpoint> Services;
  for (const auto &[Name, Runner] : Runners.Runners) {
    if (Runner.Settings.Pool == Query.Service && Runner.Settings.KnowsKeys)
      Services.push_back({Runner.Settings.Address, Runner.Settings.Port});
  }
  ChoreWorkers->submit([this, Query, Services] {
    for (const endpoint &Service : Services) {
      const auto Response = queryOutcome(Service, Query.RequestKey);
      if (!Response)
        continue;
      post(outcome_found{{Query.Program, Query.Call, run_state::Ran, 200,
                          *Response, "service", "asked by key"}});
      return;
    }
  });
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

void scheduler::publishGauges() {
  std::size_t Owned = 0;
  std::size_t Programs = 0;
  std::size_t Active = 0;
  for (const auto &[Shard, Owner] : Owners) {
    if (Owner.Phase == owner_phase::Owning)
      ++Owned;
    Programs += Owner.State.Programs.size();
    Active += Owner.Active.size();
  }
  Measures.gauge("lentilhoist_shards_owned", static_cast<double>(Owned));
  Measures.gauge("lentilhoist_programs", static_cast<double>(Programs));
  Measures.gauge("lentilhoist_active_calls", static_cast<double>(Active));
  Measures.gauge("lentilhoist_queued_attempts",
                 static_cast<double>(Runners.Queue.size()));
  Measures.gauge("lentilhoist_membership_sent_bytes",
                 static_cast<double>(Members.sentBytes()));
}

namespace {

std::string_view phaseName(owner_phase Phase) {
  constexpr std::array<std::string_view, 6> Names{
      "idle", "recovering", "recovered", "claiming", "owning", "handing_over"};
  return Names[static_cast<std::size_t>(Phase)];
}

} // namespace

nlohmann::json scheduler::describeShards() const {
  nlohmann::json All = nlohmann::json::array();
  for (const auto &[Shard, Owner] : Owners) {
    All.push_back({{"shard", Shard},
                   {"phase", phaseName(Owner.Phase)},
                   {"desired_owner", desiredOwner(Shard)},
                   {"entry", Owner.Committed},
                   {"snapshot", Owner.Snapshot},
                   {"programs", Owner.State.Programs.size()},
                   {"active", Owner.Active.size()},
                   {"uncommitted_bytes", uncommittedBytes(Owner)}});
  }
  return All;
}

nlohmann::json scheduler::describeRunners() const {
  nlohmann::json All = nlohmann::json::array();
  for (const auto &[Name, Runner] : Runners.Runners) {
    All.push_back(
        {{"runner", Name},
         {"pool", Runner.Settings.Pool},
         {"domain", Runner.Settings.Domain},
         {"reachable", Runner.Load.Reachable},
         {"running", Runner.Load.Running},
         {"waiting", Runner.Load.Waiting},
         {"slots", Runner.Settings.Slots},
         {"in_flight_here", Runner.InFlight},
         {"draining", Runner.Load.Draining || Runner.DrainedByOperator}});
  }
  return All;
}

nlohmann::json scheduler::describeUnknown() const {
  nlohmann::json All = nlohmann::json::array();
  for (const auto &[Shard, Owner] : Owners) {
    for (const auto &[Id, Program] : Owner.State.Programs) {
      for (const call_history &Call : Program.Calls) {
        if (Call.Run == run_state::OutcomeUnknown &&
            Call.Progress == call_progress::Completed)
          All.push_back({{"program", formatProgramId(Id)},
                         {"call", Call.Call},
                         {"tenant", Program.Tenant},
                         {"service", Call.Service},
                         {"request_key", Call.RequestKey}});
      }
    }
  }
  return All;
}

nlohmann::json scheduler::describePrograms(const std::string &Tenant) const {
  nlohmann::json All = nlohmann::json::array();
  for (const auto &[Shard, Owner] : Owners) {
    for (const auto &[Id, Program] : Owner.State.Programs) {
      if (!Tenant.empty() && Program.Tenant != Tenant)
        continue;
      All.push_back({{"program", formatProgramId(Id)},
                     {"tenant", Program.Tenant},
                     {"class", Program.Class},
                     {"calls", Program.Calls.size()},
                     {"spent_tokens", Program.SpentTokens},
                     {"budget_tokens", Program.Budget.Tokens},
                     {"active", Owner.Active.count(Id) != 0},
                     {"ended", Program.Ended}});
    }
  }
  return All;
}

bool scheduler::setDrained(const std::string &Runner, bool Drained) {
  const auto Found = Runners.Runners.find(Runner);
  if (Found == Runners.Runners.end())
    return false;
  Found->second.DrainedByOperator = Drained;
  return true;
}

} // namespace lentilhoist
