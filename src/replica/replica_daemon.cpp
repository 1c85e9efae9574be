#include "replica/replica_daemon.h"

#include "history/copy_progress.h"
#include "history/history_link.h"
#include "history/replica_server.h"
#include "log/log.h"
#include "metrics/metrics.h"
#include "net/address.h"
#include "net/text_server.h"
#include "replica/replica_store.h"
#include "store/store_watch.h"

#include <algorithm>
#include <asio/signal_set.hpp>
#include <csignal>
#include <nlohmann/json.hpp>

namespace lentilhoist {

namespace {

/// Changes of the registry are kept on disk no more often than this.
constexpr milliseconds BackupInterval{300};
/// An entry instance that has not greeted for this long is no relay any more;
/// they greet every three seconds.
constexpr seconds RelayLifetime{10};
/// Pause between looks at the membership.
constexpr milliseconds MembershipInterval{300};
/// A replica that was not reached for this long may be replaced; a restarted
/// process is back within a second.
constexpr milliseconds TakeoverDelay{2'500};
/// Pause between sweeps over expired records.
constexpr seconds ExpiryInterval{5};
/// Longest wait for a call of the store.
constexpr milliseconds StoreLimit{2'000};
/// Part of the process's memory for records.
constexpr double RecordMemoryPart = 0.7;
/// Part of the memory for texts of turns; instances that carry traffic keep
/// recent chains too, so that few are read here.
constexpr std::size_t TextMemoryDivisor = 16;
/// The replica set changes rarely, but a lost one should be seen soon.
constexpr milliseconds SetWait{5'000};
/// A copy may lag by seconds; the wait only bounds how long a silent connection
/// goes unseen.
constexpr milliseconds BackupWait{10'000};
/// Orders to empty an instance may take seconds to be carried out.
constexpr milliseconds RetirementWait{2'000};
constexpr const char *SetName = "main";

/// The parts of one replica, joined on one event loop.
class replica {
public:
  replica(instance_settings Given, std::function<void()> GivenOnHangup)
      : Settings(std::move(Given)), OnHangup(std::move(GivenOnHangup)),
        Address(Settings.ReplicaAddress),
        Store(Loop, Settings.DataFolder + "/history", Settings.DiskBytes,
              limits()),
        Peers(Loop, *parseAddress(Address),
              [this](const replica_request &Request,
                     const replica_server::on_reply &OnReply) {
                handle(Request, OnReply);
              }),
        MetricsServer(
            Loop,
            {asio::ip::make_address(Settings.Address), Settings.FirstPort},
            [this](const http_request_head &Head) {
              return Head.Target == "/status"
                         ? text_answer{200, status().dump() + "\n"}
                         : render();
            }),
        Client(std::make_shared<store_client>(Loop, Settings.StoreAddress)),
        Signals(Loop, SIGTERM, SIGINT, SIGHUP), MembershipTimer(Loop),
        ExpiryTimer(Loop) {}

  int run() {
    watchSet();
    watchRetirements();
    ConfigWatch = backUp(platform::ConfigKind);
    RunnerWatch = backUp(platform::RunnerKind);
    waitForSignal();
    scheduleMembership();
    scheduleExpiry();
    Loop.run();
    return 0;
  }

private:
  replica_limits limits() const {
    replica_limits Limits;
    Limits.MaxBytes = static_cast<std::size_t>(
        static_cast<double>(Settings.MemoryBytes) * RecordMemoryPart);
    Limits.MaxTextBytes = Settings.MemoryBytes / TextMemoryDivisor;
    return Limits;
  }

  nlohmann::ordered_json status() const {
    const replica_state &State = Store.state();
    nlohmann::ordered_json Json;
    Json["instance"] = Settings.Name;
    Json["address"] = Address;
    Json["member"] = Set && Set->find(Address).has_value();
    Json["complete"] = State.Complete;
    Json["replica_set_version"] = State.SetVersion;
    Json["turns"] = State.Turns.size();
    Json["programs"] = State.Ledgers.size();
    Json["record_bytes"] = State.Bytes;
    Json["segments"] = State.Live.size();
    Json["sources_copied"] = Progress.Copied.size();
    Json["replicas"] = nlohmann::ordered_json::array();
    if (Set)
      for (const replica_slot &Slot : Set->Slots)
        Json["replicas"].push_back({{"node", Slot.Node},
                                    {"address", Slot.Address},
                                    {"domain", Slot.Domain},
                                    {"former", Slot.Former}});
    return Json;
  }

  text_answer render() {
    const replica_state &State = Store.state();
    Metrics.gauge("lentilhoist_replica_turns",
                  static_cast<double>(State.Turns.size()));
    Metrics.gauge("lentilhoist_replica_programs",
                  static_cast<double>(State.Ledgers.size()));
    Metrics.gauge("lentilhoist_replica_bytes",
                  static_cast<double>(State.Bytes));
    Metrics.gauge("lentilhoist_replica_complete", State.Complete ? 1 : 0);
    Metrics.gauge("lentilhoist_replica_set_version",
                  static_cast<double>(State.SetVersion));
    return {200, Metrics.render()};
  }

  void handle(const replica_request &Request,
              const replica_server::on_reply &OnReply) {
    const instant Start = readClock();
    Metrics.count("lentilhoist_replica_requests_total");
    const bool Greeting = Request.Operation == replica_operation::Ping &&
                          !Request.RelayAddress.empty();
    if (Greeting)
      Relays[Request.RelayAddress] = Start;
    Store.handle(Request,
                 [this, Start, Greeting, OnReply](replica_reply Reply) {
                   Metrics.observe("lentilhoist_replica_answer_seconds", "", "",
                                   readClock().Steady - Start.Steady);
                   if (Greeting)
                     for (const auto &[Relay, Greeted] : Relays)
                       Reply.Relays.push_back(Relay);
                   OnReply(Reply);
                 });
  }

  void watchSet() {
    watch_settings Timing;
    Timing.Wait = SetWait;
    SetWatch = std::make_shared<store_watch>(Loop, Settings.StoreAddress,
                                             platform::ReplicaSetKind, Timing);
    store_watch::handlers Handlers;
    Handlers.OnList = [this](const std::vector<store_item> &Items) {
      SetListed = true;
      for (const store_item &Item : Items)
        takeSet(Item);
      decide();
    };
    Handlers.OnEvent = [this](const store_event &Event) {
      if (!Event.Removed)
        takeSet(Event.Item);
      decide();
    };
    Handlers.OnAvailability = [](bool) {};
    SetWatch->start(std::move(Handlers));
  }

  void takeSet(const store_item &Item) {
    if (Item.Name != SetName || Item.Revision <= SetRevision)
      return;
    const auto Read = decodeReplicaSet(Item.Spec);
    if (!Read) {
      logEvent(log_level::Error, "replica_set_unreadable",
               {{"revision", std::to_string(Item.Revision)}});
      return;
    }
    SetRevision = Item.Revision;
    Set = *Read;
    logEvent(log_level::Info, "replica_set_read",
             {{"version", std::to_string(Set->Version)},
              {"revision", std::to_string(Item.Revision)},
              {"replicas", encodeReplicaSet(*Set)}});
    if (Set->Established && Set->Version > Store.state().SetVersion) {
      replica_change Change;
      Change.Kind = change_kind::Set;
      Change.Set = *Set;
      Store.apply(Change, [](bool) {});
    }
    std::erase_if(Links, [this](const auto &Link) {
      const bool Unused = !isSource(Link.first);
      if (Unused)
        Link.second->close();
      return Unused;
    });
  }

  bool isSource(const std::string &Other) const {
    return std::any_of(Set->Slots.begin(), Set->Slots.end(),
                       [&](const replica_slot &Slot) {
                         return Slot.Address == Other || Slot.Former == Other;
                       });
  }

  /// Keeps a copy of what entry instances need to start while the store is
  /// away. It may lag: reads that may be old cost a tenth.
  std::shared_ptr<store_watch> backUp(const char *Kind) {
    watch_settings Timing;
    Timing.Wait = BackupWait;
    Timing.BatchDelay = BackupInterval;
    Timing.AllowStale = true;
    auto Watch = std::make_shared<store_watch>(Loop, Settings.StoreAddress,
                                               Kind, Timing);
    store_watch::handlers Handlers;
    Handlers.OnList = [this, Kind](const std::vector<store_item> &Items) {
      auto &Objects = Backups[Kind];
      Objects.clear();
      for (const store_item &Item : Items)
        Objects[Item.Name] = Item.Spec;
    };
    Handlers.OnEvent = [this, Kind](const store_event &Event) {
      if (Event.Removed)
        Backups[Kind].erase(Event.Item.Name);
      else
        Backups[Kind][Event.Item.Name] = Event.Item.Spec;
    };
    Handlers.OnAvailability = [](bool) {};
    Watch->start(std::move(Handlers));
    return Watch;
  }

  void storeBackups() {
    for (const auto &[Kind, Objects] : Backups) {
      replica_change Change;
      Change.Kind = change_kind::Backup;
      Change.Backup.Kind = Kind;
      for (const auto &[Name, Spec] : Objects) {
        Change.Backup.Names.push_back(Name);
        Change.Backup.Specs.push_back(Spec);
      }
      const auto Known = Store.state().Backups.find(Kind);
      if (Known == Store.state().Backups.end() ||
          !(Known->second == Change.Backup))
        Store.apply(Change, [](bool) {});
    }
  }

  void watchRetirements() {
    watch_settings Timing;
    Timing.Wait = RetirementWait;
    RetirementWatch = std::make_shared<store_watch>(
        Loop, Settings.StoreAddress, platform::RetirementKind, Timing);
    store_watch::handlers Handlers;
    Handlers.OnList = [this](const std::vector<store_item> &Items) {
      Retirements.clear();
      for (const store_item &Item : Items)
        Retirements[Item.Name] = Item;
      decide();
    };
    Handlers.OnEvent = [this](const store_event &Event) {
      if (Event.Removed)
        Retirements.erase(Event.Item.Name);
      else
        Retirements[Event.Item.Name] = Event.Item;
      decide();
    };
    Handlers.OnAvailability = [](bool) {};
    RetirementWatch->start(std::move(Handlers));
  }

  void scheduleMembership() {
    MembershipTimer.expires_after(MembershipInterval);
    MembershipTimer.async_wait([this](const asio::error_code &) {
      decide();
      storeBackups();
      scheduleMembership();
    });
  }

  /// One look at what this instance should do about the replica set.
  void decide() {
    if (!SetListed)
      return;
    const bool Member = Set && Set->find(Address);
    if (Member) {
      beMember();
    } else if (!Writing) {
      probe();
      act(decideMembership(view()));
    }
    reportRetirement();
  }

  membership_view view() const {
    membership_view View;
    View.Node = Settings.Name;
    View.Address = Address;
    View.Domain = Settings.Domain;
    View.Set = Set;
    View.FirstStart = Settings.FirstStart;
    View.DisksLost = Settings.DisksLost;
    for (const auto &[Node, Item] : Retirements)
      if (!platform::isRetirementCompleted(Item.Status))
        View.Retiring.push_back(Node);
    if (!Set)
      return View;
    const instant Now = readClock();
    for (const replica_slot &Slot : Set->Slots) {
      const auto Heard = LastHeard.find(Slot.Address);
      View.Unreachable.push_back(Heard != LastHeard.end() &&
                                 Now.Steady - Heard->second.Steady >
                                     TakeoverDelay);
    }
    return View;
  }

  /// Asks all replicas whether they are there. Only an instance outside of the
  /// set does so, to see whom it could replace.
  void probe() {
    if (!Set || !Set->Established)
      return;
    for (const replica_slot &Slot : Set->Slots) {
      LastHeard.try_emplace(Slot.Address, readClock());
      history_link &Link = link(Slot.Address);
      if (Link.outstanding() != 0)
        continue;
      Link.send({}, [this, Other = Slot.Address](const replica_reply &) {
        LastHeard[Other] = readClock();
      });
    }
  }

  history_link &link(const std::string &Other) {
    auto &Link = Links[Other];
    if (!Link)
      Link = std::make_shared<history_link>(Loop, Other);
    return *Link;
  }

  void act(const membership_decision &Decision) {
    if (Decision.Step == membership_step::None)
      return;
    Writing = true;
    // On disk before others can count on it: a founder holds all there is, a
    // successor lacks what its predecessor holds.
    replica_change Change;
    Change.Kind = Decision.Step == membership_step::TakeOver
                      ? change_kind::Incomplete
                      : change_kind::Complete;
    Store.apply(Change, [this, Decision](bool Durable) {
      if (!Durable) {
        Writing = false;
        return;
      }
      writeSet(Decision.Set, Decision.Step == membership_step::Found);
    });
  }

  void writeSet(const replica_set &Next, bool Create) {
    Writing = true;
    logEvent(log_level::Info, "replica_set_proposed",
             {{"version", std::to_string(Next.Version)},
              {"revision", std::to_string(SetRevision)},
              {"replicas", encodeReplicaSet(Next)}});
    const std::string Spec = encodeReplicaSet(Next);
    Client->call(
        Create ? platform::createCall(platform::ReplicaSetKind, SetName, Spec)
               : platform::replaceCall(platform::ReplicaSetKind, SetName, Spec,
                                       SetRevision),
        StoreLimit, [this](const store_answer &Answer) {
          Writing = false;
          logEvent(log_level::Info, "replica_set_written",
                   {{"status", storeStatusName(Answer.Status)}});
          // Success and conflict both answer with the object as it is.
          const auto Item = platform::decodeItem(Answer.Body);
          if (Item && Item->Name == SetName) {
            takeSet(*Item);
            decide();
          }
        });
  }

  void beMember() {
    if (!Set->Established)
      return;
    const replica_state &State = Store.state();
    if (State.Complete) {
      const auto Next = withoutFormer(*Set, Address);
      if (Next && !Writing)
        writeSet(*Next, false);
      return;
    }
    copy();
  }

  /// Copies from enough of the others to know all that was acknowledged.
  void copy() {
    if (beginCopy(Progress, *Set)) {
      CopyStart = readClock();
      logEvent(
          log_level::Info, "copy_started",
          {{"replica_set", std::to_string(Progress.Version)},
           {"sources_needed", std::to_string(sourcesNeeded(*Set, Address))}});
    }
    for (const std::string &Source : takeSources(Progress, *Set, Address))
      copyFrom(Source, 0, 0);
  }

  /// Copies one batch.
  /// \param Cursor the last position that arrived.
  /// \param Target the position to reach; 0 until the first answer tells it.
  void copyFrom(const std::string &Source, std::uint64_t Cursor,
                std::uint64_t Target) {
    replica_request Request;
    Request.Operation = replica_operation::Copy;
    Request.SetVersion = Set->Version;
    Request.Cursor = Cursor;
    Request.Set.push_back(*Set);
    link(Source).send(
        std::move(Request), [this, Source, Target, Version = Progress.Version](
                                const replica_reply &Reply) {
          if (Version != Progress.Version)
            return;
          if (Reply.Status != replica_status::Done) {
            // Not complete itself, or of another set: tried again later.
            Progress.UnderWay.erase(Source);
            return;
          }
          absorb(Source, Reply, Target == 0 ? Reply.Head : Target);
        });
  }

  void absorb(const std::string &Source, const replica_reply &Reply,
              std::uint64_t Target) {
    Store.absorb(Reply, [this, Source, Target, Cursor = Reply.Cursor,
                         Version = Progress.Version](bool Durable) {
      if (Version != Progress.Version)
        return;
      if (!Durable)
        Progress.UnderWay.erase(Source);
      else if (Cursor < Target)
        copyFrom(Source, Cursor, Target);
      else
        finishCopy(Source);
    });
  }

  void finishCopy(const std::string &Source) {
    Progress.Copied.insert(Source);
    logEvent(log_level::Info, "copy_source_done", {{"source", Source}});
    if (!isCopyDone(Progress, *Set, Address) || Store.state().Complete)
      return;
    replica_change Change;
    Change.Kind = change_kind::Complete;
    Store.apply(Change, [this](bool Durable) {
      logEvent(log_level::Info, "copy_done",
               {{"durable", Durable ? "true" : "false"},
                {"turns", std::to_string(Store.state().Turns.size())},
                {"milliseconds",
                 std::to_string(
                     (readClock().Steady - CopyStart.Steady).count() / 1000)}});
      decide();
    });
  }

  void reportRetirement() {
    const auto Order = Retirements.find(Settings.Name);
    if (Order == Retirements.end() || ReportingRetirement)
      return;
    const store_item &Item = Order->second;
    const bool Empty = !Set || !isNeeded(*Set, Settings.Name, Address);
    if (platform::isRetirementCompleted(Item.Status) ||
        (!Empty && platform::isRetirementStarted(Item.Status)))
      return;
    ReportingRetirement = true;
    Client->call(platform::replaceStatusCall(
                     platform::RetirementKind, Item.Name,
                     platform::encodeRetirementStatus(Empty), Item.Revision),
                 StoreLimit, [this, Empty](const store_answer &Answer) {
                   ReportingRetirement = false;
                   logEvent(log_level::Info, "retirement_reported",
                            {{"completed", Empty ? "true" : "false"},
                             {"status", storeStatusName(Answer.Status)}});
                   const auto Item = platform::decodeItem(Answer.Body);
                   if (Item && Item->Name == Settings.Name)
                     Retirements[Item->Name] = *Item;
                 });
  }

  void scheduleExpiry() {
    ExpiryTimer.expires_after(ExpiryInterval);
    ExpiryTimer.async_wait([this](const asio::error_code &) {
      Store.expire();
      const auto Oldest = readClock().Steady - RelayLifetime;
      std::erase_if(Relays, [&](const auto &Relay) {
        return Relay.second.Steady < Oldest;
      });
      scheduleExpiry();
    });
  }

  void waitForSignal() {
    Signals.async_wait([this](const asio::error_code &Error, int Signal) {
      if (Error)
        return;
      if (Signal == SIGHUP) {
        OnHangup();
        waitForSignal();
        return;
      }
      logEvent(log_level::Info, "process_stopping",
               {{"signal", std::to_string(Signal)}});
      Loop.stop();
    });
  }

  asio::io_context Loop;
  instance_settings Settings;
  std::function<void()> OnHangup;
  std::string Address;
  metrics Metrics;
  replica_store Store;
  replica_server Peers;
  text_server MetricsServer;
  std::shared_ptr<store_client> Client;
  asio::signal_set Signals;
  asio::steady_timer MembershipTimer;
  asio::steady_timer ExpiryTimer;
  std::shared_ptr<store_watch> SetWatch;
  std::shared_ptr<store_watch> RetirementWatch;
  std::shared_ptr<store_watch> ConfigWatch;
  std::shared_ptr<store_watch> RunnerWatch;
  /// Objects by kind and name, as last seen in the store.
  std::map<std::string, std::map<std::string, std::string>> Backups;
  std::map<std::string, instant> Relays; ///< By address, when they greeted.

  std::optional<replica_set> Set;
  std::int64_t SetRevision = 0;
  bool SetListed = false;
  bool Writing = false; ///< A change of the set is under way.
  std::map<std::string, store_item> Retirements;
  bool ReportingRetirement = false;
  std::map<std::string, std::shared_ptr<history_link>> Links;
  std::map<std::string, instant> LastHeard;

  copy_progress Progress;
  instant CopyStart{};
};

} // namespace

int runReplica(const instance_settings &Settings,
               const std::function<void()> &OnHangup) {
  replica Replica(Settings, OnHangup);
  return Replica.run();
}

} // namespace lentilhoist
