#include "decision/call_flow.h"
#include "decision/call_steps.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace lentilhoist {

namespace {

/// Defers an answer until the appended records are durable.
void answerAfterCommit(call_ticket Ticket, call_answer Answer,
                       shard_owner &Owner) {
  if (Ticket != 0)
    afterCommit(answer_caller{Ticket, std::move(Answer)}, Owner);
}

/// \returns why the program can't be created, or error_code::None.
call_answer checkCreate(const create_request &Request,
                        const shard_owner &Owner) {
  if (Request.Budget.Tokens == 0 || Request.Budget.Turns == 0 ||
      Request.Budget.WallMilliseconds == 0)
    return makeErrorAnswer(error_code::BadRequest,
                           "each limit of a budget must be positive");
  if (!Request.HasParent)
    return {};
  const auto Parent = Owner.State.Programs.find(Request.Parent);
  if (Parent == Owner.State.Programs.end())
    return makeErrorAnswer(error_code::UnknownProgram,
                           "no such parent program");
  if (Parent->second.Ended)
    return makeErrorAnswer(error_code::ProgramEnded,
                           "the parent program has ended");
  if (freeTokens(Parent->second) < Request.Budget.Tokens)
    return makeErrorAnswer(
        error_code::BudgetExhausted,
        "the budget exceeds the free tokens of the parent program");
  return {};
}

bool matchesRequest(const program_state &Program,
                    const create_request &Request) {
  return Program.Tenant == Request.Tenant && Program.Class == Request.Class &&
         Program.HasParent == Request.HasParent &&
         (!Program.HasParent || Program.Parent == Request.Parent) &&
         Program.Budget.Tokens == Request.Budget.Tokens &&
         Program.Budget.Turns == Request.Budget.Turns &&
         Program.Budget.WallMilliseconds == Request.Budget.WallMilliseconds;
}

std::vector<program_id> activeChildren(const program_id &Parent,
                                       const shard_owner &Owner) {
  std::vector<program_id> Children;
  for (const auto &[Id, Program] : Owner.State.Programs) {
    if (Program.HasParent && Program.Parent == Parent && !Program.Ended)
      Children.push_back(Id);
  }
  return Children;
}

/// Cancels the model call or idempotent call of a program that ends.
void cancelActive(const program_state &Program, instant Now, shard_owner &Owner,
                  action_list &Actions) {
  const auto Found = Owner.Active.find(Program.Program);
  if (Found == Owner.Active.end())
    return;
  const active_call &Call = Found->second;
  const bool Running = Call.Stage == call_stage::Running;
  if (Running && Call.Request.Kind == call_kind::Model) {
    const std::uint64_t Drawn = Call.PromptBound + Call.MaxTokens;
    const std::uint64_t Lost =
        std::min(Drawn, freeTokens(Program) + Program.ReservedTokens);
    appendReservation({Program.Program, 0, Lost}, Owner);
  }
  if (Running)
    Actions.push_back(cancel_attempt{Program.Program, Call.AttemptId});
  call_answer Answer = makeErrorAnswer(error_code::ProgramEnded,
                                       "the program ended during the call");
  if (Running || Call.Attempts > 0)
    Answer.Run = run_state::Ran;
  finishCall(Program.Program, Answer, Now, Owner, Actions);
}

/// Postpones the end of a program that has a call which can't be cancelled.
/// \returns whether the end was postponed.
bool deferEnd(const program_id &Program, end_reason Reason, call_ticket Ticket,
              shard_owner &Owner) {
  const auto Found = Owner.Active.find(Program);
  if (Found == Owner.Active.end())
    return false;
  active_call &Call = Found->second;
  const bool Cancellable = Call.Request.Kind != call_kind::ExclusiveService &&
                           (Call.Stage == call_stage::Running ||
                            Call.Stage == call_stage::Preparing);
  if (Cancellable)
    return false;
  Call.EndAfterwards = true;
  Call.EndReason = Reason;
  if (Ticket != 0)
    Call.EndTickets.insert(Ticket);
  return true;
}

void requestCacheReleases(const program_state &Program, action_list &Actions) {
  for (const std::string &Runner : Program.CacheRunners)
    Actions.push_back(release_cache{Program.Program, Runner});
}

nlohmann::json describeCall(const recorded_call &Call, entry_number Committed) {
  return {{"call", Call.Call},
          {"kind", Call.Kind == call_kind::Model ? "model" : "service"},
          {"run", runStateName(Call.Run)},
          {"status", Call.Status},
          {"prompt_tokens", Call.PromptTokens},
          {"generated_tokens", Call.GeneratedTokens},
          {"request", Call.Request},
          {"response", Call.Response},
          {"committed", Call.Entry <= Committed}};
}

nlohmann::json describeProgram(const program_state &Program,
                               entry_number Committed) {
  nlohmann::json Calls = nlohmann::json::array();
  for (const recorded_call &Call : Program.Calls)
    Calls.push_back(describeCall(Call, Committed));
  return {{"program", formatProgramId(Program.Program)},
          {"tenant", Program.Tenant},
          {"class", Program.Class},
          {"ended", Program.Ended},
          {"budget",
           {{"tokens", Program.Budget.Tokens},
            {"turns", Program.Budget.Turns},
            {"wall_ms", Program.Budget.WallMilliseconds},
            {"spent_tokens", Program.SpentTokens},
            {"lost_tokens", Program.LostTokens},
            {"carved_tokens", Program.CarvedTokens}}},
          {"calls", Calls}};
}

void sweepProgram(const program_state &Program, instant Now, shard_owner &Owner,
                  action_list &Actions) {
  if (!Program.Ended) {
    if (wallTimeExhausted(Program, Now))
      onEnd(Program.Program, end_reason::WallTime, 0, Now, Owner, Actions);
    return;
  }
  if (!Program.CacheRunners.empty()) {
    requestCacheReleases(Program, Actions);
    return;
  }
  const auto EndedAt =
      milliseconds(static_cast<std::int64_t>(Program.EndedUnixMs));
  if (Now.Unix - EndedAt >= Owner.Settings.Retention) {
    Owner.Grants.erase(Program.Program);
    appendRecord(program_forgotten{Program.Program}, Owner);
  }
}

void sweepPrograms(instant Now, shard_owner &Owner, action_list &Actions) {
  std::vector<program_id> Programs;
  for (const auto &[Id, Program] : Owner.State.Programs)
    Programs.push_back(Id);
  for (const program_id &Id : Programs) {
    const auto Found = Owner.State.Programs.find(Id);
    if (Found != Owner.State.Programs.end())
      sweepProgram(Found->second, Now, Owner, Actions);
  }
}

/// Evicts the texts of idle programs, the least recently active first, until
/// the rest fits into MaxTextBytes. Evicted texts are read again from the
/// journal when they are needed.
void evictTexts(shard_owner &Owner) {
  std::size_t Total = 0;
  std::vector<std::pair<entry_number, program_id>> IdlePrograms;
  for (const auto &[Id, Program] : Owner.State.Programs) {
    Total += textBytes(Program);
    if (!Program.Calls.empty() && Owner.Active.count(Id) == 0)
      IdlePrograms.emplace_back(Program.Calls.back().Entry, Id);
  }
  if (Total <= Owner.Settings.MaxTextBytes)
    return;
  std::sort(IdlePrograms.begin(), IdlePrograms.end());
  for (const auto &[Entry, Id] : IdlePrograms) {
    if (Total <= Owner.Settings.MaxTextBytes)
      return;
    Total -= dropTexts(Owner.Committed, Owner.State.Programs.at(Id));
  }
}

void queryInDoubt(instant Now, shard_owner &Owner, action_list &Actions) {
  if (Owner.InDoubtPrograms.empty() || Now.Steady < Owner.SideEffectsAllowedAt)
    return;
  for (const program_id &Id : Owner.InDoubtPrograms) {
    const auto Found = Owner.State.Programs.find(Id);
    if (Found == Owner.State.Programs.end())
      continue;
    for (const recorded_call &Call : Found->second.Calls) {
      if (Call.Run == run_state::OutcomeUnknown && !Call.RequestKey.empty())
        Actions.push_back(
            query_outcome{Id, Call.Call, Call.Service, Call.RequestKey});
    }
  }
  Owner.InDoubtPrograms.clear();
}

/// Replaces answers whose ownership check did not finish in time with an error,
/// and repeats the check for the others.
void expireUnverified(instant Now, shard_owner &Owner, action_list &Actions) {
  if (Owner.UnverifiedAnswers.empty())
    return;
  while (!Owner.UnverifiedAnswers.empty() &&
         Now.Steady >= Owner.UnverifiedAnswers.front().Deadline) {
    call_answer TimeoutAnswer = makeErrorAnswer(
        error_code::StoreUnavailable, "the store did not respond in time");
    TimeoutAnswer.Run = run_state::OutcomeUnknown;
    answer(Owner.UnverifiedAnswers.front().Reply.Ticket, TimeoutAnswer,
           Actions);
    Owner.UnverifiedAnswers.erase(Owner.UnverifiedAnswers.begin());
    if (Owner.CoveredByCheck > 0)
      --Owner.CoveredByCheck;
  }
  if (!Owner.UnverifiedAnswers.empty())
    verifyOwnership(Now, Owner, Actions);
}

void expireHeldCalls(instant Now, shard_owner &Owner, action_list &Actions) {
  for (auto Next = Owner.Held.begin(); Next != Owner.Held.end();) {
    if (Now.Steady < Next->second.Deadline) {
      ++Next;
      continue;
    }
    call_answer TimeoutAnswer = makeErrorAnswer(
        error_code::Timeout, "the request timed out while waiting");
    TimeoutAnswer.Run = run_state::OutcomeUnknown;
    for (const call_ticket Ticket : Next->second.Tickets)
      answer(Ticket, TimeoutAnswer, Actions);
    Next = Owner.Held.erase(Next);
  }
}

/// \returns the program, or nullptr after answering its caller with an error.
program_state *findOrAnswerError(const program_id &Id, call_ticket Ticket,
                                 instant Now, shard_owner &Owner,
                                 action_list &Actions) {
  if (Owner.Phase != owner_phase::Owning) {
    answer(Ticket, makeNotOwnerAnswer(Owner), Actions);
    return nullptr;
  }
  const auto Found = Owner.State.Programs.find(Id);
  if (Found != Owner.State.Programs.end())
    return &Found->second;
  answerAfterOwnershipCheck(
      Ticket, makeErrorAnswer(error_code::UnknownProgram, "no such program"),
      Now, Owner, Actions);
  return nullptr;
}

} // namespace

