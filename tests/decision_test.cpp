#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include "decision/call_flow.h"
#include "decision/runner_table.h"
#include "decision/shard_placement.h"
#include "fuzz.h"

#include <doctest/doctest.h>
#include <map>
#include <set>

using namespace lentilhoist;

namespace {

/// The owner of shard 0, which it has claimed. Writes and reads of the platform
/// complete at once, unless Outage is set.
struct shard_fixture {
  shard_fixture() {
    Owner.Self = "a";
    action_list Actions;
    beginRecovery(Now, Owner, Actions);
    onJournalRead(shard_state(), 0, Now, Owner, Actions);
    claimShard(Now, Owner, Actions);
    completeWrites();
  }

  /// Answers all pending writes and ownership checks, as the platform would.
  void completeWrites() {
    while (Owner.Sealed && !Outage) {
      action_list Actions;
      onWriteResult(Owner.Sealed->Number, write_status::Created, Now, Owner,
                    Actions);
      if (Owner.Sealed)
        onSnapshotNumberRead(0, Now, Owner, Actions);
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

TEST_CASE("a model call is answered once it is durable, and a repetition gets "
          "the recorded answer") {
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

TEST_CASE("a call that is issued twice while it runs has one attempt") {
  shard_fixture Fixture;
  Fixture.create(1, AmpleBudget);
  const call_ticket First = Fixture.call(1, 1, call_kind::Model);
  const call_ticket Second = Fixture.call(1, 1, call_kind::Model);
  Fixture.finishAttempt(Fixture.makeResult(10, 5));
  CHECK(Fixture.Attempts.size() == 1);
  CHECK(Fixture.Answers.at(First).Body == Fixture.Answers.at(Second).Body);
}

TEST_CASE("calls of a program run in the order of their numbers") {
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

TEST_CASE(
    "an exclusive call is sent only after its intent is durable, and only "
    "within the send window") {
  shard_fixture Fixture;
  Fixture.create(1, AmpleBudget);
  Fixture.Outage = true;
  const call_ticket Booking = Fixture.call(1, 1, call_kind::ExclusiveService);
  CHECK(Fixture.Attempts.empty());
  SUBCASE("the intent is durable within the send window") {
    Fixture.Outage = false;
    Fixture.completeWrites();
    CHECK(Fixture.Attempts.size() == 1);
  }
  SUBCASE("the intent is durable after the send window") {
    Fixture.advance(milliseconds(2'500));
    Fixture.Outage = false;
    Fixture.completeWrites();
    CHECK(Fixture.Attempts.empty());
    CHECK(Fixture.Answers.at(Booking).Run == run_state::NotRun);
    (void)Fixture.call(1, 1, call_kind::ExclusiveService);
    CHECK(Fixture.Attempts.size() == 1);
  }
}

TEST_CASE("an exclusive call with an unknown outcome is not sent again, and is "
          "answered once the outcome is resolved") {
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

TEST_CASE("a program does not exceed its token budget") {
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

TEST_CASE("a program is limited by its turns and its wall time") {
  shard_fixture Fixture;
  Fixture.create(1, {100'000, 1, 60'000});
  (void)Fixture.call(1, 1, call_kind::IdempotentService);
  Fixture.finishAttempt(Fixture.makeResult(0, 0));
  const call_ticket Second = Fixture.call(1, 2, call_kind::Model);
  CHECK(Fixture.Answers.at(Second).Code == error_code::BudgetExhausted);
  Fixture.advance(seconds(61));
  CHECK(Fixture.Owner.State.Programs.at({0, 1}).Ended);
}

TEST_CASE("a sub-agent's budget is allocated from its parent's and returned at "
          "its end") {
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

TEST_CASE(
    "model calls run during a platform outage within the reserved tokens") {
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
    // The next call may start although this one is not durable.
  }
  CHECK(Answered >= 1);
  Fixture.Outage = false;
  Fixture.completeWrites();
  CHECK(Fixture.Owner.Committed > 2);
}

TEST_CASE("equal sequences of calls yield equal snapshots") {
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

TEST_CASE("a snapshot omits the texts, which are loaded again from the entry") {
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

TEST_CASE("texts above the memory limit are evicted and loaded again for the "
          "next call") {
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

TEST_CASE("removing an instance moves only its own shards, and the load is "
          "balanced") {
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

TEST_CASE(
    "the queue serves the least attained service first, and aging prevents "
    "starvation") {
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

TEST_CASE(
    "an attempt goes to the runner that caches its prefix, unless that one "
    "is draining or full") {
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
  SUBCASE("the runner is available") {
    CHECK(placeAttempts(Now, Table, Refused)[0].Runner.Name == "far");
  }
  SUBCASE("the runner is draining") {
    runner_load Load;
    Load.Draining = true;
    onLoadReport("far", Load, Table);
    CHECK(placeAttempts(Now, Table, Refused)[0].Runner.Name == "near");
  }
  SUBCASE("the runner is full for longer than the affinity wait") {
    Table.Runners["far"].InFlight = 1;
    CHECK(placeAttempts(Now, Table, Refused).empty());
    const instant Later = later(Now, seconds(1));
    CHECK(placeAttempts(Later, Table, Refused)[0].Runner.Name == "near");
  }
}

TEST_CASE("an attempt that is queued for too long is refused as overloaded") {
  runner_table Table;
  const instant Now{seconds(1), seconds(1)};
  std::vector<refused_attempt> Refused;
  CHECK(queueAttempt(makeAttempt("x", 0), Now, Table));
  CHECK(placeAttempts(later(Now, seconds(31)), Table, Refused).empty());
  REQUIRE(Refused.size() == 1);
  CHECK(Refused[0].Code == error_code::Overloaded);
}

TEST_CASE("failing runners are ejected up to the maximum share of their pool") {
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

TEST_CASE("a repeated create with another parent or wall time is a conflict") {
  shard_fixture Fixture;
  Fixture.create(1, AmpleBudget);
  const program_id Parent{0, 1};
  const program_budget Small{1'000, 10, 1'000};
  Fixture.create(2, Small, &Parent);
  Fixture.create(2, Small, &Parent);
  CHECK(Fixture.Answers.at(Fixture.Ticket).Code == error_code::None);
  Fixture.create(3, Small);
  const program_id Other{0, 3};
  Fixture.create(2, Small, &Other);
  CHECK(Fixture.Answers.at(Fixture.Ticket).Code == error_code::Conflict);
  Fixture.create(2, {1'000, 10, 2'000}, &Parent);
  CHECK(Fixture.Answers.at(Fixture.Ticket).Code == error_code::Conflict);
}

TEST_CASE("a model call whose retry the budget does not cover ends at once as "
          "budget_exhausted") {
  shard_fixture Fixture;
  Fixture.create(1, AmpleBudget);
  const call_ticket Ticket = Fixture.call(1, 1, call_kind::Model);
  program_state &Program = Fixture.Owner.State.Programs.at({0, 1});
  Program.ReservedTokens = 0;
  Program.CarvedTokens = Program.Budget.Tokens;
  attempt_result NotRun;
  NotRun.Code = error_code::RunnerFailed;
  NotRun.Run = run_state::NotRun;
  Fixture.finishAttempt(NotRun);
  REQUIRE(Fixture.Answers.contains(Ticket));
  CHECK(Fixture.Answers.at(Ticket).Code == error_code::BudgetExhausted);
}

TEST_CASE("damaged snapshots are rejected") {
  shard_fixture Fixture;
  Fixture.create(1, AmpleBudget);
  (void)Fixture.call(1, 1, call_kind::Model);
  Fixture.finishAttempt(Fixture.makeResult(10, 5));
  fuzz({encodeSnapshot(Fixture.Owner.State)},
       [](const std::string &Bytes) { decodeSnapshot(Bytes); });
}
