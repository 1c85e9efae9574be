#include "decision/call_steps.h"

#include "decision/call_flow.h"
#include "decision/shard_placement.h"

#include <algorithm>
#include <fmt/format.h>

namespace lentilhoist {

namespace {

/// Removes the brackets of a JSON array.
std::string_view arrayElements(std::string_view Array) {
  if (Array.size() < 2)
    return {};
  return Array.substr(1, Array.size() - 2);
}

/// Joins the messages of all earlier model calls.
std::string joinHistory(const program_state &Program) {
  std::string Joined;
  for (const recorded_call &Call : Program.Calls) {
    if (Call.Kind != call_kind::Model)
      continue;
    for (const std::string_view Part :
         {arrayElements(Call.Request), arrayElements(Call.Response)}) {
      if (!Joined.empty() && !Part.empty())
        Joined += ',';
      Joined += Part;
    }
  }
  return Joined;
}

/// \returns whether the program can pay for the call; sets the call's bounds.
bool planTokens(const program_state &Program, const owner_settings &Settings,
                active_call &Call) {
  Call.PromptBound = promptBound(Program, Call.Request.Body.size());
  const std::uint64_t Available = freeTokens(Program) + Program.ReservedTokens;
  if (Call.PromptBound >= Available)
    return false;
  const std::uint64_t Wanted = Call.Request.MaxTokens != 0
                                   ? Call.Request.MaxTokens
                                   : Settings.DefaultMaxTokens;
  Call.MaxTokens = std::min(Wanted, Available - Call.PromptBound);
  return true;
}

void startModel(const program_state &Program, active_call &Call, instant Now,
                shard_owner &Owner, action_list &Actions) {
  const std::uint64_t Need = Call.PromptBound + Call.MaxTokens;
  if (drawTokens(Need, Owner.Grants[Program.Program])) {
    startAttempt(Program, Call, Now, Owner, Actions);
    return;
  }
  const std::uint64_t Reserve =
      std::max(Need, tokensToReserveAhead(Program, 0, promptBound(Program, 0),
                                          Owner.Settings));
  const tokens_reserved Record{Program.Program, Reserve, 0};
  Call.Stage = call_stage::Preparing;
  Call.CommitDeadline = Now.Steady + Owner.Settings.CommitTimeout;
  Call.AwaitedEntry = appendReservation(Record, Owner);
  sealBatch(Now, Owner, Actions);
}

} // namespace

bool prepareModelCall(const program_state &Program, active_call &Call,
                      instant Now, shard_owner &Owner, action_list &Actions) {
  if (!planTokens(Program, Owner.Settings, Call))
    return false;
  const bool Waited = Call.NeedsTexts;
  Call.NeedsTexts = !ensureTextsLoaded(Program, Owner, Actions);
  if (Call.NeedsTexts) {
    Call.Stage = call_stage::Preparing;
    Call.AwaitedEntry = 0;
    if (!Waited)
      Call.CommitDeadline = Now.Steady + Owner.Settings.CommitTimeout;
    return true;
  }
  startModel(Program, Call, Now, Owner, Actions);
  return true;
}

void withdrawCall(const call_answer &Refusal, instant Now, active_call &Call,
                  shard_owner &Owner, action_list &Actions) {
  Call.Stage = call_stage::Committing;
  Call.Result = attempt_result();
  Call.Result.Code = Refusal.Code;
  Call.Result.Run = run_state::NotRun;
  Call.Result.Status = Refusal.Status;
  Call.Result.Response = Refusal.Body;
  Call.CommitDeadline = Now.Steady + Owner.Settings.CommitTimeout;
  Call.AwaitedEntry = appendRecord(
      call_withdrawn{Call.Request.Program, Call.Request.Call}, Owner);
  sealBatch(Now, Owner, Actions);
}

void answer(call_ticket Ticket, call_answer Answer, action_list &Actions) {
  if (Ticket != 0)
    Actions.push_back(answer_caller{Ticket, std::move(Answer)});
}

void answerAfterOwnershipCheck(call_ticket Ticket, call_answer Answer,
                               instant Now, shard_owner &Owner,
                               action_list &Actions) {
  if (Ticket == 0)
    return;
  answer_caller Told{Ticket, std::move(Answer)};
  if (!Owner.Pending.empty()) {
    afterCommit(std::move(Told), Owner);
    return;
  }
  Owner.UnverifiedAnswers.push_back(
      {std::move(Told), Now.Steady + Owner.Settings.CommitTimeout});
  verifyOwnership(Now, Owner, Actions);
}

call_answer makeNotOwnerAnswer(const shard_owner &Owner) {
  call_answer Answer =
      makeErrorAnswer(error_code::NotOwner, "the shard is moving");
  Answer.Run = run_state::OutcomeUnknown;
  if (Owner.Phase == owner_phase::Idle ||
      Owner.Phase == owner_phase::HandingOver)
    Answer.Owner = Owner.Successor;
  else if (Owner.Phase == owner_phase::Recovered)
    Answer.Owner = currentOwner(Owner.State);
  return Answer;
}

call_answer answerFromHistory(const recorded_call &Call,
                              std::uint32_t DurableCall) {
  call_answer Answer;
  if (Call.Run == run_state::OutcomeUnknown)
    Answer.Code = error_code::OutcomeUnknown;
  Answer.Run = Call.Run;
  Answer.Status = Call.Status;
  Answer.Body = Call.Response;
  Answer.PromptTokens = Call.PromptTokens;
  Answer.GeneratedTokens = Call.GeneratedTokens;
  Answer.CommittedThrough = DurableCall;
  return Answer;
}

std::uint32_t durableCall(const program_state &Program,
                          const shard_owner &Owner) {
  std::uint32_t Last = 0;
  for (const recorded_call &Call : Program.Calls) {
    if (Call.Entry > Owner.Committed)
      break;
    if (Call.Progress == call_progress::Completed)
      Last = Call.Call;
  }
  return Last;
}

bool wallTimeExhausted(const program_state &Program, instant Now) {
  const auto Age = static_cast<std::uint64_t>(std::max<std::int64_t>(
      0, Now.Unix.count() - static_cast<std::int64_t>(Program.CreatedUnixMs)));
  return Age >= Program.Budget.WallMilliseconds;
}

bool drawTokens(std::uint64_t Tokens, token_grant &Grant) {
  const bool Covered =
      Grant.Remaining >= Tokens &&
      std::all_of(Grant.Pending.begin(), Grant.Pending.end(),
                  [&](const auto &Later) { return Later.second >= Tokens; });
  if (!Covered)
    return false;
  Grant.Remaining -= Tokens;
  for (auto &Later : Grant.Pending)
    Later.second -= Tokens;
  return true;
}

void returnTokens(std::uint64_t Tokens, token_grant &Grant) {
  Grant.Remaining += Tokens;
  for (auto &Later : Grant.Pending)
    Later.second += Tokens;
}

std::uint64_t tokensToReserveAhead(const program_state &Program,
                                   std::uint64_t Used,
                                   std::uint64_t PromptTokens,
                                   const owner_settings &Settings) {
  const std::uint64_t Available =
      freeTokens(Program) + Program.ReservedTokens - Used;
  const std::uint64_t OneCall =
      PromptTokens + Settings.NewPromptTokens + Settings.DefaultMaxTokens;
  return std::min(OneCall * Settings.CallsReservedAhead, Available);
}

entry_number appendReservation(const tokens_reserved &Record,
                               shard_owner &Owner) {
  const entry_number Entry = appendRecord(Record, Owner);
  Owner.Grants[Record.Program].Pending.emplace_back(Entry, Record.Tokens);
  return Entry;
}

void startAttempt(const program_state &Program, active_call &Call, instant Now,
                  shard_owner &Owner, action_list &Actions) {
  ++Call.Attempts;
  Call.Stage = call_stage::Running;
  Call.AttemptId =
      fmt::format("{}/{}/{:016x}", formatProgramId(Program.Program),
                  Call.Request.Call, Owner.Random());
  start_attempt Start;
  Start.Call = Call.Request;
  Start.Tenant = Program.Tenant;
  Start.Class = Program.Class;
  Start.AttemptId = Call.AttemptId;
  Start.RequestKey = Call.RequestKey;
  Start.AttainedTokens = Program.SpentTokens;
  Start.Timeout = Call.Deadline - Now.Steady;
  if (Call.Request.Kind == call_kind::Model) {
    Start.History = joinHistory(Program);
    Start.PreferredRunner = Program.LastRunner;
    Start.PromptBound = Call.PromptBound;
    Start.MaxTokens = Call.MaxTokens;
  }
  if (Call.Request.Kind == call_kind::ExclusiveService) {
    Start.HasSendBy = true;
    Start.SendBy = later(Call.IntentAt, Owner.Settings.SendWindow);
  }
  Actions.push_back(std::move(Start));
}

void finishCall(const program_id &Program, const call_answer &Answer,
                instant Now, shard_owner &Owner, action_list &Actions) {
  const auto Found = Owner.Active.find(Program);
  if (Found == Owner.Active.end())
    return;
  const active_call Call = std::move(Found->second);
  Owner.Active.erase(Found);
  for (const call_ticket Ticket : Call.Tickets)
    answer(Ticket, Answer, Actions);
  if (Owner.Phase != owner_phase::Owning)
    return;
  if (Call.EndAfterwards) {
    if (Call.EndTickets.empty())
      onEnd(Program, Call.EndReason, 0, Now, Owner, Actions);
    for (const call_ticket Ticket : Call.EndTickets)
      onEnd(Program, Call.EndReason, Ticket, Now, Owner, Actions);
  }
  retryHeldCalls(Now, Owner, Actions);
}

} // namespace lentilhoist