void onCreate(const create_request &Request, call_ticket Ticket, instant Now,
              shard_owner &Owner, action_list &Actions) {
  if (Owner.Phase != owner_phase::Owning) {
    answer(Ticket, makeNotOwnerAnswer(Owner), Actions);
    return;
  }
  call_answer Created;
  Created.Body = formatProgramId(Request.Program);
  const auto Found = Owner.State.Programs.find(Request.Program);
  if (Found != Owner.State.Programs.end()) {
    if (!matchesRequest(Found->second, Request))
      Created =
          makeErrorAnswer(error_code::Conflict,
                          "a program with this key and other arguments exists");
    answerAfterOwnershipCheck(Ticket, std::move(Created), Now, Owner, Actions);
    return;
  }
  const call_answer Refusal = checkCreate(Request, Owner);
  if (Refusal.Code != error_code::None) {
    answerAfterOwnershipCheck(Ticket, Refusal, Now, Owner, Actions);
    return;
  }
  const owner_settings &Settings = Owner.Settings;
  program_created Record;
  Record.Program = Request.Program;
  Record.Tenant = Request.Tenant;
  Record.Class = Request.Class;
  Record.HasParent = Request.HasParent;
  Record.Parent = Request.Parent;
  Record.Budget = Request.Budget;
  Record.CreatedUnixMs = static_cast<std::uint64_t>(Now.Unix.count());
  Record.ReservedTokens =
      std::min((Settings.NewPromptTokens + Settings.DefaultMaxTokens) *
                   Settings.CallsReservedAhead,
               Request.Budget.Tokens);
  const entry_number Entry = appendRecord(Record, Owner);
  Owner.Grants[Request.Program].Pending.emplace_back(Entry,
                                                     Record.ReservedTokens);
  answerAfterCommit(Ticket, std::move(Created), Owner);
  sealBatch(Now, Owner, Actions);
}

