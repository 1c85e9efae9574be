#pragma once

#include "call/caller_request.h"
#include "explore/explore_settings.h"
#include "explore/model_runners.h"
#include "explore/model_store.h"
#include "explore/virtual_clock.h"

#include <functional>
#include <map>
#include <string>
#include <vector>

namespace lentilhoist {

/// One instance in virtual time.
struct model_instance {
  std::string Name;
  bool Up = true;
  bool Paused = false;
  std::uint64_t Life = 0; ///< Grows with each restart.
  shard_owner Owner;
  std::vector<std::function<void()>> Deferred; ///< Events during a pause.
  std::map<std::string, bool> Believed;        ///< Whom it believes alive.
  std::string Desired; ///< Whom it believes to be the right owner.
};

/// A caller's program: a chain of calls.
struct model_program {
  create_request Create;
  std::vector<call_request> Calls;
  std::size_t Next = 0; ///< Call to issue next.
  bool Created = false;
  bool Finished = false;
  bool Ended = false;
  std::string History; ///< Joined messages of accepted model calls.
  std::vector<std::string> Responses; ///< Accepted, by call.
  std::vector<run_state> Runs;        ///< Accepted, by call.
  std::uint64_t Issue = 0;            ///< Latest issue of the present call.
  std::set<std::uint64_t> OpenIssues; ///< Issues not refused as not run.
};

/// Everything that takes part in one exploration. Virtual time drives it; each
/// random choice comes from the seed.
class world {
public:
  explicit world(const explore_settings &Settings);

  /// Runs to the end of the faults and of all programs.
  /// \returns what was found.
  explore_result run();

private:
  using answer_handler = std::function<void(const call_answer &)>;

  // Instances.
  void startInstance(std::size_t Index);
  void onInstance(std::size_t Index, std::function<void()> Event);
  void tickInstance(std::size_t Index, std::uint64_t Life);
  void driveOwnership(std::size_t Index);
  void perform(std::size_t Index, action_list &Actions);
  void performOne(std::size_t Index, action &Action);
  void onPhase(std::size_t Index);
  void offerShard(const std::string &Name);
  void sweepCaches();
  std::size_t indexOf(const std::string &Name) const;

  // Faults.
  void scheduleFaults();
  void injectFault();
  void healAll();
  void crash(std::size_t Index);
  void pauseFor(std::size_t Index, microseconds Time);
  void refreshBeliefs();

  // The platform.
  void performWrite(std::size_t Index, const write_entry &Write);
  void performRead(std::size_t Index, const read_entry &Read);
  void performCheckNextEntry(std::size_t Index, const check_next_entry &Check);
  void performReadJournal(std::size_t Index);
  void performReadSnapshotNumber(std::size_t Index);
  void performSnapshot(std::size_t Index, const write_snapshot &Snapshot);
  bool storeFails();
  entry_read_result readFromStore(shard_index Shard, entry_number Number);

  // The runners.
  void performAttempt(std::size_t Index, const start_attempt &Start);
  void runModel(std::size_t Index, const start_attempt &Start);
  void sendService(std::size_t Index, const start_attempt &Start);
  void arriveAtService(std::size_t Index, const start_attempt &Start);
  void finishAttempt(std::size_t Index, const start_attempt &Start,
                     const attempt_result &Result, microseconds Delay);
  void performQuery(std::size_t Index, const query_outcome &Query);
  void performRelease(std::size_t Index, const release_cache &Release);
  void performDelivery(std::size_t Index, const deliver_result &Deliver,
                       int Tries);
  void sendBeforeIntent(std::size_t Index, const call_request &Request);

  // The callers.
  void makePrograms();
  void sendRequest(std::size_t Index, const owner_request &Request,
                   answer_handler OnAnswer);
  void createProgram(std::size_t Program);
  void issueCall(std::size_t Program);
  void sendCall(std::size_t Program, const call_request &Request,
                std::uint64_t Issue);
  void onCallAnswer(std::size_t Program, std::uint64_t Issue,
                    const call_request &Request, const call_answer &Answer);
  void acceptAnswer(std::size_t Program, const call_answer &Answer);
  void checkDurable(const model_program &Program, const call_answer &Answer);
  void endProgram(std::size_t Program);
  bool allFinished() const;

  // Checks.
  void checkPromises();
  void checkAtTheEnd();
  void noteLeftovers();
  void breach(std::string Text);
  void note(const std::string &Text);

  explore_settings Settings;
  explore_result Result;
  virtual_clock Clock;
  chooser Choice;
  model_store Store;
  model_runners Runners;
  std::vector<model_instance> Instances;
  std::vector<model_program> Programs;
  std::map<call_ticket, answer_handler> Tickets;
  call_ticket NextTicket = 1;
  std::uint64_t NextIssue = 1;
  std::size_t Rotation = 0; ///< Changes which instance should own.
  bool FaultsOn = true;
  bool Outage = false;
  bool ServiceKnowsKeys = true;
  microseconds FaultsEnd{0};
};

} // namespace lentilhoist
