#include "edge/edge.h"

#include "admission/connection_limit.h"
#include "admission/memory_account.h"
#include "edge/drain_plan.h"
#include "forward/caller_connection.h"
#include "forward/crash_watch.h"
#include "forward/path_watch.h"
#include "forward/permit_client.h"
#include "forward/runner_leaving.h"
#include "history/relay_server.h"
#include "log/log.h"
#include "log/log_limit.h"
#include "net/address.h"
#include "net/listener.h"
#include "net/text_server.h"
#include "platform/config_decoder.h"
#include "store/store_pulse.h"
#include "tunnel/tunnel_server.h"

#include <algorithm>
#include <asio/signal_set.hpp>
#include <csignal>
#include <fmt/ranges.h>
#include <nlohmann/json.hpp>
#include <set>

namespace lentilhoist {

namespace {

/// Interval at which idle pooled connections and missing runners are expired.
constexpr milliseconds SweepInterval{250};
/// With too many connections, so many idle ones (1/N of the limit) give way at
/// once, since finding them takes a look at all.
constexpr std::size_t IdleBatchDivisor = 64;
/// The cache of recently used chains may use this fraction of the memory (1/N).
constexpr std::size_t ChainMemoryDivisor = 10;
/// Windows of the texts of earlier turns may use this fraction (1/N).
constexpr std::size_t TransferMemoryDivisor = 10;
/// Large messages that are relayed between other instances and replicas may use
/// this fraction (1/N), in each direction.
constexpr std::size_t RelayMemoryDivisor = 32;
/// Offset of the history relay port from the instance's first port, which
/// serves metrics.
constexpr std::uint16_t RelayPortOffset = 1;
/// Offset of the port for tunnels to runners, on every instance.
constexpr std::uint16_t TunnelPortOffset = 2;
/// Interval between pings of the replicas, in which limits and evidence reach
/// every instance.
constexpr seconds PingInterval{2};
/// Time the store has to answer before the replicas are queried for their
/// backups of its content, and interval between such queries.
constexpr milliseconds BackupQueryDelay{150};
/// Registry changes within this interval are fetched in one call, because each
/// call is charged for. The interval is a fifth of the time within which a
/// draining runner must stop receiving requests.
constexpr milliseconds RegistryBatchInterval{400};

/// The components of one entry instance, which share one event loop.
class edge {
public:
  edge(instance_settings InitialSettings, std::function<void()> HangupHandler)
      : Settings(std::move(InitialSettings)),
        OnHangup(std::move(HangupHandler)),
        History(Loop, Settings.Domain,
                Settings.MemoryBytes / ChainMemoryDivisor),
        Pool(Loop), Context{Loop, Settings.Domain, Metrics, History, Pool},
        Callers(Loop, *parseAddress(Settings.CallerAddress), "callers",
                [this](asio::ip::tcp::socket Socket) {
                  addConnection(std::move(Socket));
                }),
        Readiness(Loop, *parseAddress(Settings.ReadinessAddress),
                  [this](const http_request_head &) { return readiness(); }),
        MetricsServer(Loop, endpoint(0),
                      [this](const http_request_head &Head) {
                        return handleMetricsRequest(Head);
                      }),
        Relay(Loop, endpoint(RelayPortOffset),
              {Settings.MemoryBytes / RelayMemoryDivisor,
               Settings.MemoryBytes / RelayMemoryDivisor},
              History),
        Tunnels(Loop, endpoint(TunnelPortOffset), tunnelHost()),
        Signals(Loop, SIGTERM, SIGINT, SIGHUP), SweepTimer(Loop),
        PingTimer(Loop), BackupTimer(Loop), DrainTimer(Loop) {
    // A body in progress may be held twice: by its request and on the way to
    // its runner.
    Context.Memory.Limit =
        Settings.MemoryBytes / 100 * Settings.ClientMemoryPercent;
    Context.MaxBodyBytes = Context.Memory.Limit;
    Context.Transfers.setMemory(Settings.MemoryBytes / TransferMemoryDivisor);
    Context.Gate.setLimits(
        {Settings.ClientStallTime, Settings.ClientMemoryWait});
    ConnectionLimit = Settings.MaxClientConnections != 0
                          ? Settings.MaxClientConnections
                          : clientConnectionLimit(Settings.MaxDescriptors);
    Context.RelayAddress = formatAddress(endpoint(TunnelPortOffset));
    // Without a list of relays the next ping is too far away.
    Context.OnPathLost = [this] {
      if (Context.Relays.Relays.empty())
        sendPings();
    };
    Context.OnRunnerLeaving = [this](const std::string &Id,
                                     std::int64_t BornMs) {
      Tunnels.announceLeaving(Id, BornMs);
    };
    History.onRelays([this](const std::vector<std::string> &Addresses) {
      applyRelays(Addresses);
    });
    // Sweep now: closing expired idle connections frees descriptors.
    Callers.OnError = [this] { SweepTimer.cancel(); };
  }

