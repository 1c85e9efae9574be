#pragma once

#include "history/chain_cache.h"
#include "history/history_link.h"
#include "history/permit_service.h"
#include "history/quorum.h"

#include <asio/io_context.hpp>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace lentilhoist {

/// Request of an attempt for tokens and for the chain of earlier turns.
struct turn_reservation {
  std::string Program;
  std::string Attempt;
  std::string Previous;        ///< Turn to continue; empty for the first turn.
  std::uint64_t MaxTokens = 0; ///< Upper bound of generated tokens.
  std::uint64_t Budget = 0;    ///< Tokens, for the whole program.
  std::uint64_t RetentionMs = 0;   ///< Retention of the reservation.
  request_signature Signature = 0; ///< See signatureOf().
  std::string Workspace{};         ///< Owner, see ownership.h.
};

/// Texts of earlier turns that are larger than this together are listed and
/// read in parts. Ordinary conversations have some kilobytes.
inline constexpr std::size_t MaxHeldChainBytes = 64UL * 1024UL;

/// Result of a reservation.
enum class reserve_outcome {
  Granted,
  BudgetExhausted, ///< Definitive: the remaining budget is too small.
  UnknownTurn,     ///< Definitive: the previous turn is not stored.
  Unavailable,     ///< No quorum of replicas answered in time.
};

/// \param Outcome the value to name.
/// \returns its stable textual name.
const char *reserveOutcomeName(reserve_outcome Outcome);

/// Reply to a reservation.
struct reserve_result {
  reserve_outcome Outcome = reserve_outcome::Unavailable;
  /// Concatenated text of all earlier turns, unless Parts lists it.
  std::string Chain;
  /// Texts of the earlier turns, oldest first, if they are too large to be held
  /// together: they are read with readTexts().
  std::vector<text_part> Parts;
  /// Tokens drawn by the program's other attempts.
  std::uint64_t OtherAttemptTokens = 0;
  std::uint64_t SetVersion = 0; ///< Version of the replica set that answered.
  runner_incarnation PreviousRunner; ///< Runner of the previous turn.
};

/// A request for a permit of a workspace that is under way.
struct sent_quota {
  std::string Address; ///< The issuer or the relay.
  std::uint64_t Sequence = 0;
  std::uint32_t Position = 0; ///< Of the issuer in the workspace's order.
};

/// Reply to a request for a permit of a workspace.
struct quota_answer {
  std::optional<quota_reply> Reply; ///< Nothing if the replica can't decide.
  std::string Issuer;               ///< Address.
};

/// Client of the replicated history, which stores token budgets and turns.
/// Reads and writes need a quorum of the replica set. Not thread-safe: all
/// calls and callbacks run on the event loop.
class history_client {
public:
  /// An operation in progress.
  class operation;
  using operation_ptr = std::shared_ptr<operation>;

  /// \param Loop the event loop.
  /// \param Domain failure domain of this instance.
  /// \param CacheBytes capacity of the cache of recently used chains.
  history_client(asio::io_context &Loop, std::string Domain,
                 std::size_t CacheBytes);
  ~history_client();

  /// Adopts a replica set if it is later in the store than the known one, and
  /// restarts the operations in progress on it if its version or its replicas
  /// differ.
  /// \param Set the set.
  /// \param Source origin of the set, for the log.
  /// \returns whether operations were restarted.
  bool setReplicas(const replica_set &Set, const char *Source);

  /// \returns whether an established replica set is known.
  bool ready() const { return Set.Established; }
  const replica_set &replicas() const { return Set; }

  /// \param Now the current time.
  /// \returns whether a quorum of replicas is not suspected, or a relay is
  /// usable.
  bool available(instant Now);

  /// \param Handler called when a replica rejects the set as outdated but does
  /// not return a newer one.
  void onReplicaSetOutdated(std::function<void()> Handler) {
    OnReplicaSetOutdated = std::move(Handler);
  }

