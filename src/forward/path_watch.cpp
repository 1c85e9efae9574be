#include "forward/path_watch.h"

#include "forward/crash_watch.h"
#include "forward/exchange.h"
#include "forward/outlier_watch.h"
#include "log/log.h"

namespace lentilhoist {

namespace {

/// Refusals up to which another runner is asked at once; more of them are left
/// to a round of probes.
constexpr std::size_t MaxWitnessedRefusals = 2;

/// Runners refused a connection while the path was open: they have ended.
void confirmRefusals(exchange_context &Context) {
  const auto Refusals = std::exchange(Context.RunnerRefusals, {});
  for (const auto &[RunnerId, BornMs] : Refusals)
    reportCrash(Context, RunnerId, BornMs, "connection_refused");
}

/// The failures of the last moments were the path's and not the runners'.
void forgiveRunners(exchange_context &Context) {
  Context.RunnerRefusals.clear();
  for (auto &[Id, Runner] : Context.Runners.Runners)
    recordSuccess(Runner);
  forgiveOutliers(Context);
}

void onPathChanged(exchange_context &Context, instant Now) {
  const runner_path &Path = Context.Path;
  const bool Lost = Path.State == path_state::Lost;
  logEvent(Lost ? log_level::Warning : log_level::Info, "runner_path_changed",
           {{"state", pathStateName(Path.State)},
            {"probe_rounds", std::to_string(Path.Rounds)},
            {"probed", std::to_string(Path.RoundSize)},
            {"outstanding", std::to_string(Path.Outstanding)},
            {"silent_ms",
             Path.SilentSince.Steady.count() == 0
                 ? "none"
                 : std::to_string(
                       (Now.Steady - Path.SilentSince.Steady).count() / 1000)},
            {"known_relays", std::to_string(Context.Relays.Relays.size())}});
  Context.Metrics.count("lentilhoist_runner_path_changes_total");
  forgiveRunners(Context);
  if (Lost) {
    // They may be as dead as the path, and would be used again after it.
    Context.Pool.closeAll("");
    if (Context.OnPathLost)
      Context.OnPathLost();
  } else {
    forgetRelays(Context.Relays);
  }
}

void scheduleCheck(exchange_context &Context) {
  if (std::exchange(Context.PathTimerSet, true))
    return;
  Context.PathTimer.expires_after(PathCheckInterval);
  Context.PathTimer.async_wait([&Context](const asio::error_code &Error) {
    if (Error)
      return;
    Context.PathTimerSet = false;
    checkPath(Context);
  });
}

void applyRelayResult(exchange_context &Context, const std::string &Relay,
                      bool Works, tunnel_refusal Refusal) {
  const relay_result Result = Works ? relay_result::Works
                              : Refusal == tunnel_refusal::None
                                  ? relay_result::Silent
                                  : relay_result::Refused;
  if (!recordRelay(Context.Relays, Relay, Result, readClock()))
    return;
  if (!Works)
    Context.Pool.closeAll(Relay);
  logEvent(log_level::Info, "relay_changed",
           {{"relay", Relay},
            {"usable", Works ? "true" : "false"},
            {"refusal", tunnelRefusalName(Refusal)}});
}

/// Asks an instance whether it can relay.
void checkRelay(exchange_context &Context, const std::string &Relay) {
  const auto Connection = Context.Pool.createUnconnected({"", Relay, "", 0});
  const std::weak_ptr<runner_connection> Weak = Connection;
  const auto OnResult = [&Context, Weak, Relay](bool Works) {
    const auto Self = Weak.lock();
    if (!Self)
      return;
    Context.PathProbes.erase(Self);
    applyRelayResult(Context, Relay, Works, Self->refusal());
    Self->close();
    checkPath(Context);
  };
  tcp_stream::handlers Handlers;
  Handlers.OnConnected = [OnResult] { OnResult(true); };
  Handlers.OnEnd = [OnResult](stream_end) { OnResult(false); };
  Connection->setHandlers(std::move(Handlers));
  Context.PathProbes.insert(Connection);
  Connection->connect();
}

/// Sends what may run again through a relay; its response is not to be
/// expected any more.
void retryCutOff(exchange_context &Context, instant Now) {
  if (!isCutOff(Context.Path, Now))
    return;
  const auto Waiting = Context.DirectExchanges; // A retry changes the set.
  for (const auto &Weak : Waiting)
    if (const auto Exchange = Weak.lock())
      Exchange->onCutOff();
}

/// Finds out at once whether the runner has ended or the path is lost: until
/// then, what has ended it may be sent to the next.
void onRefused(exchange_context &Context, const std::string &RunnerId,
               std::int64_t BornMs) {
  auto &Refusals = Context.RunnerRefusals;
  const bool Added = Refusals.insert({RunnerId, BornMs}).second;
  if (!Added || Refusals.size() > MaxWitnessedRefusals)
    return;
  const std::string Witness = chooseWitness(Context.Runners, RunnerId);
  if (!Witness.empty())
    probeRunner(Context, Witness);
}

} // namespace

void probeRunner(exchange_context &Context, const std::string &RunnerId) {
  const runner_entry &Entry = Context.Runners.Runners.at(RunnerId).Entry;
  const std::pair<std::string, std::int64_t> Key{RunnerId, Entry.BornMs};
  if (!Context.RunnerProbes.insert(Key).second)
    return; // The result of the one under way serves for this one too.
  const auto Connection =
      Context.Pool.createUnconnected({Entry.Address, "", "", 0});
  const instant Start = readClock();
  const std::weak_ptr<runner_connection> Weak = Connection;
  const auto OnResult = [&Context, Weak, Key, Start](bool Accepted) {
    const auto Self = Weak.lock();
    Context.RunnerProbes.erase(Key);
    Context.PathProbes.erase(Self);
    if (Self)
      Self->close();
    const bool Refused =
        !Accepted && readClock().Steady - Start.Steady < MaxRefusalTime;
    reportPathConnect(Context, Key.first, Key.second, Accepted, Refused);
  };
  tcp_stream::handlers Handlers;
  Handlers.OnConnected = [OnResult] { OnResult(true); };
  Handlers.OnEnd = [OnResult](stream_end) { OnResult(false); };
  Connection->setHandlers(std::move(Handlers));
  Context.PathProbes.insert(Connection);
  Connection->connect();
}

void reportPathSent(exchange_context &Context) {
  recordPathSent(Context.Path, readClock());
  scheduleCheck(Context);
}

void reportPathHeard(exchange_context &Context, const std::string &RunnerId,
                     std::int64_t BornMs) {
  const instant Now = readClock();
  recordPathHeard(Context.Path, Now);
  if (runner_view *View = findIncarnation(Context.Runners, RunnerId, BornMs))
    View->HeardAt = Now;
}

void reportPathConnect(exchange_context &Context, const std::string &RunnerId,
                       std::int64_t BornMs, bool Accepted, bool Refused) {
  const instant Now = readClock();
  const bool Changed = recordPathConnect(Context.Path, RunnerId, Accepted, Now);
  if (Changed)
    onPathChanged(Context, Now);
  const bool Open = Context.Path.State == path_state::Open;
  if (Refused && Open)
    onRefused(Context, RunnerId, BornMs);
  if (Accepted && Open)
    confirmRefusals(Context);
  if (!Accepted)
    checkPath(Context);
}

void reportRelayFailed(exchange_context &Context, const std::string &Relay,
                       tunnel_refusal Refusal) {
  applyRelayResult(Context, Relay, false, Refusal);
  checkPath(Context);
}

void checkPath(exchange_context &Context) {
  const instant Now = readClock();
  for (const std::string &RunnerId :
       startProbeRound(Context.Path, Context.Runners, Now))
    probeRunner(Context, RunnerId);
  const bool Lost = Context.Path.State == path_state::Lost;
  if (Lost) {
    for (const std::string &Relay :
         startRelayChecks(Context.Relays, Context.RelayAddress, Now))
      checkRelay(Context, Relay);
    retryCutOff(Context, Now);
  }
  if (Lost || Context.Path.Suspected || Context.Path.Outstanding > 0 ||
      !Context.Path.Probed.empty())
    scheduleCheck(Context);
}

bool canReachRunners(const exchange_context &Context) {
  const instant Now = readClock();
  return Context.Path.State == path_state::Open ||
         !chooseRelay(Context.Relays, Now).empty() ||
         mayFindRelay(Context.Relays, Now);
}

} // namespace lentilhoist
