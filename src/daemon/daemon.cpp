#include "daemon/daemon.h"

#include "caller/caller_server.h"
#include "core/signal_wait.h"
#include "daemon/instance_seeder.h"
#include "daemon/load_poller.h"
#include "daemon/request_router.h"
#include "daemon/scheduler.h"
#include "log/log.h"
#include "operator/operator_server.h"

namespace lentilhoist {

namespace {

constexpr std::chrono::milliseconds SeedPatience{5'000};
constexpr std::chrono::milliseconds DrainPoll{20};

log_level parseLevel(const std::string &Name) {
  if (Name == "debug")
    return log_level::Debug;
  if (Name == "warning")
    return log_level::Warning;
  if (Name == "error")
    return log_level::Error;
  return log_level::Info;
}

membership initialMembership(const daemon_settings &Settings) {
  membership Group;
  Group.Self = Settings.Identity;
  Group.Settings = Settings.Membership;
  // Higher than that of any earlier process of the same name.
  Group.Incarnation = static_cast<std::uint64_t>(readClock().Unix.count());
  Group.Random.seed(Group.Incarnation);
  return Group;
}

peer_link_settings linkSettings(const daemon_settings &Settings,
                                const std::string &Token) {
  peer_link_settings Link;
  Link.Address = Settings.Identity.Address;
  Link.Port = Settings.Identity.Port;
  Link.Token = Token;
  Link.Domain = Settings.Identity.Domain;
  Link.SimulatedDelay = Settings.SimulatedLinkDelay;
  return Link;
}

void drain(const daemon_settings &Settings, membership_node &Members,
           caller_server &Callers, scheduler &Decisions) {
  logEvent(log_level::Info, "drain_started");
  Callers.beginDrain();
  Members.leave();
  const auto Until = std::chrono::steady_clock::now() + Settings.DrainTime;
  bool Idle = false;
  while (!Idle && std::chrono::steady_clock::now() < Until) {
    std::this_thread::sleep_for(DrainPoll);
    Idle = Callers.openRequests() == 0 && Decisions.isIdle();
  }
  logEvent(Idle ? log_level::Info : log_level::Warning,
           Idle ? "drain_finished" : "drain_time_over");
}

} // namespace

int runDaemon(const daemon_settings &Settings) {
  const log_writer Log(Settings.Identity.Id, parseLevel(Settings.LogLevel));
  try {
    const std::string Token = readToken(Settings.TokenFile);
    metrics Measures;
    object_store Store(Settings.Platform, Settings.PlatformTimeouts);
    membership_node Members(initialMembership(Settings));
    scheduler Decisions(Settings, Store, Members, Measures);
    peer_link Link(
        linkSettings(Settings, Token),
        [&](owner_request Request, const std::shared_ptr<answer_sink> &Sink) {
          Decisions.submit(std::move(Request), Sink);
        },
        [&](shard_index Shard) { Decisions.offerShard(Shard); });
    request_router Router(Settings, Members, Link, Decisions);
    caller_server Callers(Settings, Router, Measures);
    operator_server Operators(Settings, Token, Decisions, Router, Members,
                              Measures);
    instance_seeder Seeder(Store, Members);
    load_poller Poller(Settings, Decisions);
    Members.start();
    Link.start();
    Seeder.start(SeedPatience);
    Decisions.start(Link, [&](const owner_request &Request,
                              std::chrono::milliseconds Timeout) {
      return routed_request(Router, Request).wait(Timeout);
    });
    Poller.start();
    Operators.start();
    Callers.start();
    logEvent(log_level::Info, "daemon_started");
    waitForEndSignal();
    drain(Settings, Members, Callers, Decisions);
    Callers.stop();
    Operators.stop();
    Poller.stop();
    Seeder.stop();
    Decisions.stop();
    Link.stop();
    Members.stop();
    logEvent(log_level::Info, "daemon_stopped");
    return 0;
  } catch (const std::exception &Error) {
    logEvent(log_level::Error, "daemon_failed", {{"reason", Error.what()}});
    return 1;
  }
}

} // namespace lentilhoist