  /// Reserves tokens and reads the chain of earlier turns.
  /// \param Reservation the attempt, its token bound and its previous turn.
  /// \param Timeout longest wait for a quorum; applies to the reservation and
  /// again to each read of missing turns.
  /// \param OnDone called once, unless the operation is cancelled.
  /// \returns the operation, for cancel().
  operation_ptr reserve(turn_reservation Reservation, milliseconds Timeout,
                        std::function<void(reserve_result)> OnDone);

  /// Reads parts of the texts of turns from one replica.
  /// \param Workspace owner of the request, see mayRead().
  /// \param Parts the parts, at most MaxTextReplyBytes together.
  /// \param Timeout longest wait for the parts.
  /// \param OnDone called once, unless the operation is cancelled; receives the
  /// parts one after the other, or nothing if no replica returned them.
  /// \returns the operation, for cancel().
  operation_ptr
  readTexts(const std::string &Workspace, std::vector<text_part> Parts,
            milliseconds Timeout,
            std::function<void(std::optional<std::string>)> OnDone);

  /// Stores a turn.
  /// \param Turn the turn.
  /// \param Chain concatenated text of all earlier turns; nothing if it isn't
  /// held.
  /// \param Timeout longest wait for a quorum.
  /// \param OnDone receives whether the turn is durable.
  /// \returns the operation, for cancel().
  operation_ptr commit(turn_record Turn, std::optional<std::string_view> Chain,
                       milliseconds Timeout, std::function<void(bool)> OnDone);

  /// Records the final token count of an attempt that produced no turn. No
  /// caller waits for the result: until it is stored, the attempt counts with
  /// the maximum that it reserved.
  /// \param Workspace owner of the program's ledger.
  /// \param Program the program.
  /// \param Entry the attempt and the tokens that it delivered.
  /// \param RetentionMs retention of the entry.
  void settle(const std::string &Workspace, const std::string &Program,
              ledger_entry Entry, std::uint64_t RetentionMs);

  /// Requests a permit from the first replica in the runner's issuer order that
  /// is not suspected.
  /// \param Request the request; its Standby is set here.
  /// \param OnReply receives the decision and the issuer's address; not called
  /// if the reply is lost or the issuer does not decide.
  /// \returns false if no replica can be reached; nothing is sent then.
  bool requestPermit(
      permit_request Request,
      std::function<void(const permit_reply &, const std::string &)> OnReply);

  /// Requests a permit of a workspace from the first replica in its issuer
  /// order that can be reached, also through a relay.
  /// \param Request the request; its position is set here.
  /// \param OnReply called at most once, and not after cancelQuota().
  /// \returns what was sent; nothing if no replica can be reached.
  std::optional<sent_quota>
  requestQuota(quota_request Request,
               std::function<void(const quota_answer &)> OnReply);

  /// Drops a request for a permit of a workspace; its reply is ignored.
  /// \param Sent what requestQuota() returned.
  void cancelQuota(const sent_quota &Sent);

  /// \param Now the current time.
  /// \returns whether every replica of the set has replied lately without
  /// deciding on quotas, as those of an older build do.
  bool quotasUnsupported(instant Now) const;

  /// \param Handler receives the limits that replicas list in pings.
  void
  onLimits(std::function<void(const std::vector<limit_notice> &)> Handler) {
    OnLimits = std::move(Handler);
  }

  /// \param Handler receives the addresses at which instances relay history
  /// requests, those of this instance included, as a replica lists them.
  void onRelays(std::function<void(const std::vector<std::string> &)> Handler) {
    OnRelays = std::move(Handler);
  }

  /// Tells all replicas evidence against requests.
  /// \param Notices the evidence.
  void shareSuspects(const std::vector<suspect_notice> &Notices);

  /// \param List supplies the evidence that pings carry.
  /// \param OnReceived receives evidence from replicas.
  void exchangeSuspects(
      std::function<std::vector<suspect_notice>()> List,
      std::function<void(const std::vector<suspect_notice> &)> OnReceived) {
    ListSuspects = std::move(List);
    OnSuspects = std::move(OnReceived);
  }

