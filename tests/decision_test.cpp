#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include "decision/call_flow.h"
#include "decision/runner_table.h"
#include "decision/shard_placement.h"

#include <doctest/doctest.h>
#include <map>
#include <set>

using namespace lentilhoist;

namespace {

/// One owner whose platform answers at once.
struct shard_fixture {
  shard_fixture() {
    Owner.Self = "a";
    action_list Actions;
    beginRecovery(Now, Owner, Actions);
    onJournalRead(shard_state(), 0, Now, Owner, Actions);
    claimShard(Now, Owner, Actions);
    completeWrites();
  }

  /// Lets the platform answer until nothing is left to write.
  void completeWrites() {
    while (Owner.Sealed && !Outage) {
      action_list Actions;
      onWriteResult(Owner.Sealed->Number, write_status::Created, Now, Owner,
                    Actions);
      if (Owner.Sealed)
        onHorizonRead(0, Now, Owner, Actions);
      recordActions(Actions);
    }
    while (Owner.OwnershipCheckPending && !Outage) {
      action_list Actions;
      onOwnershipChecked(Owner.Committed + 1, {read_status::Absent, {}}, Now,
                         Owner, Actions);
      recordActions(Actions);
    }
  }

  void recordActions(action_list &Actions) {
    for (action &Action : Actions) {
      if (auto *Answer = std::get_if<answer_caller>(&Action))
        Answers[Answer->Ticket] = Answer->Answer;
      else if (auto *Start = std::get_if<start_attempt>(&Action))
        Attempts.push_back(*Start);
      else
        OtherActions.push_back(Action);
    }
  }

  void create(std::uint64_t Key, program_budget Budget,
              const program_id *Parent = nullptr) {
    create_request Request;
    Request.Program = {0, Key};
    Request.Tenant = "t";
    Request.Class = "c";
    Request.Budget = Budget;
    Request.HasParent = Parent != nullptr;
    if (Parent != nullptr)
      Request.Parent = *Parent;
    action_list Actions;
    onCreate(Request, ++Ticket, Now, Owner, Actions);
    recordActions(Actions);
    completeWrites();
  }

  call_ticket call(std::uint64_t Key, std::uint32_t Number, call_kind Kind,
                   const std::string &Body = R"(["x"])") {
    call_request Request;
    Request.Program = {0, Key};
    Request.Call = Number;
    Request.Kind = Kind;
    Request.Body = Body;
    if (Kind != call_kind::Model)
      Request.Service = "s";
    action_list Actions;
    onCall(Request, ++Ticket, Now, Owner, Actions);
    recordActions(Actions);
    completeWrites();
    return Ticket;
  }

  void finishAttempt(const attempt_result &Result) {
    const start_attempt Start = Attempts.back();
    action_list Actions;
    onAttemptResult(Start.Call.Program, Start.AttemptId, Result, Now, Owner,
                    Actions);
    recordActions(Actions);
    completeWrites();
  }

  void advance(milliseconds Time) {
    Now = later(Now, Time);
    action_list Actions;
    onOwnerTick(Now, Owner, Actions);
    recordActions(Actions);
    completeWrites();
  }

  attempt_result makeResult(std::uint64_t Prompt, std::uint64_t Generated) {
    attempt_result Result;
    Result.Response = R"(["answer"])";
    Result.UsageKnown = true;
    Result.PromptTokens = Prompt;
    Result.GeneratedTokens = Generated;
    Result.Runner = "r";
    return Result;
  }

