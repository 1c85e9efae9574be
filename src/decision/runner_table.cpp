#include "decision/runner_table.h"

#include <algorithm>
#include <limits>

namespace lentilhoist {

namespace {

bool serves(const runner_state &Runner, const call_request &Call) {
  if (Call.Kind != call_kind::Model)
    return Runner.Settings.Kind == runner_kind::Service &&
           Runner.Settings.Pool == Call.Service;
  return Runner.Settings.Kind == runner_kind::Engine &&
         (Call.Model.empty() || Runner.Settings.Pool == Call.Model);
}

bool isAvailable(const runner_state &Runner, instant Now) {
  return !Runner.Load.Draining && !Runner.DrainedByOperator &&
         Now.Steady >= Runner.EjectedUntil;
}

/// Requests that the runner is believed to have: its lagging report, corrected
/// by what this instance has sent and finished since.
double estimateLoad(const runner_state &Runner) {
  const double Reported = Runner.Load.Running + Runner.Load.Waiting;
  const double Others =
      std::max(0.0, Reported - static_cast<double>(Runner.InFlightAtReport));
  return Others + Runner.InFlight;
}

bool hasRoom(const runner_state &Runner) {
  return estimateLoad(Runner) < Runner.Settings.Slots;
}

double placementCost(const runner_state &Runner, const start_attempt &Attempt,
                     const runner_table &Table) {
  const bool HoldsPrefix = Runner.Settings.Name == Attempt.PreferredRunner;
  double Cost = HoldsPrefix ? 0.0 : static_cast<double>(Attempt.PromptBound);
  if (Runner.Settings.Domain != Table.Domain)
    Cost += Table.Settings.CrossDomainTokens;
  return Cost + Table.Settings.QueueTokens * estimateLoad(Runner) /
                    std::max(1U, Runner.Settings.Slots);
}

/// Whether the wait for the runner that holds the prefix is still worth it.
bool shouldWaitForPrefix(const queued_attempt &Queued, instant Now,
                         const runner_table &Table) {
  const auto Holder = Table.Runners.find(Queued.Attempt.PreferredRunner);
  return Holder != Table.Runners.end() && isAvailable(Holder->second, Now) &&
         serves(Holder->second, Queued.Attempt.Call) &&
         Now.Steady - Queued.QueuedAt < Table.Settings.AffinityWait;
}

/// \returns the cheapest runner with room, or nullptr.
runner_state *chooseRunner(const queued_attempt &Queued, instant Now,
                           runner_table &Table) {
  runner_state *Best = nullptr;
  double BestCost = std::numeric_limits<double>::max();
  for (auto &[Name, Runner] : Table.Runners) {
    if (!serves(Runner, Queued.Attempt.Call) || !isAvailable(Runner, Now) ||
        !hasRoom(Runner))
      continue;
    const double Cost = placementCost(Runner, Queued.Attempt, Table);
    if (Cost < BestCost) {
      Best = &Runner;
      BestCost = Cost;
    }
  }
  const bool Elsewhere = Best != nullptr &&
                         !Queued.Attempt.PreferredRunner.empty() &&
                         Best->Settings.Name != Queued.Attempt.PreferredRunner;
  if (Elsewhere && shouldWaitForPrefix(Queued, Now, Table))
    return nullptr;
  return Best;
}

/// Least attained service first; waiting raises the priority, so that nothing
/// starves (Luo et al., Autellix, 2025).
double priority(const queued_attempt &Queued, instant Now,
                const dispatch_settings &Settings) {
  const double Waited =
      std::chrono::duration<double>(Now.Steady - Queued.QueuedAt).count();
  return static_cast<double>(Queued.Attempt.AttainedTokens) -
         Settings.AgingTokensPerSecond * Waited;
}

void refuseExpired(instant Now, runner_table &Table,
                   std::vector<refused_attempt> &Refused) {
  const auto IsExpired = [&](const queued_attempt &Queued) {
    const microseconds Waited = Now.Steady - Queued.QueuedAt;
    const bool PastSendBy =
        Queued.Attempt.HasSendBy && Now.Steady >= Queued.Attempt.SendBy.Steady;
    return PastSendBy || Waited >= Queued.Attempt.Timeout ||
           Waited >= Table.Settings.MaxQueueWait;
  };
  const auto FirstExpired = std::stable_partition(
      Table.Queue.begin(), Table.Queue.end(),
      [&](const queued_attempt &Queued) { return !IsExpired(Queued); });
  for (auto Next = FirstExpired; Next != Table.Queue.end(); ++Next)
    Refused.push_back({std::move(Next->Attempt), error_code::Overloaded});
  Table.Queue.erase(FirstExpired, Table.Queue.end());
}

std::size_t countEjected(const std::string &Pool, instant Now,
                         const runner_table &Table, std::size_t &Total) {
  std::size_t Ejected = 0;
  Total = 0;
  for (const auto &[Name, Runner] : Table.Runners) {
    if (Runner.Settings.Pool != Pool)
      continue;
    ++Total;
    if (Now.Steady < Runner.EjectedUntil)
      ++Ejected;
  }
  return Ejected;
}

void ejectIfFailing(runner_state &Runner, instant Now, runner_table &Table) {
  if (Runner.ConsecutiveFailures < Table.Settings.FailuresToEject)
    return;
  std::size_t Total = 0;
  const std::size_t Ejected =
      countEjected(Runner.Settings.Pool, Now, Table, Total);
  const double Share =
      static_cast<double>(Ejected + 1) / static_cast<double>(Total);
  if (Share > Table.Settings.MaxEjectedShare)
    return;
  Runner.EjectedUntil = Now.Steady + Table.Settings.Ejection;
  Runner.ConsecutiveFailures = 0;
}

} // namespace

bool queueAttempt(start_attempt Attempt, instant Now, runner_table &Table) {
  if (Table.Queue.size() >= Table.Settings.MaxQueue)
    return false;
  Table.Queue.push_back({std::move(Attempt), Now.Steady});
  return true;
}

std::vector<placed_attempt>
placeAttempts(instant Now, runner_table &Table,
              std::vector<refused_attempt> &Refused) {
  std::vector<placed_attempt> Placed;
  if (Table.Queue.empty())
    return Placed;
  refuseExpired(Now, Table, Refused);
  std::stable_sort(Table.Queue.begin(), Table.Queue.end(),
                   [&](const auto &Left, const auto &Right) {
                     return priority(Left, Now, Table.Settings) <
                            priority(Right, Now, Table.Settings);
                   });
  std::vector<queued_attempt> Waiting;
  for (queued_attempt &Queued : Table.Queue) {
    runner_state *Runner = chooseRunner(Queued, Now, Table);
    if (Runner == nullptr) {
      Waiting.push_back(std::move(Queued));
      continue;
    }
    ++Runner->InFlight;
    Placed.push_back({std::move(Queued.Attempt), Runner->Settings});
  }
  Table.Queue = std::move(Waiting);
  return Placed;
}

bool removeQueuedAttempt(const std::string &AttemptId, runner_table &Table) {
  return std::erase_if(Table.Queue, [&](const queued_attempt &Queued) {
           return Queued.Attempt.AttemptId == AttemptId;
         }) != 0;
}

void onAttemptEnded(const std::string &Name, const attempt_result &Result,
                    instant Now, runner_table &Table) {
  const auto Found = Table.Runners.find(Name);
  if (Found == Table.Runners.end())
    return;
  runner_state &Runner = Found->second;
  if (Runner.InFlight > 0)
    --Runner.InFlight;
  const bool Failed = Result.Code == error_code::RunnerFailed ||
                      Result.Code == error_code::Timeout ||
                      Result.Code == error_code::OutcomeUnknown;
  if (!Failed) {
    Runner.ConsecutiveFailures = 0;
    return;
  }
  ++Runner.ConsecutiveFailures;
  ejectIfFailing(Runner, Now, Table);
}

void onLoadReport(const std::string &Name, const runner_load &Load,
                  runner_table &Table) {
  const auto Found = Table.Runners.find(Name);
  if (Found == Table.Runners.end())
    return;
  Found->second.Load = Load;
  Found->second.InFlightAtReport = Found->second.InFlight;
}

} // namespace lentilhoist