  /// \returns number of entry instances that a replica has listed, this one
  /// included; 0 if not known yet.
  std::size_t instanceCount() const { return InstanceCount; }

  /// Pings all replicas: monitors the connections, announces the relay of this
  /// instance, and learns the relays of other instances.
  /// \param RelayAddress address at which this instance relays requests; empty
  /// if it does not.
  void pingReplicas(const std::string &RelayAddress);

  /// \param Address address of a replica.
  /// \returns the connection to it, which is created if there is none.
  history_link &link(const std::string &Address);

  /// Cancels an operation; its handler is not called.
  /// \param Operation the operation; null is allowed.
  void cancel(const operation_ptr &Operation);

  /// Cancels all operations and closes all connections.
  void close();

private:
  friend class operation;

  /// \returns whether a chain of that size is cached.
  bool isCached(std::size_t Bytes) const {
    return Bytes <= MaxHeldChainBytes && Chains.fits(Bytes);
  }
  history_link *selectRelay(instant Now);
  /// Link to an issuer of quotas.
  struct quota_way {
    history_link *Link = nullptr;
    std::string Issuer; ///< Address.
    bool Relayed = false;
    std::uint32_t Position = 0; ///< In the order of issuers.
  };
  quota_way selectIssuer(const std::string &Workspace, instant Now);
  void
  applyQuotaReply(const replica_reply &Reply, const quota_way &Way,
                  const std::function<void(const quota_answer &)> &OnReply);
  void applyPing(const replica_reply &Reply);
  void reportConflict(const replica_set &Other, const char *Source);
  replica_request makePing() const;
  operation_ptr
  start(replica_request Request, milliseconds Timeout,
        std::function<bool(const quorum_round &, instant)> IsSufficient,
        std::function<void(quorum_round *)> OnDone);
  void finishReserve(const std::shared_ptr<turn_reservation> &Reservation,
                     const operation_ptr &Outer, const quorum_round *Round,
                     milliseconds Timeout,
                     const std::function<void(reserve_result)> &OnDone);
  void
  readMissing(const std::shared_ptr<turn_reservation> &Reservation,
              const operation_ptr &Outer,
              const std::shared_ptr<std::map<std::string, turn_record>> &Turns,
              milliseconds Timeout, reserve_result Result,
              const std::function<void(reserve_result)> &OnDone);

  asio::io_context &Loop;
  std::string Domain;
  replica_set Set;
  std::uint64_t SetReplicas = 0; ///< hashReplicas() of Set.
  /// hashReplicas() of the set that was last reported as in conflict.
  std::uint64_t ReportedReplicas = 0;
  /// An established set that was in use before.
  struct former_set {
    replica_set Set;
    instant ReplacedAt{};
  };
  /// Those that other instances may still use, oldest first.
  std::vector<former_set> FormerSets;
  /// Replicas by address that relays don't reach, until the given time.
  std::map<std::string, instant> UnreachedByRelays;
  /// Replicas by address that don't decide on quotas, until the given time.
  std::map<std::string, instant> WithoutQuotas;
  std::map<std::string, std::shared_ptr<history_link>> Links;
  /// Connections to instances that relay requests.
  std::map<std::string, std::shared_ptr<history_link>> Relays;
  /// Relays by address that are not used before the given time.
  std::map<std::string, instant> RelayBackoffs;
  std::list<std::weak_ptr<operation>> ActiveOperations;
  std::function<void()> OnReplicaSetOutdated;
  std::function<void(const std::vector<limit_notice> &)> OnLimits;
  std::function<void(const std::vector<std::string> &)> OnRelays;
  std::function<std::vector<suspect_notice>()> ListSuspects;
  std::function<void(const std::vector<suspect_notice> &)> OnSuspects;
  std::size_t InstanceCount = 0;
  chain_cache Chains; ///< By ownedName() of the last turn.
};

} // namespace lentilhoist
