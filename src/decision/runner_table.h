#pragma once

#include "core/instant.h"
#include "decision/action.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace lentilhoist {

/// Kinds of runner.
enum class runner_kind { Engine, Service };

/// Settings of one runner.
struct runner_settings {
  std::string Name;
  runner_kind Kind = runner_kind::Engine;
  std::string Pool;    ///< Model or service that callers ask for.
  std::string Address; ///< IP number.
  int Port = 0;
  std::string Domain;       ///< Failure domain.
  std::uint32_t Slots = 16; ///< Requests that it runs well at once.
  bool SupportsOutcomeQueries =
      true;                   ///< A service that can be asked for outcomes.
  bool ChecksFencing = false; ///< An engine that refuses old orders.
};

/// What a runner last said of its load. It lags.
struct runner_load {
  std::uint32_t Running = 0;
  std::uint32_t Waiting = 0;
  bool Draining = false;
  bool Reachable = false;
  microseconds ReportedAt{0};
};

/// A runner as this instance sees it.
struct runner_state {
  runner_settings Settings;
  runner_load Load;
  std::uint32_t InFlight = 0; ///< Attempts of this instance.
  std::uint32_t InFlightAtReport = 0;
  std::uint32_t ConsecutiveFailures = 0; ///< In a row.
  microseconds EjectedUntil{0};
  bool DrainedByOperator = false;
};

/// Settings of the dispatcher.
struct dispatch_settings {
  std::size_t MaxQueue = 2'000;           ///< Attempts that wait; then shed.
  microseconds MaxQueueWait{seconds(30)}; ///< Then refused as not run.
  double AgingTokensPerSecond = 2'000;    ///< Waiting counts against service.
  double CrossDomainTokens = 200;         ///< Cost of leaving the domain.
  double QueueTokens = 4'000;             ///< Cost of a full runner.
  microseconds AffinityWait{milliseconds(400)}; ///< Wait for the prefix holder.
  std::uint32_t FailuresToEject = 3;
  microseconds Ejection{seconds(5)};
  double MaxEjectedShare = 0.5;
};

/// An attempt that waits for a runner.
struct queued_attempt {
  start_attempt Attempt;
  microseconds QueuedAt{0};
};

/// An attempt and the runner that will run it.
struct placed_attempt {
  start_attempt Attempt;
  runner_settings Runner;
};

/// An attempt that was refused before it ran.
struct refused_attempt {
  start_attempt Attempt;
  error_code Code = error_code::Overloaded;
};

/// The runners and the queue in front of them. Engines admit whatever
/// arrives, so the order is decided here.
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
/// \returns whether there was room.
bool queueAttempt(start_attempt Attempt, instant Now, runner_table &Table);

/// Places as many attempts as runners can take well.
/// \param Now the present time.
/// \param[in,out] Table the runners.
/// \param[out] Refused gains the attempts that waited too long.
/// \returns the attempts to send.
std::vector<placed_attempt>
placeAttempts(instant Now, runner_table &Table,
              std::vector<refused_attempt> &Refused);

/// Removes a waiting attempt.
/// \param AttemptId the attempt.
/// \param[in,out] Table the runners.
/// \returns whether it was waiting.
bool removeQueuedAttempt(const std::string &AttemptId, runner_table &Table);

/// Notes the end of an attempt.
/// \param Runner the runner's name.
/// \param Result the result.
/// \param Now the present time.
/// \param[in,out] Table the runners.
void onAttemptEnded(const std::string &Runner, const attempt_result &Result,
                    instant Now, runner_table &Table);

/// Takes a runner's load report, or the failure to get one.
/// \param Runner the runner's name.
/// \param Load the report.
/// \param[in,out] Table the runners.
void onLoadReport(const std::string &Runner, const runner_load &Load,
                  runner_table &Table);

} // namespace lentilhoist