void onEnd(const program_id &Id, end_reason Reason, call_ticket Ticket,
           instant Now, shard_owner &Owner, action_list &Actions) {
  program_state *Found = findOrAnswerError(Id, Ticket, Now, Owner, Actions);
  if (Found == nullptr)
    return;
  program_state &Program = *Found;
  call_answer Done;
  Done.Body = formatProgramId(Id);
  if (Program.Ended) {
    answerAfterOwnershipCheck(Ticket, std::move(Done), Now, Owner, Actions);
    return;
  }
  if (deferEnd(Id, Reason, Ticket, Owner))
    return;
  cancelActive(Program, Now, Owner, Actions);
  for (const program_id &Child : activeChildren(Id, Owner))
    onEnd(Child, end_reason::Parent, 0, Now, Owner, Actions);
  if (Program.ReservedTokens != 0)
    appendReservation({Id, 0, 0}, Owner);
  appendRecord(
      program_ended{Id, Reason, static_cast<std::uint64_t>(Now.Unix.count())},
      Owner);
  action_list Releases;
  requestCacheReleases(Program, Releases);
  for (action &Release : Releases)
    afterCommit(std::move(Release), Owner);
  answerAfterCommit(Ticket, std::move(Done), Owner);
  sealBatch(Now, Owner, Actions);
}

