#include "load/load_run.h"

#include <algorithm>
#include <cmath>
#include <fmt/format.h>
#include <fstream>
#include <mutex>
#include <thread>

namespace lentilhoist {

namespace {

using clock = std::chrono::steady_clock;

constexpr std::size_t MaxListedBreaches = 20;

double toMilliseconds(std::chrono::microseconds Time) {
  return std::chrono::duration<double, std::milli>(Time).count();
}

double quantile(std::vector<double> Values, double Share) {
  if (Values.empty())
    return 0;
  std::sort(Values.begin(), Values.end());
  const auto Index =
      std::lround(Share * static_cast<double>(Values.size() - 1));
  return Values[static_cast<std::size_t>(Index)];
}

std::string describeQuantiles(const std::vector<double> &Values) {
  return fmt::format("p50 {:9.2f} p95 {:9.2f} p99 {:9.2f} ms",
                     quantile(Values, 0.5), quantile(Values, 0.95),
                     quantile(Values, 0.99));
}

const load_class &drawClass(const load_settings &Settings,
                            std::mt19937_64 &Random) {
  double Total = 0;
  for (const load_class &Class : Settings.Classes)
    Total += Class.Share;
  double Draw = std::uniform_real_distribution<>(0, Total)(Random);
  for (const load_class &Class : Settings.Classes) {
    if (Draw < Class.Share)
      return Class;
    Draw -= Class.Share;
  }
  return Settings.Classes.back();
}

void writeTrace(const load_settings &Settings, const load_result &Result) {
  if (Settings.TraceFile.empty())
    return;
  std::ofstream File(Settings.TraceFile);
  for (const program_report &Report : Result.Reports) {
    const nlohmann::json Line = {{"program", Report.Program},
                                 {"tenant", Report.Tenant},
                                 {"class", Report.Class},
                                 {"start_us", Report.StartedAt.count()},
                                 {"latency_us", Report.Latency.count()},
                                 {"model_calls", Report.FirstTokens.size()},
                                 {"side_effects", Report.SideEffects.size()},
                                 {"retries", Report.Retries},
                                 {"finished", Report.Finished}};
    File << Line.dump() << '\n';
  }
}

} // namespace

load_result runLoad(const load_settings &Settings) {
  load_result Result;
  load_balancer Balancer(Settings.Platform);
  std::mt19937_64 Random(Settings.Seed);
  std::mutex Mutex;
  std::atomic<int> NextProgram{0};
  std::vector<const load_class *> Classes;
  std::vector<std::uint64_t> Seeds;
  for (int Index = 0; Index < Settings.Programs; ++Index) {
    Classes.push_back(&drawClass(Settings, Random));
    Seeds.push_back(Random());
  }
  const auto Start = clock::now();
  const auto Work = [&](int Worker) {
    std::this_thread::sleep_for(std::chrono::duration<double>(
        Settings.RampSeconds * Worker / std::max(1, Settings.Concurrency)));
    for (int Index = NextProgram++; Index < Settings.Programs;
         Index = NextProgram++) {
      const auto Position = static_cast<std::size_t>(Index);
      program_runner Runner(Settings, *Classes[Position], Balancer,
                            Seeds[Position]);
      const auto StartedAt =
          std::chrono::duration_cast<std::chrono::microseconds>(clock::now() -
                                                                Start);
      program_report Report = Runner.run(std::string());
      Report.StartedAt = StartedAt;
      const std::lock_guard Lock(Mutex);
      Result.Reports.push_back(std::move(Report));
      for (const program_report &Child : Runner.children())
        Result.Reports.push_back(Child);
    }
  };
  std::vector<std::thread> Workers;
  Workers.reserve(static_cast<std::size_t>(Settings.Concurrency));
  for (int Worker = 0; Worker < Settings.Concurrency; ++Worker)
    Workers.emplace_back(Work, Worker);
  for (std::thread &Worker : Workers)
    Worker.join();
  Result.Seconds = std::chrono::duration<double>(clock::now() - Start).count();
  Result.Records = checkPromises(Settings, Result.Reports);
  writeTrace(Settings, Result);
  return Result;
}

std::size_t countBreaches(const load_result &Result) {
  std::size_t Count = Result.Records.Breaches.size();
  for (const program_report &Report : Result.Reports)
    Count +=
        Report.Breaches.size() + static_cast<std::size_t>(Report.CutStreams);
  return Count;
}

namespace {

/// Figures of all programs of one tenant and class.
struct class_figures {
  std::vector<double> Programs;
  std::vector<double> FirstTokens;
};

std::string listBreaches(const load_result &Result) {
  std::vector<std::string> All = Result.Records.Breaches;
  for (const program_report &Report : Result.Reports) {
    for (const std::string &Breach : Report.Breaches)
      All.push_back(Report.Program + ": " + Breach);
    if (Report.CutStreams > 0)
      All.push_back(fmt::format("{}: {} streams were cut", Report.Program,
                                Report.CutStreams));
  }
  std::string Text;
  for (std::size_t Index = 0; Index < std::min(All.size(), MaxListedBreaches);
       ++Index)
    Text += "  breach: " + All[Index] + "\n";
  return Text;
}

} // namespace

std::string describeLoad(const load_result &Result) {
  std::map<std::string, class_figures> Figures;
  std::map<std::string, int> Refusals;
  std::size_t Finished = 0;
  int Retries = 0;
  int Uncommitted = 0;
  std::size_t Unknown = 0;
  for (const program_report &Report : Result.Reports) {
    class_figures &Group = Figures[Report.Tenant + "/" + Report.Class];
    if (Report.Finished) {
      ++Finished;
      Group.Programs.push_back(toMilliseconds(Report.Latency));
    }
    for (const auto First : Report.FirstTokens)
      Group.FirstTokens.push_back(toMilliseconds(First));
    for (const auto &[Code, Count] : Report.Refusals)
      Refusals[Code] += Count;
    for (const side_effect &Effect : Report.SideEffects)
      Unknown += Effect.Outcome == load_outcome::Unknown ? 1U : 0U;
    Retries += Report.Retries;
    Uncommitted += Report.Uncommitted;
  }
  std::string Text =
      fmt::format("programs {} finished {} in {:.2f} s, retries {}, not yet "
                  "durable {}, side effects {} of which unknown {}\n",
                  Result.Reports.size(), Finished, Result.Seconds, Retries,
                  Uncommitted, Result.Records.Executions, Unknown);
  for (const auto &[Name, Group] : Figures) {
    Text += fmt::format("  {:<28} program     {}\n", Name,
                        describeQuantiles(Group.Programs));
    Text += fmt::format("  {:<28} first token {}\n", Name,
                        describeQuantiles(Group.FirstTokens));
  }
  for (const auto &[Code, Count] : Refusals)
    Text +=
        fmt::format("  refused {:<20} {}\n", Code.empty() ? "-" : Code, Count);
  Text +=
      fmt::format("  prompt tokens {} computed {}; caches held after the "
                  "end {}\n",
                  Result.Records.PromptTokens, Result.Records.ComputedTokens,
                  Result.Records.HeldSessions);
  Text += listBreaches(Result);
  Text += fmt::format("  breaches {}\n", countBreaches(Result));
  return Text;
}

} // namespace lentilhoist
