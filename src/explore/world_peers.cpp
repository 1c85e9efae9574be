/// The platform and the runners of an exploration.
#include "explore/world.h"

#include "decision/call_flow.h"

#include <algorithm>
#include <fmt/format.h>

namespace lentilhoist {

namespace {

constexpr milliseconds StoreLeast{1};
constexpr milliseconds StoreMost{30};
constexpr milliseconds StoreTimeout{700};
constexpr milliseconds NetworkMost{150};
constexpr milliseconds WorkMost{400};
constexpr milliseconds DeliveryRetry{200};
constexpr int MaxDeliveries = 40;
constexpr const char *EngineName = "engine";

/// Removes the open intent of each program, as if the takeover had not seen it.
void forgetIntents(shard_state &State) {
  for (auto &[Id, Program] : State.Programs) {
    if (!Program.Calls.empty() &&
        Program.Calls.back().Kind == call_kind::ExclusiveService &&
        Program.Calls.back().Progress == call_progress::Intended)
      Program.Calls.pop_back();
  }
}

std::string dropLastCall(const std::string &Bytes) {
  shard_state State = decodeSnapshot(Bytes);
  for (auto &[Id, Program] : State.Programs) {
    if (Program.Calls.empty())
      continue;
    Program.Calls.pop_back();
    break;
  }
  return encodeSnapshot(State);
}

} // namespace

bool world::storeFails() { return Outage || (FaultsOn && Choice.chance(30)); }

void world::performWrite(std::size_t Index, const write_entry &Write) {
  const std::uint64_t Life = Instances[Index].Life;
  const auto Answer = [this, Index, Life](entry_number Number,
                                          write_status Status,
                                          microseconds Delay) {
    Clock.after(Delay, [this, Index, Life, Number, Status] {
      if (Instances[Index].Life != Life)
        return;
      onInstance(Index, [this, Index, Number, Status] {
        action_list Actions;
        onWriteResult(Number, Status, Clock.now(), Instances[Index].Owner,
                      Actions);
        perform(Index, Actions);
      });
    });
  };
  // A slow write may land long after its writer has given up or died.
  const bool Slow = FaultsOn && Choice.chance(40);
  const microseconds Travel =
      Slow ? Choice.between(milliseconds(100), milliseconds(3'000))
           : Choice.between(StoreLeast, StoreMost);
  if (Slow)
    Answer(Write.Number, write_status::Indeterminate, StoreTimeout);
  Clock.after(Travel, [this, Index, Write, Slow, Answer] {
    if (storeFails()) {
      if (!Slow)
        Answer(Write.Number, write_status::Indeterminate, StoreTimeout);
      return;
    }
    const bool Created = createEntry(Write, Store);
    note(fmt::format("{} writes entry {}: {}", Instances[Index].Name,
                     Write.Number, Created ? "created" : "exists"));
    const bool AnswerLost = FaultsOn && Choice.chance(60);
    if (Slow)
      return;
    if (AnswerLost)
      Answer(Write.Number, write_status::Indeterminate, StoreTimeout);
    else
      Answer(Write.Number,
             Created ? write_status::Created : write_status::Exists,
             Choice.between(StoreLeast, StoreMost));
  });
}

entry_read_result world::readFromStore(shard_index Shard, entry_number Number) {
  entry_read_result Result;
  if (storeFails())
    return Result;
  const auto Entry = findEntry(Shard, Number, Store);
  Result.Status = Entry ? read_status::Found : read_status::Absent;
  if (Entry)
    Result.Entry = *Entry;
  return Result;
}

void world::performCheckNextEntry(std::size_t Index,
                                  const check_next_entry &Check) {
  const std::uint64_t Life = Instances[Index].Life;
  Clock.after(Choice.between(StoreLeast, StoreMost), [this, Index, Life,
                                                      Check] {
    entry_read_result Result = readFromStore(Check.Shard, Check.Number);
    const bool Covered = Check.CheckSnapshots &&
                         Settings.Planted != planted_fault::NoHorizonCheck &&
                         latestSnapshot(Check.Shard, Store) >= Check.Number;
    if (Covered && Result.Status == read_status::Absent)
      Result.Status = read_status::Found;
    Clock.after(Choice.between(StoreLeast, StoreMost),
                [this, Index, Life, Check, Result] {
                  if (Instances[Index].Life != Life)
                    return;
                  onInstance(Index, [this, Index, Check, Result] {
                    action_list Actions;
                    onOwnershipChecked(Check.Number, Result, Clock.now(),
                                       Instances[Index].Owner, Actions);
                    perform(Index, Actions);
                  });
                });
  });
}

void world::performRead(std::size_t Index, const read_entry &Read) {
  const std::uint64_t Life = Instances[Index].Life;
  Clock.after(Choice.between(StoreLeast, StoreMost), [this, Index, Life, Read] {
    entry_read_result Result = readFromStore(Read.Shard, Read.Number);
    if (Instances[Index].Life != Life)
      return;
    onInstance(Index, [this, Index, Read, Result]() mutable {
      shard_owner &Owner = Instances[Index].Owner;
      const bool Forge = Settings.Planted == planted_fault::NoNonceCheck &&
                         Result.Status == read_status::Found && Owner.Sealed &&
                         Owner.Sealed->Number == Read.Number;
      if (Forge) {
        Result.Entry.Writer = Owner.Self;
        Result.Entry.Nonce = Owner.Sealed->Nonce;
      }
      action_list Actions;
      onEntryRead(Read.Number, Result, Clock.now(), Owner, Actions);
      perform(Index, Actions);
    });
  });
}

void world::performReadJournal(std::size_t Index) {
  const std::uint64_t Life = Instances[Index].Life;
  Clock.after(Choice.between(StoreLeast, StoreMost), [this, Index, Life] {
    if (Instances[Index].Life != Life)
      return;
    if (storeFails()) {
      onInstance(Index, [this, Index] {
        if (Instances[Index].Owner.Phase == owner_phase::Recovering)
          Instances[Index].Owner.Phase = owner_phase::Idle;
      });
      return;
    }
    entry_number Snapshot = 0;
    shard_state State;
    try {
      State = loadShard(0, Store, Snapshot);
    } catch (const corrupt_entry &Error) {
      breach(std::string("the journal can't be read: ") + Error.what());
      return;
    }
    if (Settings.Planted == planted_fault::RerunIntent)
      forgetIntents(State);
    Clock.after(Choice.between(StoreLeast, StoreMost),
                [this, Index, Life, State, Snapshot] {
                  if (Instances[Index].Life != Life)
                    return;
                  onInstance(Index, [this, Index, State, Snapshot] {
                    action_list Actions;
                    onJournalRead(State, Snapshot, Clock.now(),
                                  Instances[Index].Owner, Actions);
                    perform(Index, Actions);
                  });
                });
  });
}

void world::performReadSnapshotNumber(std::size_t Index) {
  const std::uint64_t Life = Instances[Index].Life;
  Clock.after(Choice.between(StoreLeast, StoreMost), [this, Index, Life] {
    std::optional<entry_number> Number;
    if (!storeFails())
      Number = latestSnapshot(0, Store);
    if (Settings.Planted == planted_fault::NoHorizonCheck)
      Number = 0;
    if (Instances[Index].Life != Life)
      return;
    onInstance(Index, [this, Index, Number] {
      action_list Actions;
      onSnapshotNumberRead(Number, Clock.now(), Instances[Index].Owner,
                           Actions);
      perform(Index, Actions);
    });
  });
}

void world::performSnapshot(std::size_t Index, const write_snapshot &Snapshot) {
  const std::uint64_t Life = Instances[Index].Life;
  Clock.after(Choice.between(StoreLeast, StoreMost),
              [this, Index, Life, Snapshot] {
                if (storeFails())
                  return;
                const std::string Bytes =
                    Settings.Planted == planted_fault::SnapshotDropsTail
                        ? dropLastCall(Snapshot.Bytes)
                        : Snapshot.Bytes;
                Store.Objects.emplace(snapshotKey(0, Snapshot.Number), Bytes);
                note(fmt::format("snapshot at entry {}", Snapshot.Number));
                if (Instances[Index].Life != Life)
                  return;
                onInstance(Index, [this, Index, Snapshot] {
                  onSnapshotWritten(Snapshot.Number, Instances[Index].Owner);
                });
              });
}

void world::performAttempt(std::size_t Index, const start_attempt &Start) {
  const std::uint64_t Life = Instances[Index].Life;
  const bool PausedBeforeSend = FaultsOn && Choice.chance(40);
  if (PausedBeforeSend)
    pauseFor(Index, Choice.between(milliseconds(500), milliseconds(8'000)));
  Clock.after(Choice.between(milliseconds(0), milliseconds(5)),
              [this, Index, Life, Start] {
                if (Instances[Index].Life != Life)
                  return;
                onInstance(Index, [this, Index, Start] {
                  if (Start.Call.Kind == call_kind::Model)
                    runModel(Index, Start);
                  else
                    sendService(Index, Start);
                });
              });
}

void world::finishAttempt(std::size_t Index, const start_attempt &Start,
                          const attempt_result &Result, microseconds Delay) {
  const std::uint64_t Life = Instances[Index].Life;
  Clock.after(Delay, [this, Index, Life, Start, Result] {
    if (Instances[Index].Life != Life)
      return;
    onInstance(Index, [this, Index, Start, Result] {
      action_list Actions;
      onAttemptResult(Start.Call.Program, Start.AttemptId, Result, Clock.now(),
                      Instances[Index].Owner, Actions);
      perform(Index, Actions);
    });
  });
}

void world::runModel(std::size_t Index, const start_attempt &Start) {
  attempt_result Done;
  Done.Runner = EngineName;
  const microseconds Work = Choice.between(milliseconds(5), WorkMost);
  if (FaultsOn && Choice.chance(60)) {
    Done.Code = error_code::RunnerFailed;
    Done.Run = run_state::NotRun;
    finishAttempt(Index, Start, Done, Work);
    return;
  }
  Done.PromptTokens = 1 + Choice.below(Start.PromptBound);
  Done.GeneratedTokens = 1 + Choice.below(Start.MaxTokens);
  Done.UsageKnown = true;
  const program_id Program = Start.Call.Program;
  Runners.SpentTokens[Program] += Done.PromptTokens + Done.GeneratedTokens;
  note(fmt::format("the engine runs call {} of {} for {} after [{}]",
                   Start.Call.Call, formatProgramId(Program),
                   Instances[Index].Name, Start.History));
  const auto Truth = Store.Truth.Programs.find(Program);
  const bool Over = Truth != Store.Truth.Programs.end() && Truth->second.Ended;
  if (!Over)
    Runners.Caches.insert(Program);
  Done.Response = modelAnswer(Start.History, Start.Call.Body);
  if (FaultsOn && Choice.chance(60)) {
    Done.Code = error_code::RunnerFailed;
    Done.Run = run_state::Ran;
    Done.UsageKnown = Choice.chance(500);
  }
  const bool NeverAnswers = FaultsOn && Choice.chance(20);
  if (!NeverAnswers)
    finishAttempt(Index, Start, Done, Work);
}

void world::sendService(std::size_t Index, const start_attempt &Start) {
  const bool Late = Start.HasSendBy &&
                    Clock.now().Steady >= Start.SendBy.Steady &&
                    Settings.Planted != planted_fault::NoSendBy;
  if (Late || (Start.HasSendBy && Clock.now().Steady >= Start.SendBy.Steady))
    note(fmt::format("{} is late with call {} of {}", Instances[Index].Name,
                     Start.Call.Call, formatProgramId(Start.Call.Program)));
  attempt_result NotSent;
  NotSent.Code = error_code::RunnerFailed;
  NotSent.Run = run_state::NotRun;
  if (Late || (FaultsOn && Choice.chance(50))) {
    finishAttempt(Index, Start, NotSent, milliseconds(1));
    return;
  }
  Clock.after(Choice.between(milliseconds(0), NetworkMost),
              [this, Index, Start] { arriveAtService(Index, Start); });
}

void world::arriveAtService(std::size_t Index, const start_attempt &Start) {
  attempt_result Done;
  Done.Runner = "service";
  const bool Lost = FaultsOn && Choice.chance(50);
  if (!Lost) {
    note(fmt::format("the service runs call {} of {} for {}", Start.Call.Call,
                     formatProgramId(Start.Call.Program),
                     Instances[Index].Name));
    if (Start.Call.Kind == call_kind::ExclusiveService)
      Done.Response = runSideEffect(Start, Runners);
    else
      Done.Response = "{\"looked\":\"up\"}";
  }
  const bool AnswerLost = FaultsOn && Choice.chance(80);
  if (!Lost && !AnswerLost) {
    finishAttempt(Index, Start, Done,
                  Choice.between(milliseconds(1), WorkMost));
    return;
  }
  attempt_result Unknown;
  Unknown.Code = error_code::OutcomeUnknown;
  Unknown.Run = run_state::OutcomeUnknown;
  Unknown.Status = httpStatus(Unknown.Code);
  finishAttempt(Index, Start, Unknown,
                std::min<microseconds>(Start.Timeout, seconds(3)));
}

void world::performQuery(std::size_t Index, const query_outcome &Query) {
  const std::uint64_t Life = Instances[Index].Life;
  Clock.after(Choice.between(milliseconds(1), NetworkMost), [this, Index, Life,
                                                             Query] {
    const auto Found = Runners.Outcomes.find(Query.RequestKey);
    const bool Known = ServiceKnowsKeys && Found != Runners.Outcomes.end() &&
                       Instances[Index].Life == Life;
    if (!Known)
      return;
    const outcome_resolved Outcome{Query.Program, Query.Call,    run_state::Ran,
                                   200,           Found->second, "service",
                                   "asked by key"};
    onInstance(Index, [this, Index, Outcome] {
      action_list Actions;
      onOutcomeResolved(Outcome, 0, Clock.now(), Instances[Index].Owner,
                        Actions);
      perform(Index, Actions);
    });
  });
}

void world::performRelease(std::size_t Index, const release_cache &Release) {
  if (FaultsOn && Choice.chance(200))
    return;
  const std::uint64_t Life = Instances[Index].Life;
  Clock.after(Choice.between(milliseconds(1), NetworkMost),
              [this, Index, Life, Release] {
                Runners.Caches.erase(Release.Program);
                if (Instances[Index].Life != Life)
                  return;
                onInstance(Index, [this, Index, Release] {
                  action_list Actions;
                  onCacheReleased(Release.Program, Release.Runner, Clock.now(),
                                  Instances[Index].Owner, Actions);
                  perform(Index, Actions);
                });
              });
}

void world::performDelivery(std::size_t Index, const deliver_result &Deliver,
                            int Tries) {
  const std::uint64_t Life = Instances[Index].Life;
  const std::size_t To = Choice.below(Instances.size());
  const auto OnAnswer = [this, Index, Life, Deliver,
                         Tries](const call_answer &Answer) {
    if (Instances[Index].Life != Life)
      return;
    const bool Again = (Answer.Code == error_code::NotOwner ||
                        Answer.Code == error_code::Timeout) &&
                       Tries < MaxDeliveries;
    if (Again) {
      Clock.after(DeliveryRetry, [this, Index, Life, Deliver, Tries] {
        if (Instances[Index].Life == Life)
          performDelivery(Index, Deliver, Tries + 1);
      });
      return;
    }
    onInstance(Index, [this, Index, Deliver, Answer] {
      action_list Actions;
      const bool Durable = Answer.Code == error_code::None &&
                           Answer.CommittedThrough >= Deliver.Call.Call;
      onResultDelivered(Deliver.Call.Program, Durable, Instances[Index].Owner,
                        Actions);
      perform(Index, Actions);
    });
  };
  sendRequest(To, result_request{Deliver.Call, Deliver.Result}, OnAnswer);
}

void world::sendBeforeIntent(std::size_t Index, const call_request &Request) {
  const auto Active = Instances[Index].Owner.Active.find(Request.Program);
  const bool Preparing = Active != Instances[Index].Owner.Active.end() &&
                         Active->second.Stage == call_stage::Preparing &&
                         Request.Kind == call_kind::ExclusiveService;
  if (!Preparing)
    return;
  start_attempt Early;
  Early.Call = Request;
  Early.RequestKey = Active->second.RequestKey;
  Clock.after(milliseconds(1),
              [this, Early] { (void)runSideEffect(Early, Runners); });
}

} // namespace lentilhoist