  int run() {
    watchConfig();
    watchRunners();
    watchReplicas();
    watchStore();
    waitForSignal();
    sweep();
    pingReplicas();
    queryBackups();
    Loop.run();
    return 0;
  }

private:
  /// \returns the address of this instance's port at an offset from its first.
  asio::ip::tcp::endpoint endpoint(std::uint16_t Offset) const {
    return {asio::ip::make_address(Settings.Address),
            static_cast<std::uint16_t>(Settings.FirstPort + Offset)};
  }

  void sendPings() {
    History.pingReplicas(formatAddress(endpoint(RelayPortOffset)));
  }

  void pingReplicas() {
    sendPings();
    PingTimer.expires_after(PingInterval);
    PingTimer.async_wait([this](const asio::error_code &) { pingReplicas(); });
  }

  tunnel_host tunnelHost() {
    tunnel_host Host;
    Host.CheckOpen = [this] {
      if (Context.Draining && !opensTunnels(Drain, readClock()))
        return tunnel_refusal::Stopping;
      return Context.Path.State == path_state::Open ? tunnel_refusal::None
                                                    : tunnel_refusal::PathLost;
    };
    Host.FindRunner =
        [this](const std::string &Runner,
               std::int64_t BornMs) -> std::optional<std::string> {
      if (const runner_view *View =
              findIncarnation(Context.Runners, Runner, BornMs))
        return View->Entry.Address;
      return std::nullopt;
    };
    Host.IsLeaving = [this](const std::string &Runner, std::int64_t BornMs) {
      const runner_view *View =
          findIncarnation(Context.Runners, Runner, BornMs);
      return View ? !takesRequests(*View)
                  : isLeaving(Context.Runners, Runner, BornMs);
    };
    Host.OnLeaving = [this](const std::string &Runner, std::int64_t BornMs) {
      reportLeaving(Context, Runner, BornMs, "relayed");
    };
    Host.OnConnect = [this](const std::string &Runner, bool Accepted) {
      const auto Found = Context.Runners.Runners.find(Runner);
      if (Found != Context.Runners.Runners.end())
        reportPathConnect(Context, Runner, Found->second.Entry.BornMs, Accepted,
                          false);
    };
    Host.OnClosed = [this] {
      if (Context.Draining)
        scheduleDrain(milliseconds(0));
    };
    return Host;
  }

  /// Replicas list where instances relay history requests; tunnels are opened
  /// at another port of the same instances.
  void applyRelays(const std::vector<std::string> &Addresses) {
    std::vector<std::string> TunnelAddresses;
    for (const std::string &Address : Addresses)
      if (auto Parsed = parseAddress(Address)) {
        Parsed->port(static_cast<std::uint16_t>(
            Parsed->port() + TunnelPortOffset - RelayPortOffset));
        TunnelAddresses.push_back(formatAddress(*Parsed));
      } else {
        logEvent(log_level::Error, "relay_address_malformed",
                 {{"address", Address}});
      }
    listRelays(Context.Relays, TunnelAddresses, Context.RelayAddress,
               readClock());
  }

  /// Until the configuration, the runner list and the replica set are known,
  /// queries the seed replicas for the store content that they saw last, so
  /// that a process can start while the store is unreachable.
  void queryBackups() {
    BackupTimer.expires_after(BackupQueryDelay);
    BackupTimer.async_wait([this](const asio::error_code &) {
      if (Context.Routes && RunnerListReceived && History.ready()) {
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
                   [this](const replica_reply &Reply) { applyBackups(Reply); });
      }
      queryBackups();
    });
  }

  void applyBackups(const replica_reply &Reply) {
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
          applyConfig(Item, "replica");
      // A list received from the store is newer than a backup.
      if (Backup.Kind == platform::RunnerKind && !RunnerListReceived &&
          !Items.empty())
        applyRunnerList(Items, "replica");
    }
  }

