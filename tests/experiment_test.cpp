#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include "experiment/experiment.h"
#include "experiment/window_plot.h"
#include "settings/settings_error.h"

#include <doctest/doctest.h>
#include <filesystem>
#include <fstream>

using namespace lentilhoist;

namespace {

instant at(double Ms) {
  return later({}, microseconds(static_cast<std::int64_t>(Ms * 1e3)));
}

engine_work makeWork(std::uint64_t Id, std::vector<prompt_part> Prompt,
                     std::int64_t Output) {
  return {Id, std::move(Prompt), Output};
}

/// Runs an engine until it is idle.
/// \returns milliseconds until then.
double runUntilIdle(engine_model &Engine, instant Now) {
  const instant Start = Now;
  while (Engine.busy())
    Now = Engine.step(Now).End;
  return static_cast<double>((Now.Steady - Start.Steady).count()) / 1e3;
}

/// Two kinds on few engines; the urgent one is worth more.
scenario smallScenario(double BurstTimes) {
  scenario Scenario;
  Scenario.Instances = 12;
  Scenario.Engines = 10;
  Scenario.Seconds = 20;
  program_kind Plain;
  Plain.Name = "plain";
  Plain.Priority = 1;
  Plain.PerSecond = 14;
  Plain.Worth = 3;
  Plain.LateWorth = 0.3;
  Plain.Turns = 4;
  program_kind Urgent;
  Urgent.Name = "urgent";
  Urgent.PerSecond = 6;
  Urgent.Worth = 10;
  Urgent.LateWorth = 1;
  Urgent.Turns = 7;
  Scenario.Kinds = {Plain, Urgent};
  Scenario.Bursts = {{4, 6, BurstTimes}};
  return Scenario;
}

double shareOf(const experiment_result &Result, std::size_t Kind) {
  return Result.Kinds[Kind].Earned / Result.Kinds[Kind].Owed;
}

/// Mean over a few seeds, as single runs differ.
template <typename Figure>
double meanOf(const scenario &Scenario, experiment_policy Policy,
              Figure FigureOf) {
  constexpr int Seeds = 6;
  double Sum = 0;
  for (std::uint64_t Seed = 1; Seed <= Seeds; ++Seed)
    Sum += FigureOf(runExperiment(Scenario, Policy, Seed));
  return Sum / Seeds;
}

} // namespace

TEST_CASE("an engine generates a token a step, slower in a larger batch") {
  engine_model_settings Settings;
  Settings.FirstMs = milliseconds(0);
  engine_model Alone(Settings);
  CHECK(Alone.add(makeWork(1, {}, 100), {}));
  CHECK(runUntilIdle(Alone, {}) == doctest::Approx(100 * 2.92).epsilon(0.001));
  engine_model Shared(Settings);
  for (std::uint64_t Id = 1; Id <= 6; ++Id)
    CHECK(Shared.add(makeWork(Id, {}, 100), {}));
  CHECK(runUntilIdle(Shared, {}) ==
        doctest::Approx(100 * (2.92 + 5 * 0.0355)).epsilon(0.001));
}

