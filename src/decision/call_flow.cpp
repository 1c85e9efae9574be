#include "decision/call_flow.h"

#include "core/hash.h"
#include "decision/call_steps.h"

#include <algorithm>
#include <cassert>
#include <fmt/format.h>

namespace lentilhoist {

namespace {

bool isModel(const call_request &Request) {
  return Request.Kind == call_kind::Model;
}

microseconds callLimit(const call_request &Request,
                       const owner_settings &Settings) {
  if (Request.TimeoutMilliseconds != 0)
    return milliseconds(Request.TimeoutMilliseconds);
  return isModel(Request) ? Settings.CallTimeout : Settings.ServiceTimeout;
}

void hold(const call_request &Request, call_ticket Ticket, instant Now,
          shard_owner &Owner) {
  held_call &Held = Owner.Held[{Request.Program, Request.Call}];
  if (Held.Tickets.empty()) {
    Held.Request = Request;
    Held.Deadline = Now.Steady + callLimit(Request, Owner.Settings);
  }
  Held.Tickets.insert(Ticket);
}

void replay(const call_request &Request, call_ticket Ticket, instant Now,
            const program_state &Program, shard_owner &Owner,
            action_list &Actions) {
  const recorded_call &Call = Program.Calls[Request.Call - 1];
  if (Call.BodyHash != requestHash(Request)) {
    answerAfterOwnershipCheck(
        Ticket,
        makeErrorAnswer(error_code::CallConflict,
                        "this call number was issued with another body"),
        Now, Owner, Actions);
    return;
  }
  if (!Call.Loaded) {
    loadEntry(Call.Entry, Owner, Actions);
    hold(Request, Ticket, Now, Owner);
    return;
  }
  answerAfterOwnershipCheck(
      Ticket, answerFromHistory(Call, durableCall(Program, Owner)), Now, Owner,
      Actions);
}

void attach(const call_request &Request, call_ticket Ticket,
            active_call &Active, action_list &Actions) {
  const bool SameBody =
      Active.BodyHash == 0 || Active.BodyHash == requestHash(Request);
  if (SameBody) {
    Active.Tickets.insert(Ticket);
    return;
  }
  answer(Ticket,
         makeErrorAnswer(error_code::CallConflict,
                         "this call number is under way with another body"),
         Actions);
}

/// \returns why the program may not issue another call, or an answer with
/// error_code::None.
call_answer checkLimits(const program_state &Program, const call_request &Call,
                        instant Now, const shard_owner &Owner) {
  if (Program.Ended)
    return makeErrorAnswer(error_code::ProgramEnded, "the program has ended");
  if (Call.Call > Program.Budget.Turns)
    return makeErrorAnswer(
        error_code::BudgetExhausted,
        fmt::format("the program may issue {} calls", Program.Budget.Turns));
  if (wallTimeExhausted(Program, Now))
    return makeErrorAnswer(error_code::BudgetExhausted,
                           "the program's time is over");
  if (uncommittedBytes(Owner) > Owner.Settings.MaxUncommittedBytes)
    return makeErrorAnswer(error_code::StoreUnavailable,
                           "too much history waits for the platform");
  return {};
}

void startExclusive(const program_state &Program, active_call &Call,
                    instant Now, shard_owner &Owner, action_list &Actions) {
  Call.RequestKey =
      fmt::format("{}/{}/{:016x}", formatProgramId(Program.Program),
                  Call.Request.Call, Owner.Random());
  Call.Stage = call_stage::Preparing;
  Call.IntentAt = Now;
  Call.CommitDeadline = Now.Steady + Owner.Settings.CommitTimeout;
  Call.AwaitedEntry = appendRecord(
      call_intended{Program.Program, Call.Request.Call, Call.BodyHash,
                    Call.Request.Service, Call.RequestKey, Call.Request.Body},
      Owner);
  sealBatch(Now, Owner, Actions);
}

void startCall(const call_request &Request, call_ticket Ticket, instant Now,
               program_state &Program, shard_owner &Owner,
               action_list &Actions) {
  const call_answer Refusal = checkLimits(Program, Request, Now, Owner);
  if (Refusal.Code != error_code::None) {
    answerAfterOwnershipCheck(Ticket, Refusal, Now, Owner, Actions);
    return;
  }
  const bool WindowOpen = Request.Kind == call_kind::ExclusiveService &&
                          Owner.InDoubtPrograms.count(Request.Program) != 0 &&
                          Now.Steady < Owner.SideEffectsAllowedAt;
  if (WindowOpen) {
    hold(Request, Ticket, Now, Owner);
    return;
  }
  active_call Call;
  Call.Request = Request;
  Call.BodyHash = requestHash(Request);
  Call.Tickets.insert(Ticket);
  Call.Deadline = Now.Steady + callLimit(Request, Owner.Settings);
  active_call &Placed =
      Owner.Active.insert_or_assign(Request.Program, std::move(Call))
          .first->second;
  if (isModel(Request)) {
    if (!prepareModelCall(Program, Placed, Now, Owner, Actions))
      finishCall(
          Request.Program,
          makeErrorAnswer(error_code::BudgetExhausted,
                          "the program's tokens do not cover the prompt"),
          Now, Owner, Actions);
  } else if (Request.Kind == call_kind::ExclusiveService) {
    startExclusive(Program, Placed, Now, Owner, Actions);
  } else {
    startAttempt(Program, Placed, Now, Owner, Actions);
  }
}

void routeCall(const call_request &Request, call_ticket Ticket, instant Now,
               program_state &Program, shard_owner &Owner,
               action_list &Actions) {
  const auto Active = Owner.Active.find(Request.Program);
  const bool Busy = Active != Owner.Active.end();
  if (Busy && Active->second.Request.Call == Request.Call) {
    attach(Request, Ticket, Active->second, Actions);
    return;
  }
  const std::uint32_t Next = nextCall(Program);
  if (Request.Call < Next) {
    replay(Request, Ticket, Now, Program, Owner, Actions);
    return;
  }
  if (Request.Call == Next && !Busy) {
    startCall(Request, Ticket, Now, Program, Owner, Actions);
    return;
  }
  const bool Holdable =
      Busy && Request.Call <= Next + Owner.Settings.MaxHeldCalls;
  if (Holdable) {
    hold(Request, Ticket, Now, Owner);
    return;
  }
  answerAfterOwnershipCheck(
      Ticket,
      makeErrorAnswer(error_code::OutOfOrder,
                      fmt::format("the program's next call is {}", Next)),
      Now, Owner, Actions);
}

} // namespace

std::uint64_t requestHash(const call_request &Request) {
  std::uint64_t Hash = stableHash(Request.Body);
  Hash = stableHash(Request.Service, Hash);
  Hash = stableHash(Request.Model, Hash);
  return stableHash(std::to_string(static_cast<int>(Request.Kind)), Hash) | 1U;
}

void loadEntry(entry_number Number, shard_owner &Owner, action_list &Actions) {
  if (Owner.LoadingEntries.insert(Number).second)
    Actions.push_back(read_entry{Owner.Shard, Number});
}

bool ensureTextsLoaded(const program_state &Program, shard_owner &Owner,
                       action_list &Actions) {
  bool Complete = true;
  for (const recorded_call &Call : Program.Calls) {
    if (Call.Loaded)
      continue;
    Complete = false;
    loadEntry(Call.Entry, Owner, Actions);
  }
  return Complete;
}

call_answer makeErrorAnswer(error_code Code, std::string Detail) {
  call_answer Answer;
  Answer.Code = Code;
  Answer.Run = run_state::NotRun;
  Answer.Status = httpStatus(Code);
  Answer.Body = std::move(Detail);
  return Answer;
}

void onCall(const call_request &Request, call_ticket Ticket, instant Now,
            shard_owner &Owner, action_list &Actions) {
  if (Owner.Phase != owner_phase::Owning) {
    answer(Ticket, makeNotOwnerAnswer(Owner), Actions);
    return;
  }
  const auto Found = Owner.State.Programs.find(Request.Program);
  if (Found == Owner.State.Programs.end()) {
    answerAfterOwnershipCheck(
        Ticket, makeErrorAnswer(error_code::UnknownProgram, "no such program"),
        Now, Owner, Actions);
    return;
  }
  if (Request.Call == 0) {
    answer(Ticket,
           makeErrorAnswer(error_code::BadRequest, "calls are numbered from 1"),
           Actions);
    return;
  }
  routeCall(Request, Ticket, Now, Found->second, Owner, Actions);
}

void retryHeldCalls(instant Now, shard_owner &Owner, action_list &Actions) {
  if (Owner.Phase != owner_phase::Owning)
    return;
  const auto Outcomes = std::move(Owner.HeldOutcomes);
  Owner.HeldOutcomes.clear();
  for (const held_outcome &Outcome : Outcomes)
    onOutcomeResolved(Outcome.Outcome, Outcome.Ticket, Now, Owner, Actions);
  for (const program_id &Id : activePrograms(Owner)) {
    const auto Active = Owner.Active.find(Id);
    if (Active != Owner.Active.end() && Active->second.NeedsTexts)
      resumePreparingCall(Id, Active->second, Now, Owner, Actions);
  }
  if (Owner.Held.empty())
    return;
  const auto Held = std::move(Owner.Held);
  Owner.Held.clear();
  for (const auto &[Key, Call] : Held) {
    if (Call.Request.Call == 0) {
      for (const call_ticket Ticket : Call.Tickets)
        onReadHistory(Key.first, Ticket, Now, Owner, Actions);
      continue;
    }
    for (const call_ticket Ticket : Call.Tickets)
      onCall(Call.Request, Ticket, Now, Owner, Actions);
    const auto Again = Owner.Held.find(Key);
    if (Again != Owner.Held.end())
      Again->second.Deadline = Call.Deadline;
  }
}

} // namespace lentilhoist
