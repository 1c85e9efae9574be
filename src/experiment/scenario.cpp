#include "experiment/scenario.h"

#include "settings/settings_error.h"
#include "settings/table_reader.h"

namespace lentilhoist {

namespace {

constexpr double Most = 1e6; ///< Above any sensible figure.

program_kind readKind(table_reader Table) {
  program_kind Kind;
  Table.requiredText("name", Kind.Name);
  Table.whole("priority", 0, 100, Kind.Priority);
  Table.number("per_second", 0, Most, Kind.PerSecond);
  Table.number("worth", 0, Most, Kind.Worth);
  Table.number("late_worth", 0, Most, Kind.LateWorth);
  Table.number("turns", 1, Most, Kind.Turns);
  Table.number("input_tokens", 1, Most, Kind.InputTokens);
  Table.number("output_tokens", 1, Most, Kind.OutputTokens);
  Table.number("shared_tokens", 0, Most, Kind.SharedTokens);
  Table.number("pause_ms", 0, Most, Kind.PauseMs);
  Table.number("aim_factor", 1, Most, Kind.AimFactor);
  Table.number("aim_slack_ms", 0, Most, Kind.AimSlackMs);
  Table.time("timeout", milliseconds(1), seconds(600), Kind.Timeout);
  Table.finish();
  return Kind;
}

traffic_burst readBurst(table_reader Table) {
  traffic_burst Burst;
  Table.number("at", 0, Most, Burst.At);
  Table.number("for", 0, Most, Burst.For);
  Table.number("times", 0, Most, Burst.Times);
  Table.finish();
  return Burst;
}

} // namespace

scenario readScenario(const std::string &Path) {
  toml::table File;
  try {
    File = toml::parse_file(Path);
  } catch (const toml::parse_error &Error) {
    throw settings_error(Path + ": " + std::string(Error.description()));
  }
  scenario Scenario;
  table_reader Root(File, Path, "");
  Root.requiredText("name", Scenario.Name);
  Root.whole("instances", 1, 10'000, Scenario.Instances);
  Root.whole("engines", 1, 20'000, Scenario.Engines);
  Root.whole("domains", 1, 100, Scenario.Domains);
  Root.number("seconds", 1, Most, Scenario.Seconds);
  Root.number("same_instance", 0, 1, Scenario.SameInstance);
  Root.time("cross_domain", microseconds(0), seconds(1), Scenario.CrossDomain);
  Root.time("way", microseconds(0), seconds(1), Scenario.Way);
  Root.flag("report_slowdown", Scenario.ReportSlowdown);
  Root.flag("learn_speeds", Scenario.LearnSpeeds);
  for (table_reader &Table : Root.tables("domain")) {
    Table.number("times", 0.01, 100, Scenario.DomainTimes.emplace_back(1));
    Table.finish();
  }
  table_reader Slow = Root.table("slow_moments");
  Slow.number("share", 0, 1, Scenario.SlowMoments.Share);
  Slow.number("times", 0.01, 100, Scenario.SlowMoments.Times);
  Slow.time("period", milliseconds(1), seconds(600),
            Scenario.SlowMoments.Period);
  Slow.finish();
  table_reader Engine = Root.table("engine");
  Engine.whole("slots", 1, 10'000, Scenario.Engine.Slots);
  Engine.whole("queue", 0, 100'000, Scenario.Engine.QueueLimit);
  Engine.whole("memory_tokens", 1, 1'000'000'000, Scenario.Engine.MemoryTokens);
  Engine.number("step_ms", 0.01, Most, Scenario.Engine.StepMs);
  Engine.number("prefill_tokens_per_ms", 0.01, Most,
                Scenario.Engine.PrefillTokensPerMs);
  Engine.finish();
  for (table_reader &Table : Root.tables("kind"))
    Scenario.Kinds.push_back(readKind(Table));
  for (table_reader &Table : Root.tables("burst"))
    Scenario.Bursts.push_back(readBurst(Table));
  Root.finish();
  if (Scenario.Kinds.empty())
    throw settings_error(Path + ": a scenario needs at least one [[kind]]");
  return Scenario;
}

} // namespace lentilhoist
