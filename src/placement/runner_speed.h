#pragma once

#include "core/instant.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace lentilhoist {

// Learns how fast runners do their work, for services whose runners differ in
// speed (by machine or failure domain) or change it from moment to moment. A
// duration is a product of the service's base rate, the runner's factor and the
// slowdown that the runner reports. The factor holds what reports don't
// explain, so that it does not matter whether they include the machine's speed.

/// Mean and variance of values of which the older ones weigh less.
struct decayed_mean {
  double Weight = 0;
  double Sum = 0;
  double SumSquares = 0;
  instant Time{}; ///< When the last value was added.
};

/// Adds a value with weight 1.
/// \param Mean the mean to update.
/// \param Value the value.
/// \param TimeConstant age at which a value's weight has fallen to 1/e.
/// \param Now the current time.
void addValue(decayed_mean &Mean, double Value, milliseconds TimeConstant,
              instant Now);

/// Fit of the time to the first event of a response to the number of prompt
/// tokens that are not cached.
struct prefill_fit {
  double Weight = 0;
  double SumTokens = 0;
  double SumMs = 0;
  double SumTokensSquared = 0;
  double SumTokensMs = 0;
};

/// Base rates of a service: those of a runner whose factor and slowdown are 1.
struct base_rates {
  double PrefillTokensPerMs = 0;
  double StartMs = 0;          ///< Time to the first event without a prompt.
  double StepMs = 0;           ///< Duration of a decoding step.
  double StepMsPerRequest = 0; ///< Its increase per request in the batch.
  double PlainMs = 0;          ///< Duration of a request at a plain service.
};

/// What this instance observed of one runner.
struct runner_speed {
  /// Logarithms of observed durations, relative to base rate and slowdown.
  decayed_mean Factor;
  decayed_mean Reported;            ///< Logarithms of reported slowdowns.
  std::optional<double> Slowdown{}; ///< The latest reported slowdown.
  instant SlowdownAt{};             ///< When it was received.
};

/// Distribution of a logarithm over the runners of a service.
struct speed_group {
  double Mean = 0;    ///< Over the runners with observations.
  double Within = 0;  ///< Variance of one observation of a runner.
  double Between = 0; ///< Variance between runners in the same domain.
  int Runners = 0;    ///< With observations.
  /// Means of failure domains, if some differ consistently from the others.
  std::map<std::string, double> Domains;
  std::map<std::string, int>
      Observed; ///< Runners with observations, by domain.
};

/// What this instance observed of the runners of a service together.
struct service_speed {
  prefill_fit Prefill;
  decayed_mean Step;  ///< Logarithms, relative to the constant.
  decayed_mean Plain; ///< Logarithms, relative to the constant.
  decayed_mean Total; ///< Logarithms of actual over expected completion time.
  speed_group Factor;
  speed_group Reported;
  instant SummarizedAt{}; ///< When the groups were computed.
};

/// Where the estimate for a runner comes from.
enum class speed_source {
  Constants, ///< Nothing has been observed.
  Service,   ///< The other runners of the service.
  Domain,    ///< Those in the same failure domain, which differ from others.
  Runner,    ///< The runner itself.
};

/// \param Source the value to name.
/// \returns its stable text form.
const char *speedSourceName(speed_source Source);

/// How fast a runner works, relative to the base rates of its service.
struct speed_estimate {
  double Factor = 1;   ///< Learned; above 1 for a slow runner.
  double Slowdown = 1; ///< Reported; the usual one if the report is old.
  double Spread = 0;   ///< Standard deviation of the factor's logarithm.
  speed_source Source = speed_source::Constants;
  bool DomainObserved = false;  ///< Some runners of its domain were observed.
  milliseconds FactorAge{-1};   ///< Of the last observation; -1: none.
  milliseconds SlowdownAge{-1}; ///< Of the last report; -1: none.

  /// \returns the duration of work as a multiple of that at base rates.
  double multiple() const { return Factor * Slowdown; }
};

/// What one answered request showed of its runner. Negative times are unknown.
struct work_observation {
  double UncachedTokens = 0; ///< Prompt tokens, as estimated when it was sent.
  /// Time from sending to the first event, if no queue was expected.
  double FirstEventMs = -1;
  double TokenMs = -1;    ///< Mean time between generated tokens.
  double Batch = 0;       ///< Other requests in the batch.
  double PlainMs = -1;    ///< Duration at a plain service without a queue.
  double ExpectedMs = -1; ///< Expected completion time, uncorrected.
  double ActualMs = -1;   ///< Time from sending to the end of the response.
};

/// A runner as an input of \ref summarizeSpeeds.
struct group_member {
  std::string Domain;
  runner_speed *Speed = nullptr;
};

/// Range in which a completion time lies almost certainly.
struct completion_range {
  bool Known = false;       ///< Enough requests have been observed recently.
  double MeanRatio = 1;     ///< Actual over expected time, typically.
  double EarliestRatio = 0; ///< The same for the fastest requests.
};

/// \param Service observations of a service; null if there are none.
/// \returns the learned base rates, or the constants where nothing is learned.
base_rates baseRates(const service_speed *Service);

/// Records the slowdown that a runner reports.
/// \param Speed the runner's speed.
/// \param Slowdown the reported multiple of the usual time.
/// \param Now the current time.
void recordSlowdown(runner_speed &Speed, double Slowdown, instant Now);

/// Records what an answered request showed.
/// \param Service the observations of the runner's service.
/// \param Speed the runner's speed.
/// \param Domain the runner's failure domain.
/// \param Work the observation.
/// \param Now the current time.
void recordWork(service_speed &Service, runner_speed &Speed,
                const std::string &Domain, const work_observation &Work,
                instant Now);

/// \param Service observations of a service.
/// \param Now the current time.
/// \returns whether \ref summarizeSpeeds is due.
bool summaryDue(const service_speed &Service, instant Now);

/// Computes the groups of a service and shifts factors and base rates so that
/// the mean factor is 1.
/// \param Service the observations of the service.
/// \param Members its runners.
/// \param Now the current time.
void summarizeSpeeds(service_speed &Service,
                     const std::vector<group_member> &Members, instant Now);

/// Estimates the speed of a runner. What was observed of it counts by its
/// amount and age against what is usual in its failure domain or its service.
/// \param Service observations of its service; null if there are none.
/// \param Speed the runner's speed.
/// \param Domain its failure domain.
/// \param Now the current time.
/// \returns the estimate.
speed_estimate estimateSpeed(const service_speed *Service,
                             const runner_speed &Speed,
                             const std::string &Domain, instant Now);

/// \param Service observations of a service; null if there are none.
/// \param Now the current time.
/// \returns how actual completion times compare with expected ones.
completion_range completionRange(const service_speed *Service, instant Now);

} // namespace lentilhoist