  bool ready() {
    return !Context.Draining && Context.Routes && RunnerListReceived &&
           canReachRunners(Context) && History.available(readClock());
  }

  text_answer readiness() {
    const bool Now = ready();
    if (Now != WasReady) {
      logEvent(log_level::Info, "readiness_changed",
               {{"ready", Now ? "true" : "false"},
                {"draining", Context.Draining ? "true" : "false"},
                {"configuration", Context.Routes ? "true" : "false"},
                {"runners", RunnerListReceived ? "true" : "false"},
                {"reachable", canReachRunners(Context) ? "true" : "false"},
                {"replica_set", std::to_string(History.replicas().Version)}});
      WasReady = Now;
    }
    return {Now ? 200 : 503, Now ? "ready\n" : "not ready\n"};
  }

  text_answer handleMetricsRequest(const http_request_head &Head) {
    if (Head.Target == "/status")
      return {200, status().dump() + "\n"};
    if (Head.Target == "/runners")
      return {200, runners().dump() + "\n"};
    if (Head.Target == "/quotas")
      return {200, quotas().dump() + "\n"};
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
        RunnerListReceived ? ageMs(Context.RegistryConfirmedAt) : -1;
    Json["registry_away"] = RegistryUnreachable;
    Json["history_answers"] = History.available(readClock());
    Json["replica_set_version"] = History.replicas().Version;
    Json["replicas"] = nlohmann::ordered_json::array();
    for (const replica_slot &Slot : History.replicas().Slots)
      Json["replicas"].push_back(
          {{"node", Slot.Node},
           {"address", Slot.Address},
           {"domain", Slot.Domain},
           {"suspected", History.link(Slot.Address).isSuspected(readClock())}});
    Json["runner_path"] = pathStateName(Context.Path.State);
    Json["relays"] = nlohmann::ordered_json::array();
    for (const auto &[Address, Known] : Context.Relays.Relays)
      if (Known.Usable)
        Json["relays"].push_back(
            {{"address", Address}, {"requests", Known.Requests}});
    Json["known_relays"] = Context.Relays.Relays.size();
    Json["tunnels_of_others"] = Tunnels.tunnels();
    Json["active_requests"] = Context.ActiveRequests;
    Json["caller_connections"] = Connections.size();
    return Json;
  }

  /// \returns the recent results of a runner that decide whether it is ejected.
  nlohmann::ordered_json ejectionRow(const std::string &Id, instant Now) const {
    const auto &Table = Context.Runners.Outliers.Runners;
    const auto Found = Table.find(Id);
    if (Found == Table.end())
      return nullptr;
    const outlier_state &State = Found->second;
    const auto LeftMs = (State.TrialsFrom.Steady - Now.Steady).count() / 1'000;
    return {{"reason", ejectionReasonName(State.Reason)},
            {"left_ms", State.Ejected ? std::max<std::int64_t>(0, LeftMs) : 0},
            {"ejections_in_row", State.Ejections},
            {"trials_passed", State.TrialsPassed},
            {"outcomes", State.Outcomes.size()},
            {"faults", countFaults(State)},
            {"outages", State.Outages.size()}};
  }

  nlohmann::ordered_json runners() {
    const instant Now = readClock();
    nlohmann::ordered_json Rows = nlohmann::ordered_json::array();
    for (const auto &[Id, Runner] : Context.Runners.Runners) {
      const service_speed *Service =
          findSpeed(Context.Runners, Runner.Entry.Service);
      const speed_estimate Speed =
          estimateSpeed(Service, Runner.Speed, Runner.Entry.Domain, Now);
      const base_rates Rates = baseRates(Service);
      Rows.push_back(
          {{"runner", Id},
           {"service", Runner.Entry.Service},
           {"address", Runner.Entry.Address},
           {"domain", Runner.Entry.Domain},
           {"draining", Runner.Entry.Draining},
           {"leaving", Runner.Leaving},
           {"slots", Runner.Entry.Slots},
           {"outstanding", Runner.Outstanding},
           {"load", static_cast<std::int64_t>(
                        estimateLoad(Context.Runners, Runner, Now))},
           {"load_age_ms", Runner.Load ? ageMs(Runner.LoadReceivedAt) : -1},
           {"limit_per_second", Runner.Permits.Limit.PerSecond},
           {"permits", Runner.Permits.Permits.size()},
           {"failures_in_row", Runner.ConsecutiveFailures},
           {"standing", runnerStandingName(standingOf(Runner, Now))},
           {"ejection", ejectionRow(Id, Now)},
           {"speed_source", speedSourceName(Speed.Source)},
           {"factor", Speed.Factor},
           {"factor_spread", Speed.Spread},
           {"factor_age_ms", Speed.FactorAge.count()},
           {"slowdown", Speed.Slowdown},
           {"slowdown_age_ms", Speed.SlowdownAge.count()},
           {"prefill_tokens_per_ms",
            Rates.PrefillTokensPerMs / Speed.multiple()},
           {"step_ms", Rates.StepMs * Speed.multiple()},
           {"plain_ms", Rates.PlainMs * Speed.multiple()}});
    }
    return {{"instance", Settings.Name}, {"runners", Rows}};
  }

