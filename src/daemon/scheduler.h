#pragma once

#include "call/token_hub.h"
#include "core/bounded_ring.h"
#include "daemon/daemon_event.h"
#include "daemon/worker_threads.h"
#include "instance/membership_node.h"
#include "instance/peer_link.h"
#include "metrics/metrics.h"
#include "objects/object_store.h"
#include "settings/daemon_settings.h"

#include <atomic>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace lentilhoist {

/// Routes a request to the owner of its program and waits; used to deliver
/// results to the new owner of a shard.
using blocking_router = std::function<call_answer(const owner_request &,
                                                  std::chrono::milliseconds)>;

/// The thread that decides: it holds this instance's shards and runners, feeds
/// the decision library and hands its actions to the threads that perform
/// them.
class scheduler {
public:
  /// \param Settings the daemon's settings.
  /// \param Store the platform.
  /// \param Members the view of the group.
  /// \param Measures the process's metrics.
  scheduler(const daemon_settings &Settings, object_store &Store,
            membership_node &Members, metrics &Measures);
  ~scheduler();
  scheduler(const scheduler &) = delete;
  scheduler &operator=(const scheduler &) = delete;

  /// Starts to decide.
  /// \param Link the link to other instances.
  /// \param Route routes a request to its owner.
  void start(peer_link &Link, blocking_router Route);

  /// Joins the threads.
  void stop();

  /// Passes a request to the shard that this instance holds.
  /// \param Request the request.
  /// \param Sink where the answer goes.
  void submit(owner_request Request, const std::shared_ptr<answer_sink> &Sink);

  /// Tells that a shard may wait for this instance.
  /// \param Shard the shard.
  void offerShard(shard_index Shard);

  /// Tells a runner's load.
  /// \param Runner the runner's name.
  /// \param Load the report.
  void reportLoad(const std::string &Runner, const runner_load &Load);

  /// Tells what an engine caches.
  /// \param Runner the engine.
  /// \param Sessions the programs.
  void reportCache(const std::string &Runner, std::vector<program_id> Sessions);

  /// Runs a function on the scheduler's thread and waits for it.
  /// \param Run the function.
  /// \returns whether it ran in time.
  bool inspect(const std::function<void()> &Run);

  /// \returns whether no shard, call or attempt is left; for shutdown.
  bool isIdle();

  /// \returns the shards, for operators; call it inside inspect().
  nlohmann::json describeShards() const;

  /// \returns the runners, for operators; call it inside inspect().
  nlohmann::json describeRunners() const;

  /// \returns the calls whose outcome is unknown; call it inside inspect().
  nlohmann::json describeUnknown() const;

  /// \param Tenant only programs of this tenant; empty for all.
  /// \returns the programs; call it inside inspect().
  nlohmann::json describePrograms(const std::string &Tenant) const;

  /// Stops or resumes new work for a runner; call it inside inspect().
  /// \param Runner the runner's name.
  /// \param Drained whether it gets no new work.
  /// \returns whether the runner is known.
  bool setDrained(const std::string &Runner, bool Drained);

private:
  /// A request that waits for this instance to own its shard.
  struct parked_request {
    owner_request Request;
    call_ticket Ticket = 0;
    microseconds Deadline{0};
  };
  /// A caller that waits for an answer.
  struct waiting_caller {
    std::shared_ptr<answer_sink> Sink;
    program_id Program;
    bool Streams = false;
    microseconds Since{0};
    std::string Tenant;
    std::string Class;
  };
  /// What the scheduler notes of a shard beside the decisions.
  struct shard_notes {
    microseconds NextReviewAt{0};
    microseconds MisplacedSince{0}; ///< 0 while this is the right owner.
    std::vector<parked_request> Parked;
  };

  void run();
  void tick(instant Now);
  void refreshView();
  void handle(daemon_event &Event, instant Now);
  void onRequest(request_arrived &Arrived, instant Now);
  void onJournalLoaded(journal_loaded &Loaded, instant Now);
  void onLoadReported(const load_reported &Reported);
  bool mustPark(shard_index Shard) const;
  void reviewShards(instant Now);
  void reviewShard(shard_owner &Owner, instant Now);
  void considerClaim(shard_owner &Owner, instant Now);
  void considerHandover(shard_owner &Owner, const std::string &Desired,
                        instant Now);
  void releaseParked(shard_index Shard, instant Now);
  void onPhase(shard_index Shard, instant Now);
  std::string desiredOwner(shard_index Shard) const;
  void perform(action_list &Actions, instant Now);
  void performOne(action &Action, instant Now);
  void answerCaller(const answer_caller &Answer);
  void startQueued(start_attempt &Start, instant Now);
  void placeQueued(instant Now);
  void runAttempt(const placed_attempt &Placed);
  void performAttempt(const placed_attempt &Placed);
  void refuseAttempt(const start_attempt &Attempt, error_code Code,
                     instant Now);
  void cancel(const cancel_attempt &Cancel, instant Now);
  void deliver(const deliver_result &Deliver);
  void release(const release_cache &Release);
  void query(const query_outcome &Query);
  void submitPlatformJob(const std::function<void()> &Job);
  void post(const daemon_event &Event);
  bool isCancelled(const std::string &AttemptId);
  void forgetAttempt(const std::string &AttemptId);
  void publishGauges();

  const daemon_settings &Settings;
  object_store &Store;
  membership_node &Members;
  metrics &Measures;
  peer_link *Link = nullptr;
  blocking_router Route;
  bounded_ring<daemon_event> Events;
  token_hub Hub;
  std::map<shard_index, shard_owner> Owners;
  std::map<shard_index, shard_notes> Notes;
  runner_table Runners;
  std::map<call_ticket, waiting_caller> Callers;
  call_ticket NextTicket = 1;
  std::map<std::string, std::string> AttemptRunner; ///< Running attempts.
  std::vector<std::string> Candidates; ///< Names of possible owners.
  std::shared_ptr<const membership> View;
  std::mutex CancelMutex;
  std::set<std::string> Cancelled;
  microseconds NextTickAt{0};
  microseconds NextGaugesAt{0};
  std::atomic<bool> Stopping{false};
  std::thread Thread;
  std::unique_ptr<worker_threads> PlatformWorkers;
  std::unique_ptr<worker_threads> AttemptWorkers;
  std::unique_ptr<worker_threads> ChoreWorkers;
};

} // namespace lentilhoist
