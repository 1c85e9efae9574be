#pragma once

#include "core/instant.h"
#include "forward/request_traits.h"
#include "placement/runner_entry.h"

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace lentilhoist {

/// One runner as this instance sees it.
struct runner_view {
  runner_entry Entry;
  int Outstanding = 0; ///< Requests of this instance that it has not answered.
  std::optional<load_report> Load; ///< Newest that it told.
  instant LoadReceivedAt{};        ///< When the load was told.
  int OutstandingAtReport = 0;     ///< Of this instance, when it was told.
  instant RefusedUntil{};          ///< It has just refused for want of room.
  instant FailedUntil{}; ///< Its connections or answers have just failed.
  int ConsecutiveFailures = 0;
  /// Prompt parts and objects that this instance sent there, by last use.
  std::unordered_map<std::string, instant> RecentContent;
};

/// What the runners of a service have to do for other instances, on average.
/// Many instances share many runners, so that the newest report of one runner
/// is often old where that of another is fresh.
struct service_load {
  double OthersPerSlot = 0; ///< Requests of other instances for each slot.
  instant Time{};           ///< Of the newest report in it.
};

/// The runners by id. Behind a change of birth, what was known of the earlier
/// life is dropped.
struct runner_directory {
  std::map<std::string, runner_view> Runners;
  std::map<std::string, service_load> ServiceLoads; ///< By service.
  /// Runners that are missing while the registry may still return them, with
  /// the time from which they count as gone.
  std::map<std::string, instant> Missing;
};

/// Adds or updates a runner.
/// \param Directory the directory.
/// \param Entry what the runner says of itself.
/// \returns whether anything that is decided upon has changed.
bool upsertRunner(runner_directory &Directory, const runner_entry &Entry);

/// \param Directory the directory.
/// \param Id the runner.
/// \param BornMs the life that is meant.
/// \returns the runner, or null if it is gone or in another life.
runner_view *findIncarnation(runner_directory &Directory, const std::string &Id,
                             std::int64_t BornMs);

/// Takes a runner out.
/// \param Directory the directory.
/// \param Id the runner.
/// \returns whether it was there.
bool removeRunner(runner_directory &Directory, const std::string &Id);

/// Takes over a full list of the registry. Runners that it lacks are removed,
/// at once or, if the registry has just returned, once they had time to
/// register again.
/// \param Directory the directory.
/// \param Entries the list.
/// \param RemoveAt from when missing ones count as gone.
/// \param Now the present time.
void replaceRunners(runner_directory &Directory,
                    const std::vector<runner_entry> &Entries, instant RemoveAt,
                    instant Now);

/// Removes the runners that have been missing long enough.
/// \param Directory the directory.
/// \param Now the present time.
/// \returns the ids removed.
std::vector<std::string> removeMissing(runner_directory &Directory,
                                       instant Now);

/// Notes an answer's load report, for the runner and for its service.
/// \param Directory the directory.
/// \param Runner the runner, one of the directory.
/// \param Load what it told.
/// \param Now the present time.
void recordLoad(runner_directory &Directory, runner_view &Runner,
                const load_report &Load, instant Now);

/// Notes a refusal for want of room.
/// \param Runner the runner.
/// \param Now the present time.
void recordRefusal(runner_view &Runner, instant Now);

/// Notes a failed connection or a broken answer.
/// \param Runner the runner.
/// \param Now the present time.
void recordFailure(runner_view &Runner, instant Now);

/// Notes a sound answer.
/// \param Runner the runner.
void recordSuccess(runner_view &Runner);

/// Notes what a request leaves in a runner's memory.
/// \param Runner the runner.
/// \param Request the request.
/// \param Now the present time.
void recordContent(runner_view &Runner, const request_traits &Request,
                   instant Now);

} // namespace lentilhoist