  /// The largest workspaces with a quota, as this instance knows them.
  nlohmann::ordered_json quotas() {
    nlohmann::ordered_json Rows = nlohmann::ordered_json::array();
    for (const std::string &Name :
         largestWorkspaces(Context.Quotas, MaxListedQuotas)) {
      const quota_stock &Stock = Context.Quotas.Stocks.at(Name);
      Rows.push_back(
          {{"workspace", Name},
           {"sent", Stock.Granted},
           {"refused", Stock.Refused},
           {"permits", Stock.Permits.size()},
           {"issuer", Stock.Issuer},
           {"issuer_tokens", Stock.Tokens},
           {"demand_per_second", Stock.Demand},
           {"reply_age_ms",
            Stock.DemandAt.Steady.count() == 0 ? -1 : ageMs(Stock.DemandAt)}});
    }
    return {{"instance", Settings.Name},
            {"known_workspaces", Context.Quotas.Stocks.size()},
            {"workspaces", Rows}};
  }

  text_answer renderMetrics() {
    Metrics.gauge("lentilhoist_quota_workspaces",
                  static_cast<double>(Context.Quotas.Stocks.size()));
    Metrics.gauge("lentilhoist_active_requests",
                  static_cast<double>(Context.ActiveRequests));
    Metrics.gauge("lentilhoist_caller_connections",
                  static_cast<double>(Connections.size()));
    for (std::size_t Index = 0; Index < MemoryPurposes; ++Index)
      Metrics.gauge(std::string("lentilhoist_client_memory_bytes{purpose=\"") +
                        memoryPurposeName(static_cast<memory_purpose>(Index)) +
                        "\"}",
                    static_cast<double>(Context.Memory.Bytes[Index]));
    Metrics.gauge("lentilhoist_client_memory_limit_bytes",
                  static_cast<double>(Context.Memory.Limit));
    Metrics.gauge("lentilhoist_clients_waiting_for_memory",
                  static_cast<double>(Context.Gate.waiting()));
    Metrics.gauge("lentilhoist_transfer_windows",
                  static_cast<double>(Context.Transfers.open()));
    Metrics.gauge("lentilhoist_transfers_waiting",
                  static_cast<double>(Context.Transfers.waiting()));
    Metrics.gauge("lentilhoist_caller_connection_limit",
                  static_cast<double>(ConnectionLimit));
    Metrics.gauge("lentilhoist_request_body_bytes",
                  static_cast<double>(Context.BodyBytes));
    Metrics.gauge("lentilhoist_runner_path_lost",
                  Context.Path.State == path_state::Lost ? 1 : 0);
    Metrics.gauge("lentilhoist_tunnels",
                  static_cast<double>(Tunnels.tunnels()));
    const auto Ejected = std::count_if(
        Context.Runners.Runners.begin(), Context.Runners.Runners.end(),
        [](const auto &Item) { return Item.second.Ejected; });
    Metrics.gauge("lentilhoist_runners_ejected", static_cast<double>(Ejected));
    Metrics.gauge("lentilhoist_runners",
                  static_cast<double>(Context.Runners.Runners.size()));
    Metrics.gauge("lentilhoist_config_version",
                  Context.Routes
                      ? static_cast<double>(Context.Routes->config().Version)
                      : -1);
    renderSpeeds();
    return {200, Metrics.render()};
  }