  instant Now{seconds(10'000), seconds(1'000'000)};
  shard_owner Owner;
  bool Outage = false;
  call_ticket Ticket = 0;
  std::map<call_ticket, call_answer> Answers;
  std::vector<start_attempt> Attempts;
  action_list OtherActions;
};

const program_budget AmpleBudget{100'000, 100, 1'000'000};

runner_state makeRunner(const char *Name, const char *Domain) {
  runner_state Runner;
  Runner.Settings.Name = Name;
  Runner.Settings.Domain = Domain;
  Runner.Settings.Slots = 1;
  return Runner;
}

start_attempt makeAttempt(const std::string &Id, std::uint64_t Attained) {
  start_attempt Attempt;
  Attempt.AttemptId = Id;
  Attempt.AttainedTokens = Attained;
  Attempt.Timeout = seconds(100);
  return Attempt;
}

} // namespace

TEST_CASE("a call is answered once it is durable, and replayed afterwards") {
  shard_fixture Fixture;
  Fixture.create(1, AmpleBudget);
  const call_ticket First = Fixture.call(1, 1, call_kind::Model);
  REQUIRE(Fixture.Attempts.size() == 1);
  CHECK(Fixture.Answers.count(First) == 0);
  Fixture.finishAttempt(Fixture.makeResult(10, 5));
  CHECK(Fixture.Answers.at(First).CommittedThrough == 1);
  const call_ticket Again = Fixture.call(1, 1, call_kind::Model);
  CHECK(Fixture.Answers.at(Again).Body == R"(["answer"])");
  CHECK(Fixture.Attempts.size() == 1);
  const call_ticket Other = Fixture.call(1, 1, call_kind::Model, R"(["y"])");
  CHECK(Fixture.Answers.at(Other).Code == error_code::CallConflict);
}

TEST_CASE("two issues of one call share one attempt") {
  shard_fixture Fixture;
  Fixture.create(1, AmpleBudget);
  const call_ticket First = Fixture.call(1, 1, call_kind::Model);
  const call_ticket Second = Fixture.call(1, 1, call_kind::Model);
  Fixture.finishAttempt(Fixture.makeResult(10, 5));
  CHECK(Fixture.Attempts.size() == 1);
  CHECK(Fixture.Answers.at(First).Body == Fixture.Answers.at(Second).Body);
}

TEST_CASE("calls run in the order of their numbers") {
  shard_fixture Fixture;
  Fixture.create(1, AmpleBudget);
  const call_ticket Early = Fixture.call(1, 3, call_kind::Model);
  CHECK(Fixture.Answers.at(Early).Code == error_code::OutOfOrder);
  (void)Fixture.call(1, 1, call_kind::Model);
  const call_ticket Held = Fixture.call(1, 2, call_kind::Model);
  CHECK(Fixture.Attempts.size() == 1);
  Fixture.finishAttempt(Fixture.makeResult(10, 5));
  REQUIRE(Fixture.Attempts.size() == 2);
  CHECK(Fixture.Attempts.back().History == R"("x","answer")");
  Fixture.finishAttempt(Fixture.makeResult(20, 5));
  CHECK(Fixture.Answers.at(Held).Code == error_code::None);
}

TEST_CASE("a side effect is sent only once its intent is durable") {
  shard_fixture Fixture;
  Fixture.create(1, AmpleBudget);
  Fixture.Outage = true;
  const call_ticket Booking = Fixture.call(1, 1, call_kind::ExclusiveService);
  CHECK(Fixture.Attempts.empty());
  SUBCASE("soon") {
    Fixture.Outage = false;
    Fixture.completeWrites();
    CHECK(Fixture.Attempts.size() == 1);
  }
  SUBCASE("too late") {
    Fixture.advance(milliseconds(2'500));
    Fixture.Outage = false;
    Fixture.completeWrites();
    CHECK(Fixture.Attempts.empty());
    CHECK(Fixture.Answers.at(Booking).Run == run_state::NotRun);
    (void)Fixture.call(1, 1, call_kind::ExclusiveService);
    CHECK(Fixture.Attempts.size() == 1);
  }
}

TEST_CASE("a side effect without an answer is never sent again") {
  shard_fixture Fixture;
  Fixture.create(1, AmpleBudget);
  const call_ticket Charge = Fixture.call(1, 1, call_kind::ExclusiveService);
  attempt_result Lost;
  Lost.Code = error_code::OutcomeUnknown;
  Lost.Run = run_state::OutcomeUnknown;
  Fixture.finishAttempt(Lost);
  CHECK(Fixture.Answers.at(Charge).Run == run_state::OutcomeUnknown);
  (void)Fixture.call(1, 1, call_kind::ExclusiveService);
  CHECK(Fixture.Attempts.size() == 1);
  action_list Actions;
  onOutcomeResolved({{0, 1}, 1, run_state::Ran, 200, "receipt", "who", "why"},
                    99, Fixture.Now, Fixture.Owner, Actions);
  Fixture.recordActions(Actions);
  Fixture.completeWrites();
  const call_ticket Known = Fixture.call(1, 1, call_kind::ExclusiveService);
  CHECK(Fixture.Answers.at(Known).Run == run_state::Ran);
  CHECK(Fixture.Answers.at(Known).Body == "receipt");
}

TEST_CASE("a program never spends beyond its budget") {
  shard_fixture Fixture;
  Fixture.create(1, {600, 100, 1'000'000});
  std::uint64_t Spent = 0;
  for (std::uint32_t Number = 1; Number < 50; ++Number) {
    const std::size_t Before = Fixture.Attempts.size();
    const call_ticket Call = Fixture.call(1, Number, call_kind::Model);
    if (Fixture.Attempts.size() == Before) {
      CHECK(Fixture.Answers.at(Call).Code == error_code::BudgetExhausted);
      break;
    }
    const start_attempt &Start = Fixture.Attempts.back();
    Spent += Start.PromptBound + Start.MaxTokens;
    Fixture.finishAttempt(
        Fixture.makeResult(Start.PromptBound, Start.MaxTokens));
  }
  CHECK(Spent <= 600);
  CHECK(Spent > 300);
}

TEST_CASE("turns and wall time are limits too") {
  shard_fixture Fixture;
  Fixture.create(1, {100'000, 1, 60'000});
  (void)Fixture.call(1, 1, call_kind::IdempotentService);
  Fixture.finishAttempt(Fixture.makeResult(0, 0));
  const call_ticket Second = Fixture.call(1, 2, call_kind::Model);
  CHECK(Fixture.Answers.at(Second).Code == error_code::BudgetExhausted);
  Fixture.advance(seconds(61));
  CHECK(Fixture.Owner.State.Programs.at({0, 1}).Ended);
}

TEST_CASE("a sub-agent's budget is carved out of its parent's") {
  shard_fixture Fixture;
  const program_id Parent{0, 1};
  Fixture.create(1, AmpleBudget);
  Fixture.create(2, {60'000, 10, 1'000}, &Parent);
  Fixture.create(3, {60'000, 10, 1'000}, &Parent);
  CHECK(Fixture.Answers.at(3).Code == error_code::BudgetExhausted);
  action_list Actions;
  onEnd({0, 2}, end_reason::Caller, 50, Fixture.Now, Fixture.Owner, Actions);
  Fixture.recordActions(Actions);
  Fixture.completeWrites();
  Fixture.create(4, {60'000, 10, 1'000}, &Parent);
  CHECK(Fixture.Answers.at(4).Code == error_code::None);
}

TEST_CASE("an outage leaves model calls running, within what is reserved") {
  shard_fixture Fixture;
  Fixture.create(1, AmpleBudget);
  Fixture.Outage = true;
  std::uint32_t Answered = 0;
  for (std::uint32_t Number = 1; Number <= 10; ++Number) {
    const std::size_t Before = Fixture.Attempts.size();
    const call_ticket Call = Fixture.call(1, Number, call_kind::Model);
    if (Fixture.Attempts.size() == Before)
      break;
    Fixture.finishAttempt(Fixture.makeResult(100, 20));
    Fixture.advance(milliseconds(2'100));
    CHECK(Fixture.Answers.at(Call).Code == error_code::None);
    CHECK(Fixture.Answers.at(Call).CommittedThrough == 0);
    ++Answered;
    // The next call of the chain may start although nothing is durable.
  }
  CHECK(Answered >= 1);
  Fixture.Outage = false;
  Fixture.completeWrites();
  CHECK(Fixture.Owner.Committed > 2);
}

TEST_CASE("equal journals give equal snapshots") {
  shard_fixture First;
  shard_fixture Second;
  for (shard_fixture *Fixture : {&First, &Second}) {
    Fixture->create(1, AmpleBudget);
    (void)Fixture->call(1, 1, call_kind::Model);
    Fixture->finishAttempt(Fixture->makeResult(10, 5));
  }
  CHECK(encodeSnapshot(First.Owner.State) ==
        encodeSnapshot(Second.Owner.State));
}

TEST_CASE("a snapshot keeps the index and finds the texts again") {
  shard_fixture Fixture;
  Fixture.create(1, AmpleBudget);
  (void)Fixture.call(1, 1, call_kind::Model);
  Fixture.finishAttempt(Fixture.makeResult(10, 5));
  shard_state State = decodeSnapshot(encodeSnapshot(Fixture.Owner.State));
  recorded_call &Call = State.Programs.at({0, 1}).Calls[0];
  CHECK_FALSE(Call.Loaded);
  CHECK(firstUnloadedEntry(State.Programs.at({0, 1})) == Call.Entry);
  call_completed Done;
  Done.Program = {0, 1};
  Done.Call = 1;
  Done.Response = "text";
  loadTexts({0, Call.Entry, "a", 1, {Done}}, State);
  CHECK(Call.Response == "text");
  CHECK(dropTexts(State.LastEntry, State.Programs.at({0, 1})) == 4);
  CHECK_THROWS_AS(decodeSnapshot("garbage"), corrupt_entry);
}

TEST_CASE("texts beyond the bound are dropped and read again when needed") {
  shard_fixture Fixture;
  Fixture.Owner.Settings.MaxTextBytes = 10;
  Fixture.create(1, AmpleBudget);
  (void)Fixture.call(1, 1, call_kind::Model);
  Fixture.finishAttempt(Fixture.makeResult(10, 5));
  Fixture.advance(seconds(2));
  const recorded_call &Call = Fixture.Owner.State.Programs.at({0, 1}).Calls[0];
  CHECK_FALSE(Call.Loaded);
  (void)Fixture.call(1, 2, call_kind::Model);
  CHECK(Fixture.Attempts.size() == 1);
  call_completed Done;
  Done.Program = {0, 1};
  Done.Call = 1;
  Done.Request = R"(["x"])";
  Done.Response = R"(["answer"])";
  action_list Actions;
  onEntryRead(Call.Entry, {read_status::Found, {0, Call.Entry, "a", 1, {Done}}},
              Fixture.Now, Fixture.Owner, Actions);
  Fixture.recordActions(Actions);
  REQUIRE(Fixture.Attempts.size() == 2);
  CHECK(Fixture.Attempts.back().History == R"("x","answer")");
}

TEST_CASE("shards move only with the instance that comes or goes") {
  const std::vector<std::string> Four{"a", "b", "c", "d"};
  const std::vector<std::string> Three{"a", "b", "d"};
  std::map<std::string, int> Counts;
  for (shard_index Shard = 0; Shard < 400; ++Shard) {
    const std::string Before = chooseOwner(Shard, Four);
    ++Counts[Before];
    if (Before != "c")
      CHECK(chooseOwner(Shard, Three) == Before);
  }
  for (const auto &[Name, Count] : Counts)
    CHECK(Count > 60);
  CHECK(chooseOwner(1, {}).empty());
}

TEST_CASE("the queue serves the least attained first and starves nobody") {
  runner_table Table;
  Table.Runners["r"] = makeRunner("r", "d");
  instant Now{seconds(1), seconds(1)};
  std::vector<refused_attempt> Refused;
  CHECK(queueAttempt(makeAttempt("old", 50'000), Now, Table));
  CHECK(queueAttempt(makeAttempt("new", 0), Now, Table));
  auto Placed = placeAttempts(Now, Table, Refused);
  REQUIRE(Placed.size() == 1);
  CHECK(Placed[0].Attempt.AttemptId == "new");
  onAttemptEnded("r", {}, Now, Table);
  Now = later(Now, seconds(28));
  CHECK(queueAttempt(makeAttempt("newer", 0), Now, Table));
  Placed = placeAttempts(Now, Table, Refused);
  CHECK(Placed[0].Attempt.AttemptId == "old");
}

TEST_CASE("attempts go to the runner that holds the prefix, unless it leaves") {
  runner_table Table;
  Table.Domain = "near";
  Table.Runners["far"] = makeRunner("far", "elsewhere");
  Table.Runners["near"] = makeRunner("near", "near");
  const instant Now{seconds(1), seconds(1)};
  std::vector<refused_attempt> Refused;
  start_attempt Attempt = makeAttempt("x", 0);
  Attempt.PreferredRunner = "far";
  Attempt.PromptBound = 10'000;
  CHECK(queueAttempt(Attempt, Now, Table));
  SUBCASE("it stays") {
    CHECK(placeAttempts(Now, Table, Refused)[0].Runner.Name == "far");
  }
  SUBCASE("it drains") {
    runner_load Load;
    Load.Draining = true;
    onLoadReport("far", Load, Table);
    CHECK(placeAttempts(Now, Table, Refused)[0].Runner.Name == "near");
  }
  SUBCASE("it is full for longer than the prefix is worth") {
    Table.Runners["far"].InFlight = 1;
    CHECK(placeAttempts(Now, Table, Refused).empty());
    const instant Later = later(Now, seconds(1));
    CHECK(placeAttempts(Later, Table, Refused)[0].Runner.Name == "near");
  }
}

TEST_CASE("what waits too long is refused as not run") {
  runner_table Table;
  const instant Now{seconds(1), seconds(1)};
  std::vector<refused_attempt> Refused;
  CHECK(queueAttempt(makeAttempt("x", 0), Now, Table));
  CHECK(placeAttempts(later(Now, seconds(31)), Table, Refused).empty());
  REQUIRE(Refused.size() == 1);
  CHECK(Refused[0].Code == error_code::Overloaded);
}

TEST_CASE("runners that fail are ejected, but never more than the share") {
  runner_table Table;
  for (const char *Name : {"a", "b"})
    Table.Runners[Name] = makeRunner(Name, "d");
  const instant Now{seconds(1), seconds(1)};
  attempt_result Failed;
  Failed.Code = error_code::Timeout;
  for (int Index = 0; Index < 10; ++Index) {
    onAttemptEnded("a", Failed, Now, Table);
    onAttemptEnded("b", Failed, Now, Table);
  }
  std::set<std::string> Ejected;
  for (const auto &[Name, Runner] : Table.Runners) {
    if (Runner.EjectedUntil > Now.Steady)
      Ejected.insert(Name);
  }
  CHECK(Ejected.size() == 1);
}
