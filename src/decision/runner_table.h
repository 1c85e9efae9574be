#pragma once

#include "core/instant.h"
#include "decision/action.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace lentilhoist {

enum class runner_kind { Engine, Service };

/// Settings of one runner.
struct runner_settings {
  std::string Name;
  runner_kind Kind = runner_kind::Engine;
  std::string Pool;    ///< Name of the model or service that it serves.
  std::string Address; ///< IP address.
  int Port = 0;
  std::string Domain;       ///< Failure domain.
  std::uint32_t Slots = 16; ///< Concurrent requests that it handles well.
  /// Whether a service reports if it has run a request key.
  bool SupportsOutcomeQueries = true;
  /// Whether an engine rejects orders with an outdated fencing number.
  bool ChecksFencing = false;
};

/// Last load report of a runner. It lags behind the actual load.
struct runner_load {
  std::uint32_t Running = 0;
  std::uint32_t Waiting = 0;
  bool Draining = false;
  bool Reachable = false;
  microseconds ReportedAt{0};
};

/// State of a runner as seen by this instance.
struct runner_state {
  runner_settings Settings;
  runner_load Load;
  std::uint32_t InFlight = 0;         ///< Unfinished attempts of this instance.
  std::uint32_t InFlightAtReport = 0; ///< InFlight when Load was received.
  std::uint32_t ConsecutiveFailures = 0;
  microseconds EjectedUntil{0}; ///< Monotonic time.
  bool DrainedByOperator = false;
};

/// Settings of the dispatch queue. Costs are in prompt tokens.
struct dispatch_settings {
  std::size_t MaxQueue = 2'000; ///< Queued attempts; more are refused.
  microseconds MaxQueueWait{seconds(30)}; ///< Refused afterwards, as not run.
  double AgingTokensPerSecond = 2'000;    ///< Priority gained by waiting.
  double CrossDomainTokens = 200;         ///< Cost of another failure domain.
  double QueueTokens = 4'000;             ///< Cost of a fully loaded runner.
  /// Wait for a slot at the runner that caches the prefix.
  microseconds AffinityWait{milliseconds(400)};
  std::uint32_t FailuresToEject = 3; ///< Consecutive failures.
  microseconds Ejection{seconds(5)}; ///< Duration of an ejection.
  double MaxEjectedShare = 0.5;      ///< Of the runners of a pool.
};

/// An attempt that waits for a runner.
struct queued_attempt {
  start_attempt Attempt;
  microseconds QueuedAt{0};
};

/// An attempt and the runner that it was assigned to.
struct placed_attempt {
  start_attempt Attempt;
  runner_settings Runner;
};

/// An attempt that was refused before it ran.
struct refused_attempt {
  start_attempt Attempt;
  error_code Code = error_code::Overloaded;
};

/// The runners and their dispatch queue. Engines admit every request that
/// arrives, so the order of service is decided here.
struct runner_table {
  std::string Domain; ///< Failure domain of this instance.
  dispatch_settings Settings;
  std::map<std::string, runner_state> Runners;
  std::vector<queued_attempt> Queue;
};

/// Queues an attempt.
/// \param Attempt the attempt.
/// \param Now the present time.
/// \param[in,out] Table the runners.
/// \returns whether the queue had room.
bool queueAttempt(start_attempt Attempt, instant Now, runner_table &Table);

/// Assigns queued attempts to runners with free slots, in order of priority.
/// \param Now the present time.
/// \param[in,out] Table the runners.
/// \param[out] Refused gains the attempts whose time in the queue ran out.
/// \returns the attempts to send.
std::vector<placed_attempt>
placeAttempts(instant Now, runner_table &Table,
              std::vector<refused_attempt> &Refused);

/// Removes an attempt from the queue.
/// \param AttemptId the attempt.
/// \param[in,out] Table the runners.
/// \returns whether it was queued.
bool removeQueuedAttempt(const std::string &AttemptId, runner_table &Table);

/// Updates a runner after one of its attempts has ended; ejects it if it keeps
/// failing.
/// \param Runner the runner's name.
/// \param Result the result.
/// \param Now the present time.
/// \param[in,out] Table the runners.
void onAttemptEnded(const std::string &Runner, const attempt_result &Result,
                    instant Now, runner_table &Table);

/// Stores a runner's load report. If a request for one fails, the report has
/// Reachable unset.
/// \param Runner the runner's name.
/// \param Load the report.
/// \param[in,out] Table the runners.
void onLoadReport(const std::string &Runner, const runner_load &Load,
                  runner_table &Table);

} // namespace lentilhoist