  /// Sets the gauges of learned rates, one of each for a service.
  void renderSpeeds() {
    for (const auto &[Name, Speed] : Context.Runners.Speeds) {
      const std::string Label = "{service=\"" + Name + "\"}";
      const base_rates Rates = baseRates(&Speed);
      Metrics.gauge("lentilhoist_prefill_tokens_per_ms" + Label,
                    Rates.PrefillTokensPerMs);
      Metrics.gauge("lentilhoist_step_ms" + Label, Rates.StepMs);
      Metrics.gauge("lentilhoist_plain_ms" + Label, Rates.PlainMs);
      Metrics.gauge("lentilhoist_observed_runners" + Label,
                    Speed.Factor.Runners);
    }
  }

  void addConnection(asio::ip::tcp::socket Socket) {
    // Counted until its descriptor is free, also while it lingers after the
    // end of the connection that uses it.
    ++*OpenSockets;
    const std::shared_ptr<tcp_stream> Stream(
        new tcp_stream(std::move(Socket), socket_settings{}),
        [Count = OpenSockets](tcp_stream *Closed) {
          std::default_delete<tcp_stream>()(Closed);
          --*Count;
        });
    const accept_step Step = decideAccept(*OpenSockets, ConnectionLimit);
    if (Step == accept_step::Close) {
      countGivenUp("closed", 1);
      Stream->abort();
      return;
    }
    auto Connection = std::make_shared<caller_connection>(
        Context, Stream,
        [this](caller_connection *Closed) { removeConnection(Closed); });
    if (Step == accept_step::MakeRoom && !freeDescriptors()) {
      Connection->refuse("connections_full");
      return;
    }
    Connections.insert(Connection);
    Connection->start();
  }

  /// Ends connections that make the least use of their descriptors.
  /// \returns whether there were any.
  bool freeDescriptors() {
    std::vector<std::shared_ptr<caller_connection>> Idle;
    std::vector<idle_connection> States;
    for (const auto &Connection : Connections)
      if (Connection->idle()) {
        Idle.push_back(Connection);
        States.push_back(Connection->idleState());
      }
    const std::size_t Count =
        std::max<std::size_t>(1, ConnectionLimit / IdleBatchDivisor);
    const auto Chosen = chooseIdle(States, Count, readClock());
    for (const std::size_t Index : Chosen)
      Idle[Index]->giveUpDescriptor();
    countGivenUp("idle", Chosen.size());
    return !Chosen.empty() || Context.Gate.dropStalled(Count) != 0;
  }

  void countGivenUp(const char *Kind, std::size_t Count) {
    if (Count == 0)
      return;
    Metrics.count(
        std::string("lentilhoist_connections_given_up_total{kind=\"") + Kind +
            "\"}",
        Count);
    if (const auto Suppressed = takeLine(GivenUpLines, readClock()))
      logEvent(log_level::Warning, "connections_given_up",
               {{"kind", Kind},
                {"count", std::to_string(Count)},
                {"open", std::to_string(*OpenSockets)},
                {"limit", std::to_string(ConnectionLimit)},
                {"suppressed", std::to_string(*Suppressed)}});
  }

  void removeConnection(caller_connection *Closed) {
    const auto Found = Connections.find(Closed->shared_from_this());
    if (Found != Connections.end())
      Connections.erase(Found);
    if (Context.Draining)
      scheduleDrain(milliseconds(0));
  }

  void watchConfig() {
    ConfigWatch = std::make_shared<store_watch>(
        Loop, Settings.StoreAddress, platform::ConfigKind, watch_settings{});
    store_watch::handlers Handlers;
    Handlers.OnList = [this](const std::vector<store_item> &Items) {
      for (const store_item &Item : Items)
        applyConfig(Item, "store");
    };
    Handlers.OnEvent = [this](const store_event &Event) {
      if (!Event.Removed)
        applyConfig(Event.Item, "store");
    };
    Handlers.OnAvailability = [](bool) {};
    ConfigWatch->start(std::move(Handlers));
  }

