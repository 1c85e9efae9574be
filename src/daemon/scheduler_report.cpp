/// The part of the scheduler that describes its state to operators.
#include "daemon/scheduler.h"

#include <array>

namespace lentilhoist {

void scheduler::publishGauges() {
  std::size_t Owned = 0;
  std::size_t Programs = 0;
  std::size_t Active = 0;
  for (const auto &[Shard, Owner] : Owners) {
    if (Owner.Phase == owner_phase::Owning)
      ++Owned;
    Programs += Owner.State.Programs.size();
    Active += Owner.Active.size();
  }
  Measures.gauge("lentilhoist_shards_owned", static_cast<double>(Owned));
  Measures.gauge("lentilhoist_programs", static_cast<double>(Programs));
  Measures.gauge("lentilhoist_active_calls", static_cast<double>(Active));
  Measures.gauge("lentilhoist_queued_attempts",
                 static_cast<double>(Runners.Queue.size()));
  Measures.gauge("lentilhoist_membership_sent_bytes",
                 static_cast<double>(Members.sentBytes()));
}

namespace {

std::string_view phaseName(owner_phase Phase) {
  constexpr std::array<std::string_view, 6> Names{
      "idle", "recovering", "recovered", "claiming", "owning", "handing_over"};
  return Names[static_cast<std::size_t>(Phase)];
}

} // namespace

nlohmann::json scheduler::describeShards() const {
  nlohmann::json All = nlohmann::json::array();
  for (const auto &[Shard, Owner] : Owners) {
    All.push_back({{"shard", Shard},
                   {"phase", phaseName(Owner.Phase)},
                   {"desired_owner", desiredOwner(Shard)},
                   {"entry", Owner.Committed},
                   {"snapshot", Owner.Snapshot},
                   {"programs", Owner.State.Programs.size()},
                   {"active", Owner.Active.size()},
                   {"uncommitted_bytes", uncommittedBytes(Owner)}});
  }
  return All;
}

nlohmann::json scheduler::describeRunners() const {
  nlohmann::json All = nlohmann::json::array();
  for (const auto &[Name, Runner] : Runners.Runners) {
    All.push_back(
        {{"runner", Name},
         {"pool", Runner.Settings.Pool},
         {"domain", Runner.Settings.Domain},
         {"reachable", Runner.Load.Reachable},
         {"running", Runner.Load.Running},
         {"waiting", Runner.Load.Waiting},
         {"slots", Runner.Settings.Slots},
         {"in_flight_here", Runner.InFlight},
         {"draining", Runner.Load.Draining || Runner.DrainedByOperator}});
  }
  return All;
}

nlohmann::json scheduler::describeUnknown() const {
  nlohmann::json All = nlohmann::json::array();
  for (const auto &[Shard, Owner] : Owners) {
    for (const auto &[Id, Program] : Owner.State.Programs) {
      for (const recorded_call &Call : Program.Calls) {
        if (Call.Run == run_state::OutcomeUnknown &&
            Call.Progress == call_progress::Completed)
          All.push_back({{"program", formatProgramId(Id)},
                         {"call", Call.Call},
                         {"tenant", Program.Tenant},
                         {"service", Call.Service},
                         {"request_key", Call.RequestKey}});
      }
    }
  }
  return All;
}

nlohmann::json scheduler::describePrograms(const std::string &Tenant) const {
  nlohmann::json All = nlohmann::json::array();
  for (const auto &[Shard, Owner] : Owners) {
    for (const auto &[Id, Program] : Owner.State.Programs) {
      if (!Tenant.empty() && Program.Tenant != Tenant)
        continue;
      All.push_back({{"program", formatProgramId(Id)},
                     {"tenant", Program.Tenant},
                     {"class", Program.Class},
                     {"calls", Program.Calls.size()},
                     {"spent_tokens", Program.SpentTokens},
                     {"budget_tokens", Program.Budget.Tokens},
                     {"active", Owner.Active.count(Id) != 0},
                     {"ended", Program.Ended}});
    }
  }
  return All;
}

bool scheduler::setDrained(const std::string &Runner, bool Drained) {
  const auto Found = Runners.Runners.find(Runner);
  if (Found == Runners.Runners.end())
    return false;
  Found->second.DrainedByOperator = Drained;
  return true;
}

} // namespace lentilhoist
