#include "replica/replica_daemon.h"

#include "admission/memory_account.h"
#include "history/copy_progress.h"
#include "history/history_link.h"
#include "history/membership_change.h"
#include "history/permit_service.h"
#include "history/replica_server.h"
#include "history/suspect_service.h"
#include "log/log.h"
#include "metrics/metrics.h"
#include "net/address.h"
#include "net/text_server.h"
#include "platform/config_decoder.h"
#include "quarantine/suspect_archive.h"
#include "replica/replica_repair.h"
#include "replica/replica_store.h"
#include "store/store_pulse.h"

#include <algorithm>
#include <asio/signal_set.hpp>
#include <csignal>
#include <fmt/format.h>
#include <nlohmann/json.hpp>
#include <set>

namespace lentilhoist {

namespace {

/// Minimum pause between the watch calls that follow the objects to back up, so
/// that changes of the registry are written to disk at most this often.
constexpr milliseconds BackupInterval{300};
/// An entry instance that has sent no ping for this long is no longer listed as
/// a relay; entry instances ping every three seconds.
constexpr seconds RelayTimeout{10};
/// Interval between membership checks.
constexpr milliseconds MembershipInterval{300};
/// A replica that has been unreachable for longer than this may be replaced; a
/// restarted process answers again within a second.
constexpr milliseconds TakeoverDelay{2'500};
/// After this time, a member ends a conflict of two sets of one version that no
/// displaced replica has ended. Replicas have fetched from each other by then
/// what only those of one set had received.
constexpr milliseconds ConflictTime{5'000};
/// Most sets of senders that are reported as in conflict with one set.
constexpr std::size_t MaxReportedSenders = 8;
/// Interval between readings of what other replicas have received. A record
/// that this replica missed is here after about three intervals.
constexpr milliseconds RepairInterval{1'000};
/// Interval between deletions of expired records.
constexpr seconds ExpiryInterval{5};
/// Timeout of a call to the platform's store.
constexpr milliseconds StoreTimeout{2'000};
/// Fraction of the process's memory for records.
constexpr double RecordMemoryFraction = 0.7;
/// Divisor of the process's memory that gives the share for texts of turns. The
/// share is small because instances that carry traffic keep recent chains too,
/// so that few are read from a replica.
constexpr std::size_t TextMemoryDivisor = 16;
/// Divisor of the process's memory that gives the shares for large requests and
/// for replies with texts. A turn that is being stored is held twice: by the
/// state and on the way to the journal.
constexpr std::size_t MessageMemoryDivisor = 32;
constexpr const char *ReplicaSetName = "main";
/// Kind of the backup that holds evidence against requests; no kind of the
/// platform's store.
constexpr const char *SuspectBackupKind = "suspects";

/// The replica process: state, server, store watches and timers on one event
/// loop.
class replica {
public:
  replica(instance_settings GivenSettings, std::function<void()> GivenOnHangup)
      : Settings(std::move(GivenSettings)), OnHangup(std::move(GivenOnHangup)),
        Address(Settings.ReplicaAddress),
        Store(Loop, Settings.DataFolder + "/history", Settings.DiskBytes,
              limits()),
        ReplicaServer(Loop, *parseAddress(Address),
                      {Settings.MemoryBytes / MessageMemoryDivisor,
                       Settings.MemoryBytes / MessageMemoryDivisor},
                      [this](replica_request Request,
                             const replica_server::on_reply &OnReply) {
                        handle(std::move(Request), OnReply);
                      }),
        MetricsServer(
            Loop,
            {asio::ip::make_address(Settings.Address), Settings.FirstPort},
            [this](const http_request_head &Head) {
              if (Head.Target == "/status")
                return text_answer{200, status().dump() + "\n"};
              if (Head.Target == "/quotas")
                return text_answer{200, quotas().dump() + "\n"};
              return renderMetrics();
            }),
        StoreClient(
            std::make_shared<store_client>(Loop, Settings.StoreAddress)),
        Signals(Loop, SIGTERM, SIGINT, SIGHUP), MembershipTimer(Loop),
        RepairTimer(Loop), ExpiryTimer(Loop),
        Repair(Store, [this](const std::string &Peer) -> history_link & {
          return linkTo(Peer);
        }) {}

  int run() {
    Store.setAddress(Address);
    ConflictTimeout = later(readClock(), ConflictTime);
    loadSuspects();
    watchReplicaSet();
    watchRetirements();
    ConfigWatch = watchForBackup(platform::ConfigKind);
    RunnerWatch = watchForBackup(platform::RunnerKind);
    watchStore();
    waitForSignal();
    scheduleMembership();
    scheduleRepair();
    scheduleExpiry();
    Loop.run();
    return 0;
  }

private:
  replica_limits limits() const {
    replica_limits Limits;
    Limits.MaxBytes = static_cast<std::size_t>(
        static_cast<double>(Settings.MemoryBytes) * RecordMemoryFraction);
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
    Json["segments"] = State.LiveRecords.size();
    Json["repaired_records"] = Repair.repairedRecords();
    Json["sources_copied"] = Progress.Copied.size();
    Json["limited_runners"] = Issuer.Runners.size();
    Json["quota_workspaces"] = Quotas.Buckets.size();
    Json["suspects"] = Suspects.Suspects.size();
    Json["replicas"] = nlohmann::ordered_json::array();
    if (Set)
      for (const replica_slot &Slot : Set->Slots)
        Json["replicas"].push_back({{"node", Slot.Node},
                                    {"address", Slot.Address},
                                    {"domain", Slot.Domain},
                                    {"former", Slot.Predecessor}});
    return Json;
  }

  /// The largest workspaces that this replica issues permits for.
  nlohmann::ordered_json quotas() const {
    nlohmann::ordered_json Rows = nlohmann::ordered_json::array();
    for (const quota_usage &Usage :
         listQuotas(Quotas, MaxListedQuotas, readClock()))
      Rows.push_back({{"workspace", Usage.Workspace},
                      {"per_second", Usage.Quota.PerSecond},
                      {"burst", Usage.Quota.Burst},
                      {"config_version", Usage.Quota.Version},
                      {"demand_per_second", Usage.Demand},
                      {"tokens", Usage.Tokens},
                      {"granted", Usage.Granted},
                      {"refused", Usage.Refused},
                      {"stand_in", Usage.StandIn}});
    return {{"instance", Settings.Name},
            {"known_workspaces", Quotas.Buckets.size()},
            {"workspaces", Rows}};
  }

  text_answer renderMetrics() {
    const replica_state &State = Store.state();
    Metrics.gauge("lentilhoist_replica_turns",
                  static_cast<double>(State.Turns.size()));
    Metrics.gauge("lentilhoist_replica_programs",
                  static_cast<double>(State.Ledgers.size()));
    Metrics.gauge("lentilhoist_replica_bytes",
                  static_cast<double>(State.Bytes));
    Metrics.gauge("lentilhoist_replica_complete", State.Complete ? 1 : 0);
    Metrics.gauge("lentilhoist_replica_repaired_records",
                  static_cast<double>(Repair.repairedRecords()));
    Metrics.gauge("lentilhoist_replica_request_bytes",
                  static_cast<double>(ReplicaServer.requestBytes()));
    Metrics.gauge("lentilhoist_replica_reply_bytes",
                  static_cast<double>(ReplicaServer.replyBytes()));
    Metrics.gauge("lentilhoist_replica_requests_waiting_for_memory",
                  static_cast<double>(ReplicaServer.waiting()));
    Metrics.gauge("lentilhoist_replica_set_version",
                  static_cast<double>(State.SetVersion));
    return {200, Metrics.render()};
  }

  void handle(replica_request Request,
              const replica_server::on_reply &OnReply) {
    const instant Start = readClock();
    Metrics.count("lentilhoist_replica_requests_total");
    const bool RelayPing = Request.Operation == replica_operation::Ping &&
                           !Request.RelayAddress.empty();
    if (RelayPing)
      Relays[Request.RelayAddress] = Start;
    for (const replica_set &Other : Request.Set)
      if (areInConflict(Other, Store.state().Set))
        reportSender(hashReplicas(Other));
    if (Request.Operation == replica_operation::Ping) {
      Store.handle(Request,
                   [this, Request, RelayPing, OnReply](replica_reply Reply) {
                     noteSender(Request.SetVersion, Request.SetReplicas, Reply);
                     answerPing(Request, Reply, RelayPing);
                     OnReply(std::move(Reply));
                   });
      return;
    }
    const request_signature Signature = Request.Signature;
    const std::uint64_t SetVersion = Request.SetVersion;
    const std::uint64_t SetReplicas = Request.SetReplicas;
    Store.handle(std::move(Request),
                 [this, Start, Signature, SetVersion, SetReplicas,
                  OnReply](replica_reply Reply) {
                   const instant Now = readClock();
                   noteSender(SetVersion, SetReplicas, Reply);
                   Metrics.observe("lentilhoist_replica_answer_seconds", "", "",
                                   Now.Steady - Start.Steady);
                   answerSuspect(Suspects, Signature, Reply, Now);
                   OnReply(std::move(Reply));
                 });
  }

  /// Reports a sender whose set of the version in use has other replicas, or
  /// names this instance, which has no slot. Its reply has the set.
  void noteSender(std::uint64_t SetVersion, std::uint64_t SetReplicas,
                  const replica_reply &Reply) {
    if (SetVersion == Reply.SetVersion && !Reply.Set.empty() &&
        Store.state().Set.Established)
      reportSender(SetReplicas);
  }

  /// Writes a line for the first request of each such set.
  void reportSender(std::uint64_t SetReplicas) {
    const replica_set &Known = Store.state().Set;
    if (std::exchange(ReportedRevision, Known.Revision) != Known.Revision)
      ReportedSenders.clear();
    if (ReportedSenders.size() >= MaxReportedSenders ||
        !ReportedSenders.insert(SetReplicas).second)
      return;
    logEvent(log_level::Error, "replica_set_conflict",
             {{"version", std::to_string(Known.Version)},
              {"revision", std::to_string(Known.Revision)},
              {"replicas", encodeReplicaSet(Known)},
              {"other_hash", std::to_string(SetReplicas)},
              {"source", "request"}});
  }

  void answerPing(const replica_request &Request, replica_reply &Reply,
                  bool RelayPing) {
    if (RelayPing)
      for (const auto &[Relay, LastPing] : Relays)
        Reply.Relays.push_back(Relay);
    const instant Now = readClock();
    answerPermitRequests(Issuer, Request, Reply, Now);
    answerQuotaRequests(Quotas, Request, Reply, Now);
    // Requests for permits of workspaces are as frequent as requests of
    // callers; other pings carry the evidence.
    if (Request.Quotas.empty() &&
        exchangeSuspects(Suspects, Request, Reply, Now)) {
      SuspectsChanged = true;
      logEvent(log_level::Info, "suspects_changed",
               {{"notices", std::to_string(Request.Suspects.size())},
                {"signatures", std::to_string(Suspects.Suspects.size())}});
    }
    for (const permit_reply &Permit : Reply.Permits)
      Metrics.count(
          Permit.Granted
              ? "lentilhoist_permits_issued_total{granted=\"true\"}"
              : "lentilhoist_permits_issued_total{granted=\"false\"}");
    for (const quota_reply &Quota : Reply.Quotas)
      Metrics.count(fmt::format(
          "lentilhoist_quota_decisions_total{{verdict=\"{}\"}}",
          QuotaVerdictNames[static_cast<std::size_t>(Quota.Verdict)]));
  }

  void watchReplicaSet() {
    SetWatch = std::make_shared<store_watch>(Loop, Settings.StoreAddress,
                                             platform::ReplicaSetKind,
                                             watch_settings{});
    store_watch::handlers Handlers;
    Handlers.OnList = [this](const std::vector<store_item> &Items) {
      SetListed = true;
      for (const store_item &Item : Items)
        updateReplicaSet(Item);
      updateMembership();
    };
    Handlers.OnEvent = [this](const store_event &Event) {
      if (!Event.Removed)
        updateReplicaSet(Event.Item);
      updateMembership();
    };
    Handlers.OnAvailability = [](bool) {};
    SetWatch->start(std::move(Handlers));
  }

  void updateReplicaSet(const store_item &Item) {
    const auto Revision = static_cast<std::uint64_t>(Item.Revision);
    if (Item.Name != ReplicaSetName || (Set && Revision <= Set->Revision))
      return;
    auto Read = decodeReplicaSet(Item.Spec);
    if (!Read) {
      logEvent(log_level::Error, "replica_set_unreadable",
               {{"revision", std::to_string(Item.Revision)}});
      return;
    }
    Read->Revision = Revision;
    Set = std::move(Read);
    logEvent(log_level::Info, "replica_set_read",
             {{"version", std::to_string(Set->Version)},
              {"revision", std::to_string(Item.Revision)},
              {"replicas", encodeReplicaSet(*Set)}});
    if (Set->Established && isNews(Store.state(), *Set)) {
      replica_change Change;
      Change.Kind = change_kind::Set;
      Change.Set = *Set;
      Store.apply(Change, [](bool) {});
      if (const auto &Former = Store.state().Conflicting)
        noteConflict(*Former);
    }
    std::erase_if(Links, [this](const auto &Link) {
      const bool Unused = !isCopySource(Link.first);
      if (Unused)
        Link.second->close();
      return Unused;
    });
  }

  /// Reports that the store has replaced a set by one of the same version with
  /// other replicas, as an older build may do.
  void noteConflict(const replica_set &Former) {
    ConflictTimeout = later(readClock(), ConflictTime);
    logEvent(log_level::Error, "replica_set_conflict",
             {{"version", std::to_string(Set->Version)},
              {"revision", std::to_string(Set->Revision)},
              {"replicas", encodeReplicaSet(*Set)},
              {"other_revision", std::to_string(Former.Revision)},
              {"other_replicas", encodeReplicaSet(Former)},
              {"source", "store"}});
  }

  bool isCopySource(const std::string &PeerAddress) const {
    return std::any_of(
        Set->Slots.begin(), Set->Slots.end(), [&](const replica_slot &Slot) {
          return Slot.Address == PeerAddress || Slot.Predecessor == PeerAddress;
        });
  }

  /// Follows the objects that entry instances need to start while the store is
  /// unavailable, to keep a backup of them. Uses stale reads, which cost a
  /// tenth of current ones; the backup may therefore lag.
  std::shared_ptr<store_watch> watchForBackup(const char *Kind) {
    watch_settings Timing;
    Timing.BatchDelay = BackupInterval;
    Timing.AllowStale = true;
    auto Watch = std::make_shared<store_watch>(Loop, Settings.StoreAddress,
                                               Kind, Timing);
    store_watch::handlers Handlers;
    Handlers.OnList = [this, Kind](const std::vector<store_item> &Items) {
      const auto Former = std::exchange(Backups[Kind], {});
      for (const store_item &Item : Items)
        keepBackup(Kind, Item, Former);
    };
    Handlers.OnEvent = [this, Kind](const store_event &Event) {
      if (Event.Removed)
        Backups[Kind].erase(Event.Item.Name);
      else
        keepBackup(Kind, Event.Item, Backups[Kind]);
    };
    Handlers.OnAvailability = [](bool) {};
    Watch->start(std::move(Handlers));
    return Watch;
  }

  /// Keeps an object without the keys of callers. An object that may contain
  /// keys that cannot be found is not kept; its former content stays.
  /// \param Former objects of the kind that were kept before.
  void keepBackup(const std::string &Kind, const store_item &Item,
                  const std::map<std::string, std::string> &Former) {
    if (Kind != platform::ConfigKind) {
      Backups[Kind][Item.Name] = Item.Spec;
      return;
    }
    if (auto Spec = platform::removeKeys(Item.Spec)) {
      Backups[Kind][Item.Name] = std::move(*Spec);
      return;
    }
    logEvent(
        log_level::Error, "configuration_not_backed_up",
        {{"object", Item.Name}, {"revision", std::to_string(Item.Revision)}});
    if (const auto Found = Former.find(Item.Name); Found != Former.end()) {
      Backups[Kind][Item.Name] = std::string(Found->second);
      return;
    }
    const auto Stored = Store.state().Backups.find(Kind);
    if (Stored == Store.state().Backups.end())
      return;
    const store_backup &Backup = Stored->second;
    for (std::size_t Index = 0; Index < Backup.Names.size(); ++Index)
      if (Backup.Names[Index] == Item.Name)
        // A former build has stored it with its keys.
        if (auto Spec = platform::removeKeys(Backup.Specs[Index]))
          Backups[Kind][Item.Name] = std::move(*Spec);
  }

  void watchStore() {
    Pulse = std::make_shared<store_pulse>(Loop, Settings.StoreAddress,
                                          pulse_settings{});
    for (const auto &Watch :
         {SetWatch, RetirementWatch, ConfigWatch, RunnerWatch})
      Pulse->follow(Watch, pulse_scope::Changes);
    Pulse->start();
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
      const auto Stored = Store.state().Backups.find(Kind);
      if (Stored == Store.state().Backups.end() ||
          !(Stored->second == Change.Backup))
        Store.apply(Change, [](bool) {});
    }
  }

  /// Saves the evidence as a further backup, which each segment repeats.
  void storeSuspects() {
    if (!std::exchange(SuspectsChanged, false))
      return;
    replica_change Change;
    Change.Kind = change_kind::Backup;
    Change.Backup = {SuspectBackupKind,
                     {SuspectBackupKind},
                     {packSuspects(Suspects, readClock())}};
    Store.apply(Change, [](bool) {});
  }

  void loadSuspects() {
    const auto Saved = Store.state().Backups.find(SuspectBackupKind);
    if (Saved == Store.state().Backups.end() || Saved->second.Specs.empty())
      return;
    try {
      unpackSuspects(Suspects, Saved->second.Specs.front(), readClock());
    } catch (const std::exception &Error) {
      logEvent(log_level::Error, "suspects_unreadable",
               {{"reason", Error.what()}});
    }
  }

  void watchRetirements() {
    RetirementWatch = std::make_shared<store_watch>(Loop, Settings.StoreAddress,
                                                    platform::RetirementKind,
                                                    watch_settings{});
    store_watch::handlers Handlers;
    Handlers.OnList = [this](const std::vector<store_item> &Items) {
      Retirements.clear();
      for (const store_item &Item : Items)
        Retirements[Item.Name] = Item;
      updateMembership();
    };
    Handlers.OnEvent = [this](const store_event &Event) {
      if (Event.Removed)
        Retirements.erase(Event.Item.Name);
      else
        Retirements[Event.Item.Name] = Event.Item;
      updateMembership();
    };
    Handlers.OnAvailability = [](bool) {};
    RetirementWatch->start(std::move(Handlers));
  }

  void scheduleMembership() {
    MembershipTimer.expires_after(MembershipInterval);
    MembershipTimer.async_wait([this](const asio::error_code &) {
      updateMembership();
      storeBackups();
      storeSuspects();
      scheduleMembership();
    });
  }

  /// Takes the next step of this instance towards, or as a member of, the
  /// replica set, and reports its retirement.
  void updateMembership() {
    if (!SetListed)
      return;
    const bool Member = Set && Set->find(Address);
    if (Member) {
      continueAsMember();
    } else if (!Change.busy()) {
      probeReplicas();
      Change.begin(decideMembership(membershipView()));
    }
    reportRetirement();
  }

  membership_view membershipView() const {
    membership_view View;
    View.Node = Settings.Name;
    View.Address = Address;
    View.Domain = Settings.Domain;
    View.Set = Set;
    View.FirstStart = Settings.FirstStart;
    View.DisksLost = Settings.DisksLost;
    View.Conflicting = Store.state().Conflicting;
    for (const auto &[Node, Item] : Retirements)
      if (!platform::isRetirementCompleted(Item.Status))
        View.Retiring.push_back(Node);
    if (!Set)
      return View;
    const instant Now = readClock();
    for (const replica_slot &Slot : Set->Slots) {
      const auto Response = LastResponse.find(Slot.Address);
      View.Unreachable.push_back(Response != LastResponse.end() &&
                                 Now.Steady - Response->second.Steady >
                                     TakeoverDelay);
    }
    return View;
  }

  /// Pings all replicas. Only an instance outside the set does so, to find an
  /// unreachable replica that it could replace.
  void probeReplicas() {
    if (!Set || !Set->Established)
      return;
    for (const replica_slot &Slot : Set->Slots) {
      LastResponse.try_emplace(Slot.Address, readClock());
      history_link &Link = linkTo(Slot.Address);
      if (Link.outstanding() != 0)
        continue;
      Link.send({}, [this, PeerAddress = Slot.Address](const replica_reply &) {
        LastResponse[PeerAddress] = readClock();
      });
    }
  }

  history_link &linkTo(const std::string &PeerAddress) {
    auto &Link = Links[PeerAddress];
    if (!Link)
      Link = std::make_shared<history_link>(Loop, PeerAddress);
    return *Link;
  }

  membership_change::environment changeEnvironment() {
    return {[this](const replica_change &Marker,
                   membership_change::on_durable OnDone) {
              Store.apply(Marker, std::move(OnDone));
            },
            [this](const replica_set &Next, bool Create,
                   std::function<void()> OnDone) {
              writeReplicaSet(Next, Create, std::move(OnDone));
            },
            [this]() -> const std::optional<replica_set> & { return Set; },
            [](const replica_set &Next) {
              logEvent(log_level::Info, "replica_set_proposal_dropped",
                       {{"version", std::to_string(Next.Version)},
                        {"revision", std::to_string(Next.Revision)}});
            }};
  }

  void writeReplicaSet(const replica_set &Next, bool Create,
                       std::function<void()> OnDone) {
    const std::string Spec = encodeReplicaSet(Next);
    logEvent(log_level::Info, "replica_set_proposed",
             {{"version", std::to_string(Next.Version)},
              {"revision", std::to_string(Next.Revision)},
              {"replicas", Spec}});
    StoreClient->call(
        Create ? platform::createRequest(platform::ReplicaSetKind,
                                         ReplicaSetName, Spec)
               : platform::replaceRequest(
                     platform::ReplicaSetKind, ReplicaSetName, Spec,
                     static_cast<std::int64_t>(Next.Revision)),
        StoreTimeout,
        [this, OnDone = std::move(OnDone)](const store_answer &Answer) {
          OnDone();
          logEvent(log_level::Info, "replica_set_written",
                   {{"status", storeStatusName(Answer.Status)}});
          // On success and on conflict the answer holds the
          // current object.
          const auto Item = platform::decodeItem(Answer.Body);
          if (Item && Item->Name == ReplicaSetName) {
            updateReplicaSet(*Item);
            updateMembership();
          }
        });
  }

  void continueAsMember() {
    if (!Set->Established)
      return;
    const replica_state &State = Store.state();
    const bool Unresolved =
        State.Conflicting && ConflictTimeout.Steady <= readClock().Steady;
    if (Unresolved && !Change.busy())
      Change.write(withNewVersion(*Set));
    if (State.Complete) {
      const auto Next = withoutPredecessor(*Set, Address);
      if (Next && !Change.busy())
        Change.write(*Next);
      return;
    }
    startCopies();
  }

  /// Starts to copy from the other replicas. The copy is complete once enough
  /// of them were copied to cover all acknowledged records.
  void startCopies() {
    if (restartIfSetChanged(Progress, *Set)) {
      CopyStartTime = readClock();
      logEvent(log_level::Info, "copy_started",
               {{"replica_set", std::to_string(Progress.Version)},
                {"sources_needed",
                 std::to_string(requiredSourceCount(*Set, Address))}});
    }
    for (const std::string &Source : claimCopySources(Progress, *Set, Address))
      copyBatch(Source, 0, 0);
  }

  /// Requests one batch of a copy.
  /// \param Source address of the replica to copy from.
  /// \param Cursor last position that has been copied.
  /// \param Target position at which the copy ends; 0 if not known yet, as in
  /// the first request.
  void copyBatch(const std::string &Source, std::uint64_t Cursor,
                 std::uint64_t Target) {
    replica_request Request;
    Request.Operation = replica_operation::Copy;
    Request.SetVersion = Set->Version;
    Request.Cursor = Cursor;
    Request.Set.push_back(*Set);
    linkTo(Source).send(
        std::move(Request), [this, Source, Target, Restart = Progress.Restarts](
                                const replica_reply &Reply) {
          if (Restart != Progress.Restarts)
            return;
          if (Reply.Status != replica_status::Done) {
            // The source is incomplete or at another set version; the next
            // membership check retries it.
            Progress.InProgress.erase(Source);
            return;
          }
          addCopyBatch(Source, Reply, Target == 0 ? Reply.Head : Target);
        });
  }

  void addCopyBatch(const std::string &Source, const replica_reply &Reply,
                    std::uint64_t Target) {
    Store.addCopyBatch(Reply, [this, Source, Target, Cursor = Reply.Cursor,
                               Restart = Progress.Restarts](bool Durable) {
      if (Restart != Progress.Restarts)
        return;
      if (!Durable)
        Progress.InProgress.erase(Source);
      else if (Cursor < Target)
        copyBatch(Source, Cursor, Target);
      else
        finishCopySource(Source);
    });
  }

  void finishCopySource(const std::string &Source) {
    Progress.Copied.insert(Source);
    logEvent(log_level::Info, "copy_source_done", {{"source", Source}});
    if (!isCopyComplete(Progress, *Set, Address) || Store.state().Complete)
      return;
    replica_change Change;
    Change.Kind = change_kind::Complete;
    Store.apply(Change, [this](bool Durable) {
      logEvent(
          log_level::Info, "copy_done",
          {{"durable", Durable ? "true" : "false"},
           {"turns", std::to_string(Store.state().Turns.size())},
           {"milliseconds",
            std::to_string((readClock().Steady - CopyStartTime.Steady).count() /
                           1000)}});
      updateMembership();
    });
  }

  void reportRetirement() {
    const auto Retirement = Retirements.find(Settings.Name);
    if (Retirement == Retirements.end() || ReportingRetirement)
      return;
    const store_item &Item = Retirement->second;
    const bool Completed = !Set || !isReferenced(*Set, Settings.Name, Address);
    if (platform::isRetirementCompleted(Item.Status) ||
        (!Completed && platform::isRetirementStarted(Item.Status)))
      return;
    ReportingRetirement = true;
    StoreClient->call(
        platform::replaceStatusRequest(
            platform::RetirementKind, Item.Name,
            platform::encodeRetirementStatus(Completed), Item.Revision),
        StoreTimeout, [this, Completed](const store_answer &Answer) {
          ReportingRetirement = false;
          logEvent(log_level::Info, "retirement_reported",
                   {{"completed", Completed ? "true" : "false"},
                    {"status", storeStatusName(Answer.Status)}});
          const auto Item = platform::decodeItem(Answer.Body);
          if (Item && Item->Name == Settings.Name)
            Retirements[Item->Name] = *Item;
        });
  }

  void scheduleRepair() {
    RepairTimer.expires_after(RepairInterval);
    RepairTimer.async_wait([this](const asio::error_code &) {
      if (Set && Set->Established && Set->find(Address))
        Repair.run(*Set, Address, readClock());
      scheduleRepair();
    });
  }

  void scheduleExpiry() {
    ExpiryTimer.expires_after(ExpiryInterval);
    ExpiryTimer.async_wait([this](const asio::error_code &) {
      Store.expire();
      forgetIdleRunners(Issuer, readClock());
      forgetIdleQuotas(Quotas, readClock());
      forgetOldSuspects(Suspects, readClock());
      const auto OldestPing = readClock().Steady - RelayTimeout;
      std::erase_if(Relays, [&](const auto &Relay) {
        return Relay.second.Steady < OldestPing;
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
  replica_server ReplicaServer;
  text_server MetricsServer;
  std::shared_ptr<store_client> StoreClient;
  asio::signal_set Signals;
  asio::steady_timer MembershipTimer;
  asio::steady_timer RepairTimer;
  asio::steady_timer ExpiryTimer;
  std::shared_ptr<store_watch> SetWatch;
  std::shared_ptr<store_watch> RetirementWatch;
  std::shared_ptr<store_watch> ConfigWatch;
  std::shared_ptr<store_watch> RunnerWatch;
  std::shared_ptr<store_pulse> Pulse; ///< Of all watches.
  /// Specs of objects as last seen in the store, by kind and name.
  std::map<std::string, std::map<std::string, std::string>> Backups;
  std::map<std::string, instant> Relays; ///< Time of the last ping, by address.
  permit_issuer Issuer;
  quota_issuer Quotas;
  suspect_table Suspects;
  bool SuspectsChanged = false; ///< Since they were last saved.

  std::optional<replica_set> Set;
  /// When this instance may end a conflict of two sets.
  instant ConflictTimeout{};
  /// Hashes of the sets of senders that were reported as in conflict with the
  /// known set of this revision.
  std::set<std::uint64_t> ReportedSenders;
  std::uint64_t ReportedRevision = 0;
  bool SetListed = false;
  membership_change Change{changeEnvironment()};
  std::map<std::string, store_item> Retirements;
  bool ReportingRetirement = false;
  std::map<std::string, std::shared_ptr<history_link>> Links;
  std::map<std::string, instant> LastResponse;

  copy_progress Progress;
  instant CopyStartTime{};
  replica_repair Repair;
};

} // namespace

int runReplica(const instance_settings &Settings,
               const std::function<void()> &OnHangup) {
  returnFreedMemory();
  replica Replica(Settings, OnHangup);
  return Replica.run();
}

} // namespace lentilhoist
