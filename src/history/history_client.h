#pragma once

#include "history/chain_cache.h"
#include "history/history_link.h"
#include "history/quorum.h"

#include <asio/io_context.hpp>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <string>

namespace lentilhoist {

/// What an attempt needs of its program's budget and history.
struct turn_reservation {
  std::string Program;
  std::string Attempt;
  std::string Previous;        ///< Turn that is continued; empty at the start.
  std::uint64_t MaxTokens = 0; ///< Most tokens that the turn may generate.
  std::uint64_t Budget = 0;    ///< Of the whole program.
  std::uint64_t RetentionMs = 0;
};

/// How a reservation ended.
enum class reserve_outcome {
  Granted,
  BudgetSpent, ///< Certain: the budget does not hold this turn.
  UnknownTurn, ///< Certain: no such turn is kept.
  Unavailable, ///< Too few replicas answered in time.
};

/// \param Outcome the value to name.
/// \returns its stable text form.
const char *reserveOutcomeName(reserve_outcome Outcome);

/// Answer to a reservation.
struct reserve_result {
  reserve_outcome Outcome = reserve_outcome::Unavailable;
  std::string Chain; ///< Text of all turns before this one.
  std::uint64_t OthersTokens = 0;
  std::uint64_t SetVersion = 0;      ///< Replica set that was asked.
  runner_incarnation PreviousRunner; ///< Where the turn that is continued ran.
};

/// Client of the history: budgets and turns on the replicas. Runs on the event
/// loop.
class history_client {
public:
  /// One operation under way.
  class operation;
  using operation_ptr = std::shared_ptr<operation>;

  /// \param Loop the event loop.
  /// \param Domain failure domain of this instance.
  /// \param CacheBytes memory for chains that were used recently.
  history_client(asio::io_context &Loop, std::string Domain,
                 std::size_t CacheBytes);
  ~history_client();

  /// Takes a set of replicas if it is newer.
  /// \param Set the set.
  /// \param Source where it came from, for the log.
  void setReplicas(const replica_set &Set, const char *Source);

  /// \returns whether the replicas are known.
  bool ready() const { return Set.Established; }
  const replica_set &replicas() const { return Set; }

  /// \param Now the present time.
  /// \returns whether enough replicas seem to answer.
  bool available(instant Now);

  /// Called when a replica knows a newer set but can't tell it.
  void onReplicaSetOutdated(std::function<void()> Handler) {
    OnReplicaSetOutdated = std::move(Handler);
  }

  /// Reserves tokens and reads the chain.
  /// \param Reservation what is needed.
  /// \param Limit longest wait.
  /// \param OnDone called once, unless it is cancelled.
  /// \returns the operation, for cancel().
  operation_ptr reserve(turn_reservation Reservation, milliseconds Timeout,
                        std::function<void(reserve_result)> OnDone);

  /// Stores a turn.
  /// \param Turn the turn.
  /// \param Chain text of all turns before it.
  /// \param Limit longest wait.
  /// \param OnDone told whether the turn is durable.
  /// \returns the operation, for cancel().
  operation_ptr commit(const turn_record &Turn, const std::string &Chain,
                       milliseconds Timeout, std::function<void(bool)> OnDone);

  /// Settles the tokens of an attempt that leaves no turn. Nobody waits for it:
  /// until it arrives, the attempt counts with its most.
  /// \param Program the program.
  /// \param Entry the attempt and what it handed out.
  /// \param RetentionMs how long to keep it.
  void settle(std::string Program, ledger_entry Entry,
              std::uint64_t RetentionMs);

  /// Greets all replicas: keeps the connections under watch, tells where this
  /// instance passes requests on, and learns where others do.
  /// \param RelayAddress where this instance passes requests on.
  void greet(const std::string &RelayAddress);

  /// \param Address a replica.
  /// \returns the connection to it.
  history_link &link(const std::string &Address);

  /// Ends an operation without an answer.
  /// \param Operation the operation; null is allowed.
  void cancel(const operation_ptr &Operation);

  /// Ends all connections.
  void close();

private:
  friend class operation;

  history_link *selectRelay(instant Now);
  operation_ptr
  start(replica_request Request, milliseconds Timeout,
        std::function<bool(const quorum_round &, instant)> IsSufficient,
        std::function<void(const quorum_round *)> OnDone);
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
  std::map<std::string, std::shared_ptr<history_link>> Links;
  /// Connections to instances that pass requests on.
  std::map<std::string, std::shared_ptr<history_link>> Relays;
  std::map<std::string, instant> RelayBackoffs; ///< And until when.
  std::list<std::weak_ptr<operation>> ActiveOperations;
  std::function<void()> OnReplicaSetOutdated;
  chain_cache Chains;
};

} // namespace lentilhoist
