/// The part of the scheduler that performs what the decisions ask for.
#include "daemon/scheduler.h"
#include "decision/call_flow.h"
#include "log/log.h"
#include "runner/service_client.h"

#include <fmt/format.h>

namespace lentilhoist {

namespace {

constexpr milliseconds SubmitRetry{1};
constexpr milliseconds DeliveryWait{15'000};

} // namespace

void scheduler::perform(action_list &Actions, instant Now) {
  for (action &Action : Actions)
    performOne(Action, Now);
}

void scheduler::submitPlatformJob(const std::function<void()> &Job) {
  while (!PlatformWorkers->submit(Job) && !Stopping)
    std::this_thread::sleep_for(SubmitRetry);
}

void scheduler::performOne(action &Action, instant Now) {
  if (auto *Write = std::get_if<write_entry>(&Action)) {
    submitPlatformJob([this, Entry = std::move(*Write)] {
      const auto Start = readClock().Steady;
      const write_status Status = writeEntry(Entry, Store);
      Measures.observe("lentilhoist_commit_seconds", "all", "all",
                       readClock().Steady - Start);
      post(write_finished{Entry.Shard, Entry.Number, Status});
    });
  } else if (const auto *Read = std::get_if<read_entry>(&Action)) {
    submitPlatformJob([this, Entry = *Read] {
      post(entry_loaded{Entry.Shard, Entry.Number,
                        readEntry(Entry.Shard, Entry.Number, Store)});
    });
  } else if (const auto *Check = std::get_if<check_next_entry>(&Action)) {
    submitPlatformJob([this, Entry = *Check] {
      post(next_entry_checked{Entry.Shard, Entry.Number,
                              checkNextEntry(Entry, Store)});
    });
  } else if (const auto *Journal = std::get_if<read_journal>(&Action)) {
    submitPlatformJob([this, Shard = Journal->Shard] {
      try {
        post(journal_loaded{Shard, readShard(Shard, Store)});
      } catch (const std::runtime_error &Error) {
        logEvent(log_level::Warning, "journal_unreadable",
                 {{"shard", std::to_string(Shard)}, {"reason", Error.what()}});
        post(journal_loaded{Shard, std::nullopt});
      }
    });
  } else if (const auto *LatestSnapshot =
                 std::get_if<read_snapshot_number>(&Action)) {
    submitPlatformJob([this, Shard = LatestSnapshot->Shard] {
      post(snapshot_number_loaded{Shard, readSnapshotNumber(Shard, Store)});
    });
  } else if (auto *Snapshot = std::get_if<write_snapshot>(&Action)) {
    submitPlatformJob([this, Bytes = std::move(*Snapshot)] {
      if (writeSnapshot(Bytes, Store))
        post(snapshot_stored{Bytes.Shard, Bytes.Number});
    });
  } else if (const auto *Delete = std::get_if<delete_object>(&Action)) {
    submitPlatformJob(
        [this, Object = *Delete] { deleteJournalObject(Object, Store); });
  } else if (auto *Start = std::get_if<start_attempt>(&Action)) {
    startQueued(*Start, Now);
  } else if (const auto *Cancel = std::get_if<cancel_attempt>(&Action)) {
    cancel(*Cancel, Now);
  } else if (const auto *Query = std::get_if<query_outcome>(&Action)) {
    query(*Query);
  } else if (const auto *Answer = std::get_if<answer_caller>(&Action)) {
    answerCaller(*Answer);
  } else if (const auto *Deliver = std::get_if<deliver_result>(&Action)) {
    deliver(*Deliver);
  } else if (const auto *Release = std::get_if<release_cache>(&Action)) {
    release(*Release);
  } else if (const auto *Phase = std::get_if<report_phase>(&Action)) {
    onPhase(Phase->Shard, Now);
  }
}

void scheduler::answerCaller(const answer_caller &Answer) {
  const auto Found = Callers.find(Answer.Ticket);
  if (Found == Callers.end())
    return;
  const waiting_caller Caller = std::move(Found->second);
  Callers.erase(Found);
  if (Caller.Streams)
    Hub.detach(Caller.Program, Answer.Ticket);
  Caller.Sink->finish(Answer.Answer);
  if (Caller.Streams)
    Measures.observe("lentilhoist_call_seconds", Caller.Tenant, Caller.Class,
                     readClock().Steady - Caller.Since);
  Measures.count(fmt::format("lentilhoist_answers_total{{code=\"{}\"}}",
                             errorCodeName(Answer.Answer.Code)));
}

void scheduler::startQueued(start_attempt &Start, instant Now) {
  if (Start.Call.Kind == call_kind::Model)
    Hub.beginAttempt(Start.Call.Program, Start.AttemptId);
  if (!queueAttempt(Start, Now, Runners))
    refuseAttempt(Start, error_code::Overloaded, Now);
}

void scheduler::refuseAttempt(const start_attempt &Attempt, error_code Code,
                              instant Now) {
  attempt_result Result;
  Result.Code = Code;
  Result.Run = run_state::NotRun;
  Result.Status = httpStatus(Code);
  Result.Response = "no runner took the call in time";
  action_list Actions;
  onAttemptResult(Attempt.Call.Program, Attempt.AttemptId, Result, Now,
                  Owners.at(Attempt.Call.Program.Shard), Actions);
  perform(Actions, Now);
}

void scheduler::placeQueued(instant Now) {
  std::vector<refused_attempt> Refused;
  for (const placed_attempt &Placed : placeAttempts(Now, Runners, Refused))
    runAttempt(Placed);
  for (const refused_attempt &Late : Refused)
    refuseAttempt(Late.Attempt, Late.Code, Now);
}

void scheduler::runAttempt(const placed_attempt &Placed) {
  AttemptRunner[Placed.Attempt.AttemptId] = Placed.Runner.Name;
  const bool Accepted =
      AttemptWorkers->submit([this, Placed] { performAttempt(Placed); });
  if (Accepted)
    return;
  attempt_result Result;
  Result.Code = error_code::Overloaded;
  Result.Run = run_state::NotRun;
  Result.Status = httpStatus(Result.Code);
  Result.Runner = Placed.Runner.Name;
  post(attempt_finished{Placed.Attempt.Call.Program, Placed.Attempt.AttemptId,
                        Result});
}

void scheduler::performAttempt(const placed_attempt &Placed) {
  const start_attempt &Attempt = Placed.Attempt;
  const program_id Program = Attempt.Call.Program;
  attempt_result Result;
  if (Attempt.Call.Kind == call_kind::Model) {
    Result = runModelAttempt(
        Placed, Settings.Engine, [&] { return isCancelled(Attempt.AttemptId); },
        [&](std::string_view Text) {
          Hub.addText(Program, Attempt.AttemptId, Text);
        });
  } else {
    Result = runServiceAttempt(Placed);
  }
  logEvent(log_level::Debug, "attempt_finished",
           {{"program", formatProgramId(Program)},
            {"call", std::to_string(Attempt.Call.Call)},
            {"attempt", Attempt.AttemptId},
            {"runner", Placed.Runner.Name},
            {"code", std::string(errorCodeName(Result.Code))}});
  post(attempt_finished{Program, Attempt.AttemptId, Result});
}

bool scheduler::isCancelled(const std::string &AttemptId) {
  const std::lock_guard Lock(CancelMutex);
  return Cancelled.count(AttemptId) != 0;
}

void scheduler::forgetAttempt(const std::string &AttemptId) {
  AttemptRunner.erase(AttemptId);
  const std::lock_guard Lock(CancelMutex);
  Cancelled.erase(AttemptId);
}

void scheduler::cancel(const cancel_attempt &Cancel, instant) {
  if (removeQueuedAttempt(Cancel.AttemptId, Runners))
    return;
  const auto Running = AttemptRunner.find(Cancel.AttemptId);
  if (Running == AttemptRunner.end())
    return;
  {
    const std::lock_guard Lock(CancelMutex);
    Cancelled.insert(Cancel.AttemptId);
  }
  const runner_settings Runner = Runners.Runners[Running->second].Settings;
  if (Runner.Kind != runner_kind::Engine)
    return;
  ChoreWorkers->submit([Runner, Cancel] {
    const endpoint Engine{Runner.Address, Runner.Port};
    cancelStream(Engine, Cancel.AttemptId);
    releaseSession(Engine, formatProgramId(Cancel.Program));
  });
}

void scheduler::deliver(const deliver_result &Deliver) {
  ChoreWorkers->submit([this, Deliver] {
    const call_answer Answer =
        Route(result_request{Deliver.Call, Deliver.Result}, DeliveryWait);
    post(result_delivered{Deliver.Call.Program,
                          Answer.Code == error_code::None &&
                              Answer.CommittedThrough >= Deliver.Call.Call});
  });
}

void scheduler::release(const release_cache &Release) {
  const auto Found = Runners.Runners.find(Release.Runner);
  if (Found == Runners.Runners.end()) {
    post(cache_dropped{Release.Program, Release.Runner});
    return;
  }
  const endpoint Engine{Found->second.Settings.Address,
                        Found->second.Settings.Port};
  ChoreWorkers->submit([this, Release, Engine] {
    if (releaseSession(Engine, formatProgramId(Release.Program)))
      post(cache_dropped{Release.Program, Release.Runner});
  });
}

void scheduler::query(const query_outcome &Query) {
  std::vector<endpoint> Services;
  for (const auto &[Name, Runner] : Runners.Runners) {
    if (Runner.Settings.Pool == Query.Service &&
        Runner.Settings.SupportsOutcomeQueries)
      Services.push_back({Runner.Settings.Address, Runner.Settings.Port});
  }
  ChoreWorkers->submit([this, Query, Services] {
    for (const endpoint &Service : Services) {
      const auto Response = queryOutcome(Service, Query.RequestKey);
      if (!Response)
        continue;
      post(outcome_found{{Query.Program, Query.Call, run_state::Ran, 200,
                          *Response, "service", "asked by key"}});
      return;
    }
  });
}

} // namespace lentilhoist
