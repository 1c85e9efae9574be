#include "forward/exchange.h"

#include "core/hash.h"
#include "forward/runner_leaving.h"
#include "history/ownership.h"
#include "log/log.h"
#include "log/log_limit.h"
#include "net/frame.h"
#include "platform/request_headers.h"

#include <algorithm>
#include <limits>

namespace lentilhoist {

namespace {

using std::chrono::duration_cast;

/// Interval at which a held request looks again for a configuration or a
/// runner.
constexpr milliseconds HoldRetryInterval{30};
/// Fraction of the caller's time for which a request is held while no runner
/// accepts it. The rest leaves the caller time to retry at another instance.
constexpr double MaxHoldFraction = 0.4;
/// Longest wait for a reservation. It covers a restart of all replicas, which
/// takes about a second: an error would use up one of the caller's few
/// attempts.
constexpr milliseconds ReserveTimeout{1'200};
/// Longest wait of a request for the first configuration of an instance that
/// has just started, for the same reason as ReserveTimeout.
constexpr milliseconds ConfigurationTimeout{1'200};
/// Responses of plain services above this size are relayed unbuffered.
constexpr std::size_t MaxBufferedResponseBytes = 256UL * 1024UL;
/// Reading from the runner pauses when more than this many bytes wait for a
/// slow caller.
constexpr std::size_t MaxCallerBacklogBytes = 256UL * 1024UL;
/// An event or the body of a refusal above this size is not what a runner
/// sends; memory is not filled with it until the deadline.
constexpr std::size_t MaxEventBytes = 256UL * 1024UL;
/// Runners that may refuse a request a permit before the caller is told when to
/// come back. Three of many show that the service is at its limit.
constexpr int MaxPermitRefusals = 3;
/// What a program has drawn from its budget is kept at least this long after
/// its last turn: routes that keep no turns may state no retention, and a
/// program whose ledger has expired starts with its whole budget again.
constexpr milliseconds MinLedgerRetention{60'000};
/// Time limit of a request if neither the caller nor the route sets one.
constexpr milliseconds DefaultTimeout{30'000};
/// Separates the spread of placements from other uses of the attempt's hash.
constexpr std::uint64_t PlacementSeed = 2;
/// The address now belongs to another runner.
constexpr int StatusMisdirected = 421;
/// Reason of a failed send whose response was delimited and is not complete.
constexpr const char *EndedInsideStream = "ended_inside_stream";
/// Longest wait for a window, for the same reason as ReserveTimeout: the caller
/// may have more luck at another instance.
constexpr milliseconds MaxWindowWait{1'200};
/// Bodies up to this size are copied into one write with the head.
constexpr std::size_t MaxCopiedBodyBytes = 64UL * 1024UL;
/// Memory of a turn in the list of a chain, without its texts.
constexpr std::size_t PartOverhead = 96;
/// Longest wait for a commit. It may pass the caller's deadline, because the
/// caller has already received the output of the turn.
constexpr milliseconds CommitTimeout{3'000};

std::string_view pathOf(std::string_view Target) {
  return Target.substr(0, Target.find('?'));
}

std::string formatTruncated(double Value) {
  return std::to_string(static_cast<std::int64_t>(Value));
}

} // namespace

const char *exchange::stageName(stage Stage) {
  switch (Stage) {
  case stage::Deciding:
    return "deciding";
  case stage::Reserving:
    return "reserving";
  case stage::Holding:
    return "holding";
  case stage::Connecting:
    return "connecting";
  case stage::Awaiting:
    return "awaiting";
  case stage::Relaying:
    return "relaying";
  case stage::Committing:
    return "committing";
  case stage::Done:
    return "done";
  }
  return "unknown";
}

exchange::exchange(exchange_context &GivenContext, http_request_head GivenHead,
                   std::string GivenBody, instant GivenArrival,
                   bool GivenKeepAlive, caller_sink GivenSink)
    : Context(GivenContext), Head(std::move(GivenHead)),
      Body(std::make_shared<std::string>(std::move(GivenBody))),
      BodyCharge(Context.Memory, memory_purpose::WaitingBodies),
      ChainCharge(Context.Memory, memory_purpose::Chains),
      OutputCharge(Context.Memory, memory_purpose::Outputs),
      Arrival(GivenArrival), KeepAlive(GivenKeepAlive),
      Sink(std::move(GivenSink)), DeadlineTimer(GivenContext.Loop),
      StepTimer(GivenContext.Loop) {
  BodyCharge.set(Body->size());
  Context.BodyBytes += Body->size();
  ++Context.ActiveRequests;
}

exchange::~exchange() {
  Context.BodyBytes -= BodyCharge.bytes();
  --Context.ActiveRequests;
  if (Stream)
    Stream->close();
}

void exchange::begin() {
  platform::decode_notes Notes;
  auto Decoded = platform::decodeCallerRequest(Head, &Notes);
  if (Notes.Count > 0)
    logLimited(log_level::Warning, "caller_headers_unreadable",
               {{"request", std::string(Decoded ? Decoded->Attempt : "")},
                {"headers", joinNames(Notes)}});
  if (!Decoded) {
    respondWithError(proxy_error::BadRequest);
    return;
  }
  Traits = std::move(*Decoded);
  if (Context.BodyBytes > Context.MaxBodyBytes) {
    respondWithError(proxy_error::Overloaded);
    return;
  }
  awaitConfiguration();
}

void exchange::awaitConfiguration() {
  if (Context.Routes) {
    Stage = stage::Deciding;
    chooseRoute();
    return;
  }
  const auto Waited =
      duration_cast<milliseconds>(readClock().Steady - Arrival.Steady);
  const milliseconds TotalTime = Traits.Deadline.value_or(DefaultTimeout);
  const auto Limit = std::min<double>(
      static_cast<double>(ConfigurationTimeout.count()),
      static_cast<double>(TotalTime.count()) * MaxHoldFraction);
  if (static_cast<double>(Waited.count()) >= Limit) {
    respondWithError(proxy_error::NoConfiguration);
    return;
  }
  if (Stage != stage::Holding)
    logEvent(log_level::Info, "request_held",
             {{"request", Traits.Attempt}, {"reason", "no_configuration"}});
  scheduleRetry(&exchange::awaitConfiguration);
}

void exchange::scheduleRetry(void (exchange::*Step)()) {
  scheduleStep(Step, HoldRetryInterval);
}

void exchange::scheduleStep(void (exchange::*Step)(), milliseconds Delay) {
  Stage = stage::Holding;
  StepTimer.expires_after(Delay);
  StepTimer.async_wait(
      [Weak = weak_from_this(), Step](const asio::error_code &Error) {
        const auto Self = Weak.lock();
        if (Self && !Error && Self->Stage == stage::Holding)
          ((*Self).*Step)();
      });
}

void exchange::chooseRoute() {
  Routes = Context.Routes;
  Route = Routes->find(fieldValue(Head.Fields, "Host"), pathOf(Head.Target));
  if (!Route) {
    // 404 is final for callers: it is given only if all routes are known.
    respondWithError(Routes->config().UnknownRoutes
                         ? proxy_error::RouteUnreadable
                         : proxy_error::NoRoute);
    return;
  }
  if (Route->Unreadable) {
    respondWithError(proxy_error::RouteUnreadable);
    return;
  }
  if (!checkKey())
    return;
  if (Key)
    Owner = Workspace ? Workspace->Name : std::string(AnonymousOwner);
  Service = chooseTarget(*Route, stableHash(Traits.Attempt));
  Signature = signatureOf(Head.Method, fieldValue(Head.Fields, "Host"),
                          Head.Target, *Body);
  if (const service *Found = Routes->findService(Service))
    Engine = Found->Engine;
  milliseconds Limit =
      Route->Timeout.count() > 0 ? Route->Timeout : DefaultTimeout;
  if (Traits.Deadline)
    Limit = std::min(Limit, *Traits.Deadline);
  Deadline = later(Arrival, Limit);
  const instant Now = readClock();
  if (rejectIfStopping(Now))
    return;
  if (Route->KeepsHistory && Body->size() > MaxTurnInputBytes) {
    respondWithError(proxy_error::InputTooLarge);
    return;
  }
  recordRequest(Context.Resends, Now);
  DeadlineTimer.expires_after(timeLeft(Now));
  DeadlineTimer.async_wait(
      [Weak = weak_from_this()](const asio::error_code &Error) {
        const auto Self = Weak.lock();
        if (Self && !Error)
          Self->onTimeout();
      });
  if (needsReservation())
    reserve();
  else
    place();
}

/// Checks the caller's key against the newest configuration. The request is
/// answered if the key is not valid.
/// \returns whether the request may be served.
bool exchange::checkKey() {
  if (KeyRoutes == Context.Routes)
    return true;
  const configuration &Config = Context.Routes->config();
  // A request that began with workspaces keeps its own if there are none now.
  if (!Config.Workspaces)
    return true;
  const bool FirstCheck = !Key;
  if (FirstCheck)
    Key = platform::takeKey(Head);
  const route *Newest = Context.Routes->find(fieldValue(Head.Fields, "Host"),
                                             pathOf(Head.Target));
  access_decision Decision =
      decideAccess(Config, Context.Routes->keys(),
                   Newest ? Newest->Public : Route->Public, *Key);
  const std::string Former = Workspace ? Workspace->Name : "";
  const std::string Name = Decision.Workspace ? Decision.Workspace->Name : "";
  // What it has reserved belongs to the former workspace.
  if (Decision.Verdict == access_verdict::Granted && !FirstCheck &&
      Name != Former)
    Decision.Verdict = access_verdict::ChangedOwner;
  if (Decision.Verdict == access_verdict::Granted) {
    KeyRoutes = Context.Routes;
    Workspace = Decision.Workspace;
    return true;
  }
  const char *Reason = accessVerdictName(Decision.Verdict);
  Context.Metrics.count(
      std::string("lentilhoist_refused_keys_total{reason=\"") + Reason + "\"}");
  const auto ConfigAge = duration_cast<milliseconds>(
      readClock().Steady - Context.ConfigUpdatedAt.Steady);
  logEvent(log_level::Info, "key_refused",
           {{"request", Traits.Attempt},
            {"route", Route->Name},
            {"reason", Reason},
            {"stage", stageName(Stage)},
            {"config_version", std::to_string(Config.Version)},
            {"config_age_ms", std::to_string(ConfigAge.count())}});
  releaseRunner(false);
  respondWithError(Decision.Verdict == access_verdict::ChangedOwner
                       ? proxy_error::WorkspaceChanged
                       : proxy_error::Unauthorized);
  return false;
}

/// \returns whether the history has to know of the request before it is sent:
/// it builds on earlier turns, or draws tokens from its program's budget.
bool exchange::needsReservation() const {
  return Route->KeepsHistory ||
         (Route->Kind == route_kind::Streaming && Traits.TokenBudget);
}

milliseconds exchange::timeLeft(instant Now) const {
  return std::max(milliseconds(0),
                  duration_cast<milliseconds>(Deadline.Steady - Now.Steady));
}

void exchange::reserve() {
  // What the reservation may bring is charged before it is asked for.
  const bool Continues = Route->KeepsHistory && !Traits.PreviousTurn.empty();
  if (Continues && !ChainCharge.raise(MaxHeldChainBytes, false)) {
    const instant Now = readClock();
    if (Now.Steady - Arrival.Steady >= ReserveTimeout ||
        holdTimeLeft(Now).count() <= 0) {
      respondWithError(proxy_error::Overloaded);
      return;
    }
    if (Stage != stage::Holding)
      logEvent(
          log_level::Info, "request_held",
          {{"request", Traits.Attempt},
           {"reason", "no_memory"},
           {"account_bytes", std::to_string(chargedBytes(Context.Memory))}});
    scheduleRetry(&exchange::reserve);
    return;
  }
  Stage = stage::Reserving;
  turn_reservation Reservation;
  Reservation.Program = Traits.Program;
  Reservation.Attempt = Traits.Attempt;
  if (Route->KeepsHistory)
    Reservation.Previous = Traits.PreviousTurn;
  Reservation.MaxTokens = Traits.MaxOutputTokens;
  Reservation.Budget =
      Traits.TokenBudget.value_or(std::numeric_limits<std::uint64_t>::max());
  Reservation.RetentionMs = ledgerRetentionMs();
  Reservation.Signature = Signature;
  Reservation.Workspace = Owner;
  Reserved = true;
  const milliseconds Limit = std::min(ReserveTimeout, timeLeft(readClock()));
  History =
      Context.History.reserve(std::move(Reservation), Limit,
                              [Weak = weak_from_this()](reserve_result Result) {
                                if (const auto Self = Weak.lock())
                                  Self->onReserved(std::move(Result));
                              });
}

void exchange::onReserved(reserve_result Result) {
  const instant Now = readClock();
  ReservedAt = Now;
  Context.Metrics.observe("lentilhoist_reserve_seconds", "", Route->Name,
                          Now.Steady - Arrival.Steady);
  logEvent(log_level::Info, "turn_reserved",
           {{"request", Traits.Attempt},
            {"program", Traits.Program},
            {"workspace", Workspace ? Workspace->Name : "none"},
            {"outcome", reserveOutcomeName(Result.Outcome)},
            {"others_tokens", std::to_string(Result.OtherAttemptTokens)},
            {"most_tokens", std::to_string(Traits.MaxOutputTokens)},
            {"budget",
             Traits.TokenBudget ? std::to_string(*Traits.TokenBudget) : "none"},
            {"replica_set", std::to_string(Result.SetVersion)},
            {"previous", Traits.PreviousTurn},
            {"listed_turns", std::to_string(Result.Parts.size())}});
  switch (Result.Outcome) {
  case reserve_outcome::Granted:
    Chain = std::move(Result.Chain);
    if (!Result.Parts.empty())
      ChainParts = std::make_shared<const std::vector<text_part>>(
          std::move(Result.Parts));
    ChainCharge.set(Chain.size() +
                    (ChainParts ? ChainParts->size() * PartOverhead : 0));
    OtherAttemptTokens = Result.OtherAttemptTokens;
    recordPreviousRunner(Result.PreviousRunner, Now);
    place();
    return;
  case reserve_outcome::BudgetExhausted:
    respondWithError(proxy_error::BudgetExhausted);
    return;
  case reserve_outcome::UnknownTurn:
    respondWithError(proxy_error::UnknownTurn);
    return;
  case reserve_outcome::Unavailable:
    respondWithError(proxy_error::HistoryUnavailable);
    return;
  }
}

void exchange::recordPreviousRunner(const runner_incarnation &Life,
                                    instant Now) {
  if (runner_view *View =
          findIncarnation(Context.Runners, Life.Id, Life.BornMs))
    recordContent(*View, Traits, Now);
}

void exchange::place() {
  const instant Now = readClock();
  if (rejectIfStopping(Now) || !checkKey())
    return;
  const quarantine_decision Decision =
      decideQuarantine(Context.Suspects, Signature, Now);
  if (rejectQuarantined(Decision))
    return;
  Quarantine = Decision.Verdict;
  if (!selectWay(Now))
    return;
  placement_query Query;
  Query.Isolate = Quarantine != quarantine_verdict::Send;
  Query.Service = Service;
  Query.Domain = Context.Domain;
  Query.Request = &Traits;
  Query.Engine = Engine;
  Query.Excluded = TriedRunners;
  Query.Priority = priorityOf(*Route, Workspace);
  Query.Rank = permitRank();
  Query.OverShare = isOverWorkspaceShare(Now);
  Query.Spread = stableHash(Traits.Attempt, PlacementSeed);
  Query.Connected = Context.Pool.idleAddresses(!Relay.empty(), Now);
  Query.ProgramStarted = OtherAttemptTokens > 0;
  const placement_result Placement = placeRequest(Context.Runners, Query, Now);
  if (rejectLate(Placement, Now))
    return;
  const bool Selected = !Placement.Runner.empty() && !Placement.InBackoff;
  if (!Placement.PermitRunner.empty())
    requestPermit(Placement.PermitRunner,
                  Selected ? permit_rank::Spare : Query.Rank);
  if (!Selected) {
    // Runners that refused for lack of capacity may accept a later try.
    TriedRunners.clear();
    RateLimited = Placement.RateLimited;
    if (isRateExhausted(Placement, Now)) {
      respondWithError(proxy_error::RateLimited);
      return;
    }
    hold(Placement.Full             ? "no_room"
         : Placement.Limited > 0    ? "no_permit"
         : Placement.Runner.empty() ? "no_runner"
                                    : "all_paused");
    return;
  }
  if (!openWindow(Now) || !takeQuota(Now))
    return;
  logEvent(
      log_level::Info, "request_placed",
      {{"request", Traits.Attempt},
       {"route", Route->Name},
       {"relay", Relay.empty() ? "none" : Relay},
       {"config_version", std::to_string(Routes->config().Version)},
       {"registry_age_ms",
        Context.RegistryConfirmedAt.Steady.count() == 0
            ? "-1"
            : std::to_string(
                  (Now.Steady - Context.RegistryConfirmedAt.Steady).count() /
                  1000)},
       {"runner", Placement.Runner},
       {"candidates", std::to_string(Placement.Candidates)},
       {"cost_ms", formatTruncated(Placement.CostMs)},
       {"expected_ms", formatTruncated(Placement.ExpectedMs)},
       {"queue_ms", formatTruncated(Placement.QueueMs)},
       {"speed_percent", formatTruncated(Placement.Speed.Factor * 100)},
       {"speed_source", speedSourceName(Placement.Speed.Source)},
       {"slowdown_percent", formatTruncated(Placement.Speed.Slowdown * 100)},
       {"slowdown_age_ms", std::to_string(Placement.Speed.SlowdownAge.count())},
       {"connected", Placement.Connected ? "true" : "false"},
       {"load", formatTruncated(Placement.Load)},
       {"load_age_ms", std::to_string(Placement.LoadAge.count())},
       {"kept_tokens", std::to_string(Placement.CachedTokens)},
       {"limit_per_second",
        formatRate(Context.Runners.Runners.at(Placement.Runner)
                       .Permits.Limit.PerSecond)},
       {"priority", std::to_string(Query.Priority)},
       {"over_share", Query.OverShare ? "true" : "false"},
       {"quarantine", quarantineVerdictName(Quarantine)},
       {"program_left_ms", Traits.ProgramTimeLeft
                               ? std::to_string(Traits.ProgramTimeLeft->count())
                               : "none"},
       {"time_left_ms", std::to_string(timeLeft(Now).count())}});
  Timing = startTiming(Placement,
                       Context.Runners.Runners.at(Placement.Runner).Entry.Slots,
                       Traits.PromptTokens, Engine, Now);
  send(Placement.Runner);
}

quota exchange::workspaceQuota() const {
  return quotaOf(Workspace, KeyRoutes ? KeyRoutes->config().Version : 0);
}

bool exchange::isOverWorkspaceShare(instant Now) {
  const quota Limit = workspaceQuota();
  if (!Limit.active())
    return false;
  constexpr std::uint64_t Steps = 1'000'000;
  const double Part =
      static_cast<double>(stableHash(Traits.Attempt, 2) % Steps) / Steps;
  return isOverShare(findStock(Context.Quotas, Workspace->Name, Now), Limit,
                     Part, Now);
}

/// Takes a permit of the workspace for the next send.
/// \returns false if there is none; the request then waits for one or is
/// answered.
bool exchange::takeQuota(instant Now) {
  const quota Limit = workspaceQuota();
  if (!Limit.active())
    return true;
  const quota_decision Decision = advanceQuota(
      Context, Workspace->Name, Limit, QuotaProgress, holdTimeLeft(Now),
      Traits.Attempt, [Weak = weak_from_this()](const quota_reply &Reply) {
        const auto Self = Weak.lock();
        if (!Self)
          return;
        if (Self->Stage != stage::Holding) { // It has got another permit.
          Self->QuotaProgress.Sent.reset();
          Self->QuotaProgress.RetryAt = {};
          return;
        }
        applyQuotaAnswer(Self->QuotaProgress, Reply, readClock());
        Self->StepTimer.cancel();
        Self->place();
      });
  switch (Decision.Step) {
  case quota_step::Send:
    return true;
  case quota_step::Wait:
    closeWindow(); // Others may use it meanwhile.
    scheduleStep(&exchange::place,
                 std::max(milliseconds(1),
                          std::chrono::ceil<milliseconds>(
                              QuotaProgress.RetryAt.Steady - Now.Steady)));
    return false;
  case quota_step::Refuse:
    QuotaRetry = Decision.RetryAfter;
    respondWithError(proxy_error::QuotaExceeded);
    return false;
  case quota_step::GiveUp:
    respondWithError(proxy_error::QuotaUndecided);
    return false;
  }
  return false;
}

/// Rejects a request that certainly cannot finish in time.
bool exchange::rejectLate(const placement_result &Placement, instant Now) {
  // A request that may have run is not answered as not run.
  if (Sends.MayHaveRun > 0 ||
      !cannotFinish(Placement.Completion, timeLeft(Now)))
    return false;
  const milliseconds Room =
      roomExpectedIn(Placement.Completion, stableHash(Traits.Attempt, 1));
  logEvent(log_level::Info, "request_too_late",
           {{"request", Traits.Attempt},
            {"service", Service},
            {"time_left_ms", std::to_string(timeLeft(Now).count())},
            {"earliest_ms", formatTruncated(Placement.Completion.EarliestMs)},
            {"expected_ms", formatTruncated(Placement.Completion.ExpectedMs)},
            {"queue_ms", formatTruncated(Placement.Completion.QueueMs)},
            {"candidates", std::to_string(Placement.Candidates)},
            {"refusals", std::to_string(Sends.NotRun)},
            {"retry_in_ms", std::to_string(Room.count())}});
  respondWithError(proxy_error::NoTime, Room);
  return true;
}

/// Decides whether the next send goes through a relay.
/// \returns false if there is neither a path nor a relay; the request is then
/// held or answered.
bool exchange::selectWay(instant Now) {
  Relay.clear();
  if (Context.Path.State == path_state::Open)
    return true;
  Relay = chooseRelay(Context.Relays, Now);
  if (!Relay.empty())
    return true;
  if (mayFindRelay(Context.Relays, Now))
    hold("no_path");
  else
    respondWithError(proxy_error::PathLost);
  return false;
}

bool exchange::rejectQuarantined(const quarantine_decision &Decision) {
  if (Decision.Verdict != quarantine_verdict::Reject)
    return false;
  logEvent(log_level::Warning, "request_quarantined",
           {{"request", Traits.Attempt},
            {"signature", formatSignature(Signature)},
            {"crashes", std::to_string(Decision.Crashes)},
            {"early_crashes", std::to_string(Decision.EarlyCrashes)},
            {"retry_in_ms", std::to_string(Decision.RetryIn.count())}});
  respondWithError(proxy_error::Quarantined);
  return true;
}

permit_rank exchange::permitRank() const {
  if (Traits.ProgramTimeLeft && Traits.ProgramTimeLeft->count() <= 0)
    return permit_rank::Late;
  const bool Begun = !needsReservation() || !Traits.PreviousTurn.empty() ||
                     OtherAttemptTokens > 0;
  return Begun ? permit_rank::UnderWay : permit_rank::New;
}

void exchange::requestPermit(const std::string &Id, permit_rank Rank) {
  const instant Now = readClock();
  const auto Ignore = [](permit_outcome) {};
  if (Rank == permit_rank::Spare) {
    Context.Runners.Runners.at(Id).Permits.SpareRequestedAt = Now;
    lentilhoist::requestPermit(Context, Id, Rank, milliseconds(0),
                               Traits.Attempt, Ignore);
    return;
  }
  if (waitsForPermit(Now))
    return;
  PermitRequestedAt = Now;
  lentilhoist::requestPermit(Context, Id, Rank, holdTimeLeft(Now),
                             Traits.Attempt,
                             [Weak = weak_from_this()](permit_outcome Outcome) {
                               if (const auto Self = Weak.lock())
                                 Self->onPermit(Outcome);
                             });
}

bool exchange::waitsForPermit(instant Now) const {
  const bool Requested =
      PermitRequestedAt.Steady.count() != 0 &&
      Now.Steady - PermitRequestedAt.Steady < PermitReplyTimeout;
  return Requested || PermitUntil.Steady > Now.Steady;
}

void exchange::onPermit(permit_outcome Outcome) {
  PermitRequestedAt = {};
  if (Outcome.Granted)
    PermitUntil = later(readClock(), Outcome.Delay + PermitLifetime);
  else
    ++PermitRefusals;
  if (Stage != stage::Holding)
    return;
  StepTimer.cancel();
  place();
}

bool exchange::isRateExhausted(const placement_result &Placement,
                               instant Now) const {
  if (!Placement.Runner.empty() || !Placement.RateLimited)
    return false;
  if (waitsForPermit(Now))
    return false;
  const bool Refused =
      Placement.PermitRunner.empty() || PermitRefusals >= MaxPermitRefusals;
  // What is under way may wait for a slot at a runner without a limit.
  return Refused && (!Placement.Full || permitRank() == permit_rank::New);
}

milliseconds exchange::holdTimeLeft(instant Now) const {
  const double Total = static_cast<double>(
      duration_cast<milliseconds>(Deadline.Steady - Arrival.Steady).count());
  const auto Limit =
      milliseconds(static_cast<std::int64_t>(Total * MaxHoldFraction));
  return Limit - duration_cast<milliseconds>(Now.Steady - Arrival.Steady);
}

/// Opens the window that the texts of earlier turns need on their way.
/// \returns false if there is none; the request then waits or is answered.
bool exchange::openWindow(instant Now) {
  if (!ChainParts || Window)
    return true;
  if (WindowTicket)
    return false;
  Window = Context.Transfers.tryOpen(Now);
  if (Window)
    return true;
  const milliseconds Longest = std::min(MaxWindowWait, holdTimeLeft(Now));
  const milliseconds Expected = Context.Transfers.expectedWait();
  logEvent(log_level::Info, "request_held",
           {{"request", Traits.Attempt},
            {"reason", "no_window"},
            {"windows", std::to_string(Context.Transfers.open())},
            {"waiting", std::to_string(Context.Transfers.waiting())},
            {"expected_ms", std::to_string(Expected.count())},
            {"longest_ms", std::to_string(Longest.count())}});
  if (Expected > Longest) {
    refuseForWindow();
    return false;
  }
  StepTimer.cancel();
  Stage = stage::Holding;
  WindowTicket = Context.Transfers.wait(
      {Arrival, later(Now, Longest)},
      [Weak = weak_from_this()](transfer_window_ptr Opened) {
        if (const auto Self = Weak.lock())
          Self->onWindow(std::move(Opened));
      });
  return false;
}

void exchange::onWindow(transfer_window_ptr Opened) {
  WindowTicket.reset();
  if (Stage != stage::Holding)
    return;
  if (!Opened) {
    refuseForWindow();
    return;
  }
  Window = std::move(Opened);
  StepTimer.cancel();
  place();
}

/// Tells the caller to come back when a window is expected to be free.
void exchange::refuseForWindow() {
  respondWithError(proxy_error::Overloaded,
                   std::max(Context.Transfers.expectedWait(),
                            retryAfter(proxy_error::Overloaded,
                                       stableHash(Traits.Attempt, 1))));
}

void exchange::closeWindow() {
  if (WindowTicket)
    Context.Transfers.cancel(*std::exchange(WindowTicket, std::nullopt));
  Window.reset();
}

void exchange::hold(const char *Reason) {
  closeWindow(); // Others may use it meanwhile.
  const instant Now = readClock();
  if (holdTimeLeft(Now).count() < 0) {
    respondWithError(RateLimited        ? proxy_error::RateLimited
                     : Sends.NotRun > 0 ? proxy_error::RunnersFull
                                        : proxy_error::NoRunner);
    return;
  }
  if (Stage != stage::Holding)
    logEvent(log_level::Info, "request_held",
             {{"request", Traits.Attempt},
              {"reason", Reason},
              {"service", Service},
              {"refusals", std::to_string(Sends.NotRun)}});
  scheduleRetry(&exchange::place);
}

runner_view *exchange::currentRunner() {
  // Null if the runner has restarted: the new process does not know this
  // request.
  return findIncarnation(Context.Runners, RunnerId, RunnerBornMs);
}

void exchange::send(const std::string &Id) {
  const instant Now = readClock();
  runner_view &View = Context.Runners.Runners.at(Id);
  RunnerId = Id;
  RunnerBornMs = View.Entry.BornMs;
  RunnerAddress = View.Entry.Address;
  TriedRunners.insert(Id);
  usePermit(View.Permits, Now);
  PermitUntil = {};
  SentAt = Now;
  if (Quarantine == quarantine_verdict::Trial) {
    recordTrial(Context.Suspects, Signature, Now);
    shareSuspects(Context, {Signature});
  }
  SlotFreeAtSend = estimateLoad(Context.Runners, View, Now) + 1 <=
                   static_cast<double>(View.Entry.Slots);
  UncachedTokens = std::max<std::int64_t>(
      0, Traits.PromptTokens - cachedPrefixTokens(View, Traits));
  ++View.Outstanding;
  recordContent(View, Traits, Now);
  Reader.reset();
  if (Head.Method == "HEAD")
    Reader.expectNoBody();
  RunnerResponse = {};
  RunnerEnd = "open";
  EventStream = false;
  ResponseBody.clear();
  Stream =
      Context.Pool.acquire(RunnerAddress, !Relay.empty(), Traits.Attempt, Now);
  ReusedConnection = Stream != nullptr;
  if (!ReusedConnection)
    Stream = Context.Pool.createUnconnected(
        {RunnerAddress, Relay, RunnerId, RunnerBornMs});
  Relay = Stream->target().Relay;
  if (!Relay.empty()) {
    Context.Metrics.count("lentilhoist_relayed_sends_total");
    if (const auto Found = Context.Relays.Relays.find(Relay);
        Found != Context.Relays.Relays.end())
      ++Found->second.Requests;
  }
  const std::weak_ptr<exchange> Weak = weak_from_this();
  const runner_connection *ExpectedStream = Stream.get();
  tcp_stream::handlers Handlers;
  Handlers.OnConnected = [Weak, ExpectedStream] {
    const auto Self = Weak.lock();
    if (!Self || Self->Stream.get() != ExpectedStream)
      return;
    if (Self->Relay.empty())
      reportPathConnect(Self->Context, Self->RunnerId, Self->RunnerBornMs, true,
                        false);
    Self->writeRequest();
  };
  Handlers.OnBytes = [Weak, ExpectedStream](std::string_view Bytes) {
    const auto Self = Weak.lock();
    if (Self && Self->Stream.get() == ExpectedStream)
      Self->onRunnerBytes(Bytes);
  };
  Handlers.OnDrained = [Weak, ExpectedStream] {
    const auto Self = Weak.lock();
    if (Self && Self->Stream.get() == ExpectedStream && Self->Sender)
      Self->Sender->onDrained();
  };
  Handlers.OnEnd = [Weak, ExpectedStream](stream_end End) {
    const auto Self = Weak.lock();
    if (Self && Self->Stream.get() == ExpectedStream)
      Self->onRunnerEnd(End);
  };
  Stream->setHandlers(std::move(Handlers));
  if (ReusedConnection) {
    writeRequest();
    return;
  }
  Context.Metrics.count("lentilhoist_runner_connections_total");
  Stage = stage::Connecting;
  Stream->connect();
}

void exchange::writeRequest() {
  // The configuration may have changed while the connection was opened.
  if (!checkKey())
    return;
  const instant Now = readClock();
  if (const quota Limit = workspaceQuota();
      Limit.active() &&
      !hasPermit(Context, Workspace->Name, Limit, QuotaProgress, Now)) {
    TriedRunners.erase(RunnerId);
    onSendFailed(send_outcome::NotSent, "quota_permit_lapsed", false);
    return;
  }
  Stage = stage::Awaiting;
  if (Relay.empty()) {
    Context.DirectExchanges.insert(weak_from_this());
    reportPathSent(Context);
  }
  platform::runner_request_options Order;
  Order.RunnerId = RunnerId;
  Order.TimeLeft = timeLeft(Now);
  if (Key)
    Order.Workspace = Workspace ? Workspace->Name : std::string();
  writeBody(platform::encodeRunnerRequest(Head, Order));
}

/// Writes the request: at once if it is small, otherwise as the runner takes
/// it.
void exchange::writeBody(const http_request_head &RunnerHead) {
  if (!ChainParts && Body->size() <= MaxCopiedBodyBytes) {
    Stream->write(encodeRequest(RunnerHead, Chain, *Body));
    return;
  }
  std::uint64_t Length = Chain.size() + Body->size();
  if (ChainParts)
    for (const text_part &Part : *ChainParts)
      Length += Part.Bytes;
  Stream->write(encodeRequestHead(RunnerHead, Length) + Chain);
  body_sender::handlers Handlers;
  const std::weak_ptr<exchange> Weak = weak_from_this();
  const runner_connection *ExpectedStream = Stream.get();
  Handlers.OnSent = [Weak, ExpectedStream] {
    const auto Self = Weak.lock();
    if (Self && Self->Stream.get() == ExpectedStream)
      Self->closeWindow();
  };
  Handlers.OnFailed = [Weak, ExpectedStream] {
    const auto Self = Weak.lock();
    if (Self && Self->Stream.get() == ExpectedStream)
      Self->onSendFailed(send_outcome::Unknown, "history_away", false);
  };
  Sender = std::make_shared<body_sender>(
      Context.History, Stream, request_body{ChainParts, Owner, Body, Deadline},
      std::move(Handlers));
  Sender->start();
}

void exchange::onRunnerBytes(std::string_view Bytes) {
  if (Relay.empty())
    reportPathHeard(Context, RunnerId, RunnerBornMs);
  const bool HadHead = Reader.headComplete();
  const std::size_t Consumed = Reader.feed(Bytes);
  if (Reader.error() != http_read_error::None) {
    onSendFailed(send_outcome::Unknown, "malformed_answer");
    return;
  }
  if (!HadHead && Reader.headComplete()) {
    onResponseHead();
    if (Stage == stage::Done || !Stream)
      return;
  }
  if (!Reader.headComplete())
    return;
  const bool HasTrailingBytes = Consumed < Bytes.size();
  onResponseBody();
  OutputCharge.set(Output.size() + ResponseBody.size());
  if (isResponseTooLarge()) {
    onSendFailed(send_outcome::Unknown, "response_too_large");
    return;
  }
  if (Stage == stage::Done || !Stream || !Reader.complete())
    return;
  if (HasTrailingBytes) // Bytes after the response belong to no request.
    Stream->close();
  if (isWhole())
    onResponseComplete();
  else
    onSendFailed(send_outcome::Unknown, EndedInsideStream);
}

void exchange::onResponseHead() {
  const instant Now = readClock();
  platform::decode_notes Notes;
  RunnerResponse = platform::decodeRunnerResponse(Reader.response(), &Notes);
  if (Notes.Count > 0) {
    Context.Metrics.count("lentilhoist_unreadable_runner_headers_total");
    logLimited(log_level::Warning, "runner_headers_unreadable",
               {{"request", Traits.Attempt},
                {"runner", RunnerId},
                {"headers", joinNames(Notes)}});
  }
  FirstByte = Now;
  runner_view *View = currentRunner();
  if (View && RunnerResponse.Load)
    recordLoad(Context.Runners, *View, *RunnerResponse.Load, Now);
  // Whichever request it answers, it is this runner's, unless the address has
  // been taken over.
  if (RunnerResponse.Leaving && Reader.response().Status != StatusMisdirected) {
    reportLeaving(Context, RunnerId, RunnerBornMs, "response");
    Stream->announceLeaving();
  }
  // A late copy of an earlier response, also of a refusal, may precede the one
  // that is awaited; on a kept connection only the ID tells them apart.
  const bool Named = !RunnerResponse.Attempt.empty();
  const bool OtherRequest =
      Named ? RunnerResponse.Attempt != Traits.Attempt : ReusedConnection;
  if (OtherRequest) {
    onSendFailed(send_outcome::Unknown, "answer_of_another_request");
    return;
  }
  if (View)
    recordRateLimit(*View, Now);
  if (!isCredible(Reader.response().Status, RunnerResponse.NotExecuted)) {
    onSendFailed(send_outcome::Unknown, "answer_without_statement");
    return;
  }
  if (RunnerResponse.NotExecuted)
    return;
  const bool Success = Reader.response().Status / 100 == 2;
  EventStream = Success &&
                (RunnerResponse.Events || Route->Kind == route_kind::Streaming);
  if (Success && (!RunnerResponse.Sealed || RunnerResponse.Encoded)) {
    onSendFailed(send_outcome::Unknown, "answer_without_proof");
    return;
  }
  if (Success && Route->Kind == route_kind::Streaming)
    startRelaying();
}

/// Updates the estimates of the runner's speed.
/// \param Complete whether the whole response has arrived.
void exchange::observeSpeed(bool Complete) {
  runner_view *View = currentRunner();
  const bool Success = !RunnerResponse.NotExecuted &&
                       (!Complete || Reader.response().Status / 100 == 2);
  if (!View || !Success)
    return;
  const instant Now = readClock();
  recordWork(Context.Runners, *View,
             observedWork(Timing, RunnerResponse.Load, Complete, Now), Now);
}

void exchange::recordRateLimit(runner_view &View, instant Now) {
  // The runner that answers is not the one that was meant.
  if (Reader.response().Status == StatusMisdirected)
    return;
  // A refusal may state a limit, but one without a limit doesn't end it.
  if (RunnerResponse.NotExecuted && !RunnerResponse.RateLimit)
    return;
  const double Former = View.Permits.Limit.PerSecond;
  if (!applyNotice(View.Permits, RunnerResponse.RateLimit.value_or(0), 0, Now))
    return;
  logEvent(log_level::Info, "runner_limit_changed",
           {{"request", Traits.Attempt},
            {"runner", RunnerId},
            {"per_second", formatRate(View.Permits.Limit.PerSecond)},
            {"former_per_second", formatRate(Former)},
            {"source", "runner"}});
}

void exchange::startRelaying() {
  Buffered = false;
  ResponseStarted = true;
  Stage = stage::Relaying;
  Sink.Write(
      encodeResponseHead(platform::encodeCallerResponse(Reader.response()),
                         body_framing::Chunked, 0, promiseClose()));
}

bool exchange::isWhole() const {
  response_progress Progress;
  Progress.Framing = Reader.framing();
  Progress.Delimited = Reader.complete();
  Progress.EventStream = EventStream;
  // What relayBody() leaves is the start of an event.
  const std::size_t WholeEvents =
      Buffered ? wholeEventsLength(ResponseBody) : 0;
  Progress.InsideEvent = ResponseBody.size() > WholeEvents;
  Progress.AnyEvent = ResponseBytes > 0 || WholeEvents > 0;
  return isComplete(Progress);
}

bool exchange::isResponseTooLarge() const {
  if (RunnerResponse.NotExecuted)
    return ResponseBody.size() > MaxEventBytes;
  return EventStream && !Buffered &&
         (ResponseBody.size() > MaxEventBytes ||
          Output.size() > MaxTurnOutputBytes);
}

void exchange::onResponseBody() {
  ResponseBody += Reader.takeBody();
  if (!Buffered) {
    relayBody();
    return;
  }
  if (ResponseBody.size() > MaxBufferedResponseBytes &&
      !RunnerResponse.NotExecuted)
    startRelaying();
}

void exchange::relayBody() {
  // Relays whole events only: a caller cannot use the start of an event that
  // the runner never completes.
  const std::size_t Length =
      EventStream ? wholeEventsLength(ResponseBody) : ResponseBody.size();
  if (Length == 0)
    return;
  const std::string_view Ready =
      std::string_view(ResponseBody).substr(0, Length);
  Events.add(Ready, [this](std::string_view Data) {
    ++EventCount;
    if (Route->KeepsHistory) {
      Output += Data;
      Output += '\n';
    }
  });
  if (EventStream)
    recordEvents(Timing, EventCount, readClock());
  ResponseBytes += Length;
  Sink.Write(encodeChunk(Ready));
  ResponseBody.erase(0, Length);
  if (Sink.PendingBytes() > MaxCallerBacklogBytes && Stream)
    Stream->pauseReading(true);
}

void exchange::onCallerDrained() {
  if (Stream)
    Stream->pauseReading(false);
}

void exchange::onResponseComplete() {
  const instant Now = readClock();
  ResponseCompletedAt = Now;
  if (RunnerResponse.NotExecuted) {
    const bool Misdirected = Reader.response().Status == StatusMisdirected;
    if (runner_view *View = currentRunner()) {
      Misdirected ? recordFailure(*View, Now) : recordRefusal(*View, Now);
      const auto &Load = RunnerResponse.Load;
      // A limited rate is a reason to refuse with free slots.
      if (!Misdirected && Load && !RunnerResponse.RateLimit &&
          !View->Permits.Limit.active() &&
          isFalseRefusal(Load->Running, Load->Waiting, Load->Slots))
        reportRunnerOutcome(outcome_kind::Fault);
    }
    onSendFailed(send_outcome::Refused,
                 Misdirected ? "another_runner" : "full");
    return;
  }
  if (runner_view *View = currentRunner())
    recordSuccess(*View);
  const bool ServerError = Reader.response().Status / 100 == 5;
  // Errors are often quick, and say nothing about the runner's speed.
  reportRunnerOutcome(ServerError ? outcome_kind::Error : outcome_kind::Success,
                      SlotFreeAtSend && !ServerError
                          ? slownessOf(Now.Steady - SentAt.Steady, workSize())
                          : 0);
  observeSpeed(true);
  if (recordCompletion(Context.Suspects, Signature, Now))
    shareSuspects(Context, {Signature});
  // A runner that responds early leaves part of the request body unsent, so
  // the connection cannot be reused.
  const bool Reusable = Reader.keepAlive() && !Reader.endsWithConnection() &&
                        !Stream->closed() && Stream->pendingBytes() == 0 &&
                        isSent();
  releaseRunner(Reusable);
  if (!Buffered) {
    if (Route->KeepsHistory)
      commit();
    else
      finishRelayed();
    return;
  }
  ResponseStarted = true;
  ResponseBytes = ResponseBody.size();
  std::string Bytes = encodeResponseHead(
      platform::encodeCallerResponse(Reader.response()), body_framing::Length,
      ResponseBody.size(), promiseClose());
  if (Head.Method != "HEAD")
    Bytes += ResponseBody;
  finishResponse(std::move(Bytes));
}

void exchange::commit() {
  Stage = stage::Committing;
  turn_record Turn;
  Turn.Id = Traits.Attempt;
  Turn.Previous = Traits.PreviousTurn;
  Turn.Program = Traits.Program;
  // Nothing sends the input any more, unless the system has yet to take it.
  Turn.Input = Body.use_count() == 1 ? std::move(*Body) : *Body;
  Turn.Output = std::move(Output);
  Turn.Tokens = EventCount * (Engine ? Engine->TokensPerEvent : 1);
  Turn.RetentionMs = static_cast<std::uint64_t>(Route->Retention.count());
  Turn.Runner = {RunnerId, RunnerBornMs};
  Turn.Workspace = Owner;
  Reserved = false; // The commit settles the tokens.
  std::optional<std::string_view> HeldChain;
  if (!ChainParts)
    HeldChain = Chain;
  History = Context.History.commit(
      std::move(Turn), HeldChain, CommitTimeout,
      [Weak = weak_from_this()](bool Durable) {
        const auto Self = Weak.lock();
        if (!Self || Self->Stage != stage::Committing)
          return;
        Self->Context.Metrics.observe(
            "lentilhoist_commit_seconds", "", Self->Route->Name,
            readClock().Steady - Self->ResponseCompletedAt.Steady);
        if (Durable)
          Self->finishRelayed();
        else
          Self->abortResponse("history_away");
      });
}

void exchange::onRunnerEnd(stream_end End) {
  const instant Now = readClock();
  RunnerEnd = streamEndName(End);
  if (End == stream_end::ConnectFailed) {
    onConnectFailed();
    return;
  }
  if (Stream->relayBroke()) {
    reportRelayFailed(Context, Relay, tunnel_refusal::None);
    onSendFailed(send_outcome::Unknown, "relay_broke", false);
    return;
  }
  if (End == stream_end::Finished && Reader.headComplete()) {
    Reader.feedEnd();
    onResponseBody();
    if (isWhole()) {
      onResponseComplete();
      return;
    }
  }
  // An engine answers with the head as soon as it begins to run a request.
  const bool Begun = Route->Kind != route_kind::Streaming || ResponseStarted;
  const bool NoOutput = EventCount == 0 && ResponseBody.empty();
  watchBrokenSend(Context, RunnerId, RunnerBornMs,
                  {Signature, Now, Begun && NoOutput});
  onSendFailed(send_outcome::Unknown,
               Reader.complete() ? EndedInsideStream : streamEndName(End));
}

void exchange::onConnectFailed() {
  if (Relay.empty()) {
    const bool Refused = readClock().Steady - SentAt.Steady < MaxRefusalTime;
    reportPathConnect(Context, RunnerId, RunnerBornMs, false, Refused);
    // If that was the last sign of a lost path, the runner is sound.
    onSendFailed(send_outcome::NotSent, "connect_failed",
                 Context.Path.State == path_state::Open);
    return;
  }
  const tunnel_refusal Refusal = Stream->refusal();
  const bool RunnerFailed = Refusal == tunnel_refusal::RunnerUnreachable;
  if (!RunnerFailed) {
    reportRelayFailed(Context, Relay, Refusal);
    TriedRunners.erase(RunnerId);
  }
  onSendFailed(send_outcome::NotSent,
               RunnerFailed ? "connect_failed" : "relay_failed", RunnerFailed);
}

void exchange::onCutOff() {
  const bool Waits =
      Stage == stage::Awaiting && Stream && Relay.empty() && !Reader.started();
  if (Waits && Route->Kind == route_kind::Idempotent && !CallerLeft)
    onSendFailed(send_outcome::Unknown, "path_lost", false);
}

void exchange::onSendFailed(send_outcome Outcome, const char *Reason,
                            bool RunnerFailed) {
  const instant Now = readClock();
  if (runner_view *View = currentRunner();
      View && RunnerFailed && Outcome != send_outcome::Refused) {
    recordFailure(*View, Now);
    reportRunnerOutcome(Outcome == send_outcome::NotSent
                            ? outcome_kind::Unreachable
                            : outcome_kind::Fault);
  }
  if (Outcome == send_outcome::Refused && Stream)
    Stream->recordRefusal(Traits.Attempt);
  // A second copy of a refusal that names no request could be taken for the
  // refusal of the connection's next request.
  releaseRunner(Outcome == send_outcome::Refused && Reader.complete() &&
                !RunnerResponse.Attempt.empty() && Reader.keepAlive() &&
                Stream && !Stream->closed() && Stream->pendingBytes() == 0 &&
                isSent());
  countFailedSend(Sends, Outcome);
  // Another send may run besides this one.
  if (Outcome == send_outcome::Unknown)
    QuotaProgress.PermitUntil = {};
  Context.Metrics.count(
      std::string("lentilhoist_failed_sends_total{outcome=\"") +
      sendOutcomeName(Outcome) + "\"}");
  bool Retry = !ResponseStarted && !CallerLeft && mayResend(*Route, Sends) &&
               timeLeft(Now).count() > 0;
  // A send that this instance's own path or a relay has lost put no load on a
  // runner.
  const bool Denied =
      Retry && RunnerFailed && !takeResend(Context.Resends, Now);
  if (Denied) {
    Retry = false;
    Context.Metrics.count("lentilhoist_resends_denied_total");
  }
  logEvent(log_level::Info, "send_failed",
           {{"request", Traits.Attempt},
            {"runner", RunnerId},
            {"relay", Relay.empty() ? "none" : Relay},
            {"outcome", sendOutcomeName(Outcome)},
            {"reason", Reason},
            {"reused_connection", ReusedConnection ? "true" : "false"},
            {"events", std::to_string(EventCount)},
            {"framing", responseFraming()},
            {"resends_left", formatTruncated(Context.Resends.Resends)},
            {"again", Denied  ? "no_budget"
                      : Retry ? "true"
                              : "false"}});
  if (Retry) {
    place();
    return;
  }
  if (ResponseStarted) {
    abortResponse(Reason);
    return;
  }
  respondWithError(Outcome == send_outcome::Refused
                       ? proxy_error::RunnersFull
                       : proxy_error::RunnerFailed);
}

/// \returns the size of the request as far as it has been answered.
work_size exchange::workSize() const {
  return {Engine.has_value(), UncachedTokens,
          EventCount * (Engine ? Engine->TokensPerEvent : 1)};
}

void exchange::reportRunnerOutcome(outcome_kind Kind, double Slowness) {
  reportOutcome(
      Context, {Traits.Attempt, RunnerId, RunnerBornMs, !Relay.empty(), SentAt},
      {Kind, Slowness});
}

/// A request that is cut by its deadline tells about the runner only if it had
/// a free slot and has sent no part of the response. A short deadline is none
/// of its faults.
void exchange::reportHang() {
  const bool AtRunner = Stage == stage::Awaiting || Stage == stage::Relaying;
  if (AtRunner && SlotFreeAtSend && EventCount == 0 && ResponseBytes == 0 &&
      ResponseBody.empty() &&
      isHang(readClock().Steady - SentAt.Steady, workSize()))
    reportRunnerOutcome(outcome_kind::Fault);
}

void exchange::onTimeout() {
  if (Stage == stage::Done || Stage == stage::Committing)
    return;
  reportHang();
  // On a lost path, the silence says nothing of the runner.
  const bool Sent = Stage == stage::Awaiting || Stage == stage::Relaying;
  if (Sent && Context.Path.State == path_state::Open)
    observeSpeed(false);
  if (ResponseStarted) {
    abortResponse("timed_out");
    return;
  }
  if (Stage == stage::Awaiting)
    countFailedSend(Sends, send_outcome::Unknown);
  releaseRunner(false);
  respondWithError(proxy_error::TimedOut);
}

/// Decides, for the head of the response, whether the connection ends after it.
bool exchange::promiseClose() {
  ClosePromised = !KeepAlive || Context.Draining;
  return ClosePromised;
}

/// Rejects a request that the exit of this process could cut.
bool exchange::rejectIfStopping(instant Now) {
  const bool Bounded =
      Context.Draining && Context.LastDeadline.Steady.count() != 0;
  if (!Bounded || Now.Steady < Context.UnboundedSendsUntil.Steady ||
      Deadline.Steady <= Context.LastDeadline.Steady)
    return false;
  respondWithError(proxy_error::Stopping);
  return true;
}

void exchange::respondWithError(proxy_error Reason,
                                std::optional<milliseconds> RoomIn) {
  const int Status = statusOf(Reason, Sends);
  const std::uint64_t Hash = stableHash(Traits.Attempt, 1);
  const milliseconds RetryDelay =
      Status == 503   ? RoomIn.value_or(retryAfter(Reason, Hash))
      : Status == 429 ? QuotaRetry
                      : milliseconds(0);
  const bool Close = promiseClose();
  const std::string Text =
      std::string("{\"error\":\"") + proxyErrorName(Reason) + "\"}\n";
  http_response_head Response =
      platform::encodeErrorResponse(Status, Traits.Attempt, RetryDelay);
  Response.Fields.push_back({"Content-Type", "application/json"});
  std::string Bytes =
      encodeResponseHead(Response, body_framing::Length, Text.size(), Close);
  if (Head.Method != "HEAD")
    Bytes += Text;
  settleReservation();
  Sink.Write(std::move(Bytes));
  const auto Finish = Sink.Finish;
  finalize(proxyErrorName(Reason), Status);
  Finish(Close);
}

/// Completes a response whose head has been sent by startRelaying().
void exchange::finishRelayed() {
  const bool HasBody =
      Head.Method != "HEAD" && allowsBody(Reader.response().Status);
  finishResponse(HasBody ? std::string(LastChunk) : std::string());
}

void exchange::finishResponse(std::string Tail) {
  const int Status = Reader.response().Status;
  settleReservation();
  Sink.Write(std::move(Tail));
  const auto Finish = Sink.Finish;
  finalize("answered", Status);
  Finish(ClosePromised);
}

void exchange::abortResponse(const char *Reason) {
  releaseRunner(false);
  settleReservation();
  const auto Abort = Sink.Abort;
  finalize(Reason, 0);
  Abort();
}

void exchange::onCallerDisconnected() {
  if (Stage == stage::Done)
    return;
  // A request that must not be executed twice is not cancelled while it may be
  // executing. Its response is read and discarded.
  const bool KeepRunning = Route && Route->Kind == route_kind::NonIdempotent &&
                           Stage == stage::Awaiting;
  if (KeepRunning) {
    CallerLeft = true;
    Sink.Write = [](const std::string &) {};
    Sink.PendingBytes = [] { return std::size_t{0}; };
    Sink.Finish = [](bool) {};
    Sink.Abort = [] {};
    Context.Detached.insert(shared_from_this());
    return;
  }
  Context.History.cancel(Stage == stage::Committing ? nullptr : History);
  releaseRunner(false);
  settleReservation();
  finalize("caller_left", 0);
}

void exchange::releaseRunner(bool Reusable) {
  Sender.reset();
  closeWindow();
  if (!Stream)
    return;
  if (runner_view *View = currentRunner())
    View->Outstanding = std::max(0, View->Outstanding - 1);
  if (Context.DirectExchanges.erase(weak_from_this()) != 0)
    recordPathEnded(Context.Path);
  if (const auto Found = Context.Relays.Relays.find(Relay);
      Found != Context.Relays.Relays.end())
    Found->second.Requests = std::max(0, Found->second.Requests - 1);
  const auto Connection = std::exchange(Stream, nullptr);
  if (Reusable && Connection->reusable())
    Context.Pool.release(Connection, RunnerResponse.KeepAlive, readClock());
  else
    Connection->close();
}

void exchange::settleReservation() {
  if (!Reserved)
    return;
  Reserved = false;
  const std::uint64_t Tokens =
      EventCount * (Engine ? Engine->TokensPerEvent : 1);
  Context.History.settle(Owner, Traits.Program, {Traits.Attempt, Tokens, true},
                         ledgerRetentionMs());
}

std::uint64_t exchange::ledgerRetentionMs() const {
  return static_cast<std::uint64_t>(
      std::max(Route->Retention, MinLedgerRetention).count());
}

const char *exchange::responseFraming() const {
  return Reader.headComplete() ? bodyFramingName(Reader.framing()) : "none";
}

void exchange::finalize(const char *Result, int Status) {
  const instant Now = readClock();
  const stage Last = std::exchange(Stage, stage::Done);
  DeadlineTimer.cancel();
  StepTimer.cancel();
  closeWindow();
  const auto Since = [&](instant Then) {
    return Then.Steady.count() == 0
               ? std::string("-1")
               : std::to_string(
                     duration_cast<milliseconds>(Then.Steady - Arrival.Steady)
                         .count());
  };
  const std::string RouteName = Route ? Route->Name : "none";
  Context.Metrics.count("lentilhoist_requests_total{route=\"" + RouteName +
                        "\",result=\"" + Result + "\"}");
  Context.Metrics.observe("lentilhoist_request_seconds", "", RouteName,
                          Now.Steady - Arrival.Steady);
  logEvent(log_level::Info, "request_done",
           {{"request", Traits.Attempt},
            {"program", Traits.Program},
            {"workspace", Workspace ? Workspace->Name : "none"},
            {"route", RouteName},
            {"result", Result},
            {"status", std::to_string(Status)},
            {"stage", stageName(Last)},
            {"runner", RunnerId},
            {"relay", Relay.empty() ? "none" : Relay},
            {"sends_not_run", std::to_string(Sends.NotRun)},
            {"sends_unknown", std::to_string(Sends.MayHaveRun)},
            {"reserved_ms", Since(ReservedAt)},
            {"first_byte_ms", Since(FirstByte)},
            {"runner_done_ms", Since(ResponseCompletedAt)},
            {"total_ms", Since(Now)},
            {"events", std::to_string(EventCount)},
            {"bytes", std::to_string(ResponseBytes)},
            {"framing", responseFraming()},
            {"runner_end", RunnerEnd}});
  Sink = {};
  Context.Detached.erase(shared_from_this());
}

} // namespace lentilhoist