TEST_CASE("an engine reads a prompt once, while it keeps it") {
  engine_model_settings Settings;
  Settings.MemoryTokens = 10'000;
  Settings.FirstMs = milliseconds(0);
  engine_model Engine(Settings);
  CHECK(Engine.add(makeWork(1, {{"a", 4'000}, {"b", 1'000}}, 1), {}));
  runUntilIdle(Engine, {});
  CHECK(Engine.tokensRead() == 5'000);
  CHECK(Engine.add(makeWork(2, {{"a", 4'000}, {"c", 1'000}}, 1), at(100)));
  runUntilIdle(Engine, at(100));
  CHECK(Engine.tokensRead() == 6'000);
  // The least recently used part has to go, and all behind it count as gone.
  CHECK(Engine.add(makeWork(3, {{"x", 8'000}}, 1), at(200)));
  runUntilIdle(Engine, at(200));
  CHECK(Engine.add(makeWork(4, {{"a", 4'000}, {"c", 1'000}}, 1), at(300)));
  runUntilIdle(Engine, at(300));
  CHECK(Engine.tokensRead() == 6'000 + 8'000 + 5'000);
}

TEST_CASE("an engine refuses beyond its queue, and its reports lag") {
  engine_model_settings Settings;
  Settings.Slots = 1;
  Settings.QueueLimit = 2;
  Settings.FirstMs = milliseconds(0);
  engine_model Engine(Settings);
  CHECK(Engine.add(makeWork(1, {}, 100), {}));
  CHECK(Engine.add(makeWork(2, {}, 100), {}));
  CHECK_FALSE(Engine.add(makeWork(3, {}, 100), {}));
  const instant Stepped = Engine.step({}).End;
  CHECK(Engine.report(Stepped).Running == 0);
  CHECK(Engine.report(later(Stepped, Settings.ReportLag)).Running == 1);
  CHECK(Engine.report(later(Stepped, Settings.ReportLag)).Waiting == 1);
  Engine.cancel(1);
  Engine.cancel(2);
  CHECK_FALSE(Engine.busy());
}

TEST_CASE("the same seed plays the same run") {
  const scenario Scenario = smallScenario(2);
  const auto First = runExperiment(Scenario, experiment_policy::Product, 7);
  const auto Second = runExperiment(Scenario, experiment_policy::Product, 7);
  CHECK(First.Windows == Second.Windows);
  CHECK(First.TokensRead == Second.TokensRead);
  CHECK(earnedShare(First) > 0);
}

TEST_CASE("without a burst every policy of the daemon serves all in aim") {
  const scenario Scenario = smallScenario(1);
  CHECK(meanOf(Scenario, experiment_policy::Product, earnedShare) > 0.98);
}

TEST_CASE("in a deep overload, ranks keep more of the urgent programs") {
  const scenario Scenario = smallScenario(2.6);
  const auto Urgent = [](const experiment_result &Result) {
    return shareOf(Result, 1);
  };
  const auto Plain = [](const experiment_result &Result) {
    return shareOf(Result, 0);
  };
  CHECK(meanOf(Scenario, experiment_policy::Product, Urgent) >
        meanOf(Scenario, experiment_policy::NoRanks, Urgent));
  CHECK(meanOf(Scenario, experiment_policy::Product, worstWindows) >
        meanOf(Scenario, experiment_policy::RoundRobin, worstWindows));
  // The others still run: nothing starves.
  CHECK(meanOf(Scenario, experiment_policy::Product, Plain) > 0.25);
}

TEST_CASE("turns go where their prompt is kept, over any instance") {
  const scenario Scenario = smallScenario(1);
  const auto Read = [](const experiment_result &Result) {
    return static_cast<double>(Result.TokensRead);
  };
  CHECK(meanOf(Scenario, experiment_policy::Product, Read) <
        0.7 * meanOf(Scenario, experiment_policy::RoundRobin, Read));
}

// Guards against estimates that serve uneven engines no better than constants.
TEST_CASE("with engines of three speeds, learned speeds earn more") {
  scenario Scenario = smallScenario(1);
  Scenario.DomainTimes = {0.7, 0.7, 1.7};
  Scenario.SlowMoments = {0.15, 2.5, std::chrono::milliseconds(600)};
  Scenario.LearnSpeeds = false;
  const double Constants =
      meanOf(Scenario, experiment_policy::Product, earnedShare);
  Scenario.LearnSpeeds = true;
  const double Learned =
      meanOf(Scenario, experiment_policy::Product, earnedShare);
  Scenario.ReportSlowdown = true;
  const double Reported =
      meanOf(Scenario, experiment_policy::Product, earnedShare);
  CAPTURE(Constants);
  CAPTURE(Learned);
  CAPTURE(Reported);
  CHECK(Learned > Constants + 0.05);
  CHECK(Reported > Constants + 0.05);
}

// Guards against estimates that chase noise among equal engines.
TEST_CASE("with equal engines that are slow at times, learned speeds lose "
          "little") {
  scenario Scenario = smallScenario(1.6);
  Scenario.SlowMoments = {0.15, 2.5, std::chrono::milliseconds(600)};
  Scenario.LearnSpeeds = false;
  const double Constants =
      meanOf(Scenario, experiment_policy::Product, earnedShare);
  Scenario.LearnSpeeds = true;
  const double Learned =
      meanOf(Scenario, experiment_policy::Product, earnedShare);
  CAPTURE(Constants);
  CAPTURE(Learned);
  CHECK(Learned > Constants - 0.03);
}

TEST_CASE("a scenario is read, and what is wrong in it is named") {
  const auto Path =
      std::filesystem::temp_directory_path() / "lentilhoist-scenario.toml";
  const auto Write = [&](const char *Text) { std::ofstream(Path) << Text; };
  Write("name = \"n\"\nengines = 3\n[[kind]]\nname = \"k\"\nturns = 2\n"
        "[[burst]]\nat = 1\nfor = 2\ntimes = 3\n"
        "[[domain]]\ntimes = 0.7\n[[domain]]\ntimes = 1.7\n"
        "[slow_moments]\nshare = 0.15\ntimes = 2.5\nperiod = \"600ms\"\n");
  const scenario Scenario = readScenario(Path.string());
  CHECK(Scenario.Engines == 3);
  CHECK(Scenario.Kinds.at(0).Turns == doctest::Approx(2));
  CHECK(Scenario.Bursts.at(0).Times == doctest::Approx(3));
  CHECK(Scenario.DomainTimes == std::vector<double>{0.7, 1.7});
  CHECK(Scenario.SlowMoments.Share == doctest::Approx(0.15));
  CHECK(Scenario.SlowMoments.Period == std::chrono::milliseconds(600));
  for (const char *Wrong :
       {"name = ", "name = \"n\"\n", "name = \"n\"\nengine = 3\n",
        "name = \"n\"\nengines = -1\n[[kind]]\nname = \"k\"\n",
        "name = \"n\"\n[[kind]]\nname = \"k\"\nspeed = 1\n"}) {
    Write(Wrong);
    CHECK_THROWS_AS(readScenario(Path.string()), settings_error);
  }
  CHECK_THROWS_AS(readScenario("/nowhere.toml"), settings_error);
  std::filesystem::remove(Path);
}

TEST_CASE("a plot has a line for each policy, and odd names do not break it") {
  const std::string Svg =
      plotWindows("a < b & c", {{"one", {{1, 2}, {2, 2}}}, {"two", {{0, 0}}}});
  CHECK(Svg.find("a &lt; b &amp; c") != std::string::npos);
  CHECK(Svg.find("polyline") != Svg.rfind("polyline"));
  CHECK(Svg.ends_with("</svg>\n"));
}
