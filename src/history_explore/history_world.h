#pragma once

#include "explore/virtual_clock.h"
#include "history/copy_progress.h"
#include "history/membership_change.h"
#include "history/quorum.h"
#include "history_explore/history_explore.h"

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace lentilhoist {

/// An instance with a disk in virtual time.
struct model_replica {
  std::string Name;    ///< Also its address.
  bool Present = true; ///< Not removed for good.
  bool Up = true;
  bool Cut = false; ///< Reaches no other instance.
  bool FirstStart = true;
  instant FrozenUntil{};
  std::uint64_t Life = 0;              ///< Grows with each start and end.
  std::vector<replica_change> Synced;  ///< Survive a loss of power.
  std::vector<replica_change> Written; ///< Not synced yet.
  std::vector<std::function<void()>> AfterSync;
  bool Syncing = false;
  replica_state State;
  std::optional<replica_set> Set; ///< As last read from the store.
  /// The set that the change in progress was derived from.
  std::optional<replica_set> ChangedSet;
  bool OlderBuild = false;
  instant ConflictTimeout{};
  std::unique_ptr<membership_change> Change;
  copy_progress Copy;
  std::map<std::string, instant> LastHeard;
};

/// An entry instance in virtual time.
struct model_edge {
  std::string Name;
  bool Up = true;
  bool Cut = false; ///< Reaches no replica.
  std::uint64_t Life = 0;
  replica_set Set;
  std::uint64_t SetChanges = 0; ///< Adopted versions or other replicas.
};

/// A turn that callers were told to be complete.
struct model_turn {
  std::string Id;
  std::string Previous;
  std::string Text; ///< Of the whole chain through this turn.
};

/// A program with several lines of turns.
struct model_budget {
  std::string Name;
  std::uint64_t Budget = 0;
  std::uint64_t Delivered = 0; ///< Tokens that reached the caller.
  /// Most that each attempt may count for: its reservation until it is settled.
  std::map<std::string, std::uint64_t> Attempts;
  std::vector<model_turn> Turns; ///< Acknowledged.
};

/// One question to all replicas, as an entry instance asks it.
struct model_question {
  std::size_t Edge = 0;
  std::uint64_t Life = 0;
  replica_request Request;
  quorum_round Round;
  std::uint64_t SetChanges = 0; ///< Of the instance, when it was asked.
  bool Done = false;
  std::function<void(const quorum_round *)> OnDone;
};

using question_ptr = std::shared_ptr<model_question>;

/// Everything that takes part in one exploration.
class history_world {
public:
  explicit history_world(const history_explore_settings &Settings);

  /// Runs to the end of the faults and through the last checks.
  history_explore_result run();

private:
  // Replicas.
  void addReplica(bool FirstStart);
  void startReplica(std::size_t Index);
  void stopReplica(std::size_t Index);
  void onReplica(std::size_t Index, std::function<void()> Event);
  void request(bool FromCut, const std::string &Address,
               replica_request Request,
               std::function<void(replica_reply)> OnReply);
  void handle(std::size_t Index, replica_request Request,
              std::function<void(replica_reply)> OnReply);
  void persist(std::size_t Index, std::vector<replica_change> Changes,
               std::function<void()> OnDone);
  void syncReplica(std::size_t Index);
  void scheduleDecide(std::size_t Index, std::uint64_t Life);
  void decide(std::size_t Index);
  void takeSet(std::size_t Index);
  void continueAsMember(std::size_t Index);
  bool ignoresConflicts(const model_replica &Replica) const;
  bool ignoresReplicas(const model_replica &Replica) const;
  bool writesLate(const model_replica &Replica) const;
  void watchSet(std::size_t Index);
  membership_change::environment changeEnvironment(std::size_t Index);
  membership_view viewOf(std::size_t Index) const;
  void writeSet(std::size_t Index, replica_set Next, bool Create,
                const std::function<void()> &OnDone);
  void storeSet(const replica_set &Next);
  void probe(std::size_t Index);
  void copy(std::size_t Index);
  void copyFrom(std::size_t Index, const std::string &Source,
                std::uint64_t Cursor, std::uint64_t Target);
  std::optional<std::size_t> indexOf(const std::string &Address) const;

  // Entry instances and their programs.
  void scheduleTurn();
  void startTurn(std::size_t Program, const std::string &Previous,
                 const std::string &Text, bool Known);
  void handOut(std::size_t Edge, std::size_t Program, turn_record Turn,
               std::string Chain, std::uint64_t Tokens);
  void commit(std::size_t Edge, std::size_t Program, const turn_record &Turn,
              const std::string &Chain);
  void settle(std::size_t Edge, std::size_t Program, const std::string &Attempt,
              std::uint64_t Tokens);
  void ask(std::size_t Edge, replica_request Request, milliseconds Limit,
           std::function<void(const quorum_round *)> OnDone);
  void askAll(const question_ptr &Question);
  void askOne(const question_ptr &Question, std::size_t Slot);
  void askAgain(const question_ptr &Question);
  void finish(const question_ptr &Question, bool Decided);
  bool adoptSet(std::size_t Edge, const replica_set &Set);
  void refreshEdges();
  void readChain(std::size_t Edge, const std::string &Previous,
                 std::map<std::string, turn_record> Turns,
                 std::function<void(std::optional<std::string>)> OnDone);

  // Faults.
  void scheduleFaults();
  void injectFault();
  bool mayLoseDisk() const;
  void losePower(std::size_t Index, bool LoseDisk, microseconds Down);
  void healAll();

  // Checks.
  void checkBudgets();
  void checkAtTheEnd();
  void breach(std::string Text);
  void note(const std::string &Text);

  history_explore_settings Settings;
  history_explore_result Result;
  virtual_clock Clock;
  chooser Choice;
  replica_limits Limits;
  std::deque<model_replica> Replicas;
  std::vector<model_edge> Edges;
  std::vector<model_budget> Programs;
  std::optional<replica_set> Stored; ///< In the platform's store.
  /// Addresses of the replicas of each version that was stored.
  std::map<std::uint64_t, std::set<std::string>> Memberships;
  bool StoreDown = false;
  bool FaultsOn = true;
  std::uint64_t NextId = 1;
};

} // namespace lentilhoist
