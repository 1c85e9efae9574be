#include "placement/outlier.h"

#include <algorithm>
#include <cmath>

namespace lentilhoist {

namespace {

/// Least share of faults of an outlier, and its ratio to the share of the
/// better half of the other runners.
constexpr double MinFaultShare = 0.1;
constexpr double MinFaultRatio = 3;
/// Ratio to the share of all other runners. Of runners that fail alike, the
/// better half seems sound while there are few results.
constexpr double MinAllFaultRatio = 1.25;
constexpr std::size_t MinFaults = 3;
/// Results of the others below which a runner is not compared with them.
constexpr std::size_t MinOthersOutcomes = 2 * MinOutcomes;
/// Quantile of the normal distribution for 99%: of 66 runners that fail 5% of
/// their requests, hardly one is taken for an outlier.
constexpr double Confidence = 2.33;
/// Faults closer together are one: a process that ends breaks all its requests.
constexpr milliseconds SameFault{20};
/// Time without a success, from the first of several faults, that makes an
/// outage: random faults hardly ever last as long.
constexpr milliseconds OutageTime{500};
/// Outages that make an outlier, and their ratio to the mean of the other
/// runners. Down and up each 1.4 s are three within 7 s.
constexpr std::size_t MinOutages = 3;
constexpr double MinOutageRatio = 6;
/// Shares of errors from which a runner counts as answering nothing else, and
/// up to which the others count as sound.
constexpr double OnlyErrorsShare = 0.9;
constexpr double MaxOthersErrorShare = 0.2;
/// Runners of one service differ by 2.4 times in speed, and each is slower by
/// 2.5 times for 15% of the time, in periods of about 0.6 s. Over 4 s such a
/// runner does not reach this ratio.
constexpr double MinSlownessRatio = 5;
constexpr std::size_t MinSlownessSamples = 8;
constexpr std::size_t MaxSlownessSamples = 16;
constexpr std::size_t MinOthersSamples = 3;
constexpr milliseconds SlownessInterval{250};
constexpr milliseconds MinSlownessSpan{3'000};

/// Rates and the usual duration from the deployments' data sheets.
constexpr double PrefillTokensPerMs = 122;
constexpr double MsPerOutputToken = 2.92;
constexpr double ServiceDurationMs = 45;
/// Part of a duration that doesn't depend on the runner: two transfers between
/// failure domains.
constexpr double TransferMs = 10;
/// A request without a sign for this long and this many expected durations
/// hangs.
constexpr milliseconds MinHangTime{300};
constexpr double MinHangRatio = 5;

bool isFault(outcome_kind Kind) {
  return Kind == outcome_kind::Fault || Kind == outcome_kind::Unreachable;
}

template <typename Items> void dropOld(Items &All, microseconds Before) {
  std::erase_if(All, [&](const auto &Item) {
    if constexpr (std::is_same_v<std::decay_t<decltype(Item)>, microseconds>)
      return Item < Before;
    else
      return Item.Time < Before;
  });
}

void dropOldResults(outlier_state &State, instant Now) {
  const microseconds Before = Now.Steady - OutlierWindow;
  dropOld(State.Outcomes, Before);
  dropOld(State.Slowness, Before);
  dropOld(State.Outages, Before);
}

/// Counts of one or several runners.
struct outcome_counts {
  std::size_t All = 0;
  std::size_t Faults = 0;
  std::size_t Errors = 0;
};

outcome_counts countOutcomes(const outlier_state &State, instant Now) {
  outcome_counts Counts;
  for (const dated_outcome &Outcome : State.Outcomes) {
    if (Outcome.Time < Now.Steady - OutlierWindow)
      continue;
    ++Counts.All;
    Counts.Faults += isFault(Outcome.Kind);
    Counts.Errors += Outcome.Kind == outcome_kind::Error;
  }
  return Counts;
}

double shareOf(std::size_t Part, std::size_t All) {
  return All == 0 ? 0 : static_cast<double>(Part) / static_cast<double>(All);
}

/// \returns the lower bound of a share (Wilson's score interval).
double lowerBound(std::size_t Part, std::size_t All) {
  const double Count = static_cast<double>(All);
  const double Share = shareOf(Part, All);
  const double Square = Confidence * Confidence / Count;
  const double Margin = Confidence * std::sqrt(Share * (1 - Share) / Count +
                                               Square / (4 * Count));
  return (Share + Square / 2 - Margin) / (1 + Square);
}

/// \returns the geometric mean of a runner's slowness, which single slow
/// requests hardly change; 0 if there are too few samples.
double meanSlowness(const outlier_state &State, std::size_t MinSamples,
                    instant Now) {
  double Sum = 0;
  std::size_t Count = 0;
  for (const dated_slowness &Sample : State.Slowness)
    if (Sample.Time >= Now.Steady - OutlierWindow) {
      Sum += Sample.LogRatio;
      ++Count;
    }
  return Count < MinSamples ? 0 : std::exp(Sum / static_cast<double>(Count));
}

/// Results of the other runners of a service that are not ejected.
struct others_summary {
  outcome_counts Better; ///< The half with the smaller shares of faults.
  outcome_counts All;
  double Slowness = 0; ///< Median; 0 if it is not known.
  double Outages = 0;  ///< Mean of a runner.
};

others_summary summarizeOthers(const outlier_table &Table,
                               const std::string &Runner,
                               const std::string &Service, instant Now) {
  others_summary Summary;
  std::vector<outcome_counts> Counts;
  std::vector<double> Slowness;
  std::size_t Outages = 0;
  for (const auto &[Id, State] : Table.Runners) {
    if (Id == Runner || State.Service != Service || State.Ejected)
      continue;
    const outcome_counts One = countOutcomes(State, Now);
    if (One.All > 0)
      Counts.push_back(One);
    Summary.All.All += One.All;
    Summary.All.Errors += One.Errors;
    Summary.All.Faults += One.Faults;
    if (const double Mean = meanSlowness(State, MinOthersSamples, Now);
        Mean > 0)
      Slowness.push_back(Mean);
    Outages += static_cast<std::size_t>(std::count_if(
        State.Outages.begin(), State.Outages.end(),
        [&](microseconds Time) { return Time >= Now.Steady - OutlierWindow; }));
  }
  std::stable_sort(Counts.begin(), Counts.end(),
                   [](const outcome_counts &Left, const outcome_counts &Right) {
                     return shareOf(Left.Faults, Left.All) <
                            shareOf(Right.Faults, Right.All);
                   });
  const std::size_t Half = (Counts.size() + 1) / 2;
  for (std::size_t Index = 0; Index < Counts.size(); ++Index)
    // Runners seen once or twice don't make a half that can be relied on.
    if (Index < Half || Summary.Better.All < MinOthersOutcomes) {
      Summary.Better.All += Counts[Index].All;
      Summary.Better.Faults += Counts[Index].Faults;
    }
  if (!Counts.empty())
    Summary.Outages = shareOf(Outages, Counts.size());
  if (!Slowness.empty()) {
    const auto Median = Slowness.begin() +
                        static_cast<std::ptrdiff_t>((Slowness.size() - 1) / 2);
    std::nth_element(Slowness.begin(), Median, Slowness.end());
    Summary.Slowness = *Median;
  }
  return Summary;
}

bool spansTime(const outlier_state &State) {
  return State.Slowness.size() >= MinSlownessSamples &&
         State.Slowness.back().Time - State.Slowness.front().Time >=
             MinSlownessSpan;
}

/// Compares a runner with the others of its service.
ejection_reason compare(const outlier_table &Table, const std::string &Runner,
                        const outlier_state &State, outlier_figures &Figures,
                        instant Now) {
  const outcome_counts Own = countOutcomes(State, Now);
  const double Slowness =
      spansTime(State) ? meanSlowness(State, MinSlownessSamples, Now) : 0;
  Figures.Outcomes = Own.All;
  Figures.Faults = Own.Faults;
  Figures.Errors = Own.Errors;
  Figures.Outages = State.Outages.size();
  Figures.Slowness = Slowness;
  const double FaultBound =
      Own.All < MinOutcomes ? 0 : lowerBound(Own.Faults, Own.All);
  const bool Faulty = Own.Faults >= MinFaults && FaultBound >= MinFaultShare;
  const bool Flapping = State.Outages.size() >= MinOutages;
  const bool OnlyErrors = Own.Errors >= MinOutcomes &&
                          shareOf(Own.Errors, Own.All) >= OnlyErrorsShare;
  // The comparison reads all runners of the service.
  if (!Faulty && !Flapping && !OnlyErrors && Slowness == 0)
    return ejection_reason::None;
  const others_summary Others =
      summarizeOthers(Table, Runner, State.Service, Now);
  Figures.OthersFaultShare = shareOf(Others.Better.Faults, Others.Better.All);
  Figures.OthersSlowness = Others.Slowness;
  if (Slowness > 0 && Others.Slowness > 0 &&
      Slowness >= MinSlownessRatio * Others.Slowness)
    return ejection_reason::Slow;
  if (Others.All.All < MinOthersOutcomes)
    return ejection_reason::None;
  // A few results without a fault don't show that there are none.
  const double BetterBound = (static_cast<double>(Others.Better.Faults) + 0.5) /
                             (static_cast<double>(Others.Better.All) + 1);
  const double AllShare = shareOf(Others.All.Faults, Others.All.All);
  if (Faulty && FaultBound >= MinFaultRatio * BetterBound &&
      FaultBound >= MinAllFaultRatio * AllShare)
    return ejection_reason::Faults;
  if (Flapping && static_cast<double>(State.Outages.size()) >=
                      MinOutageRatio * Others.Outages)
    return ejection_reason::Outages;
  if (OnlyErrors &&
      shareOf(Others.All.Errors, Others.All.All) <= MaxOthersErrorShare)
    return ejection_reason::Errors;
  return ejection_reason::None;
}

void addOutcome(outlier_state &State, const runner_outcome &Outcome,
                instant Now) {
  const bool Fault = isFault(Outcome.Kind);
  const dated_outcome *Last =
      State.Outcomes.empty() ? nullptr : &State.Outcomes.back();
  // A process that is down refuses each connection: that is one fault.
  const bool Same =
      Fault && Last &&
      ((Last->Kind == outcome_kind::Unreachable &&
        Outcome.Kind == outcome_kind::Unreachable) ||
       (isFault(Last->Kind) && Now.Steady - Last->Time < SameFault));
  if (!Fault) {
    State.FaultySince = {};
    State.InOutage = false;
  } else if (State.FaultySince.Steady.count() == 0) {
    State.FaultySince = Now;
  } else if (!State.InOutage &&
             Now.Steady - State.FaultySince.Steady >= OutageTime) {
    State.InOutage = true;
    State.Outages.push_back(Now.Steady);
  }
  if (!Same) {
    if (State.Outcomes.size() == MaxOutcomes)
      State.Outcomes.erase(State.Outcomes.begin());
    State.Outcomes.push_back({Now.Steady, Outcome.Kind});
  }
  if (Outcome.Slowness <= 0)
    return;
  if (!State.Slowness.empty() &&
      Now.Steady - State.Slowness.back().Time < SlownessInterval)
    return;
  if (State.Slowness.size() == MaxSlownessSamples)
    State.Slowness.erase(State.Slowness.begin());
  State.Slowness.push_back({Now.Steady, std::log(Outcome.Slowness)});
}

/// Runners on trial count too: the trial may fail.
std::size_t countEjected(const outlier_table &Table,
                         const std::string &Service) {
  return static_cast<std::size_t>(std::count_if(
      Table.Runners.begin(), Table.Runners.end(), [&](const auto &Item) {
        return Item.second.Service == Service && Item.second.Ejected;
      }));
}

milliseconds eject(outlier_state &State, ejection_reason Reason, instant Now) {
  const bool InRow = State.Ejections > 0 &&
                     Now.Steady - State.TrialsFrom.Steady < EjectionMemory;
  State.Ejections = InRow ? State.Ejections + 1 : 1;
  const milliseconds Time =
      FirstEjection *
      (1 << std::min(State.Ejections - 1, MaxEjectionDoublings));
  State.Ejected = true;
  State.Reason = Reason;
  State.EjectedAt = Now;
  State.TrialsFrom = later(Now, Time);
  State.TrialsPassed = 0;
  return Time;
}

bool passesTrial(const outlier_table &Table, const std::string &Runner,
                 const outlier_state &State, const runner_outcome &Outcome,
                 instant Now) {
  if (isFault(Outcome.Kind))
    return false;
  if (State.Reason == ejection_reason::Errors)
    return Outcome.Kind != outcome_kind::Error;
  if (State.Reason != ejection_reason::Slow || Outcome.Slowness <= 0)
    return true;
  const double Others =
      summarizeOthers(Table, Runner, State.Service, Now).Slowness;
  return Others <= 0 || Outcome.Slowness < MinSlownessRatio * Others;
}

void recordTrial(const outlier_table &Table, const std::string &Runner,
                 outlier_state &State, const runner_outcome &Outcome,
                 outlier_decision &Decision, instant Now) {
  Decision.Reason = State.Reason;
  const outcome_counts Others =
      isFault(Outcome.Kind)
          ? summarizeOthers(Table, Runner, State.Service, Now).Better
          : outcome_counts{};
  // Where all runners fail, a fault doesn't distinguish this one.
  const bool AllFail = Others.All >= MinOthersOutcomes &&
                       shareOf(Others.Faults, Others.All) >= MinFaultShare;
  if (!AllFail && !passesTrial(Table, Runner, State, Outcome, Now)) {
    Decision.Change = outlier_change::EjectedAgain;
    Decision.Time = eject(State, State.Reason, Now);
    return;
  }
  if (!AllFail && ++State.TrialsPassed < TrialsToReadmit)
    return;
  State.Ejected = false;
  State.Reason = ejection_reason::None;
  State.Outcomes.clear();
  State.Slowness.clear();
  Decision.Change = outlier_change::Readmitted;
}

} // namespace

const char *ejectionReasonName(ejection_reason Reason) {
  switch (Reason) {
  case ejection_reason::None:
    return "none";
  case ejection_reason::Faults:
    return "faults";
  case ejection_reason::Outages:
    return "outages";
  case ejection_reason::Errors:
    return "errors";
  case ejection_reason::Slow:
    return "slow";
  }
  return "unknown";
}

const char *outlierChangeName(outlier_change Change) {
  switch (Change) {
  case outlier_change::None:
    return "none";
  case outlier_change::Ejected:
    return "ejected";
  case outlier_change::EjectedAgain:
    return "ejected_again";
  case outlier_change::Readmitted:
    return "readmitted";
  case outlier_change::Capped:
    return "capped";
  }
  return "unknown";
}

outlier_decision recordOutcome(outlier_table &Table, const std::string &Runner,
                               std::int64_t BornMs, const std::string &Service,
                               const runner_outcome &Outcome,
                               const std::function<std::size_t()> &CountRunners,
                               instant Now) {
  outlier_state &State = Table.Runners[Runner];
  if (State.BornMs != BornMs) {
    State.BornMs = BornMs;
    State.Outcomes.clear();
    State.Slowness.clear();
  }
  State.Service = Service;
  State.SeenAt = Now;
  dropOldResults(State, Now);
  outlier_decision Decision;
  if (State.Ejected) {
    // What was sent before the ejection is no trial.
    if (Now.Steady >= State.TrialsFrom.Steady)
      recordTrial(Table, Runner, State, Outcome, Decision, Now);
    return Decision;
  }
  addOutcome(State, Outcome, Now);
  const ejection_reason Reason =
      compare(Table, Runner, State, Decision.Figures, Now);
  if (Reason == ejection_reason::None)
    return Decision;
  outlier_figures &Figures = Decision.Figures;
  Figures.EjectedBefore = countEjected(Table, Service);
  Figures.ServiceRunners = CountRunners();
  Decision.Reason = Reason;
  const std::size_t Most =
      Figures.ServiceRunners < 2
          ? 0
          : std::max<std::size_t>(1, Figures.ServiceRunners / EjectedDivisor);
  if (Figures.EjectedBefore >= Most) {
    Decision.Change = outlier_change::Capped;
    return Decision;
  }
  Decision.Change = outlier_change::Ejected;
  Decision.Time = eject(State, Reason, Now);
  return Decision;
}

void forgiveFaults(outlier_table &Table, instant Since) {
  for (auto &[Id, State] : Table.Runners) {
    std::erase_if(State.Outcomes, [&](const dated_outcome &Outcome) {
      return isFault(Outcome.Kind) && Outcome.Time >= Since.Steady;
    });
    std::erase_if(State.Outages,
                  [&](microseconds Time) { return Time >= Since.Steady; });
    State.FaultySince = {};
    State.InOutage = false;
    if (!State.Ejected || State.EjectedAt.Steady < Since.Steady)
      continue;
    State.Ejected = false;
    State.Reason = ejection_reason::None;
    --State.Ejections;
  }
}

std::size_t countFaults(const outlier_state &State) {
  return static_cast<std::size_t>(std::count_if(
      State.Outcomes.begin(), State.Outcomes.end(),
      [](const dated_outcome &Outcome) { return isFault(Outcome.Kind); }));
}

bool forgetOutliers(outlier_table &Table, instant Now) {
  return std::erase_if(Table.Runners, [&](const auto &Item) {
           const outlier_state &State = Item.second;
           const bool Remembered =
               State.Ejections > 0 &&
               Now.Steady - State.TrialsFrom.Steady < EjectionMemory;
           return !Remembered &&
                  Now.Steady - State.SeenAt.Steady > OutlierWindow;
         }) != 0;
}

double slownessOf(microseconds Duration, const work_size &Work) {
  const double Expected =
      Work.Engine
          ? static_cast<double>(std::max<std::int64_t>(0, Work.PromptTokens)) /
                    PrefillTokensPerMs +
                static_cast<double>(Work.OutputTokens) * MsPerOutputToken
          : ServiceDurationMs;
  const double DurationMs = static_cast<double>(Duration.count()) / 1'000;
  return (std::max(0.0, DurationMs) + TransferMs) / (Expected + TransferMs);
}

bool isHang(microseconds Waited, const work_size &Work) {
  return Waited >= MinHangTime && slownessOf(Waited, Work) >= MinHangRatio;
}

bool isFalseRefusal(int Running, int Waiting, int Slots) {
  return Slots > 0 && Running >= 0 && Waiting >= 0 &&
         2 * (static_cast<std::int64_t>(Running) + Waiting) <= Slots;
}

} // namespace lentilhoist
