#include "edge/edge.h"

#include "forward/caller_connection.h"
#include "history/relay_server.h"
#include "log/log.h"
#include "net/address.h"
#include "net/text_server.h"
#include "platform/config_decoder.h"
#include "store/store_watch.h"

#include <asio/signal_set.hpp>
#include <csignal>
#include <nlohmann/json.hpp>
#include <set>

namespace lentilhoist {

namespace {

/// Pause between sweeps over pools and missing runners.
constexpr milliseconds SweepInterval{250};
/// The balancer takes an instance out after two misses a second apart; requests
/// arrive until then.
constexpr milliseconds OutOfRotationTime{3'200};
/// Time before SIGKILL that is left for the process to end.
constexpr milliseconds ExitMargin{800};
/// Part of the memory for bodies of requests under way.
constexpr std::size_t BodyMemoryDivisor = 4;
/// Part of the memory for chains that were used recently.
constexpr std::size_t ChainMemoryDivisor = 10;
/// The replica set rarely changes, and replicas tell of newer sets themselves.
constexpr milliseconds ReplicaSetWait{20'000};
/// Port on which requests for the history are passed on, counted from the
/// first of the free ones, which serves metrics.
constexpr std::uint16_t RelayPortOffset = 1;
/// Interval between pings of the replicas.
constexpr seconds PingInterval{3};
/// Time that the store has to answer before the replicas are asked instead.
constexpr milliseconds BackupDelay{150};
/// Changes of the registry within this time are taken together, as each call is
/// priced; a fifth of the time within which a draining runner is to be left.
constexpr milliseconds RegistryGap{400};

/// The parts of one entry instance, joined on one event loop.
class edge {
public:
  edge(instance_settings Given, std::function<void()> GivenOnHangup)
      : Settings(std::move(Given)), OnHangup(std::move(GivenOnHangup)),
        History(Loop, Settings.Domain,
                Settings.MemoryBytes / ChainMemoryDivisor),
        Pool(Loop), Context{Loop, Settings.Domain, Metrics, History, Pool},
        Callers(listenOn(Loop, *parseAddress(Settings.CallerAddress))),
        Readiness(Loop, *parseAddress(Settings.ReadinessAddress),
                  [this](const http_request_head &) { return readiness(); }),
        MetricsServer(
            Loop, metricsAddress(),
            [this](const http_request_head &Head) { return page(Head); }),
        Relay(Loop, relayEndpoint(), History),
        Signals(Loop, SIGTERM, SIGINT, SIGHUP), Sweep(Loop), PingTimer(Loop),
        BackupTimer(Loop), DrainTimer(Loop) {
    Context.MaxBodyBytes = Settings.MemoryBytes / BodyMemoryDivisor;
  }

  int run() {
    watchConfig();
    watchRunners();
    watchReplicas();
    accept();
    waitForSignal();
    sweep();
    pingReplicas();
    askForBackups();
    Loop.run();
    return 0;
  }

private:
  asio::ip::tcp::endpoint metricsAddress() const {
    return {asio::ip::make_address(Settings.Address), Settings.FirstPort};
  }

  asio::ip::tcp::endpoint relayEndpoint() const {
    return {asio::ip::make_address(Settings.Address),
            static_cast<std::uint16_t>(Settings.FirstPort + RelayPortOffset)};
  }

  void pingReplicas() {
    History.pingReplicas(Settings.Address + ":" +
                         std::to_string(relayEndpoint().port()));
    PingTimer.expires_after(PingInterval);
    PingTimer.async_wait([this](const asio::error_code &) { pingReplicas(); });
  }

  /// While the store is away, a process that has just started learns from the
  /// replicas what they saw there last.
  void askForBackups() {
    BackupTimer.expires_after(BackupDelay);
    BackupTimer.async_wait([this](const asio::error_code &) {
      if (Context.Routes && RunnersKnown && History.ready()) {
        for (auto &[Address, Link] : SeedLinks)
          Link->close();
        SeedLinks.clear();
        return;
      }
      for (const std::string &Seed : Settings.Seeds) {
        auto &Link = SeedLinks[Seed];
        if (!Link)
          Link = std::make_shared<history_link>(Loop, Seed);
        if (Link->outstanding() != 0)
          continue;
        replica_request Request;
        Request.Operation = replica_operation::Backups;
        Link->send(std::move(Request),
                   [this](const replica_reply &Reply) { takeBackups(Reply); });
      }
      askForBackups();
    });
  }

  void takeBackups(const replica_reply &Reply) {
    for (const replica_set &Set : Reply.Set)
      if (Set.Established)
        History.setReplicas(Set, "replica");
    for (const store_backup &Backup : Reply.Backups) {
      std::vector<store_item> Items(Backup.Names.size());
      for (std::size_t Index = 0; Index < Items.size(); ++Index) {
        Items[Index].Name = Backup.Names[Index];
        Items[Index].Spec = Backup.Specs.at(Index);
      }
      if (Backup.Kind == platform::ConfigKind)
        for (const store_item &Item : Items)
          takeConfig(Item, "replica");
      // A list of the store itself, once there is one, is newer.
      if (Backup.Kind == platform::RunnerKind && !RunnersKnown &&
          !Items.empty())
        takeRunners(Items, "replica");
    }
  }

  bool ready() {
    return !Context.Draining && Context.Routes && RunnersKnown &&
           History.available(readClock());
  }

  text_answer readiness() {
    const bool Now = ready();
    if (Now != WasReady) {
      logEvent(log_level::Info, "readiness_changed",
               {{"ready", Now ? "true" : "false"},
                {"draining", Context.Draining ? "true" : "false"},
                {"configuration", Context.Routes ? "true" : "false"},
                {"runners", RunnersKnown ? "true" : "false"},
                {"replica_set", std::to_string(History.replicas().Version)}});
      WasReady = Now;
    }
    return {Now ? 200 : 503, Now ? "ready\n" : "not ready\n"};
  }

  text_answer page(const http_request_head &Head) {
    if (Head.Target == "/status")
      return {200, status().dump() + "\n"};
    if (Head.Target == "/runners")
      return {200, runners().dump() + "\n"};
    return renderMetrics();
  }

  static std::int64_t ageMs(instant Then) {
    return (readClock().Steady - Then.Steady).count() / 1000;
  }

  nlohmann::ordered_json status() {
    nlohmann::ordered_json Json;
    Json["instance"] = Settings.Name;
    Json["domain"] = Settings.Domain;
    Json["ready"] = ready();
    Json["draining"] = Context.Draining;
    Json["config_version"] =
        Context.Routes ? Context.Routes->config().Version : -1;
    Json["config_age_ms"] =
        Context.Routes ? ageMs(Context.ConfigUpdatedAt) : -1;
    Json["registry_age_ms"] =
        RunnersKnown ? ageMs(Context.RegistryUpdatedAt) : -1;
    Json["registry_away"] = RegistryAway;
    Json["history_answers"] = History.available(readClock());
    Json["replica_set_version"] = History.replicas().Version;
    Json["replicas"] = nlohmann::ordered_json::array();
    for (const replica_slot &Slot : History.replicas().Slots)
      Json["replicas"].push_back(
          {{"node", Slot.Node},
           {"address", Slot.Address},
           {"domain", Slot.Domain},
           {"suspected", History.link(Slot.Address).isSuspected(readClock())}});
    Json["active_requests"] = Context.ActiveRequests;
    Json["caller_connections"] = Connections.size();
    return Json;
  }

  nlohmann::ordered_json runners() {
    const instant Now = readClock();
    nlohmann::ordered_json Rows = nlohmann::ordered_json::array();
    for (const auto &[Id, Runner] : Context.Runners.Runners)
      Rows.push_back(
          {{"runner", Id},
           {"service", Runner.Entry.Service},
           {"address", Runner.Entry.Address},
           {"domain", Runner.Entry.Domain},
           {"draining", Runner.Entry.Draining},
           {"slots", Runner.Entry.Slots},
           {"outstanding", Runner.Outstanding},
           {"load", static_cast<std::int64_t>(
                        estimateLoad(Context.Runners, Runner, Now))},
           {"load_age_ms", Runner.Load ? ageMs(Runner.LoadReceivedAt) : -1},
           {"failures_in_row", Runner.ConsecutiveFailures}});
    return {{"instance", Settings.Name}, {"runners", Rows}};
  }

  text_answer renderMetrics() {
    Metrics.gauge("lentilhoist_active_requests",
                  static_cast<double>(Context.ActiveRequests));
    Metrics.gauge("lentilhoist_caller_connections",
                  static_cast<double>(Connections.size()));
    Metrics.gauge("lentilhoist_request_body_bytes",
                  static_cast<double>(Context.BodyBytes));
    Metrics.gauge("lentilhoist_runners",
                  static_cast<double>(Context.Runners.Runners.size()));
    Metrics.gauge("lentilhoist_config_version",
                  Context.Routes
                      ? static_cast<double>(Context.Routes->config().Version)
                      : -1);
    return {200, Metrics.render()};
  }

  void accept() {
    Callers.async_accept([this](const asio::error_code &Error,
                                asio::ip::tcp::socket Socket) {
      if (Error == asio::error::operation_aborted)
        return;
      if (Error) {
        logEvent(log_level::Warning, "accept_failed",
                 {{"reason", Error.message()}});
        Sweep.cancel(); // Idle connections give descriptors back.
      } else {
        auto Connection = std::make_shared<caller_connection>(
            Context,
            std::make_shared<tcp_stream>(std::move(Socket), socket_settings{}),
            [this](caller_connection *Closed) { forget(Closed); });
        Connections.insert(Connection);
        Connection->start();
      }
      accept();
    });
  }

  void forget(caller_connection *Closed) {
    const auto Found = Connections.find(Closed->shared_from_this());
    if (Found != Connections.end())
      Connections.erase(Found);
    if (Context.Draining)
      endWhenDrained();
  }

  void watchConfig() {
    ConfigWatch = std::make_shared<store_watch>(
        Loop, Settings.StoreAddress, platform::ConfigKind, watch_settings{});
    store_watch::handlers Handlers;
    Handlers.OnList = [this](const std::vector<store_item> &Items) {
      for (const store_item &Item : Items)
        takeConfig(Item, "store");
    };
    Handlers.OnEvent = [this](const store_event &Event) {
      if (!Event.Removed)
        takeConfig(Event.Item, "store");
    };
    Handlers.OnAvailability = [](bool) {};
    ConfigWatch->start(std::move(Handlers));
  }

  void takeConfig(const store_item &Item, const char *Source) {
    if (Item.Name != platform::ConfigName)
      return;
    auto Config = platform::decodeConfig(Item.Spec);
    if (!Config) {
      logEvent(log_level::Error, "configuration_unreadable",
               {{"revision", std::to_string(Item.Revision)}});
      return;
    }
    if (!replacesConfig(Context.Routes, Config->Version))
      return;
    logEvent(log_level::Info, "configuration_changed",
             {{"version", std::to_string(Config->Version)},
              {"revision", std::to_string(Item.Revision)},
              {"source", Source},
              {"routes", std::to_string(Config->Routes.size())}});
    Context.Routes = std::make_shared<const route_table>(std::move(*Config));
    Context.ConfigUpdatedAt = readClock();
  }

  void watchRunners() {
    watch_settings Timing;
    Timing.BatchDelay = RegistryGap;
    RunnerWatch = std::make_shared<store_watch>(Loop, Settings.StoreAddress,
                                                platform::RunnerKind, Timing);
    store_watch::handlers Handlers;
    Handlers.OnList = [this](const std::vector<store_item> &Items) {
      takeRunners(Items, "store");
    };
    Handlers.OnEvent = [this](const store_event &Event) {
      takeRunnerEvent(Event);
    };
    Handlers.OnAvailability = [this](bool Contact) {
      if (Contact)
        RegistryReturned = readClock();
      RegistryAway = !Contact;
    };
    RunnerWatch->start(std::move(Handlers));
  }

  /// From when a runner that is missing now counts as gone.
  instant goneAt(instant Now) const {
    if (RegistryReturned.Steady.count() == 0)
      return Now;
    const instant Settled =
        later(RegistryReturned, Settings.RegistryRecoveryTime);
    return Settled.Steady > Now.Steady ? Settled : Now;
  }

  void takeRunners(const std::vector<store_item> &Items, const char *Source) {
    const instant Now = readClock();
    std::vector<runner_entry> Entries;
    for (const store_item &Item : Items)
      if (auto Entry = platform::decodeRunner(Item))
        Entries.push_back(std::move(*Entry));
      else
        logEvent(log_level::Warning, "runner_entry_unusable",
                 {{"entry", Item.Name}});
    replaceRunners(Context.Runners, Entries, goneAt(Now), Now);
    RunnersKnown = true;
    Context.RegistryUpdatedAt = Now;
    logEvent(log_level::Info, "runners_listed",
             {{"entries", std::to_string(Items.size())},
              {"source", Source},
              {"runners", std::to_string(Context.Runners.Runners.size())},
              {"missing", std::to_string(Context.Runners.Missing.size())}});
  }

  void takeRunnerEvent(const store_event &Event) {
    const instant Now = readClock();
    Context.RegistryUpdatedAt = Now;
    const std::string Revision = std::to_string(Event.Item.Revision);
    if (Event.Removed) {
      if (!Context.Runners.Runners.contains(Event.Item.Name))
        return;
      const instant GoneAt = goneAt(Now);
      Context.Runners.Missing.try_emplace(Event.Item.Name, GoneAt);
      logEvent(log_level::Info, "runner_missing",
               {{"runner", Event.Item.Name},
                {"revision", Revision},
                {"kept_ms",
                 std::to_string((GoneAt.Steady - Now.Steady).count() / 1000)}});
      dropMissing(Now);
      return;
    }
    const auto Entry = platform::decodeRunner(Event.Item);
    if (!Entry) {
      logEvent(log_level::Warning, "runner_entry_unusable",
               {{"entry", Event.Item.Name}, {"revision", Revision}});
      return;
    }
    if (upsertRunner(Context.Runners, *Entry))
      logEvent(log_level::Info, "runner_changed",
               {{"runner", Entry->Id},
                {"service", Entry->Service},
                {"address", Entry->Address},
                {"draining", Entry->Draining ? "true" : "false"},
                {"born_ms", std::to_string(Entry->BornMs)},
                {"revision", Revision}});
  }

  void dropMissing(instant Now) {
    for (const std::string &Id : removeMissing(Context.Runners, Now))
      logEvent(log_level::Info, "runner_gone", {{"runner", Id}});
  }

  void watchReplicas() {
    watch_settings Timing;
    Timing.Wait = ReplicaSetWait;
    ReplicaWatch = std::make_shared<store_watch>(
        Loop, Settings.StoreAddress, platform::ReplicaSetKind, Timing);
    store_watch::handlers Handlers;
    Handlers.OnList = [this](const std::vector<store_item> &Items) {
      for (const store_item &Item : Items)
        takeReplicas(Item);
    };
    Handlers.OnEvent = [this](const store_event &Event) {
      if (!Event.Removed)
        takeReplicas(Event.Item);
    };
    Handlers.OnAvailability = [](bool) {};
    ReplicaWatch->start(std::move(Handlers));
    History.onReplicaSetOutdated([this] { ReplicaWatch->refresh(); });
  }

  void takeReplicas(const store_item &Item) {
    const auto Set = decodeReplicaSet(Item.Spec);
    if (Set)
      History.setReplicas(*Set, "store");
    else
      logEvent(log_level::Error, "replica_set_unreadable",
               {{"entry", Item.Name}});
  }

  void sweep() {
    Sweep.expires_after(SweepInterval);
    Sweep.async_wait([this](const asio::error_code &) {
      const instant Now = readClock();
      Pool.closeExpired(Now);
      if (!RegistryAway)
        dropMissing(Now);
      sweep();
    });
  }

  void waitForSignal() {
    Signals.async_wait([this](const asio::error_code &Error, int Signal) {
      if (Error)
        return;
      if (Signal == SIGHUP)
        OnHangup();
      else
        drain(Signal);
      waitForSignal();
    });
  }

  void drain(int Signal) {
    if (Context.Draining)
      return;
    Context.Draining = true;
    logEvent(log_level::Info, "process_stopping",
             {{"signal", std::to_string(Signal)},
              {"active_requests", std::to_string(Context.ActiveRequests)},
              {"connections", std::to_string(Connections.size())}});
    DrainTimer.expires_after(OutOfRotationTime);
    DrainTimer.async_wait([this](const asio::error_code &) {
      OutOfRotation = true;
      // Where too few instances are ready, the balancer sends callers here all
      // the same: they are refused a connection and go elsewhere.
      asio::error_code Ignored; // A listener that fails takes nobody either.
      Callers.close(Ignored);
      closeIdle();
      endWhenDrained();
      DrainTimer.expires_after(Settings.TerminationGracePeriod -
                               OutOfRotationTime - ExitMargin);
      DrainTimer.async_wait([this](const asio::error_code &) { end(); });
    });
  }

  void closeIdle() {
    const auto Open = Connections; // Closing changes the set.
    for (const auto &Connection : Open)
      Connection->closeIfIdle();
  }

  void endWhenDrained() {
    if (!OutOfRotation || Ending)
      return;
    if (!Connections.empty() || Context.ActiveRequests != 0)
      return;
    Ending = true;
    // The last answers are on their way to their callers.
    DrainTimer.expires_after(ExitMargin / 4);
    DrainTimer.async_wait([this](const asio::error_code &) { end(); });
  }

  void end() {
    logEvent(log_level::Info, "process_stopped",
             {{"active_requests", std::to_string(Context.ActiveRequests)}});
    Loop.stop();
  }

  asio::io_context Loop;
  instance_settings Settings;
  std::function<void()> OnHangup;
  metrics Metrics;
  history_client History;
  runner_connection_pool Pool;
  exchange_context Context;
  asio::ip::tcp::acceptor Callers;
  text_server Readiness;
  text_server MetricsServer;
  relay_server Relay;
  asio::signal_set Signals;
  asio::steady_timer Sweep;
  asio::steady_timer PingTimer;
  asio::steady_timer BackupTimer;
  asio::steady_timer DrainTimer;
  std::shared_ptr<store_watch> ConfigWatch;
  std::shared_ptr<store_watch> RunnerWatch;
  std::shared_ptr<store_watch> ReplicaWatch;
  /// To replicas that are known without the store, while it is needed.
  std::map<std::string, std::shared_ptr<history_link>> SeedLinks;
  std::set<std::shared_ptr<caller_connection>> Connections;
  instant RegistryReturned{}; ///< Zero if the registry was never away.
  bool RegistryAway = false;
  bool RunnersKnown = false;
  bool WasReady = false;
  bool OutOfRotation = false;
  bool Ending = false;
};

} // namespace

int runEdge(const instance_settings &Settings,
            const std::function<void()> &OnHangup) {
  edge Edge(Settings, OnHangup);
  return Edge.run();
}

} // namespace lentilhoist
