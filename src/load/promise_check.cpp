#include "load/promise_check.h"

#include "load/tool_call.h"

#include <fmt/format.h>
#include <map>
#include <set>
#include <thread>

namespace lentilhoist {

namespace {

constexpr http_timeouts RecordTimeouts{std::chrono::milliseconds(1'000),
                                       std::chrono::milliseconds(5'000),
                                       std::chrono::milliseconds(1'000)};
constexpr int CacheChecks = 30;
constexpr std::chrono::milliseconds CacheCheckInterval{500};

nlohmann::json readRecord(const endpoint &Runner, record_summary &Summary) {
  const auto Answer = getPage(Runner, "/admin/record", RecordTimeouts);
  if (!Answer) {
    Summary.Breaches.push_back(
        fmt::format("the record of port {} can't be read", Runner.Port));
    return nlohmann::json::object();
  }
  return nlohmann::json::parse(*Answer);
}

void checkSideEffects(const load_settings &Settings,
                      const std::vector<program_report> &Reports,
                      record_summary &Summary) {
  std::map<std::string, int> Runs;
  for (const endpoint &Service : Settings.Services) {
    for (const auto &Done : readRecord(Service, Summary)) {
      ++Runs[Done["body"].get<std::string>()];
      ++Summary.Executions;
    }
  }
  for (const auto &[Body, Count] : Runs) {
    if (Count > 1)
      Summary.Breaches.push_back(fmt::format("{} ran {} times", Body, Count));
  }
  for (const program_report &Report : Reports) {
    for (const side_effect &Effect : Report.SideEffects) {
      const int Count = Runs.count(Effect.Body) != 0 ? Runs[Effect.Body] : 0;
      if (Effect.Outcome == load_outcome::Answered && Count != 1)
        Summary.Breaches.push_back(fmt::format(
            "{} was answered but ran {} times", Effect.Body, Count));
      if (Effect.Outcome == load_outcome::NotRun && Count != 0)
        Summary.Breaches.push_back(
            fmt::format("{} was refused as not run but ran", Effect.Body));
    }
  }
}

void checkEngines(const load_settings &Settings,
                  const std::vector<program_report> &Reports,
                  record_summary &Summary) {
  std::map<std::string, std::uint64_t> Spent;
  for (const endpoint &Engine : Settings.Engines) {
    const auto Record = readRecord(Engine, Summary);
    Summary.PromptTokens += Record["counters"].value("prompt_tokens", 0ULL);
    Summary.ComputedTokens +=
        Record["counters"].value("computed_prompt_tokens", 0ULL);
    for (const auto &[Session, Tokens] : Record["spent"].items())
      Spent[Session] += Tokens.get<std::uint64_t>();
  }
  for (const program_report &Report : Reports) {
    if (Spent[Report.Program] > Report.TokenBudget)
      Summary.Breaches.push_back(
          fmt::format("{} spent {} of {} tokens", Report.Program,
                      Spent[Report.Program], Report.TokenBudget));
  }
}

std::size_t countHeldSessions(const load_settings &Settings,
                              const std::set<std::string> &Ended,
                              record_summary &Summary) {
  std::size_t Held = 0;
  for (const endpoint &Engine : Settings.Engines) {
    const auto Record = readRecord(Engine, Summary);
    for (const auto &Session : Record["cache_sessions"]) {
      if (Ended.count(Session.get<std::string>()) != 0)
        ++Held;
    }
  }
  return Held;
}

/// Releases take a moment, so the check waits for them.
void checkCaches(const load_settings &Settings,
                 const std::vector<program_report> &Reports,
                 record_summary &Summary) {
  std::set<std::string> Ended;
  for (const program_report &Report : Reports) {
    if (Report.Finished)
      Ended.insert(Report.Program);
  }
  for (int Check = 0; Check < CacheChecks; ++Check) {
    Summary.HeldSessions = countHeldSessions(Settings, Ended, Summary);
    if (Summary.HeldSessions == 0)
      return;
    std::this_thread::sleep_for(CacheCheckInterval);
  }
  Summary.Breaches.push_back(fmt::format("{} caches are held by ended programs",
                                         Summary.HeldSessions));
}

} // namespace

record_summary checkPromises(const load_settings &Settings,
                             const std::vector<program_report> &Reports) {
  record_summary Summary;
  checkSideEffects(Settings, Reports, Summary);
  checkEngines(Settings, Reports, Summary);
  checkCaches(Settings, Reports, Summary);
  return Summary;
}

} // namespace lentilhoist