  void applyConfig(const store_item &Item, const char *Source) {
    if (Item.Name != platform::ConfigName)
      return;
    platform::decode_notes Notes;
    auto Config = platform::decodeConfig(Item.Spec, &Notes);
    if (!Config) {
      Metrics.count("lentilhoist_unreadable_configurations_total");
      logLimited(log_level::Error, "configuration_unreadable",
                 {{"revision", std::to_string(Item.Revision)},
                  {"source", Source},
                  {"fields", joinNames(Notes)}});
      return;
    }
    if (!replacesConfig(Context.Routes, Config->Version))
      return;
    if (Notes.Count > 0)
      logLimited(log_level::Warning, "configuration_fields_unreadable",
                 {{"version", std::to_string(Config->Version)},
                  {"revision", std::to_string(Item.Revision)},
                  {"count", std::to_string(Notes.Count)},
                  {"fields", joinNames(Notes)}});
    logEvent(log_level::Info, "configuration_changed",
             {{"version", std::to_string(Config->Version)},
              {"revision", std::to_string(Item.Revision)},
              {"source", Source},
              {"routes", std::to_string(Config->Routes.size())},
              {"workspaces", Config->Workspaces
                                 ? std::to_string(Config->Workspaces->size())
                                 : "none"}});
    Context.Routes = std::make_shared<const route_table>(std::move(*Config));
    Context.ConfigUpdatedAt = readClock();
    logWorkspaceFaults(*Context.Routes);
  }

  /// Logs what the configuration's list of workspaces says that is not in
  /// force, without any key.
  static void logWorkspaceFaults(const route_table &Table) {
    const workspace_faults &Faults = Table.config().WorkspaceFaults;
    const key_conflicts &Conflicts = Table.keys().conflicts();
    if (Faults.Entries + Faults.Keys + Faults.Fields + Faults.Repeated +
            Conflicts.Keys ==
        0)
      return;
    logEvent(
        log_level::Warning, "workspaces_faulty",
        {{"version", std::to_string(Table.config().Version)},
         {"entries_omitted", std::to_string(Faults.Entries)},
         {"keys_omitted", std::to_string(Faults.Keys)},
         {"fields_omitted", std::to_string(Faults.Fields)},
         {"repeated_entries", std::to_string(Faults.Repeated)},
         {"workspaces", fmt::format("{}", fmt::join(Faults.Workspaces, ", "))},
         {"shared_keys", std::to_string(Conflicts.Keys)},
         {"workspaces_sharing_keys",
          fmt::format("{}", fmt::join(Conflicts.Workspaces, ", "))}});
  }

  void watchRunners() {
    watch_settings Timing;
    Timing.BatchDelay = RegistryBatchInterval;
    RunnerWatch = std::make_shared<store_watch>(Loop, Settings.StoreAddress,
                                                platform::RunnerKind, Timing);
    store_watch::handlers Handlers;
    Handlers.OnList = [this](const std::vector<store_item> &Items) {
      applyRunnerList(Items, "store");
    };
    Handlers.OnEvent = [this](const store_event &Event) {
      applyRunnerEvent(Event);
    };
    Handlers.OnAvailability = [this](bool Contact) {
      if (Contact)
        RegistryReconnectTime = readClock();
      RegistryUnreachable = !Contact;
    };
    Handlers.OnConfirmed = [this] {
      Context.RegistryConfirmedAt = readClock();
    };
    RunnerWatch->start(std::move(Handlers));
  }

  /// Returns the time at which a runner that is missing at \p Now is removed.
  /// After the registry reconnects, runners have RegistryRecoveryTime to
  /// reappear.
  instant removalTime(instant Now) const {
    if (RegistryReconnectTime.Steady.count() == 0)
      return Now;
    const instant Settled =
        later(RegistryReconnectTime, Settings.RegistryRecoveryTime);
    return Settled.Steady > Now.Steady ? Settled : Now;
  }

  /// Decodes a registry entry and logs what can't be read.
  static std::optional<runner_entry> decodeRunner(const store_item &Item) {
    platform::decode_notes Notes;
    auto Entry = platform::decodeRunner(Item, &Notes);
    if (Notes.Count > 0)
      logLimited(log_level::Warning,
                 Entry ? "runner_fields_unreadable" : "runner_entry_unusable",
                 {{"entry", Item.Name},
                  {"revision", std::to_string(Item.Revision)},
                  {"fields", joinNames(Notes)}});
    return Entry;
  }

