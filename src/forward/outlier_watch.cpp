#include "forward/outlier_watch.h"

#include "log/log.h"
#include "log/log_limit.h"

#include <algorithm>
#include <fmt/format.h>

namespace lentilhoist {

namespace {

/// Faults this long before the path is found lost were the path's: the silence
/// before a probe, the round of probes and the interval between rounds.
constexpr milliseconds PathFaultTime{2'000};

std::size_t countRunners(const runner_directory &Directory,
                         const std::string &Service) {
  return static_cast<std::size_t>(
      std::count_if(Directory.Runners.begin(), Directory.Runners.end(),
                    [&](const auto &Item) {
                      return Item.second.Entry.Service == Service &&
                             takesRequests(Item.second);
                    }));
}

void logDecision(const watched_send &Send, const std::string &Service,
                 const outlier_decision &Decision) {
  const outlier_figures &Figures = Decision.Figures;
  logLimited(
      Decision.Change == outlier_change::Readmitted ? log_level::Info
                                                    : log_level::Warning,
      fmt::format("runner_{}", outlierChangeName(Decision.Change)),
      {{"request", Send.Request},
       {"runner", Send.Runner},
       {"service", Service},
       {"reason", ejectionReasonName(Decision.Reason)},
       {"time_ms", std::to_string(Decision.Time.count())},
       {"outcomes", std::to_string(Figures.Outcomes)},
       {"faults", std::to_string(Figures.Faults)},
       {"errors", std::to_string(Figures.Errors)},
       {"outages", std::to_string(Figures.Outages)},
       {"others_fault_share", fmt::format("{:.3f}", Figures.OthersFaultShare)},
       {"slowness", fmt::format("{:.2f}", Figures.Slowness)},
       {"others_slowness", fmt::format("{:.2f}", Figures.OthersSlowness)},
       {"ejected_before", std::to_string(Figures.EjectedBefore)},
       {"service_runners", std::to_string(Figures.ServiceRunners)}});
}

} // namespace

void reportOutcome(exchange_context &Context, const watched_send &Send,
                   const runner_outcome &Outcome) {
  const instant Now = readClock();
  const runner_view *View =
      findIncarnation(Context.Runners, Send.Runner, Send.BornMs);
  if (!View || !takesRequests(*View))
    return;
  const bool PathUnsure = Send.Relayed ||
                          Context.Path.State != path_state::Open ||
                          Context.Path.ChangedAt.Steady > Send.SentAt.Steady;
  if (PathUnsure && Outcome.Kind != outcome_kind::Success)
    return;
  // The way may have made it slow.
  const runner_outcome Recorded{Outcome.Kind,
                                PathUnsure ? 0 : Outcome.Slowness};
  const std::string Service = View->Entry.Service;
  const outlier_decision Decision = recordOutcome(
      Context.Runners.Outliers, Send.Runner, Send.BornMs, Service, Recorded,
      [&] { return countRunners(Context.Runners, Service); }, Now);
  if (Decision.Change == outlier_change::None)
    return;
  Context.Metrics.count(fmt::format(
      "lentilhoist_outlier_changes_total{{change=\"{}\","
      "reason=\"{}\"}}",
      outlierChangeName(Decision.Change), ejectionReasonName(Decision.Reason)));
  logDecision(Send, Service, Decision);
  applyEjections(Context.Runners);
}

void forgiveOutliers(exchange_context &Context) {
  const instant Now = readClock();
  forgiveFaults(Context.Runners.Outliers,
                {Now.Steady - PathFaultTime, Now.Unix - PathFaultTime});
  applyEjections(Context.Runners);
}

} // namespace lentilhoist
