#include "experiment/experiment.h"
#include "experiment/window_plot.h"
#include "settings/settings_error.h"

#include <fmt/format.h>
#include <fstream>
#include <gflags/gflags.h>

DEFINE_string(scenario, "", "TOML file of the scenario");
DEFINE_uint64(first, 1, "first seed");
DEFINE_uint64(seeds, 5, "number of seeds");
DEFINE_string(plot, "", "SVG file for worth over time, of the first seed");

namespace {

using namespace lentilhoist;

constexpr int ExitFailed = 1;
constexpr int ExitUsage = 2;

/// Prints one line for each policy: means over the seeds.
void printTable(const scenario &Scenario,
                std::vector<window_series> &FirstSeed) {
  fmt::print("{}: {} instances, {} engines, {} seeds\n", Scenario.Name,
             Scenario.Instances, Scenario.Engines, FLAGS_seeds);
  fmt::print("{:18} {:>7} {:>13} {:>9} {:>10}", "policy", "earned",
             "worst windows", "refusals", "read again");
  for (const program_kind &Kind : Scenario.Kinds)
    fmt::print(" {:>16}", Kind.Name);
  fmt::print("\n");
  for (std::size_t Policy = 0; Policy < ExperimentPolicyNames.size();
       ++Policy) {
    double Earned = 0;
    double Worst = 0;
    double Refusals = 0;
    double Read = 0;
    std::vector<double> Kinds(Scenario.Kinds.size());
    for (std::uint64_t Seed = FLAGS_first; Seed < FLAGS_first + FLAGS_seeds;
         ++Seed) {
      const experiment_result Result =
          runExperiment(Scenario, static_cast<experiment_policy>(Policy), Seed);
      if (Seed == FLAGS_first)
        FirstSeed.push_back({ExperimentPolicyNames[Policy], Result.Windows});
      Earned += earnedShare(Result);
      Worst += worstWindows(Result);
      Refusals += Result.Refusals;
      Read += static_cast<double>(Result.TokensRead) /
              static_cast<double>(Result.TokensRead + Result.TokensKept);
      for (std::size_t Kind = 0; Kind < Kinds.size(); ++Kind)
        Kinds[Kind] += Result.Kinds[Kind].Earned / Result.Kinds[Kind].Owed;
    }
    const auto Seeds = static_cast<double>(FLAGS_seeds);
    fmt::print("{:18} {:7.3f} {:13.3f} {:9.0f} {:10.3f}",
               ExperimentPolicyNames[Policy], Earned / Seeds, Worst / Seeds,
               Refusals / Seeds, Read / Seeds);
    for (const double Kind : Kinds)
      fmt::print(" {:16.3f}", Kind / Seeds);
    fmt::print("\n");
  }
}

} // namespace

int main(int ArgumentCount, char **Arguments) {
  gflags::SetUsageMessage(
      "Plays a scenario of load against a model of the engines, in virtual "
      "time, with the daemon's decisions and with plain policies.");
  gflags::ParseCommandLineFlags(&ArgumentCount, &Arguments, true);
  if (FLAGS_scenario.empty() || FLAGS_seeds == 0) {
    fmt::print(stderr, "lentilhoist-replay: --scenario names a TOML file, and "
                       "--seeds is at least 1\n");
    return ExitUsage;
  }
  try {
    const scenario Scenario = readScenario(FLAGS_scenario);
    std::vector<window_series> FirstSeed;
    printTable(Scenario, FirstSeed);
    if (!FLAGS_plot.empty()) {
      std::ofstream Plot(FLAGS_plot);
      Plot << plotWindows(Scenario.Name, FirstSeed);
      if (!Plot.flush())
        throw std::runtime_error(FLAGS_plot + " can't be written");
    }
  } catch (const settings_error &Error) {
    fmt::print(stderr, "lentilhoist-replay: {}\n", Error.what());
    return ExitUsage;
  } catch (const std::exception &Error) {
    fmt::print(stderr, "lentilhoist-replay: {}\n", Error.what());
    return ExitFailed;
  }
  return 0;
}