  void applyRunnerList(const std::vector<store_item> &Items,
                       const char *Source) {
    const instant Now = readClock();
    std::vector<runner_entry> Entries;
    for (const store_item &Item : Items)
      if (auto Entry = decodeRunner(Item)) {
        reportNewIncarnation(*Entry);
        Entries.push_back(std::move(*Entry));
      }
    replaceRunners(Context.Runners, Entries, removalTime(Now), Now);
    RunnerListReceived = true;
    logEvent(log_level::Info, "runners_listed",
             {{"entries", std::to_string(Items.size())},
              {"source", Source},
              {"runners", std::to_string(Context.Runners.Runners.size())},
              {"missing", std::to_string(Context.Runners.Missing.size())}});
  }

  /// A new incarnation shows that the former one has ended.
  void reportNewIncarnation(const runner_entry &Entry) {
    const auto Known = Context.Runners.Runners.find(Entry.Id);
    if (Known != Context.Runners.Runners.end() &&
        Known->second.Entry.BornMs < Entry.BornMs &&
        takesRequests(Known->second))
      reportCrash(Context, Entry.Id, Known->second.Entry.BornMs,
                  "new_incarnation");
  }

  void applyRunnerEvent(const store_event &Event) {
    const instant Now = readClock();
    const std::string Revision = std::to_string(Event.Item.Revision);
    if (Event.Removed) {
      if (!Context.Runners.Runners.contains(Event.Item.Name))
        return;
      const instant RemovalTime = removalTime(Now);
      Context.Runners.Missing.try_emplace(Event.Item.Name, RemovalTime);
      logEvent(
          log_level::Info, "runner_missing",
          {{"runner", Event.Item.Name},
           {"revision", Revision},
           {"kept_ms",
            std::to_string((RemovalTime.Steady - Now.Steady).count() / 1000)}});
      removeMissingRunners(Now);
      return;
    }
    const auto Entry = decodeRunner(Event.Item);
    if (!Entry)
      return;
    reportNewIncarnation(*Entry);
    if (upsertRunner(Context.Runners, *Entry))
      logEvent(log_level::Info, "runner_changed",
               {{"runner", Entry->Id},
                {"service", Entry->Service},
                {"address", Entry->Address},
                {"draining", Entry->Draining ? "true" : "false"},
                {"born_ms", std::to_string(Entry->BornMs)},
                {"revision", Revision}});
  }

  void removeMissingRunners(instant Now) {
    for (const std::string &Id : removeMissing(Context.Runners, Now))
      logEvent(log_level::Info, "runner_gone", {{"runner", Id}});
  }

  void watchReplicas() {
    ReplicaWatch = std::make_shared<store_watch>(Loop, Settings.StoreAddress,
                                                 platform::ReplicaSetKind,
                                                 watch_settings{});
    store_watch::handlers Handlers;
    Handlers.OnList = [this](const std::vector<store_item> &Items) {
      for (const store_item &Item : Items)
        applyReplicaSet(Item);
    };
    Handlers.OnEvent = [this](const store_event &Event) {
      if (!Event.Removed)
        applyReplicaSet(Event.Item);
    };
    Handlers.OnAvailability = [](bool) {};
    ReplicaWatch->start(std::move(Handlers));
    History.onReplicaSetOutdated([this] { ReplicaWatch->refresh(); });
    History.exchangeSuspects(
        [this] {
          return listSuspects(Context.Suspects, MaxListedSuspects,
                              MinListedCrashes, readClock());
        },
        [this](const std::vector<suspect_notice> &Notices) {
          mergeSuspects(Context.Suspects, Notices, readClock());
        });
    History.onLimits([this](const std::vector<limit_notice> &Notices) {
      applyLimitNotices(Context, Notices, readClock());
    });
  }

  void watchStore() {
    Pulse = std::make_shared<store_pulse>(Loop, Settings.StoreAddress,
                                          pulse_settings{});
    Pulse->follow(RunnerWatch, pulse_scope::Changes);
    Pulse->follow(ConfigWatch, pulse_scope::Changes);
    // Replicas report a newer set themselves.
    Pulse->follow(ReplicaWatch, pulse_scope::Silence);
    Pulse->start();
  }

  void applyReplicaSet(const store_item &Item) {
    auto Set = decodeReplicaSet(Item.Spec);
    if (Set) {
      Set->Revision = static_cast<std::uint64_t>(Item.Revision);
      History.setReplicas(*Set, "store");
    } else
      logEvent(log_level::Error, "replica_set_unreadable",
               {{"entry", Item.Name}});
  }

