#pragma once

#include "core/instant.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace lentilhoist {

/// Age up to which a runner's results count.
inline constexpr seconds OutlierWindow{30};
/// Results that are kept of a runner. An instance that sees a runner once in
/// two seconds keeps all of the window.
inline constexpr std::size_t MaxOutcomes = 24;
/// Results below which nothing is concluded about a runner.
inline constexpr std::size_t MinOutcomes = 5;
/// Part of a service's runners that may be ejected at a time (1/N), and at
/// least one of two. The others carry their load.
inline constexpr std::size_t EjectedDivisor = 3;
/// Time of the first ejection; doubles with each further one.
inline constexpr milliseconds FirstEjection{5'000};
inline constexpr int MaxEjectionDoublings = 4;
/// Time after an ejection in which the next one lasts longer.
inline constexpr seconds EjectionMemory{120};
/// Successful trial requests in a row that readmit a runner. One that fails 40%
/// of its requests passes with a probability of 8%.
inline constexpr int TrialsToReadmit = 5;

/// How a request at a runner ended, as far as it tells about the runner.
enum class outcome_kind {
  Success,
  Error,       ///< Answered in full with a server error: the application's.
  Fault,       ///< No answer, or one that is no answer.
  Unreachable, ///< No connection.
};

/// Result of a request at a runner.
struct runner_outcome {
  outcome_kind Kind = outcome_kind::Success;
  /// Duration as a multiple of the expected one; 0 if it says nothing about the
  /// runner, for example because it had a queue.
  double Slowness = 0;
};

/// Why a runner is ejected.
enum class ejection_reason {
  None,
  Faults,  ///< The share of faults.
  Outages, ///< It goes down and comes back repeatedly.
  Errors,  ///< Nothing but errors.
  Slow,
};

/// \param Reason the value to name.
/// \returns its stable text form.
const char *ejectionReasonName(ejection_reason Reason);

/// A result with its time.
struct dated_outcome {
  microseconds Time{0}; ///< Monotonic clock.
  outcome_kind Kind = outcome_kind::Success;
};

/// A runner's slowness with its time.
struct dated_slowness {
  microseconds Time{0}; ///< Monotonic clock.
  double LogRatio = 0;  ///< Logarithm of runner_outcome::Slowness.
};

/// What this instance has seen of one runner lately.
struct outlier_state {
  std::string Service;
  std::int64_t BornMs = 0;              ///< Incarnation of the results.
  std::vector<dated_outcome> Outcomes;  ///< The newest MaxOutcomes.
  std::vector<dated_slowness> Slowness; ///< Samples, spread over time.
  std::vector<microseconds> Outages;    ///< Starts of outages.
  instant FaultySince{}; ///< First fault since a success; zero if none.
  bool InOutage = false; ///< The outage is among Outages.
  instant SeenAt{};      ///< Time of the latest result.
  /// Ejected, also while it is tried again.
  bool Ejected = false;
  ejection_reason Reason = ejection_reason::None;
  instant EjectedAt{};
  instant TrialsFrom{}; ///< Trial requests are sent from then on.
  int Ejections = 0;    ///< In a row, each within EjectionMemory of the former.
  int TrialsPassed = 0; ///< In a row.
};

/// The runners that this instance has used lately, by ID. A restart doesn't end
/// an ejection, as runners that go down and up restart each time.
struct outlier_table {
  std::map<std::string, outlier_state> Runners;
};

/// Figures behind a decision.
struct outlier_figures {
  std::size_t Outcomes = 0;
  std::size_t Faults = 0;
  std::size_t Errors = 0;
  std::size_t Outages = 0;
  double OthersFaultShare = 0; ///< Of the better half of the other runners.
  double Slowness = 0;         ///< 0 if it is not known.
  double OthersSlowness = 0;
  std::size_t EjectedBefore = 0; ///< Ejected runners of the service.
  std::size_t ServiceRunners = 0;
};

/// What a result has changed.
enum class outlier_change {
  None,
  Ejected,
  EjectedAgain, ///< A trial request failed.
  Readmitted,
  Capped, ///< An outlier that stays: enough others are ejected.
};

/// \param Change the value to name.
/// \returns its stable text form.
const char *outlierChangeName(outlier_change Change);

/// Result of recordOutcome.
struct outlier_decision {
  outlier_change Change = outlier_change::None;
  ejection_reason Reason = ejection_reason::None;
  milliseconds Time{0}; ///< How long the runner is ejected.
  outlier_figures Figures;
};

/// Records the result of a request and decides whether the runner is ejected or
/// readmitted. Answers load with faulty, flapping or slow runners; one that is
/// as bad as the others of its service stays.
/// \param Table the runners; updated.
/// \param Runner the runner's ID.
/// \param BornMs its incarnation.
/// \param Service its service.
/// \param Outcome the result.
/// \param CountRunners returns the number of the service's runners that take
/// requests; called only if the runner is an outlier.
/// \param Now the current time.
/// \returns the decision.
outlier_decision recordOutcome(outlier_table &Table, const std::string &Runner,
                               std::int64_t BornMs, const std::string &Service,
                               const runner_outcome &Outcome,
                               const std::function<std::size_t()> &CountRunners,
                               instant Now);

/// Takes back faults that were not the runners'.
/// \param Table the runners; updated.
/// \param Since faults and ejections from then on are taken back.
void forgiveFaults(outlier_table &Table, instant Since);

/// \param State a runner.
/// \returns the faults among its recent results.
std::size_t countFaults(const outlier_state &State);

/// Forgets runners about which nothing is known any more.
/// \param Table the runners; updated.
/// \param Now the current time.
/// \returns whether there were any.
bool forgetOutliers(outlier_table &Table, instant Now);

/// Size of a request, from which its duration is expected.
struct work_size {
  bool Engine = false;            ///< Of a model engine.
  std::int64_t PromptTokens = 0;  ///< Not cached.
  std::uint64_t OutputTokens = 0; ///< Generated.
};

/// Relates the duration of a request to its size. Only the ratio between
/// runners of one service is used, so that rough figures suffice.
/// \param Duration from sending the request to the end of the response.
/// \param Work the request.
/// \returns the duration as a multiple of the expected one.
double slownessOf(microseconds Duration, const work_size &Work);

/// \param Waited how long a request has waited without an event or a response
/// at a runner that had a free slot.
/// \param Work the request, with no output.
/// \returns whether that is a hang and not a short deadline.
bool isHang(microseconds Waited, const work_size &Work);

/// \param Running requests that a runner processes, by its own report.
/// \param Waiting requests that wait there.
/// \param Slots requests that it processes concurrently.
/// \returns whether a refusal for lack of room contradicts that report. Half of
/// the slots is a margin for what ends between the refusal and the report.
bool isFalseRefusal(int Running, int Waiting, int Slots);

} // namespace lentilhoist
