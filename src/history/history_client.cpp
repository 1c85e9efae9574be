#include "history/history_client.h"

#include "history/ownership.h"
#include "log/log.h"

#include <algorithm>
#include <asio/steady_timer.hpp>

namespace lentilhoist {

namespace {

/// Delay before a request is sent again to a replica that refused it, that is
/// incomplete, or whose answer has become too old for the quorum.
constexpr milliseconds RetryDelay{150};

/// Turns are read from one replica. The others are asked too once it has not
/// answered for this many retry delays: a page of large turns takes a while on
/// a slow link, and a second copy of it as long again.
constexpr int ReadRetriesBeforeOthers = 4;

/// A replica with more outstanding requests than this is not pinged.
constexpr std::size_t MaxPingBacklog = 4;

/// How long a relay is not used after it failed to reach a replica.
constexpr milliseconds RelayBackoffTime{1'000};

/// How long no relay is asked for a replica that relays did not reach.
constexpr milliseconds UnreachedTime{1'000};

/// How long a replica that does not decide on quotas is not asked again. It may
/// be replaced by a newer build.
constexpr milliseconds WithoutQuotasTime{3'000};

/// After a change of the set, a workspace's new first issuer is asked as a
/// stand-in for this long if the former one was another: instances that have
/// not heard of the change still ask that one. All hear of it by a ping, every
/// three seconds.
constexpr milliseconds IssuerChangeTime{4'000};

/// Most former sets that are kept. Takeovers are further apart than this many
/// in IssuerChangeTime.
constexpr std::size_t MaxFormerSets = 8;

/// Connections kept open to relays. One is used at a time; the others are
/// standbys.
constexpr std::size_t MaxRelays = 3;

/// How long a settlement is retried. After that, the attempt counts with the
/// maximum that it reserved.
constexpr milliseconds SettleTimeout{10'000};

/// \returns the replicas that answered and how, for the log.
std::string listAnswers(const replica_set &Set, const quorum_round &Round) {
  std::string List;
  for (std::size_t Slot = 0; Slot < Round.Answers.size(); ++Slot)
    if (const auto &Answer = Round.Answers[Slot]) {
      List += List.empty() ? "" : " ";
      List += Set.Slots[Slot].Address;
      List += "=";
      List += replicaStatusName(Answer->Status);
    }
  return List;
}

/// Writes which replicas decided about a turn, and under which set.
void logQuorum(const char *Event, const std::string &Turn,
               const std::string &Attempt, const replica_set &Set,
               const quorum_round &Round) {
  logEvent(log_level::Info, Event,
           {{"request", Attempt},
            {"turn", Turn},
            {"replica_set", std::to_string(Set.Version)},
            {"revision", std::to_string(Set.Revision)},
            {"answers", listAnswers(Set, Round)}});
}

} // namespace

const char *reserveOutcomeName(reserve_outcome Outcome) {
  switch (Outcome) {
  case reserve_outcome::Granted:
    return "granted";
  case reserve_outcome::BudgetExhausted:
    return "budget_spent";
  case reserve_outcome::UnknownTurn:
    return "unknown_turn";
  case reserve_outcome::Unavailable:
    return "unavailable";
  }
  return "unknown";
}

/// A request to all replicas, retried until enough have answered or the timeout
/// expires.
class history_client::operation
    : public std::enable_shared_from_this<operation> {
public:
  operation(history_client &GivenClient, replica_request GivenRequest)
      : Client(GivenClient),
        Request(std::make_shared<replica_request>(std::move(GivenRequest))),
        WantChain(Request->WantChain), TimeoutTimer(GivenClient.Loop),
        RetryTimer(GivenClient.Loop) {}

  void begin(milliseconds Timeout) {
    TimeoutTimer.expires_after(Timeout);
    TimeoutTimer.async_wait(
        [Weak = weak_from_this()](const asio::error_code &Error) {
          const auto Self = Weak.lock();
          if (Self && !Error)
            Self->finish(false);
        });
    restart();
  }

  /// Sends the request to all replicas of the current set; a read, whose reply
  /// is large, to one of them first.
  void restart() {
    if (Done)
      return;
    cancelSentRequests();
    Round = beginRound(Client.Set);
    Retries = 0;
    const bool Reads = Request->Operation == replica_operation::Read ||
                       Request->Operation == replica_operation::Texts;
    if (Reads)
      sendRequest(nearestSlot());
    else
      sendToOthers();
    scheduleRetry();
  }

  /// Cancels the operation without calling the handler.
  void cancel() {
    if (FollowUp)
      FollowUp->cancel();
    FollowUp = nullptr;
    if (Done)
      return;
    Done = true;
    OnDone = nullptr;
    stop();
  }

  std::function<bool(const quorum_round &, instant)> IsSufficient;
  std::function<void(quorum_round *)> OnDone;
  operation_ptr FollowUp; ///< Continues this operation; cancelled with it.

private:
  /// A request in flight.
  struct sent_request {
    std::size_t Slot;
    std::string Address; ///< The replica, or the relay in use.
    std::uint64_t Sequence;
  };

  /// \returns the replica to read from: one in this failure domain, or else the
  /// first that is not suspected.
  std::size_t nearestSlot() {
    const instant Now = readClock();
    std::size_t Nearest = 0;
    bool Found = false;
    for (std::size_t Slot = 0; Slot < Client.Set.Slots.size(); ++Slot) {
      const replica_slot &Replica = Client.Set.Slots[Slot];
      if (Client.link(Replica.Address).isSuspected(Now))
        continue;
      if (Replica.Domain == Client.Domain)
        return Slot;
      if (!std::exchange(Found, true))
        Nearest = Slot;
    }
    return Nearest;
  }

  /// Sends the request to all replicas to which it has not been sent yet.
  void sendToOthers() {
    for (std::size_t Slot = 0; Slot < Client.Set.Slots.size(); ++Slot)
      if (std::none_of(
              SentRequests.begin(), SentRequests.end(),
              [&](const sent_request &Sent) { return Sent.Slot == Slot; }))
        sendRequest(Slot);
  }

  void sendRequest(std::size_t Slot) {
    const replica_slot &Replica = Client.Set.Slots[Slot];
    Request->SetVersion = Client.Set.Version;
    Request->SetReplicas = Client.SetReplicas;
    // Only the replicas in this failure domain send the texts of the chain; the
    // others report their ledger and whether they hold the previous turn.
    Request->WantChain = WantChain && Replica.Domain == Client.Domain;
    Request->Target.clear();
    history_link *Link = &Client.link(Replica.Address);
    const instant Now = readClock();
    if (Link->isSuspected(Now))
      if (history_link *Relay = Client.selectRelay(Now)) {
        Request->Target = Replica.Address;
        Link = Relay;
      }
    const auto Sequence = Link->sendShared(
        Request, [Weak = weak_from_this(), Slot,
                  Peer = Link->address()](replica_reply Reply) {
          const auto Self = Weak.lock();
          if (!Self)
            return;
          if (Reply.Status == replica_status::Unreachable)
            Self->onUnreachable(Slot, Peer);
          else
            Self->onReply(Slot, std::move(Reply));
        });
    SentRequests.push_back({Slot, Link->address(), Sequence});
  }

  void onUnreachable(std::size_t Slot, const std::string &Relay) {
    Client.RelayBackoffs[Relay] = later(readClock(), RelayBackoffTime);
    if (!Done && Slot < Client.Set.Slots.size())
      sendRequest(Slot);
  }

  void onReply(std::size_t Slot, replica_reply Reply) {
    if (Done || Slot >= Round.Answers.size())
      return;
    if (Reply.Status == replica_status::OldSet) {
      const std::uint64_t KnownVersion = Client.Set.Version;
      for (const replica_set &Set : Reply.Set)
        Client.setReplicas(Set, "replica");
      if (Client.Set.Version == KnownVersion && Client.OnReplicaSetOutdated)
        Client.OnReplicaSetOutdated();
      return;
    }
    if (Client.OnSuspects && !Reply.Suspects.empty())
      Client.OnSuspects(Reply.Suspects);
    // The replica knows other replicas under the same version.
    for (const replica_set &Set : Reply.Set)
      if (Client.setReplicas(Set, "replica"))
        return;
    const instant Now = readClock();
    addAnswer(Round, Slot, std::move(Reply), Now);
    if (IsSufficient(Round, Now))
      finish(true);
    else if (isUnreadable(Round))
      finish(false);
    else
      sendToOthers();
  }

  void scheduleRetry() {
    RetryTimer.expires_after(RetryDelay);
    RetryTimer.async_wait(
        [Weak = weak_from_this()](const asio::error_code &Error) {
          const auto Self = Weak.lock();
          if (Self && !Error && !Self->Done)
            Self->retry();
        });
  }

  void retry() {
    if (++Retries >= ReadRetriesBeforeOthers || isSuspectedFirst())
      sendToOthers();
    for (const std::size_t Slot : staleAnswerSlots(Round, readClock())) {
      Round.Answers[Slot].reset();
      sendRequest(Slot);
    }
    for (std::size_t Slot = 0; Slot < Round.Answers.size(); ++Slot)
      if (Round.Answers[Slot] ? isWorthRetrying(*Round.Answers[Slot])
                              : awaitsSuspectedReplica(Slot))
        sendRequest(Slot);
    scheduleRetry();
  }

  static bool isWorthRetrying(const replica_reply &Reply) {
    return Reply.Status != replica_status::Done &&
           Reply.Status != replica_status::Unreadable;
  }

  /// \returns whether the replica that was asked first does not respond.
  bool isSuspectedFirst() {
    return !SentRequests.empty() &&
           Client.link(Client.Set.Slots[SentRequests.front().Slot].Address)
               .isSuspected(readClock());
  }

  /// \returns whether the last request to a slot went directly to its replica,
  /// which is now suspected to be unreachable.
  bool awaitsSuspectedReplica(std::size_t Slot) {
    const std::string &Address = Client.Set.Slots[Slot].Address;
    const auto Last = std::find_if(
        SentRequests.rbegin(), SentRequests.rend(),
        [&](const sent_request &Sent) { return Sent.Slot == Slot; });
    return Last != SentRequests.rend() && Last->Address == Address &&
           Client.link(Address).isSuspected(readClock());
  }

  void finish(bool Decided) {
    if (Done)
      return;
    Done = true;
    stop();
    const auto Handler = std::move(OnDone);
    OnDone = nullptr;
    if (Handler)
      Handler(Decided ? &Round : nullptr);
  }

  void cancelSentRequests() {
    for (const sent_request &Sent : SentRequests)
      for (auto *Links : {&Client.Links, &Client.Relays})
        if (const auto Link = Links->find(Sent.Address); Link != Links->end())
          Link->second->cancel(Sent.Sequence);
    SentRequests.clear();
  }

  void stop() {
    TimeoutTimer.cancel();
    RetryTimer.cancel();
    // Writes stay in flight to the replicas that have not answered yet.
    const bool Writes = Request->Operation == replica_operation::Commit ||
                        Request->Operation == replica_operation::Settle;
    if (!Writes)
      cancelSentRequests();
  }

  history_client &Client;
  /// Each frame is encoded as it is sent, so that only the texts, which all of
  /// them share, must stay as they are.
  std::shared_ptr<replica_request> Request;
  bool WantChain;
  quorum_round Round;
  std::vector<sent_request> SentRequests;
  asio::steady_timer TimeoutTimer;
  asio::steady_timer RetryTimer;
  int Retries = 0;
  bool Done = false;
};

history_client::history_client(asio::io_context &GivenLoop,
                               std::string GivenDomain, std::size_t CacheBytes)
    : Loop(GivenLoop), Domain(std::move(GivenDomain)), Chains(CacheBytes) {}

history_client::~history_client() { close(); }

void history_client::close() {
  for (const auto &Weak : ActiveOperations)
    if (const auto Operation = Weak.lock())
      Operation->cancel();
  for (auto *Connections : {&Links, &Relays}) {
    for (auto &[Address, Link] : *Connections)
      Link->close();
    Connections->clear();
  }
}

history_link &history_client::link(const std::string &Address) {
  auto &Link = Links[Address];
  if (!Link)
    Link = std::make_shared<history_link>(Loop, Address);
  return *Link;
}

bool history_client::available(instant Now) {
  if (!ready())
    return false;
  const quorum_round Round = beginRound(Set);
  std::size_t Answering = 0;
  for (const replica_slot &Slot : Set.Slots)
    Answering += link(Slot.Address).isSuspected(Now) ? 0 : 1;
  return Answering >= Round.Needed || selectRelay(Now) != nullptr;
}

history_link *history_client::selectRelay(instant Now) {
  for (auto &[Address, Link] : Relays) {
    const auto Backoff = RelayBackoffs.find(Address);
    const bool BackingOff =
        Backoff != RelayBackoffs.end() && Backoff->second.Steady > Now.Steady;
    if (!BackingOff && Link->connected() && !Link->isSuspected(Now))
      return Link.get();
  }
  return nullptr;
}

void history_client::pingReplicas(const std::string &RelayAddress) {
  for (const replica_slot &Slot : Set.Slots) {
    history_link &Replica = link(Slot.Address);
    if (Replica.outstanding() > MaxPingBacklog)
      continue;
    replica_request Ping = makePing();
    Ping.RelayAddress = RelayAddress;
    if (ListSuspects)
      Ping.Suspects = ListSuspects();
    Replica.send(
        std::move(Ping), [this, RelayAddress](const replica_reply &Reply) {
          applyPing(Reply);
          for (const std::string &Address : Reply.Relays) {
            if (Address == RelayAddress || Relays.contains(Address) ||
                Relays.size() >= MaxRelays)
              continue;
            const auto Link = std::make_shared<history_link>(Loop, Address);
            Relays[Address] = Link;
            Link->open();
          }
        });
  }
  // Disconnected relays are learned again from a ping if they return.
  std::erase_if(Relays, [](const auto &Item) {
    const bool Disconnected = !Item.second->connected();
    if (Disconnected)
      Item.second->close();
    return Disconnected;
  });
}

void history_client::applyPing(const replica_reply &Reply) {
  for (const replica_set &Other : Reply.Set)
    setReplicas(Other, "replica");
  if (!Reply.Relays.empty()) {
    InstanceCount = Reply.Relays.size();
    if (OnRelays)
      OnRelays(Reply.Relays);
  }
  if (OnLimits && !Reply.Limits.empty())
    OnLimits(Reply.Limits);
  if (OnSuspects && !Reply.Suspects.empty())
    OnSuspects(Reply.Suspects);
}

void history_client::shareSuspects(const std::vector<suspect_notice> &Notices) {
  for (const replica_slot &Slot : Set.Slots) {
    replica_request Ping = makePing();
    Ping.Suspects = Notices;
    link(Slot.Address)
        .send(std::move(Ping),
              [this](const replica_reply &Reply) { applyPing(Reply); });
  }
}

bool history_client::requestPermit(
    permit_request Request,
    std::function<void(const permit_reply &, const std::string &)> OnReply) {
  if (!ready())
    return false;
  const instant Now = readClock();
  for (const std::size_t Slot : issuerOrder(Set, Request.Runner)) {
    history_link &Issuer = link(Set.Slots[Slot].Address);
    if (Issuer.isSuspected(Now)) {
      Request.Standby = true;
      continue;
    }
    replica_request Message = makePing();
    Message.Permits.push_back(std::move(Request));
    Issuer.send(std::move(Message),
                [this, OnReply = std::move(OnReply),
                 Address = Issuer.address()](const replica_reply &Reply) {
                  for (const replica_set &Newer : Reply.Set)
                    setReplicas(Newer, "replica");
                  if (!Reply.Permits.empty())
                    OnReply(Reply.Permits.front(), Address);
                });
    return true;
  }
  return false;
}

history_client::quota_way
history_client::selectIssuer(const std::string &Workspace, instant Now) {
  const auto IsActive = [Now](const std::map<std::string, instant> &Marks,
                              const std::string &Address) {
    const auto Found = Marks.find(Address);
    return Found != Marks.end() && Found->second.Steady > Now.Steady;
  };
  quota_way Way;
  const std::vector<std::size_t> Order = issuerOrder(Set, Workspace);
  for (const std::size_t Slot : Order) {
    Way.Issuer = Set.Slots[Slot].Address;
    // It issues nothing, so that the next one doesn't stand in for it.
    if (IsActive(WithoutQuotas, Way.Issuer))
      continue;
    history_link &Direct = link(Way.Issuer);
    if (!Direct.isSuspected(Now)) {
      Way.Link = &Direct;
      break;
    }
    if (!IsActive(UnreachedByRelays, Way.Issuer))
      Way.Link = selectRelay(Now);
    Way.Relayed = Way.Link != nullptr;
    if (Way.Relayed)
      break;
    ++Way.Position;
  }
  std::erase_if(FormerSets, [Now](const former_set &Former) {
    return Now.Steady - Former.ReplacedAt.Steady >= IssuerChangeTime;
  });
  const auto HadOtherIssuer = [&](const former_set &Former) {
    const replica_set &Old = Former.Set;
    return Old.Slots[issuerOrder(Old, Workspace).front()].Address != Way.Issuer;
  };
  if (Way.Position == 0 &&
      std::any_of(FormerSets.begin(), FormerSets.end(), HadOtherIssuer))
    Way.Position = 1;
  return Way;
}

std::optional<sent_quota> history_client::requestQuota(
    quota_request Request, std::function<void(const quota_answer &)> OnReply) {
  if (!ready())
    return std::nullopt;
  const quota_way Way = selectIssuer(Request.Workspace, readClock());
  if (!Way.Link)
    return std::nullopt;
  Request.Position = Way.Position;
  replica_request Message = makePing();
  if (Way.Relayed)
    Message.Target = Way.Issuer;
  Message.Quotas.push_back(std::move(Request));
  const std::uint64_t Sequence = Way.Link->send(
      std::move(Message),
      [this, Way, OnReply = std::move(OnReply)](const replica_reply &Reply) {
        applyQuotaReply(Reply, Way, OnReply);
      });
  return sent_quota{Way.Link->address(), Sequence, Way.Position};
}

void history_client::applyQuotaReply(
    const replica_reply &Reply, const quota_way &Way,
    const std::function<void(const quota_answer &)> &OnReply) {
  for (const replica_set &Newer : Reply.Set)
    setReplicas(Newer, "replica");
  quota_answer Answer;
  Answer.Issuer = Way.Issuer;
  const instant Now = readClock();
  if (!Reply.Quotas.empty())
    Answer.Reply = Reply.Quotas.front();
  else if (Way.Relayed) // Or the relay is of an older build.
    UnreachedByRelays[Way.Issuer] = later(Now, UnreachedTime);
  else if (Reply.Status == replica_status::Done ||
           Reply.Status == replica_status::Incomplete)
    WithoutQuotas[Way.Issuer] = later(Now, WithoutQuotasTime);
  OnReply(Answer);
}

void history_client::cancelQuota(const sent_quota &Sent) {
  for (auto *Connections : {&Links, &Relays})
    if (const auto Link = Connections->find(Sent.Address);
        Link != Connections->end())
      Link->second->cancel(Sent.Sequence);
}

bool history_client::quotasUnsupported(instant Now) const {
  return ready() && std::all_of(Set.Slots.begin(), Set.Slots.end(),
                                [&](const replica_slot &Slot) {
                                  const auto Found =
                                      WithoutQuotas.find(Slot.Address);
                                  return Found != WithoutQuotas.end() &&
                                         Found->second.Steady > Now.Steady;
                                });
}

replica_request history_client::makePing() const {
  replica_request Ping;
  Ping.SetVersion = Set.Version;
  Ping.SetReplicas = SetReplicas;
  return Ping;
}

/// Reports another set of the version in use, once.
void history_client::reportConflict(const replica_set &Other,
                                    const char *Source) {
  const std::uint64_t Replicas = hashReplicas(Other);
  if (std::exchange(ReportedReplicas, Replicas) == Replicas)
    return;
  logEvent(log_level::Error, "replica_set_conflict",
           {{"version", std::to_string(Set.Version)},
            {"revision", std::to_string(Set.Revision)},
            {"replicas", encodeReplicaSet(Set)},
            {"other_revision", std::to_string(Other.Revision)},
            {"other_replicas", encodeReplicaSet(Other)},
            {"source", Source}});
}

bool history_client::setReplicas(const replica_set &NewSet,
                                 const char *Source) {
  const bool Conflict = areInConflict(NewSet, Set);
  if (Conflict)
    reportConflict(NewSet, Source);
  if (!isLaterSet(NewSet, Set)) {
    // A set of an older build doesn't tell which one the store holds.
    if (Conflict && NewSet.Revision == 0 && OnReplicaSetOutdated)
      OnReplicaSetOutdated();
    return false;
  }
  if (NewSet.Version == Set.Version && hasSameReplicas(NewSet, Set)) {
    Set = NewSet; // Without a predecessor.
    return false;
  }
  logEvent(log_level::Info, "replica_set_changed",
           {{"version", std::to_string(NewSet.Version)},
            {"former_version", std::to_string(Set.Version)},
            {"revision", std::to_string(NewSet.Revision)},
            {"source", Source},
            {"replicas", encodeReplicaSet(NewSet)}});
  if (Set.Established && !hasSameReplicas(Set, NewSet)) {
    if (FormerSets.size() == MaxFormerSets)
      FormerSets.erase(FormerSets.begin());
    FormerSets.push_back({Set, readClock()});
  }
  Set = NewSet;
  SetReplicas = hashReplicas(Set);
  if (!Set.Established)
    return true;
  for (auto *Marks : {&UnreachedByRelays, &WithoutQuotas})
    std::erase_if(*Marks,
                  [&](const auto &Item) { return !Set.find(Item.first); });
  std::vector<operation_ptr> OperationsToRestart;
  for (auto Item = ActiveOperations.begin(); Item != ActiveOperations.end();) {
    if (auto Operation = Item->lock()) {
      OperationsToRestart.push_back(std::move(Operation));
      ++Item;
    } else {
      Item = ActiveOperations.erase(Item);
    }
  }
  for (const auto &Operation : OperationsToRestart)
    Operation->restart();
  std::erase_if(Links, [&](const auto &Item) {
    const bool Unused = !Set.find(Item.first);
    if (Unused)
      Item.second->close();
    return Unused;
  });
  // Connects before the first caller needs the connection.
  for (const replica_slot &Slot : Set.Slots) {
    link(Slot.Address).send(makePing(), [this](const replica_reply &Reply) {
      applyPing(Reply);
    });
  }
  return true;
}

history_client::operation_ptr history_client::start(
    replica_request Request, milliseconds Timeout,
    std::function<bool(const quorum_round &, instant)> IsSufficient,
    std::function<void(quorum_round *)> OnDone) {
  auto Operation = std::make_shared<operation>(*this, std::move(Request));
  Operation->IsSufficient = std::move(IsSufficient);
  Operation->OnDone = std::move(OnDone);
  std::erase_if(ActiveOperations,
                [](const auto &Weak) { return Weak.expired(); });
  ActiveOperations.push_back(Operation);
  Operation->begin(Timeout);
  return Operation;
}

history_client::operation_ptr
history_client::reserve(turn_reservation Requested, milliseconds Timeout,
                        std::function<void(reserve_result)> OnDone) {
  const auto Reservation =
      std::make_shared<turn_reservation>(std::move(Requested));
  replica_request Request;
  Request.Operation = replica_operation::Reserve;
  Request.Program = ownedName(Reservation->Workspace, Reservation->Program);
  Request.Entry = {Reservation->Attempt, Reservation->MaxTokens, false};
  Request.RetentionMs = Reservation->RetentionMs;
  Request.Previous = Reservation->Previous;
  Request.Signature = Reservation->Signature;
  Request.Workspace = Reservation->Workspace;
  Request.WantChain =
      !Reservation->Previous.empty() &&
      !Chains.find(ownedName(Reservation->Workspace, Reservation->Previous));
  Request.TextLimit = MaxHeldChainBytes;
  // The operation owns the handler, so the handler holds only a weak pointer to
  // the operation.
  const auto Outer = std::make_shared<std::weak_ptr<operation>>();
  auto Operation =
      start(std::move(Request), Timeout, hasQuorum,
            [this, Reservation, Outer, Timeout,
             OnDone = std::move(OnDone)](const quorum_round *Round) {
              finishReserve(Reservation, Outer->lock(), Round, Timeout, OnDone);
            });
  *Outer = Operation;
  return Operation;
}

void history_client::finishReserve(
    const std::shared_ptr<turn_reservation> &Reservation,
    const operation_ptr &Outer, const quorum_round *Round, milliseconds Timeout,
    const std::function<void(reserve_result)> &OnDone) {
  reserve_result Result;
  Result.SetVersion = Set.Version;
  if (!Round) {
    OnDone(std::move(Result));
    return;
  }
  const merged_reservation View =
      mergeReservation(*Round, Reservation->Attempt, Reservation->Workspace);
  Result.OtherAttemptTokens = View.OtherAttemptTokens;
  Result.PreviousRunner = View.PreviousRunner;
  if (checkBudget(View.OtherAttemptTokens, Reservation->MaxTokens,
                  Reservation->Budget) == budget_decision::Spent) {
    Result.Outcome = reserve_outcome::BudgetExhausted;
    OnDone(std::move(Result));
    return;
  }
  Result.Outcome = reserve_outcome::Granted;
  if (Reservation->Previous.empty()) {
    OnDone(std::move(Result));
    return;
  }
  if (const std::string *Cached = Chains.find(
          ownedName(Reservation->Workspace, Reservation->Previous))) {
    Result.Chain = *Cached;
    OnDone(std::move(Result));
    return;
  }
  if (!View.PreviousFound) {
    logQuorum("turn_unknown", Reservation->Previous, Reservation->Attempt, Set,
              *Round);
    Result.Outcome = reserve_outcome::UnknownTurn;
    OnDone(std::move(Result));
    return;
  }
  auto Turns = std::make_shared<std::map<std::string, turn_record>>();
  for (const turn_record &Turn : View.Turns)
    Turns->emplace(Turn.Id, Turn);
  readMissing(Reservation, Outer, Turns, Timeout, std::move(Result), OnDone);
}

void history_client::readMissing(
    const std::shared_ptr<turn_reservation> &Reservation,
    const operation_ptr &Outer,
    const std::shared_ptr<std::map<std::string, turn_record>> &Turns,
    milliseconds Timeout, reserve_result Result,
    const std::function<void(reserve_result)> &OnDone) {
  limitTexts(*Turns, MaxHeldChainBytes);
  joined_chain View = joinChain(*Turns, Reservation->Previous);
  if (View.Missing.empty()) {
    Result.Parts = std::move(View.Parts);
    const bool Cached = Result.Parts.empty() && isCached(View.Text.size());
    if (Cached)
      Chains.put(ownedName(Reservation->Workspace, Reservation->Previous),
                 View.Text);
    Result.Chain = std::move(View.Text);
    OnDone(std::move(Result));
    return;
  }
  replica_request Request;
  Request.Operation = replica_operation::Read;
  Request.Turns = {View.Missing};
  Request.TextLimit = MaxHeldChainBytes;
  Request.Workspace = Reservation->Workspace;
  const auto HasMissing =
      [Missing = View.Missing,
       Owner = Reservation->Workspace](const replica_reply &Reply) {
        return hasWholeTurns(Reply) &&
               std::any_of(Reply.Turns.begin(), Reply.Turns.end(),
                           [&](const turn_record &Turn) {
                             return Turn.Id == Missing &&
                                    mayRead(Turn.Workspace, Owner);
                           });
      };
  const auto IsSufficient = [HasMissing](const quorum_round &Round,
                                         instant Now) {
    for (const auto &Answer : Round.Answers)
      if (Answer && HasMissing(*Answer))
        return true;
    return hasQuorum(Round, Now);
  };
  auto Operation =
      start(std::move(Request), Timeout, IsSufficient,
            [this, Reservation, WeakOuter = std::weak_ptr<operation>(Outer),
             Turns, Timeout, Result, OnDone,
             Missing = View.Missing](const quorum_round *Round) mutable {
              if (Round)
                for (const auto &Answer : Round->Answers)
                  if (Answer && hasWholeTurns(*Answer))
                    for (const turn_record &Turn : Answer->Turns)
                      if (mayRead(Turn.Workspace, Reservation->Workspace))
                        Turns->emplace(Turn.Id, Turn);
              if (!Round || !Turns->contains(Missing)) {
                logEvent(Round ? log_level::Error : log_level::Warning,
                         "chain_incomplete",
                         {{"request", Reservation->Attempt},
                          {"missing_turn", Missing},
                          {"answered", Round ? "true" : "false"}});
                Result.Outcome = reserve_outcome::Unavailable;
                OnDone(std::move(Result));
                return;
              }
              readMissing(Reservation, WeakOuter.lock(), Turns, Timeout,
                          std::move(Result), OnDone);
            });
  if (Outer)
    Outer->FollowUp = Operation;
}

history_client::operation_ptr history_client::readTexts(
    const std::string &Workspace, std::vector<text_part> Parts,
    milliseconds Timeout,
    std::function<void(std::optional<std::string>)> OnDone) {
  replica_request Request;
  Request.Operation = replica_operation::Texts;
  Request.Workspace = Workspace;
  Request.Parts = std::move(Parts);
  const auto HasText = [Bytes = requestedBytes(Request)](
                           const std::optional<replica_reply> &Answer) {
    return Answer && hasWholeTurns(*Answer) && Answer->Text.size() == Bytes;
  };
  return start(
      std::move(Request), Timeout,
      [HasText](const quorum_round &Round, instant Now) {
        return std::any_of(Round.Answers.begin(), Round.Answers.end(),
                           HasText) ||
               hasQuorum(Round, Now);
      },
      [HasText, OnDone = std::move(OnDone)](quorum_round *Round) {
        if (Round)
          for (auto &Answer : Round->Answers)
            if (HasText(Answer)) {
              OnDone(std::move(Answer->Text));
              return;
            }
        OnDone(std::nullopt);
      });
}

history_client::operation_ptr
history_client::commit(turn_record Turn, std::optional<std::string_view> Chain,
                       milliseconds Timeout, std::function<void(bool)> OnDone) {
  replica_request Request;
  Request.Operation = replica_operation::Commit;
  Request.Program = ownedName(Turn.Workspace, Turn.Program);
  Request.Workspace = Turn.Workspace;
  std::optional<std::string> Text;
  if (Chain && isCached(Chain->size() + Turn.Input.size() + Turn.Output.size()))
    Text = std::string(*Chain) + Turn.Input + Turn.Output;
  std::string Id = ownedName(Turn.Workspace, Turn.Id);
  std::string Name = Turn.Id;
  Request.Turn = std::move(Turn);
  Request.Turn.Program = Request.Program;
  return start(std::move(Request), Timeout, hasQuorum,
               [this, Id = std::move(Id), Name = std::move(Name),
                Text = std::move(Text),
                OnDone = std::move(OnDone)](const quorum_round *Round) mutable {
                 if (Round)
                   logQuorum("turn_committed", Name, Name, Set, *Round);
                 if (Round && Text)
                   Chains.put(Id, std::move(*Text));
                 OnDone(Round != nullptr);
               });
}

void history_client::settle(const std::string &Workspace,
                            const std::string &Program, ledger_entry Entry,
                            std::uint64_t RetentionMs) {
  replica_request Request;
  Request.Operation = replica_operation::Settle;
  Request.Program = ownedName(Workspace, Program);
  Request.Workspace = Workspace;
  Request.Entry = std::move(Entry);
  Request.RetentionMs = RetentionMs;
  // The handler owns the operation until it has finished.
  const auto KeepAlive = std::make_shared<operation_ptr>();
  *KeepAlive = start(std::move(Request), SettleTimeout, hasQuorum,
                     [KeepAlive](const quorum_round *) { KeepAlive->reset(); });
}

void history_client::cancel(const operation_ptr &Operation) {
  if (Operation)
    Operation->cancel();
}

} // namespace lentilhoist
