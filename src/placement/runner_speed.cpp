#include "placement/runner_speed.h"

#include <algorithm>
#include <cmath>

namespace lentilhoist {

namespace {

using std::chrono::duration_cast;

/// Prefill rate of the engines, from the deployments' data sheet.
constexpr double PrefillTokensPerMs = 122.0;
/// Time to the first event of a request without a prompt, as in the model of
/// the engines (engine_model_settings::FirstMs).
constexpr double StartMs = 40;
/// Base duration of a decoding step, from the data sheet.
constexpr double StepMs = 2.92;
/// Increase of the step duration per request in the batch, from the data sheet.
constexpr double StepMsPerRequest = 0.0355;
/// Mean request duration at a plain service. Durations in the data sheet range
/// from 20 to 80 ms.
constexpr double PlainMs = 45;

/// Weight of the constants against observations of the service.
constexpr double ConstantsWeight = 2;
/// Weight of the constant prefill rate, as a sum of squared deviations of
/// prompt lengths. With times that scatter by 30 ms, it equals an uncertainty
/// of half of the rate.
constexpr double PrefillPriorSquares = 5e7;
/// The learned prefill rate stays within this factor of the constant.
constexpr double MaxPrefillDeviation = 4;
/// Number of the newest observations that determine a base rate. Base rates are
/// properties of the hardware and do not age while nothing is observed.
constexpr double MaxBaseWeight = 1'000;

/// Age at which an observation of a runner has lost most of its weight. An
/// instance observes a runner about once a second; ten observations average
/// out a slowdown of 2.5 in 15% of the time to a tenth.
constexpr milliseconds FactorTimeConstant{10'000};
/// Age at which a reported slowdown says nothing of the present. Slowdowns that
/// are redrawn every 600 ms still apply with a probability that falls to zero
/// over that time; a request takes a part of it itself.
constexpr milliseconds SlowdownLifetime{450};
/// Time constant of the ratio of actual to expected completion times.
constexpr milliseconds TotalTimeConstant{20'000};
/// Observations that make a completion time known, and their age limit.
constexpr double MinTotalWeight = 20;
constexpr milliseconds MaxTotalAge{30'000};
/// Standard deviations below the mean that no completion time is expected to
/// exceed; few of a skewed distribution lie below.
constexpr double CertainDeviations = 2;
constexpr double MinTotalSpread = 0.1;

/// Interval between two computations of a group. A computation visits all
/// runners.
constexpr milliseconds SummaryInterval{250};
/// Variance of one observation assumed until variances are measured: that of a
/// slowdown of 2.5 in 15% of the time.
constexpr double DefaultWithin = 0.11;
constexpr double MinWithin = 0.01;
/// Least variance between runners, so that a single slow one is recognized.
constexpr double MinBetween = 0.01;
/// Weight from which a runner counts in its group.
constexpr double MinMemberWeight = 0.5;
/// Runners of a failure domain that must have been observed, and standard
/// errors by which their mean must differ from that of the other domains.
constexpr int MinDomainRunners = 2;
constexpr double DomainDeviations = 4;
/// Observations of a failure domain below which its mean is not compared.
/// Fewer give false differences in the first second.
constexpr double MinDomainWeight = 8;
/// Bound of one logarithm, a factor of about 7.
constexpr double MaxLog = 2;

double elapsedMs(instant From, instant Now) {
  return std::max(0.0, static_cast<double>((Now.Steady - From.Steady).count()) /
                           1e3);
}

double boundedLog(double Ratio) {
  return std::clamp(std::log(std::max(Ratio, 1e-9)), -MaxLog, MaxLog);
}

double decayedWeight(const decayed_mean &Mean, milliseconds TimeConstant,
                     instant Now) {
  if (Mean.Weight <= 0)
    return 0;
  return Mean.Weight * std::exp(-elapsedMs(Mean.Time, Now) /
                                static_cast<double>(TimeConstant.count()));
}

double meanOf(const decayed_mean &Mean) {
  return Mean.Weight > 0 ? Mean.Sum / Mean.Weight : 0;
}

double varianceOf(const decayed_mean &Mean) {
  if (Mean.Weight <= 0)
    return 0;
  const double Value = meanOf(Mean);
  return std::max(0.0, Mean.SumSquares / Mean.Weight - Value * Value);
}

void shift(decayed_mean &Mean, double Amount) {
  Mean.SumSquares += 2 * Amount * Mean.Sum + Amount * Amount * Mean.Weight;
  Mean.Sum += Amount * Mean.Weight;
}

void scale(decayed_mean &Mean, double Ratio) {
  Mean.Weight *= Ratio;
  Mean.Sum *= Ratio;
  Mean.SumSquares *= Ratio;
}

/// Adds a value of which only the number of later ones reduces the weight.
void addBaseValue(decayed_mean &Mean, double Value, instant Now) {
  if (Mean.Weight >= MaxBaseWeight)
    scale(Mean, (MaxBaseWeight - 1) / Mean.Weight);
  Mean.Weight += 1;
  Mean.Sum += Value;
  Mean.SumSquares += Value * Value;
  Mean.Time = Now;
}

/// \returns the mean of logarithms with the constant, 0, weighing as much as
/// ConstantsWeight observations.
double baseLog(const decayed_mean &Mean) {
  return Mean.Sum / (Mean.Weight + ConstantsWeight);
}

void addPrefill(prefill_fit &Fit, double Tokens, double Ms) {
  if (Fit.Weight >= MaxBaseWeight) {
    const double Ratio = (MaxBaseWeight - 1) / Fit.Weight;
    for (double *Sum : {&Fit.Weight, &Fit.SumTokens, &Fit.SumMs,
                        &Fit.SumTokensSquared, &Fit.SumTokensMs})
      *Sum *= Ratio;
  }
  Fit.Weight += 1;
  Fit.SumTokens += Tokens;
  Fit.SumMs += Ms;
  Fit.SumTokensSquared += Tokens * Tokens;
  Fit.SumTokensMs += Tokens * Ms;
}

struct prefill_line {
  double MsPerToken = 0;
  double StartMs = 0;
};

prefill_line fittedPrefill(const prefill_fit &Fit) {
  constexpr double Constant = 1 / PrefillTokensPerMs;
  if (Fit.Weight <= 0)
    return {Constant, StartMs};
  const double MeanTokens = Fit.SumTokens / Fit.Weight;
  const double MeanMs = Fit.SumMs / Fit.Weight;
  const double Squares =
      std::max(0.0, Fit.SumTokensSquared - MeanTokens * Fit.SumTokens);
  const double Products = Fit.SumTokensMs - MeanTokens * Fit.SumMs;
  const double Slope = std::clamp((Products + PrefillPriorSquares * Constant) /
                                      (Squares + PrefillPriorSquares),
                                  Constant / MaxPrefillDeviation,
                                  Constant * MaxPrefillDeviation);
  const double Observed = std::max(0.0, MeanMs - Slope * MeanTokens);
  return {Slope, (Fit.Weight * Observed + ConstantsWeight * StartMs) /
                     (Fit.Weight + ConstantsWeight)};
}

/// \returns the expected value of a runner's logarithm without observations of
/// its own.
double usualLog(const speed_group &Group, const std::string &Domain) {
  const auto Found = Group.Domains.find(Domain);
  return Found == Group.Domains.end() ? Group.Mean : Found->second;
}

struct log_estimate {
  double Value = 0;
  double Variance = 0;
  double OwnShare = 0; ///< Weight of the runner's own observations, 0 to 1.
};

/// Combines a runner's observations with what is usual, each by its variance.
log_estimate combine(const speed_group &Group, const decayed_mean &Own,
                     const std::string &Domain, instant Now) {
  const double Usual = usualLog(Group, Domain);
  const double Weight = decayedWeight(Own, FactorTimeConstant, Now);
  const double Within =
      Group.Runners > 0 ? std::max(Group.Within, MinWithin) : DefaultWithin;
  const double Between = std::max(Group.Between, MinBetween);
  const double Share = Weight / (Weight + Within / Between);
  return {Usual + Share * (meanOf(Own) - Usual), (1 - Share) * Between, Share};
}

/// Reduces the difference from what is usual by the uncertainty: a difference
/// within it is not acted upon.
double certainLog(const log_estimate &Estimate, double Usual) {
  const double Difference = Estimate.Value - Usual;
  const double Certain =
      std::max(0.0, std::abs(Difference) - std::sqrt(Estimate.Variance));
  return Usual + std::copysign(Certain, Difference);
}

/// A member of a group while it is computed.
struct member_mean {
  const std::string *Domain = nullptr;
  double Mean = 0;
  double Weight = 0;
};

double averageOf(const std::vector<member_mean> &Means) {
  double Sum = 0;
  for (const member_mean &Member : Means)
    Sum += Member.Mean;
  return Means.empty() ? 0 : Sum / static_cast<double>(Means.size());
}

double scatterOf(const std::vector<member_mean> &Means, double Center) {
  double Sum = 0;
  for (const member_mean &Member : Means)
    Sum += (Member.Mean - Center) * (Member.Mean - Center);
  return Sum;
}

speed_group groupOf(const std::vector<group_member> &Members,
                    decayed_mean runner_speed::*Part, instant Now) {
  speed_group Group;
  std::vector<member_mean> Means;
  std::map<std::string, std::vector<member_mean>> ByDomain;
  double Squares = 0;
  double Weights = 0;
  double InverseWeights = 0;
  for (const group_member &Member : Members) {
    const decayed_mean &Own = Member.Speed->*Part;
    const double Weight = decayedWeight(Own, FactorTimeConstant, Now);
    if (Weight < MinMemberWeight)
      continue;
    const member_mean Mean{&Member.Domain, meanOf(Own), Weight};
    Means.push_back(Mean);
    ByDomain[Member.Domain].push_back(Mean);
    // The variance around a mean of few observations is too small.
    Squares += Weight * varianceOf(Own);
    Weights += std::max(0.0, Weight - 1);
    InverseWeights += 1 / Weight;
  }
  if (Means.empty())
    return Group;
  Group.Runners = static_cast<int>(Means.size());
  Group.Mean = averageOf(Means);
  // The default counts as much as a few observations.
  constexpr double DefaultWeight = 20;
  Group.Within =
      (Squares + DefaultWeight * DefaultWithin) / (Weights + DefaultWeight);
  double Scatter = 0;
  int Centers = 0;
  for (const auto &[Domain, Inside] : ByDomain) {
    Group.Observed[Domain] = static_cast<int>(Inside.size());
    const auto Count = static_cast<double>(Inside.size());
    const double Mean = averageOf(Inside);
    const double OthersCount = static_cast<double>(Means.size()) - Count;
    bool Differs = false;
    if (Inside.size() >= MinDomainRunners && OthersCount >= MinDomainRunners) {
      const double OthersMean =
          (Group.Mean * static_cast<double>(Means.size()) - Mean * Count) /
          OthersCount;
      double OwnWeight = 0;
      for (const member_mean &Member : Inside)
        OwnWeight += Member.Weight;
      const double Error = std::sqrt(
          scatterOf(Inside, Mean) / (Count * std::max(1.0, Count - 1)) +
          Group.Within / OwnWeight + MinBetween / Count);
      Differs = OwnWeight >= MinDomainWeight &&
                std::abs(Mean - OthersMean) > DomainDeviations * Error;
    }
    if (Differs)
      Group.Domains[Domain] = Mean;
  }
  // Domains that do not differ share one center.
  std::vector<member_mean> Rest;
  for (const auto &[Domain, Inside] : ByDomain) {
    if (!Group.Domains.contains(Domain)) {
      Rest.insert(Rest.end(), Inside.begin(), Inside.end());
      continue;
    }
    Scatter += scatterOf(Inside, Group.Domains.at(Domain));
    ++Centers;
  }
  if (!Rest.empty()) {
    const double Mean = averageOf(Rest);
    Scatter += scatterOf(Rest, Mean);
    ++Centers;
    if (!Group.Domains.empty())
      for (const auto &[Domain, Inside] : ByDomain)
        Group.Domains.try_emplace(Domain, Mean);
  }
  const double Degrees = static_cast<double>(Group.Runners - Centers);
  // Of a variance from few runners only its lower bound is used: noise must not
  // pass for a difference.
  if (Degrees > 2)
    Group.Between =
        std::max(0.0, Scatter / Degrees * (1 - std::sqrt(2 / Degrees)) -
                          Group.Within * InverseWeights /
                              static_cast<double>(Group.Runners));
  return Group;
}

milliseconds ageOf(instant Then, instant Now) {
  return duration_cast<milliseconds>(Now.Steady - Then.Steady);
}

} // namespace

const char *speedSourceName(speed_source Source) {
  switch (Source) {
  case speed_source::Constants:
    return "constants";
  case speed_source::Service:
    return "service";
  case speed_source::Domain:
    return "domain";
  case speed_source::Runner:
    return "runner";
  }
  return "unknown";
}

void addValue(decayed_mean &Mean, double Value, milliseconds TimeConstant,
              instant Now) {
  if (Mean.Weight > 0)
    scale(Mean, decayedWeight(Mean, TimeConstant, Now) / Mean.Weight);
  Mean.Weight += 1;
  Mean.Sum += Value;
  Mean.SumSquares += Value * Value;
  Mean.Time = Now;
}

base_rates baseRates(const service_speed *Service) {
  if (!Service)
    return {PrefillTokensPerMs, StartMs, StepMs, StepMsPerRequest, PlainMs};
  const auto [MsPerToken, Start] = fittedPrefill(Service->Prefill);
  const double Step = std::exp(baseLog(Service->Step));
  return {1 / MsPerToken, Start, StepMs * Step, StepMsPerRequest * Step,
          PlainMs * std::exp(baseLog(Service->Plain))};
}

void recordSlowdown(runner_speed &Speed, double Slowdown, instant Now) {
  addValue(Speed.Reported, boundedLog(Slowdown), FactorTimeConstant, Now);
  Speed.Slowdown = Slowdown;
  Speed.SlowdownAt = Now;
}

void recordWork(service_speed &Service, runner_speed &Speed,
                const std::string &Domain, const work_observation &Work,
                instant Now) {
  const base_rates Rates = baseRates(&Service);
  const speed_estimate Estimate = estimateSpeed(&Service, Speed, Domain, Now);
  const double Multiple = Estimate.multiple();
  const double Step = Rates.StepMs + Rates.StepMsPerRequest * Work.Batch;
  // Observed and expected times of the parts that are known.
  double Observed = 0;
  double Expected = 0;
  if (Work.FirstEventMs >= 0) {
    addPrefill(Service.Prefill, Work.UncachedTokens,
               Work.FirstEventMs / Multiple);
    Observed += Work.FirstEventMs;
    Expected += Rates.StartMs + Work.UncachedTokens / Rates.PrefillTokensPerMs;
  }
  if (Work.TokenMs >= 0) {
    // Steps are compared over as many tokens as an ordinary response has.
    constexpr double Tokens = 70;
    const double Constant = StepMs + StepMsPerRequest * Work.Batch;
    addBaseValue(Service.Step, boundedLog(Work.TokenMs / Constant / Multiple),
                 Now);
    Observed += Tokens * Work.TokenMs;
    Expected += Tokens * Step;
  }
  if (Work.PlainMs >= 0) {
    addBaseValue(Service.Plain, boundedLog(Work.PlainMs / PlainMs / Multiple),
                 Now);
    Observed += Work.PlainMs;
    Expected += Rates.PlainMs;
  }
  if (Observed > 0 && Expected > 0)
    addValue(Speed.Factor, boundedLog(Observed / Expected / Estimate.Slowdown),
             FactorTimeConstant, Now);
  if (Work.ActualMs > 0 && Work.ExpectedMs > 0)
    addValue(Service.Total, boundedLog(Work.ActualMs / Work.ExpectedMs),
             TotalTimeConstant, Now);
}

bool summaryDue(const service_speed &Service, instant Now) {
  return Service.SummarizedAt.Steady.count() == 0 ||
         Now.Steady - Service.SummarizedAt.Steady >= SummaryInterval;
}

void summarizeSpeeds(service_speed &Service,
                     const std::vector<group_member> &Members, instant Now) {
  Service.SummarizedAt = Now;
  Service.Factor = groupOf(Members, &runner_speed::Factor, Now);
  Service.Reported = groupOf(Members, &runner_speed::Reported, Now);
  const double Mean = Service.Factor.Mean;
  for (const group_member &Member : Members)
    shift(Member.Speed->Factor, -Mean);
  Service.Factor.Mean = 0;
  for (auto &[Domain, Value] : Service.Factor.Domains)
    Value -= Mean;
  shift(Service.Step, Mean);
  shift(Service.Plain, Mean);
  Service.Prefill.SumMs *= std::exp(Mean);
  Service.Prefill.SumTokensMs *= std::exp(Mean);
}

speed_estimate estimateSpeed(const service_speed *Service,
                             const runner_speed &Speed,
                             const std::string &Domain, instant Now) {
  speed_estimate Estimate;
  const speed_group None;
  const speed_group &Factors = Service ? Service->Factor : None;
  const speed_group &Reports = Service ? Service->Reported : None;
  const log_estimate Factor = combine(Factors, Speed.Factor, Domain, Now);
  Estimate.Spread = std::sqrt(Factor.Variance);
  Estimate.Factor = std::exp(certainLog(Factor, usualLog(Factors, Domain)));
  const auto Observed = Factors.Observed.find(Domain);
  Estimate.DomainObserved = Observed != Factors.Observed.end() &&
                            Observed->second >= MinDomainRunners;
  if (Speed.Factor.Weight > 0)
    Estimate.FactorAge = ageOf(Speed.Factor.Time, Now);
  if (Factor.OwnShare > 0.5)
    Estimate.Source = speed_source::Runner;
  else if (Factors.Domains.contains(Domain))
    Estimate.Source = speed_source::Domain;
  else if (Factors.Runners > 0)
    Estimate.Source = speed_source::Service;
  const double Typical =
      std::exp(certainLog(combine(Reports, Speed.Reported, Domain, Now),
                          usualLog(Reports, Domain)));
  Estimate.Slowdown = Typical;
  if (Speed.Slowdown) {
    Estimate.SlowdownAge = ageOf(Speed.SlowdownAt, Now);
    const double Fresh =
        std::max(0.0, 1 - elapsedMs(Speed.SlowdownAt, Now) /
                              static_cast<double>(SlowdownLifetime.count()));
    Estimate.Slowdown += Fresh * (*Speed.Slowdown - Typical);
  }
  return Estimate;
}

completion_range completionRange(const service_speed *Service, instant Now) {
  completion_range Range;
  if (!Service || Service->Total.Weight <= 0)
    return Range;
  const decayed_mean &Total = Service->Total;
  Range.Known =
      decayedWeight(Total, TotalTimeConstant, Now) >= MinTotalWeight &&
      ageOf(Total.Time, Now) <= MaxTotalAge;
  const double Mean = meanOf(Total);
  const double Spread = std::max(std::sqrt(varianceOf(Total)), MinTotalSpread);
  Range.MeanRatio = std::exp(Mean);
  Range.EarliestRatio = std::exp(Mean - CertainDeviations * Spread);
  return Range;
}

} // namespace lentilhoist
