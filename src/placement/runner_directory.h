#pragma once

#include "core/instant.h"
#include "forward/request_traits.h"
#include "limit/permit_stock.h"
#include "placement/outlier.h"
#include "placement/runner_entry.h"
#include "placement/runner_speed.h"

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace lentilhoist {

/// State of one runner as known to this instance.
struct runner_view {
  runner_entry Entry;
  int Outstanding = 0;             ///< Unanswered requests of this instance.
  std::optional<load_report> Load; ///< Latest load report.
  instant LoadReceivedAt{};        ///< Time of the latest load report.
  int OutstandingAtReport = 0;     ///< Outstanding at the time of that report.
  instant HeardAt{};      ///< When bytes of it last arrived without a relay.
  instant RefusedUntil{}; ///< End of the backoff after a refusal due to load.
  instant FailedUntil{};  ///< End of the backoff after a failure.
  permit_stock Permits;   ///< The runner's limit and permits to send to it.
  runner_speed Speed;     ///< How fast it did its work.
  int ConsecutiveFailures = 0;
  bool Ejected = false; ///< An outlier, as outlier_state::Ejected.
  instant TrialsFrom{}; ///< As outlier_state::TrialsFrom.
  bool Leaving = false; ///< It has said in a response that it leaves.
  /// Time of last use of the prompt parts, sessions and affinity keys that this
  /// instance sent to the runner.
  std::unordered_map<std::string, instant> RecentContent;
};

/// Average load that other instances put on the runners of a service. With many
/// instances and many runners, the latest report of one runner is often old
/// while another runner has reported recently.
struct service_load {
  double OthersPerSlot = 0; ///< Requests of other instances per slot.
  instant Time{};           ///< Time of the latest report included.
};

/// A runner's statement that it leaves.
struct leaving_notice {
  std::int64_t BornMs = 0; ///< The incarnation that leaves.
  instant ReceivedAt{};
};

/// The known runners by ID. When a runner restarts or changes its address, the
/// state of its previous incarnation is discarded except for the number of
/// outstanding requests.
struct runner_directory {
  std::map<std::string, runner_view> Runners;
  std::map<std::string, service_load> ServiceLoads; ///< By service.
  std::map<std::string, service_speed> Speeds;      ///< By service.
  /// Runners absent from the registry that may still register again, with the
  /// time at which they are removed.
  std::map<std::string, instant> Missing;
  /// Runners that leave, by ID. A statement outlasts the registration: one that
  /// lapses and comes back is that of the same incarnation.
  std::map<std::string, leaving_notice> Leaving;
  /// Recent results of runners. They outlast the registration.
  outlier_table Outliers;
};

/// Adds or updates a runner.
/// \param Directory the directory.
/// \param Entry the runner's registration.
/// \returns true if the runner is new or its registration has changed.
bool upsertRunner(runner_directory &Directory, const runner_entry &Entry);

/// \param Runner the runner.
/// \returns whether new requests may be sent to it: neither its registration
/// nor one of its responses says that it leaves.
inline bool takesRequests(const runner_view &Runner) {
  return !Runner.Entry.Draining && !Runner.Leaving;
}

/// Records that an incarnation of a runner leaves. It gets no new request, also
/// while it is registered as ready.
/// \param Directory the directory.
/// \param Id the runner's ID.
/// \param BornMs start time of the incarnation, Unix time in milliseconds.
/// \param Now the current time.
/// \returns true if that was not known.
bool recordLeaving(runner_directory &Directory, const std::string &Id,
                   std::int64_t BornMs, instant Now);

/// \param Directory the directory.
/// \param Id a runner's ID.
/// \param BornMs start time of the incarnation.
/// \returns whether this incarnation has said that it leaves.
bool isLeaving(const runner_directory &Directory, const std::string &Id,
               std::int64_t BornMs);

/// Forgets statements of runners that are long gone.
/// \param Directory the directory.
/// \param Now the current time.
void forgetLeaving(runner_directory &Directory, instant Now);

/// Finds a specific incarnation of a runner.
/// \param Directory the directory.
/// \param Id the runner's ID.
/// \param BornMs start time of the incarnation, Unix time in milliseconds.
/// \returns the runner, owned by the directory; null if it was removed or is in
/// another incarnation.
runner_view *findIncarnation(runner_directory &Directory, const std::string &Id,
                             std::int64_t BornMs);

/// Removes a runner.
/// \param Directory the directory.
/// \param Id the runner's ID.
/// \returns true if the runner was present.
bool removeRunner(runner_directory &Directory, const std::string &Id);

/// Replaces the runners by a full listing of the registry. Runners that are not
/// listed are removed at \p RemoveAt: immediately, or after a registry outage
/// once they have had time to register again.
/// \param Directory the directory.
/// \param Entries the listed registrations.
/// \param RemoveAt time at which runners that are not listed are removed.
/// \param Now the current time.
void replaceRunners(runner_directory &Directory,
                    const std::vector<runner_entry> &Entries, instant RemoveAt,
                    instant Now);

/// Removes the missing runners whose removal time has been reached.
/// \param Directory the directory.
/// \param Now the current time.
/// \returns IDs of the removed runners.
std::vector<std::string> removeMissing(runner_directory &Directory,
                                       instant Now);

/// Records the load report of an answer and updates the service average.
/// \param Directory the directory.
/// \param Runner the runner; must belong to \p Directory.
/// \param Load the load report.
/// \param Now the current time.
void recordLoad(runner_directory &Directory, runner_view &Runner,
                const load_report &Load, instant Now);

/// Records what an answered request showed of the speed of its runner, and
/// updates what is known of the runner's service.
/// \param Directory the directory.
/// \param Runner the runner; must belong to \p Directory.
/// \param Work the observation.
/// \param Now the current time.
void recordWork(runner_directory &Directory, runner_view &Runner,
                const work_observation &Work, instant Now);

/// \param Directory the directory.
/// \param Service a service.
/// \returns what was observed of its runners together; null if nothing.
const service_speed *findSpeed(const runner_directory &Directory,
                               const std::string &Service);

/// Records a refusal due to load and starts a short backoff.
/// \param Runner the runner.
/// \param Now the current time.
void recordRefusal(runner_view &Runner, instant Now);

/// Records a failed connection or an invalid answer and starts an exponential
/// backoff.
/// \param Runner the runner.
/// \param Now the current time.
void recordFailure(runner_view &Runner, instant Now);

/// Records a valid answer and ends the failure backoff.
/// \param Runner the runner.
void recordSuccess(runner_view &Runner);

/// Whether a runner's recent results keep requests away from it.
enum class runner_standing {
  Sound,
  Ejected, ///< Ranks behind the others.
  OnTrial, ///< Ejected, and gets one request at a time.
};

/// \param Standing the value to name.
/// \returns its stable text form.
const char *runnerStandingName(runner_standing Standing);

/// \param Runner the runner.
/// \param Now the current time.
/// \returns its standing.
runner_standing standingOf(const runner_view &Runner, instant Now);

/// Applies the ejections in runner_directory::Outliers to the runners.
/// \param Directory the directory.
void applyEjections(runner_directory &Directory);

/// Records the prompt parts, session and affinity key that a request leaves in
/// the runner's cache.
/// \param Runner the runner.
/// \param Request the request.
/// \param Now the current time.
void recordContent(runner_view &Runner, const request_traits &Request,
                   instant Now);

} // namespace lentilhoist