  void sweep() {
    SweepTimer.expires_after(SweepInterval);
    SweepTimer.async_wait([this](const asio::error_code &) {
      const instant Now = readClock();
      Pool.closeExpired(Now);
      forgetIdleRunners(Context.OwnShare, Now);
      dropUnconfirmed(Context.Broken, Now);
      forgetOldSuspects(Context.Suspects, Now);
      forgetLeaving(Context.Runners, Now);
      if (forgetOutliers(Context.Runners.Outliers, Now))
        applyEjections(Context.Runners);
      logSuppressed();
      if (!RegistryUnreachable)
        removeMissingRunners(Now);
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
    Drain = {readClock(), Settings.TerminationGracePeriod, {}};
    Context.UnboundedSendsUntil = later(Drain.StoppedAt, UnboundedSendTime);
    Context.LastDeadline = lastDeadline(Drain);
    logEvent(log_level::Info, "process_stopping",
             {{"signal", std::to_string(Signal)},
              {"active_requests", std::to_string(Context.ActiveRequests)},
              {"connections", std::to_string(Connections.size())},
              {"tunnels", std::to_string(Tunnels.tunnels())}});
    continueDrain();
  }

  void scheduleDrain(microseconds Delay) {
    DrainTimer.expires_after(Delay);
    DrainTimer.async_wait([this](const asio::error_code &Error) {
      if (!Error)
        continueDrain();
    });
  }

  void continueDrain() {
    const instant Now = readClock();
    const bool Idle = Connections.empty() && Context.ActiveRequests == 0 &&
                      Tunnels.tunnels() == 0;
    const drain_decision Decision = decideDrain(Drain, Idle, Now);
    microseconds Delay = Decision.NextCheck.Steady - Now.Steady;
    switch (Decision.Step) {
    case drain_step::Listen:
      break;
    case drain_step::Finish: {
      // If too few instances are ready, the load balancer still sends callers
      // here. Their connections are refused, so that they try another instance.
      Callers.stop();
      Tunnels.announceStop();
      const auto Open = Connections; // Closing a connection modifies the set.
      for (const auto &Connection : Open)
        Connection->closeIfUnused(Now);
      Delay = std::min(Delay, microseconds(FlushTime));
      break;
    }
    case drain_step::Exit:
      logEvent(log_level::Info, "process_stopped",
               {{"active_requests", std::to_string(Context.ActiveRequests)},
                {"connections", std::to_string(Connections.size())}});
      Loop.stop();
      return;
    }
    scheduleDrain(Delay);
  }

  asio::io_context Loop;
  instance_settings Settings;
  std::function<void()> OnHangup;
  metrics Metrics;
  history_client History;
  runner_connection_pool Pool;
  exchange_context Context;
  listener Callers;
  text_server Readiness;
  text_server MetricsServer;
  relay_server Relay;
  tunnel_server Tunnels;
  asio::signal_set Signals;
  asio::steady_timer SweepTimer;
  asio::steady_timer PingTimer;
  asio::steady_timer BackupTimer;
  asio::steady_timer DrainTimer;
  std::shared_ptr<store_watch> ConfigWatch;
  std::shared_ptr<store_watch> RunnerWatch;
  std::shared_ptr<store_watch> ReplicaWatch;
  std::shared_ptr<store_pulse> Pulse; ///< Of all three watches.
  /// Links to the seed replicas from the settings, open while their backups are
  /// needed.
  std::map<std::string, std::shared_ptr<history_link>> SeedLinks;
  std::set<std::shared_ptr<caller_connection>> Connections;
  std::size_t ConnectionLimit = 0; ///< Of callers; 0: no limit.
  /// Sockets of callers. Shared, because handlers on the event loop may own
  /// the last of them.
  std::shared_ptr<std::size_t> OpenSockets = std::make_shared<std::size_t>(0);
  line_budget GivenUpLines;
  /// Zero if the registry was never unreachable.
  instant RegistryReconnectTime{};
  bool RegistryUnreachable = false;
  bool RunnerListReceived = false;
  bool WasReady = false;
  drain_state Drain; ///< Valid while Context.Draining.
};

} // namespace

int runEdge(const instance_settings &Settings,
            const std::function<void()> &OnHangup) {
  returnFreedMemory();
  edge Edge(Settings, OnHangup);
  return Edge.run();
}

} // namespace lentilhoist