void onReadHistory(const program_id &Id, call_ticket Ticket, instant Now,
                   shard_owner &Owner, action_list &Actions) {
  program_state *Found = findOrAnswerError(Id, Ticket, Now, Owner, Actions);
  if (Found == nullptr)
    return;
  if (!ensureTextsLoaded(*Found, Owner, Actions)) {
    held_call &Held = Owner.Held[{Id, 0}];
    Held.Tickets.insert(Ticket);
    Held.Deadline = Now.Steady + Owner.Settings.ServiceTimeout;
    return;
  }
  call_answer Answer;
  Answer.Body = describeProgram(*Found, Owner.Committed).dump();
  Answer.CommittedThrough = durableCall(*Found, Owner);
  answerAfterOwnershipCheck(Ticket, std::move(Answer), Now, Owner, Actions);
}

void onCacheReleased(const program_id &Program, const std::string &Runner,
                     instant Now, shard_owner &Owner, action_list &Actions) {
  if (Owner.Phase != owner_phase::Owning)
    return;
  const auto Found = Owner.State.Programs.find(Program);
  if (Found == Owner.State.Programs.end() ||
      Found->second.CacheRunners.count(Runner) == 0)
    return;
  appendRecord(cache_released{Program, Runner}, Owner);
  sealBatch(Now, Owner, Actions);
}

void onCacheListed(const std::string &Runner,
                   const std::vector<program_id> &Sessions,
                   const shard_owner &Owner, action_list &Actions) {
  if (Owner.Phase != owner_phase::Owning)
    return;
  for (const program_id &Session : Sessions) {
    if (Session.Shard != Owner.Shard)
      continue;
    const auto Found = Owner.State.Programs.find(Session);
    if (Found == Owner.State.Programs.end() || Found->second.Ended)
      Actions.push_back(release_cache{Session, Runner});
  }
}

void onCallTick(instant Now, shard_owner &Owner, action_list &Actions) {
  if (Owner.Phase != owner_phase::Owning)
    return;
  expireCalls(Now, Owner, Actions);
  expireHeldCalls(Now, Owner, Actions);
  expireUnverified(Now, Owner, Actions);
  queryInDoubt(Now, Owner, Actions);
  if (Now.Steady < Owner.NextSweepAt)
    return;
  Owner.NextSweepAt = Now.Steady + Owner.Settings.SweepInterval;
  sweepPrograms(Now, Owner, Actions);
  evictTexts(Owner);
  retryHeldCalls(Now, Owner, Actions);
}

} // namespace lentilhoist
