#include "decision/call_flow.h"
#include "decision/call_steps.h"

#include <algorithm>
#include <cassert>

namespace lentilhoist {

namespace {

std::uint64_t drawnTokens(const active_call &Call) {
  return Call.PromptBound + Call.MaxTokens;
}

program_state *findProgram(const program_id &Program, shard_owner &Owner) {
  const auto Found = Owner.State.Programs.find(Program);
  return Found == Owner.State.Programs.end() ? nullptr : &Found->second;
}

call_answer answerFromResult(const attempt_result &Result,
                             std::uint32_t DurableCall) {
  call_answer Answer;
  Answer.Code = Result.Code;
  Answer.Run = Result.Run;
  Answer.Status = Result.Status;
  Answer.Body = Result.Response;
  Answer.PromptTokens = Result.PromptTokens;
  Answer.GeneratedTokens = Result.GeneratedTokens;
  Answer.CommittedThrough = DurableCall;
  return Answer;
}

/// Limits the token counts reported by a runner to what the program's budget
/// leaves.
void clampUsage(const program_state &Program, attempt_result &Result) {
  const std::uint64_t Available = freeTokens(Program) + Program.ReservedTokens;
  Result.PromptTokens = std::min(Result.PromptTokens, Available);
  Result.GeneratedTokens =
      std::min(Result.GeneratedTokens, Available - Result.PromptTokens);
}

/// Records the tokens of a failed attempt as lost: as reported by the runner,
/// otherwise all that were drawn.
void recordLostTokens(const attempt_result &Result,
                      const program_state &Program, active_call &Call,
                      shard_owner &Owner) {
  const std::uint64_t Available = freeTokens(Program) + Program.ReservedTokens;
  const std::uint64_t Reported = Result.PromptTokens + Result.GeneratedTokens;
  const std::uint64_t Lost =
      std::min(Result.UsageKnown ? Reported : drawnTokens(Call), Available);
  const std::uint64_t Reserve = tokensToReserveAhead(
      Program, Lost, promptBound(Program, 0), Owner.Settings);
  Call.AwaitedEntry =
      appendReservation({Program.Program, Reserve, Lost}, Owner);
}

bool mayRetry(const active_call &Call, instant Now, const shard_owner &Owner) {
  return Call.Attempts < Owner.Settings.MaxAttempts &&
         Now.Steady < Call.Deadline;
}

void applyFailedModelResult(const attempt_result &Result, instant Now,
                            const program_state &Program, active_call &Call,
                            shard_owner &Owner, action_list &Actions) {
  call_answer Failure = answerFromResult(Result, durableCall(Program, Owner));
  if (Result.Run == run_state::NotRun) {
    returnTokens(drawnTokens(Call), Owner.Grants[Program.Program]);
  } else {
    Failure.Run = run_state::Ran;
    recordLostTokens(Result, Program, Call, Owner);
  }
  if (!mayRetry(Call, Now, Owner)) {
    finishCall(Program.Program, Failure, Now, Owner, Actions);
    sealBatch(Now, Owner, Actions);
    return;
  }
  Call.Stage = call_stage::Preparing;
  Call.CommitDeadline = Now.Steady + Owner.Settings.CommitTimeout;
  sealBatch(Now, Owner, Actions);
  if (Result.Run == run_state::NotRun)
    resumePreparingCall(Program.Program, Call, Now, Owner, Actions);
}

void applyExclusiveResult(const attempt_result &Result, instant Now,
                          const program_state &Program, active_call &Call,
                          shard_owner &Owner, action_list &Actions) {
  const bool IntentOpen =
      hasOpenIntent(Program) && Program.Calls.back().Call == Call.Request.Call;
  if (!IntentOpen) {
    if (Result.Run == run_state::Ran)
      onOutcomeResolved({Program.Program, Call.Request.Call, Result.Run,
                         Result.Status, Result.Response, Owner.Self, "late"},
                        0, Now, Owner, Actions);
    finishCall(Program.Program, answerFromResult(Result, 0), Now, Owner,
               Actions);
    return;
  }
  if (Result.Run == run_state::NotRun) {
    withdrawCall(answerFromResult(Result, 0), Now, Call, Owner, Actions);
    return;
  }
  const query_outcome Query{Program.Program, Call.Request.Call,
                            Call.Request.Service, Call.RequestKey};
  completeCall(Result, Now, Call, Owner, Actions);
  if (Result.Run == run_state::OutcomeUnknown)
    Actions.push_back(Query);
}

void applyFailedIdempotentResult(const attempt_result &Result, instant Now,
                                 const program_state &Program,
                                 active_call &Call, shard_owner &Owner,
                                 action_list &Actions) {
  if (mayRetry(Call, Now, Owner)) {
    startAttempt(Program, Call, Now, Owner, Actions);
    return;
  }
  finishCall(Program.Program,
             answerFromResult(Result, durableCall(Program, Owner)), Now, Owner,
             Actions);
}

/// Ends a call whose result the former owner did not deliver in time. A call
/// with an open intent is completed with an unknown outcome.
void expireRemoteCall(const program_id &Id, active_call &Call, instant Now,
                      shard_owner &Owner, action_list &Actions) {
  const program_state *Program = findProgram(Id, Owner);
  assert(Program != nullptr);
  attempt_result Lost;
  Lost.Code = error_code::RunnerFailed;
  Lost.Status = httpStatus(Lost.Code);
  Lost.Response = "the former owner did not deliver the result";
  if (hasOpenIntent(*Program)) {
    if (!Program->Calls.back().Loaded) {
      loadEntry(Program->Calls.back().Entry, Owner, Actions);
      return;
    }
    Lost.Code = error_code::OutcomeUnknown;
    Lost.Run = run_state::OutcomeUnknown;
    Call.Request.Kind = call_kind::ExclusiveService;
    Call.BodyHash = Program->Calls.back().BodyHash;
    Call.Request.Body = Program->Calls.back().Request;
    completeCall(Lost, Now, Call, Owner, Actions);
    return;
  }
  appendReservation({Id, 0, Program->ReservedTokens}, Owner);
  finishCall(Id, answerFromResult(Lost, durableCall(*Program, Owner)), Now,
             Owner, Actions);
  sealBatch(Now, Owner, Actions);
}

/// Makes the reservations up to an entry available to draw from.
void activateReservations(const program_id &Program, entry_number Number,
                          shard_owner &Owner) {
  token_grant &Grant = Owner.Grants[Program];
  while (!Grant.Pending.empty() && Grant.Pending.front().first <= Number) {
    Grant.Remaining = Grant.Pending.front().second;
    Grant.Pending.erase(Grant.Pending.begin());
  }
}

void activateBatchReservations(const journal_batch &Batch, entry_number Number,
                               shard_owner &Owner) {
  for (const journal_record &Record : Batch.Records) {
    if (const auto *Created = std::get_if<program_created>(&Record))
      activateReservations(Created->Program, Number, Owner);
    else if (const auto *Reserved = std::get_if<tokens_reserved>(&Record))
      activateReservations(Reserved->Program, Number, Owner);
    else if (const auto *Done = std::get_if<call_completed>(&Record))
      activateReservations(Done->Program, Number, Owner);
  }
}

} // namespace

std::vector<program_id> activePrograms(const shard_owner &Owner) {
  std::vector<program_id> Programs;
  Programs.reserve(Owner.Active.size());
  for (const auto &[Program, Call] : Owner.Active)
    Programs.push_back(Program);
  return Programs;
}

void resumePreparingCall(const program_id &Id, active_call &Call, instant Now,
                         shard_owner &Owner, action_list &Actions) {
  const program_state *Program = findProgram(Id, Owner);
  if (Call.Request.Kind == call_kind::Model) {
    if (!prepareModelCall(*Program, Call, Now, Owner, Actions)) {
      call_answer Refusal =
          makeErrorAnswer(error_code::BudgetExhausted,
                          "the program's token budget is exhausted");
      if (Call.Attempts > 0)
        Refusal.Run = run_state::Ran;
      finishCall(Id, Refusal, Now, Owner, Actions);
    }
    return;
  }
  const bool InSendWindow =
      Now.Steady < Call.IntentAt.Steady + Owner.Settings.SendWindow;
  if (InSendWindow) {
    startAttempt(*Program, Call, Now, Owner, Actions);
    return;
  }
  withdrawCall(makeErrorAnswer(
                   error_code::StoreUnavailable,
                   "the store did not record the call within the send window"),
               Now, Call, Owner, Actions);
}

namespace {

void answerTickets(const call_answer &Answer, active_call &Call,
                   action_list &Actions) {
  for (const call_ticket Ticket : Call.Tickets)
    answer(Ticket, Answer, Actions);
  Call.Tickets.clear();
}

call_answer makeOwnershipLostAnswer(run_state Run, const shard_owner &Owner) {
  call_answer Answer = makeNotOwnerAnswer(Owner);
  Answer.Run = Run;
  return Answer;
}

/// Ends, continues or delivers one call of a shard that this instance no longer
/// owns.
/// \returns whether the call remains active at this instance.
bool releaseCall(bool HandedOver, active_call &Call, shard_owner &Owner,
                 action_list &Actions) {
  const bool Exclusive = Call.Request.Kind == call_kind::ExclusiveService;
  const bool Withdrawn = Call.Stage == call_stage::Committing &&
                         Call.Result.Run == run_state::NotRun;
  switch (Call.Stage) {
  case call_stage::Running:
    if (HandedOver || Exclusive)
      return true;
    Actions.push_back(cancel_attempt{Call.Request.Program, Call.AttemptId});
    answerTickets(makeOwnershipLostAnswer(run_state::Ran, Owner), Call,
                  Actions);
    return false;
  case call_stage::Committing:
    if (!Exclusive || Withdrawn) {
      answerTickets(makeOwnershipLostAnswer(Call.Result.Run, Owner), Call,
                    Actions);
      return false;
    }
    Call.Stage = call_stage::Delivering;
    [[fallthrough]];
  case call_stage::Delivering:
    Actions.push_back(
        deliver_result{Call.Request, Owner.Successor, Call.Result});
    return true;
  case call_stage::Preparing:
    answerTickets(makeOwnershipLostAnswer(Call.Attempts == 0 ? run_state::NotRun
                                                             : run_state::Ran,
                                          Owner),
                  Call, Actions);
    return false;
  case call_stage::AtFormerOwner:
    answerTickets(makeOwnershipLostAnswer(run_state::OutcomeUnknown, Owner),
                  Call, Actions);
    return false;
  }
  return false;
}

void expireCall(const program_id &Id, active_call &Call, instant Now,
                shard_owner &Owner, action_list &Actions) {
  const call_answer Unavailable = makeErrorAnswer(
      error_code::StoreUnavailable, "the store did not respond in time");
  switch (Call.Stage) {
  case call_stage::Committing:
    if (Now.Steady >= Call.CommitDeadline && !Call.Tickets.empty())
      answerTickets(
          answerFromResult(Call.Result,
                           durableCall(*findProgram(Id, Owner), Owner)),
          Call, Actions);
    return;
  case call_stage::Preparing:
    if (Now.Steady < Call.Deadline && Now.Steady < Call.CommitDeadline)
      return;
    if (Call.Request.Kind == call_kind::ExclusiveService) {
      withdrawCall(Unavailable, Now, Call, Owner, Actions);
      answerTickets(Unavailable, Call, Actions);
    } else {
      call_answer Refusal = Unavailable;
      if (Call.Attempts > 0)
        Refusal.Run = run_state::Ran;
      finishCall(Id, Refusal, Now, Owner, Actions);
    }
    return;
  case call_stage::Running:
    if (Now.Steady >= Call.Deadline + Owner.Settings.AttemptGracePeriod) {
      attempt_result TimedOut;
      TimedOut.Code = error_code::Timeout;
      TimedOut.Status = httpStatus(TimedOut.Code);
      TimedOut.Run = run_state::OutcomeUnknown;
      TimedOut.Response = "the runner did not answer in time";
      Actions.push_back(cancel_attempt{Id, Call.AttemptId});
      applyAttemptResult(TimedOut, Now, Call, Owner, Actions);
    }
    return;
  case call_stage::AtFormerOwner:
    if (Now.Steady >= Call.Deadline)
      expireRemoteCall(Id, Call, Now, Owner, Actions);
    return;
  case call_stage::Delivering:
    return;
  }
}

} // namespace

void completeCall(const attempt_result &Result, instant Now, active_call &Call,
                  shard_owner &Owner, action_list &Actions) {
  const program_state &Program = *findProgram(Call.Request.Program, Owner);
  Call.Result = Result;
  clampUsage(Program, Call.Result);
  const std::uint64_t Used =
      Call.Result.PromptTokens + Call.Result.GeneratedTokens;
  call_completed Record;
  Record.Program = Program.Program;
  Record.Call = Call.Request.Call;
  Record.BodyHash = Call.BodyHash;
  Record.Kind = Call.Request.Kind;
  Record.Run = Result.Run;
  Record.Status = Result.Status;
  Record.Request = Call.Request.Body;
  Record.Response = Result.Response;
  Record.PromptTokens = Call.Result.PromptTokens;
  Record.GeneratedTokens = Call.Result.GeneratedTokens;
  Record.Runner = Result.Runner;
  Record.ReservedTokens = Program.ReservedTokens;
  if (Record.Kind == call_kind::Model)
    Record.ReservedTokens =
        tokensToReserveAhead(Program, Used, Used, Owner.Settings);
  Call.Stage = call_stage::Committing;
  Call.CommitDeadline = Now.Steady + Owner.Settings.CommitTimeout;
  Call.AwaitedEntry = appendRecord(Record, Owner);
  Owner.Grants[Record.Program].Pending.emplace_back(Call.AwaitedEntry,
                                                    Record.ReservedTokens);
  sealBatch(Now, Owner, Actions);
}

void applyAttemptResult(const attempt_result &Result, instant Now,
                        active_call &Call, shard_owner &Owner,
                        action_list &Actions) {
  const program_state *Program = findProgram(Call.Request.Program, Owner);
  if (Program == nullptr) {
    finishCall(Call.Request.Program, answerFromResult(Result, 0), Now, Owner,
               Actions);
    return;
  }
  const bool Succeeded = Result.Code == error_code::None;
  if (Call.Request.Kind == call_kind::ExclusiveService)
    applyExclusiveResult(Result, Now, *Program, Call, Owner, Actions);
  else if (Succeeded)
    completeCall(Result, Now, Call, Owner, Actions);
  else if (Call.Request.Kind == call_kind::Model)
    applyFailedModelResult(Result, Now, *Program, Call, Owner, Actions);
  else
    applyFailedIdempotentResult(Result, Now, *Program, Call, Owner, Actions);
}

namespace {

/// Resolves an unknown outcome with the late result of an orphaned call, or
/// sends the result to the shard's owner.
void applyOrphanedResult(const call_request &Call, const attempt_result &Result,
                         instant Now, shard_owner &Owner,
                         action_list &Actions) {
  if (Result.Run != run_state::Ran)
    return;
  if (Owner.Phase == owner_phase::Owning)
    onOutcomeResolved({Call.Program, Call.Call, Result.Run, Result.Status,
                       Result.Response, Owner.Self, "late answer"},
                      0, Now, Owner, Actions);
  else
    Actions.push_back(deliver_result{Call, Owner.Successor, Result});
}

} // namespace

void onAttemptResult(const program_id &Program, const std::string &AttemptId,
                     const attempt_result &Result, instant Now,
                     shard_owner &Owner, action_list &Actions) {
  const auto Orphaned = Owner.OrphanedCalls.find(AttemptId);
  if (Orphaned != Owner.OrphanedCalls.end()) {
    const active_call Call = std::move(Orphaned->second);
    Owner.OrphanedCalls.erase(Orphaned);
    applyOrphanedResult(Call.Request, Result, Now, Owner, Actions);
    return;
  }
  const auto Found = Owner.Active.find(Program);
  if (Found == Owner.Active.end() || Found->second.AttemptId != AttemptId ||
      Found->second.Stage != call_stage::Running)
    return;
  active_call &Call = Found->second;
  if (Owner.Phase == owner_phase::Owning) {
    applyAttemptResult(Result, Now, Call, Owner, Actions);
    return;
  }
  Call.Stage = call_stage::Delivering;
  Call.Result = Result;
  if (Owner.Phase != owner_phase::HandingOver)
    Actions.push_back(
        deliver_result{Call.Request, Owner.Successor, Call.Result});
}

namespace {

/// Applies a result that the former owner delivered as if the attempt had run
/// at this instance.
void applyRemoteResult(const call_request &Request,
                       const attempt_result &Result, call_ticket Ticket,
                       instant Now, active_call &Call, shard_owner &Owner,
                       action_list &Actions) {
  Call.Request = Request;
  Call.BodyHash = requestHash(Request);
  Call.Tickets.insert(Ticket);
  Call.Attempts = 1;
  Call.Stage = call_stage::Running;
  Call.PromptBound = 0;
  Call.MaxTokens = findProgram(Request.Program, Owner)->ReservedTokens;
  applyAttemptResult(Result, Now, Call, Owner, Actions);
}

bool isInDoubt(const program_state &Program, std::uint32_t Call) {
  if (Call == 0 || Call > Program.Calls.size())
    return false;
  const recorded_call &History = Program.Calls[Call - 1];
  return History.Progress == call_progress::Completed &&
         History.Run == run_state::OutcomeUnknown;
}

} // namespace

void onRemoteResult(const call_request &Call, const attempt_result &Result,
                    call_ticket Ticket, instant Now, shard_owner &Owner,
                    action_list &Actions) {
  if (Owner.Phase != owner_phase::Owning) {
    answer(Ticket, makeNotOwnerAnswer(Owner), Actions);
    return;
  }
  const auto Active = Owner.Active.find(Call.Program);
  if (Active != Owner.Active.end() &&
      Active->second.Stage == call_stage::AtFormerOwner &&
      Active->second.Request.Call == Call.Call) {
    applyRemoteResult(Call, Result, Ticket, Now, Active->second, Owner,
                      Actions);
    return;
  }
  const program_state *Program = findProgram(Call.Program, Owner);
  const bool Resolves = Program != nullptr && isInDoubt(*Program, Call.Call) &&
                        Result.Run == run_state::Ran;
  if (Resolves) {
    onOutcomeResolved({Call.Program, Call.Call, Result.Run, Result.Status,
                       Result.Response, "former owner", "late answer"},
                      Ticket, Now, Owner, Actions);
    return;
  }
  answer(Ticket,
         makeErrorAnswer(error_code::Conflict,
                         "the result arrived after the call was settled"),
         Actions);
}

void onResultDelivered(const program_id &Program, bool Durable,
                       shard_owner &Owner, action_list &Actions) {
  const auto Found = Owner.Active.find(Program);
  if (Found == Owner.Active.end() ||
      Found->second.Stage != call_stage::Delivering)
    return;
  active_call Call = std::move(Found->second);
  Owner.Active.erase(Found);
  const std::uint32_t LastDurableCall =
      Durable ? Call.Request.Call : Call.Request.Call - 1;
  answerTickets(answerFromResult(Call.Result, LastDurableCall), Call, Actions);
}

void onOutcomeResolved(const outcome_resolved &Outcome, call_ticket Ticket,
                       instant Now, shard_owner &Owner, action_list &Actions) {
  if (Owner.Phase != owner_phase::Owning) {
    answer(Ticket, makeNotOwnerAnswer(Owner), Actions);
    return;
  }
  const program_state *Program = findProgram(Outcome.Program, Owner);
  if (Program == nullptr || !isInDoubt(*Program, Outcome.Call)) {
    answer(Ticket,
           makeErrorAnswer(error_code::Conflict,
                           "the call has no unresolved outcome"),
           Actions);
    return;
  }
  const recorded_call &Call = Program->Calls[Outcome.Call - 1];
  if (!Call.Loaded) {
    Owner.HeldOutcomes.push_back({Outcome, Ticket});
    loadEntry(Call.Entry, Owner, Actions);
    return;
  }
  outcome_resolved Record = Outcome;
  Record.Request = Call.Request;
  appendRecord(Record, Owner);
  call_answer Done;
  Done.Body = "resolved";
  Done.CommittedThrough = Outcome.Call;
  if (Ticket != 0)
    afterCommit(answer_caller{Ticket, std::move(Done)}, Owner);
  sealBatch(Now, Owner, Actions);
}

void onCommitted(const journal_batch &Batch, entry_number Number, instant Now,
                 shard_owner &Owner, action_list &Actions) {
  activateBatchReservations(Batch, Number, Owner);
  for (const program_id &Id : activePrograms(Owner)) {
    const auto Found = Owner.Active.find(Id);
    if (Found == Owner.Active.end())
      continue;
    active_call &Call = Found->second;
    const bool EntryDurable =
        Call.AwaitedEntry != 0 && Call.AwaitedEntry <= Number;
    if (EntryDurable && Call.Stage == call_stage::Committing) {
      const program_state *Program = findProgram(Id, Owner);
      const call_answer Done = answerFromResult(
          Call.Result, Program ? durableCall(*Program, Owner) : 0);
      finishCall(Id, Done, Now, Owner, Actions);
    } else if (EntryDurable && Call.Stage == call_stage::Preparing &&
               Owner.Phase == owner_phase::Owning) {
      Call.AwaitedEntry = 0;
      resumePreparingCall(Id, Call, Now, Owner, Actions);
    }
  }
}

void releaseCalls(bool HandedOver, shard_owner &Owner, action_list &Actions) {
  for (auto Next = Owner.Active.begin(); Next != Owner.Active.end();) {
    if (releaseCall(HandedOver, Next->second, Owner, Actions))
      ++Next;
    else
      Next = Owner.Active.erase(Next);
  }
  for (const auto &[Key, Held] : Owner.Held) {
    for (const call_ticket Ticket : Held.Tickets)
      answer(Ticket, makeOwnershipLostAnswer(run_state::OutcomeUnknown, Owner),
             Actions);
  }
  Owner.Held.clear();
}

namespace {

/// \returns the number of the program's active call, or that of its next call.
std::uint32_t currentCall(const program_state &Program) {
  return hasOpenIntent(Program) ? Program.Calls.back().Call : nextCall(Program);
}

/// \returns whether the call was left running at this instance by a clean
/// handover and has not been completed since.
bool isStillRunningHere(bool CleanHandover, const active_call &Call,
                        const shard_owner &Owner) {
  const auto Found = Owner.State.Programs.find(Call.Request.Program);
  return CleanHandover && Found != Owner.State.Programs.end() &&
         Owner.State.InFlight.count(Call.Request.Program) != 0 &&
         Call.Request.Call == currentCall(Found->second);
}

/// Keeps track of the attempt of an exclusive call that has been settled
/// without its result, so that a late result can still resolve the outcome.
void orphanCall(active_call Call, instant Now, shard_owner &Owner,
                action_list &Actions) {
  answerTickets(makeOwnershipLostAnswer(run_state::OutcomeUnknown, Owner), Call,
                Actions);
  if (Call.Stage == call_stage::Running)
    Owner.OrphanedCalls[Call.AttemptId] = std::move(Call);
  else
    applyOrphanedResult(Call.Request, Call.Result, Now, Owner, Actions);
}

/// Continues, orphans or cancels the calls that are still active here from an
/// earlier ownership of the shard.
void resumeOwnCalls(bool CleanHandover, instant Now, shard_owner &Owner,
                    action_list &Actions) {
  for (const program_id &Id : activePrograms(Owner)) {
    active_call &Call = Owner.Active.find(Id)->second;
    if (isStillRunningHere(CleanHandover, Call, Owner)) {
      if (Call.Stage != call_stage::Delivering)
        continue;
      Call.Stage = call_stage::Running;
      applyAttemptResult(attempt_result(Call.Result), Now, Call, Owner,
                         Actions);
    } else if (Call.Request.Kind == call_kind::ExclusiveService) {
      active_call Moved = std::move(Call);
      Owner.Active.erase(Id);
      orphanCall(std::move(Moved), Now, Owner, Actions);
    } else {
      Actions.push_back(cancel_attempt{Id, Call.AttemptId});
      finishCall(Id, makeOwnershipLostAnswer(run_state::Ran, Owner), Now, Owner,
                 Actions);
    }
  }
}

void resumeProgram(const program_state &Program, instant Now,
                   shard_owner &Owner) {
  const program_id Id = Program.Program;
  if (Owner.Active.count(Id) != 0)
    return;
  if (Owner.State.InFlight.count(Id) != 0) {
    active_call Call;
    Call.Request.Program = Id;
    Call.Request.Call = currentCall(Program);
    Call.Stage = call_stage::AtFormerOwner;
    Call.Deadline = Now.Steady + Owner.Settings.FormerOwnerTimeout;
    Owner.Active.emplace(Id, std::move(Call));
    return;
  }
  if (hasOpenIntent(Program))
    appendRecord(call_withdrawn{Id, Program.Calls.back().Call}, Owner);
  Owner.Grants[Id].Remaining = Program.ReservedTokens;
}

} // namespace

void resumeAfterTakeover(bool CleanHandover, instant Now, shard_owner &Owner,
                         action_list &Actions) {
  Owner.SideEffectsAllowedAt =
      CleanHandover ? Now.Steady
                    : Now.Steady + Owner.Settings.SendWindow * 5 / 4;
  resumeOwnCalls(CleanHandover, Now, Owner, Actions);
  if (!CleanHandover)
    return;
  for (const auto &[Id, Program] : Owner.State.Programs) {
    if (!Program.Ended)
      resumeProgram(Program, Now, Owner);
  }
}

void expireCalls(instant Now, shard_owner &Owner, action_list &Actions) {
  std::erase_if(Owner.OrphanedCalls, [&](const auto &Item) {
    return Now.Steady >=
           Item.second.Deadline + Owner.Settings.AttemptGracePeriod;
  });
  for (const program_id &Id : activePrograms(Owner)) {
    const auto Found = Owner.Active.find(Id);
    if (Found != Owner.Active.end())
      expireCall(Id, Found->second, Now, Owner, Actions);
  }
}

} // namespace lentilhoist
