#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include "history/chain_cache.h"
#include "history/copy_progress.h"
#include "history/quorum.h"
#include "history/segment_log.h"

#include <doctest/doctest.h>
#include <filesystem>
#include <fstream>

using namespace lentilhoist;

namespace {

const instant Start{seconds(100), milliseconds(0)};
const replica_limits Limits{10'000'000, milliseconds(5'000)};

replica_set makeSet(std::uint64_t Version = 3) {
  return {
      Version,
      1,
      true,
      {{"a", "a:1", "za", ""}, {"b", "b:1", "zb", ""}, {"c", "c:1", "zc", ""}}};
}

replica_state makeReplica(bool Complete = true) {
  replica_state State;
  State.Complete = Complete;
  adoptReplicaSet(State, makeSet());
  return State;
}

turn_record makeTurn(std::string Id, std::string Previous) {
  return {Id,    std::move(Previous), "p", "<" + Id + ">", "[" + Id + "]\n", 20,
          60'000};
}

replica_reply reserve(replica_state &State, const std::string &Attempt,
                      const std::string &Previous = "", instant Now = Start) {
  replica_request Request;
  Request.Operation = replica_operation::Reserve;
  Request.SetVersion = 3;
  Request.Program = "p";
  Request.Entry = {Attempt, 100, false};
  Request.RetentionMs = 60'000;
  Request.Previous = Previous;
  Request.WantChain = true;
  return handleRequest(State, Request, 1, Limits, Now).Reply;
}

void commit(replica_state &State, const turn_record &Turn,
            instant Now = Start) {
  replica_request Request;
  Request.Operation = replica_operation::Commit;
  Request.SetVersion = 3;
  Request.Turn = Turn;
  handleRequest(State, Request, 1, Limits, Now);
}

quorum_round roundOf(std::vector<replica_reply> Replies) {
  quorum_round Round = beginRound(makeSet());
  for (std::size_t Slot = 0; Slot < Replies.size(); ++Slot)
    addAnswer(Round, Slot, std::move(Replies[Slot]), Start);
  return Round;
}

membership_view viewOf(const std::string &Node,
                       std::optional<replica_set> Set) {
  membership_view View;
  View.Node = Node;
  View.Address = Node + ":1";
  View.Set = std::move(Set);
  return View;
}

} // namespace

TEST_CASE("two of three complete replicas decide, an incomplete one never") {
  replica_state A = makeReplica();
  replica_state B = makeReplica(false);
  replica_state C = makeReplica();
  CHECK_FALSE(hasQuorum(roundOf({reserve(A, "1"), reserve(B, "1")}), Start));
  CHECK(hasQuorum(roundOf({reserve(A, "1"), reserve(B, "1"), reserve(C, "1")}),
                  Start));
}

TEST_CASE("a replica alone can't deny a turn that two others were told") {
  // A has written, C was cut off, A loses its disk, B is dark, C comes back.
  replica_state A = makeReplica(false);
  replica_state C = makeReplica();
  const quorum_round Round =
      roundOf({reserve(A, "2", "t1"), {}, reserve(C, "2", "t1")});
  quorum_round WithoutB = Round;
  WithoutB.Answers[1].reset();
  CHECK_FALSE(hasQuorum(WithoutB, Start));
}

TEST_CASE("answers far apart do not count together") {
  replica_state A = makeReplica();
  replica_state B = makeReplica();
  quorum_round Round = beginRound(makeSet());
  addAnswer(Round, 0, reserve(A, "1"), Start);
  const instant Later = later(Start, AnswerWindow + milliseconds(1));
  addAnswer(Round, 1, reserve(B, "1"), Later);
  CHECK_FALSE(hasQuorum(Round, Later));
  CHECK(staleAnswerSlots(Round, Later) == std::vector<std::size_t>{0});
  addAnswer(Round, 0, reserve(A, "1"), Later);
  CHECK(hasQuorum(Round, Later));
}

TEST_CASE("of two racing reservations at least one sees the other") {
  replica_state A = makeReplica();
  replica_state B = makeReplica();
  replica_state C = makeReplica();
  const auto First =
      mergeReservation(roundOf({reserve(A, "1"), reserve(B, "1")}), "1");
  const auto Second =
      mergeReservation(roundOf({reserve(C, "2"), reserve(B, "2")}), "2");
  CHECK(First.OthersTokens + Second.OthersTokens >= 100);
}

TEST_CASE("a settled entry beats a reservation, whichever comes first") {
  replica_state A = makeReplica();
  replica_state B = makeReplica();
  reserve(A, "1");
  reserve(B, "1");
  replica_request Settle;
  Settle.Operation = replica_operation::Settle;
  Settle.SetVersion = 3;
  Settle.Program = "p";
  Settle.Entry = {"1", 30, true};
  handleRequest(A, Settle, 1, Limits, Start);
  CHECK(mergeReservation(roundOf({reserve(A, "2"), reserve(B, "2")}), "2")
            .OthersTokens == 30);
  // A reservation that arrives late changes nothing.
  reserve(A, "1");
  CHECK(mergeReservation(roundOf({reserve(A, "3")}), "3").OthersTokens ==
        30 + 100);
}

TEST_CASE("a budget holds a turn only with its most") {
  CHECK(checkBudget(0, 100, 100) == budget_decision::Granted);
  CHECK(checkBudget(1, 100, 100) == budget_decision::Spent);
  CHECK(checkBudget(200, 0, 100) == budget_decision::Spent);
  CHECK(checkBudget(~0ULL, 1, ~0ULL) == budget_decision::Spent);
}

TEST_CASE("a chain is joined from its start, and a gap is named") {
  replica_state State = makeReplica();
  commit(State, makeTurn("t1", ""));
  commit(State, makeTurn("t2", "t1"));
  commit(State, makeTurn("x", "t1"));
  const replica_reply Reply = reserve(State, "t3", "t2");
  CHECK(Reply.PreviousFound);
  std::map<std::string, turn_record> Turns;
  for (const turn_record &Turn : Reply.Turns)
    Turns.emplace(Turn.Id, Turn);
  CHECK(joinChain(Turns, "t2").Text == "<t1>[t1]\n<t2>[t2]\n");
  Turns.erase("t1");
  CHECK(joinChain(Turns, "t2").Missing == "t1");
  CHECK_FALSE(reserve(State, "t4", "nope").PreviousFound);
}

TEST_CASE("a reservation tells the runner that the turn before ran on") {
  // The instance that sent the turn there may be another one, or have
  // restarted since: only the history knows where the prompt is kept.
  replica_state Knows = makeReplica();
  replica_state Missed = makeReplica();
  turn_record Turn = makeTurn("t1", "");
  Turn.Runner = {"runner-7", 1'234};
  commit(Knows, Turn);
  const merged_reservation View = mergeReservation(
      roundOf({reserve(Knows, "t2", "t1"), reserve(Missed, "t2", "t1")}), "t2");
  CHECK(View.PreviousRunner.Id == "runner-7");
  CHECK(View.PreviousRunner.BornMs == 1'234);
  CHECK(mergeReservation(roundOf({reserve(Knows, "t3")}), "t3")
            .PreviousRunner.Id.empty());
}

TEST_CASE("a request of an older replica set is refused with the newer one") {
  replica_state State = makeReplica();
  adoptReplicaSet(State, makeSet(5));
  const replica_reply Reply = reserve(State, "1");
  CHECK(Reply.Status == replica_status::OldSet);
  REQUIRE(Reply.Set.size() == 1);
  CHECK(Reply.Set[0].Version == 5);
  CHECK(State.Ledgers.empty());
}

TEST_CASE("turns outlive their retention while a later turn needs them") {
  replica_state State = makeReplica();
  commit(State, makeTurn("t1", ""));
  commit(State, makeTurn("t2", "t1"), later(Start, seconds(50)));
  expireRecords(State, later(Start, seconds(70)));
  CHECK(State.Turns.contains("t1"));
  expireRecords(State, later(Start, seconds(120)));
  CHECK(State.Turns.empty());
  CHECK(State.Ledgers.empty());
  CHECK(State.Bytes == 0);
  CHECK(State.Order.empty());
  CHECK(emptySegments(State, 2) == std::vector<segment_number>{1});
  CHECK(emptySegments(State, 1).empty());
}

TEST_CASE("a full replica refuses new work and still settles") {
  replica_state State = makeReplica();
  const replica_limits Tiny{10, milliseconds(0)};
  replica_request Request;
  Request.SetVersion = 3;
  Request.Operation = replica_operation::Commit;
  Request.Turn = makeTurn("t1", "");
  CHECK(handleRequest(State, Request, 1, Tiny, Start).Reply.Status ==
        replica_status::Done);
  Request.Turn = makeTurn("t2", "t1");
  CHECK(handleRequest(State, Request, 1, Tiny, Start).Reply.Status ==
        replica_status::Refused);
  Request.Operation = replica_operation::Settle;
  CHECK(handleRequest(State, Request, 1, Tiny, Start).Reply.Status ==
        replica_status::Done);
}

TEST_CASE("a copy carries all that a replica holds, in batches") {
  replica_state Source = makeReplica();
  std::string Last;
  for (int Index = 0; Index < 400; ++Index) {
    turn_record Turn = makeTurn("t" + std::to_string(Index), Last);
    Turn.Input.assign(4'000, 'x');
    Last = Turn.Id;
    commit(Source, Turn);
  }
  replica_state Copy = makeReplica(false);
  replica_request Request;
  Request.Operation = replica_operation::Copy;
  Request.SetVersion = 3;
  int Batches = 0;
  for (bool Done = false; !Done; ++Batches) {
    const replica_limits Wide{10'000'000, milliseconds(0)};
    const auto Reply = handleRequest(Source, Request, 1, Wide, Start).Reply;
    applyCopyBatch(Copy, Reply, 1, Wide, Start);
    Request.Cursor = Reply.Cursor;
    Done = Reply.Cursor >= Reply.Head;
  }
  CHECK(Batches > 2);
  CHECK(Copy.Turns.size() == Source.Turns.size());
  CHECK(Copy.Ledgers.at("p").Entries.size() == 400);
}

TEST_CASE("a copy needs two other slots, a predecessor counts as one") {
  replica_set Set = makeSet();
  copy_progress Progress;
  CHECK(restartIfSetChanged(Progress, Set));
  CHECK(claimCopySources(Progress, Set, "c:1") ==
        std::vector<std::string>{"a:1", "b:1"});
  CHECK(claimCopySources(Progress, Set, "c:1").empty());
  Progress.Copied = {"a:1"};
  CHECK_FALSE(isCopyComplete(Progress, Set, "c:1"));
  Progress.Copied = {"a:1", "b:1"};
  CHECK(isCopyComplete(Progress, Set, "c:1"));
  Set.Slots[2].Predecessor = "old:1";
  Progress.Copied = {"a:1", "old:1"};
  CHECK(isCopyComplete(Progress, Set, "c:1"));
  Set.Version = 4;
  CHECK(restartIfSetChanged(Progress, Set));
  CHECK(Progress.Copied.empty());
}

TEST_CASE("the replica set forms, and a lost replica is replaced") {
  membership_view View = viewOf("a", std::nullopt);
  CHECK(decideMembership(View).Step == membership_step::None);
  View.FirstStart = true;
  auto Decision = decideMembership(View);
  CHECK(Decision.Step == membership_step::CreateSet);
  Decision = decideMembership(viewOf("b", Decision.Set));
  CHECK(Decision.Step == membership_step::Join);
  CHECK_FALSE(Decision.Set.Established);
  Decision = decideMembership(viewOf("c", Decision.Set));
  CHECK(Decision.Set.Established);
  CHECK(Decision.Set.Version == 3);

  membership_view Spare = viewOf("d", Decision.Set);
  Spare.Unreachable = {false, false, false};
  CHECK(decideMembership(Spare).Step == membership_step::None);
  Spare.Unreachable = {false, true, false};
  Decision = decideMembership(Spare);
  CHECK(Decision.Step == membership_step::TakeOver);
  CHECK(Decision.Set.Slots[1].Address == "d:1");
  CHECK(Decision.Set.Slots[1].Predecessor == "b:1");
  // Whoever reaches too few is cut off itself.
  Spare.Unreachable = {true, true, false};
  CHECK(decideMembership(Spare).Step == membership_step::None);
  // One change at a time.
  membership_view Other = viewOf("e", Decision.Set);
  Other.Unreachable = {true, false, false};
  CHECK(decideMembership(Other).Step == membership_step::None);
  const auto Done = withoutPredecessor(Decision.Set, "d:1");
  REQUIRE(Done);
  CHECK(isReferenced(Decision.Set, "b", "b:1"));
  CHECK_FALSE(isReferenced(*Done, "b", "b:1"));
  CHECK_FALSE(withoutPredecessor(*Done, "d:1"));
}

TEST_CASE("a retiring replica is replaced at once, and takes no slot again") {
  membership_view Spare = viewOf("d", makeSet());
  Spare.Unreachable = {false, false, false};
  Spare.Retiring = {"c"};
  const auto Decision = decideMembership(Spare);
  CHECK(Decision.Step == membership_step::TakeOver);
  CHECK(Decision.Set.Slots[2].Predecessor == "c:1");
  Spare.Retiring = {"d", "c"};
  CHECK(decideMembership(Spare).Step == membership_step::None);
}

TEST_CASE("a replica set survives its text form, broken text is refused") {
  const auto Set = decodeReplicaSet(encodeReplicaSet(makeSet()));
  REQUIRE(Set);
  CHECK(Set->Slots.size() == 3);
  CHECK(Set->Slots[1].Domain == "zb");
  CHECK_FALSE(decodeReplicaSet("{}"));
  CHECK_FALSE(decodeReplicaSet("\xff"));
}

TEST_CASE("records before a torn one are read, those behind it are not") {
  const auto Folder =
      std::filesystem::temp_directory_path() / "lentilhoist-segments-test";
  std::filesystem::remove_all(Folder);
  replica_change Change;
  Change.Kind = change_kind::Turn;
  Change.Turn = makeTurn("t1", "");
  const std::string Record = encodeRecord(Change);
  {
    segment_log Log(Folder.string());
    const auto Next = Log.load([](const auto &, const auto &, bool) {});
    CHECK(Next == 1);
    Log.begin(Next);
    Log.append(Record + Record);
    Log.append(Record.substr(0, Record.size() - 3));
  }
  int Records = 0;
  segment_log Log(Folder.string());
  const auto Next =
      Log.load([&](const replica_change &Read, record_place At, bool Whole) {
        CHECK(Read.Turn.Id == "t1");
        CHECK(At.Segment == 1);
        CHECK(At.Offset == static_cast<std::size_t>(Records) * Record.size());
        CHECK(At.Length == Record.size());
        CHECK(Whole);
        CHECK(readRecord(Folder.string(), At).Turn.Output == "[t1]\n");
        ++Records;
      });
  CHECK(Records == 2);
  CHECK(Next == 2);
  CHECK(Log.diskBytes() == 3 * Record.size() - 3);
  Log.remove(1);
  CHECK(Log.diskBytes() == 0);
  std::filesystem::remove_all(Folder);
}

TEST_CASE("no damage to a segment yields a record that was not written") {
  replica_change Change;
  Change.Kind = change_kind::Turn;
  Change.Turn = makeTurn("t1", "");
  const std::string Bytes = encodeRecord(Change) + encodeRecord(Change);
  for (std::size_t At = 0; At < Bytes.size(); ++At) {
    std::string Damaged = Bytes;
    Damaged[At] = static_cast<char>(Damaged[At] ^ 0x41);
    int Records = 0;
    readRecords(Damaged,
                [&](const replica_change &Read, std::size_t, std::size_t) {
                  ++Records;
                  CHECK(Read.Turn.Output == "[t1]\n");
                });
    CHECK(Records < 2);
  }
}

TEST_CASE("the texts of old turns are dropped once the journal holds them") {
  replica_state State = makeReplica();
  replica_limits Small = Limits;
  Small.MaxTextBytes = 10; // Each turn has nine.
  for (const char *Id : {"t1", "t2", "t3"})
    commit(State, makeTurn(Id, ""));
  const std::size_t Before = State.Bytes;
  evictTexts(State, Small);
  CHECK(State.Bytes == Before); // None is known to be durable.
  setTurnPlace(State, "t1", {1, 0, 90});
  setTurnPlace(State, "t2", {9, 0, 90}); // A record of an earlier life.
  evictTexts(State, Small);
  CHECK_FALSE(State.Turns.at("t1").TextsInMemory);
  CHECK(State.Turns.at("t2").TextsInMemory);
  setTurnPlace(State, "t2", {1, 90, 90});
  evictTexts(State, Small);
  CHECK_FALSE(State.Turns.at("t2").TextsInMemory);
  CHECK(State.Turns.at("t3").TextsInMemory);
  CHECK(State.Bytes == Before - 18);
  // Long texts give their memory back.
  turn_record Long = makeTurn("long", "");
  Long.Output.assign(5'000, 'x');
  replica_state Other = makeReplica();
  commit(Other, Long);
  setTurnPlace(Other, "long", {1, 0, 5'000});
  evictTexts(Other, Small);
  CHECK(Other.Turns.at("long").Record.Output.capacity() < 100);
  // A chain says which texts are to be read, and all expires to nothing.
  replica_request Read;
  Read.Operation = replica_operation::Read;
  Read.SetVersion = 3;
  Read.Turns = {"t3", "t2"};
  const replica_outcome Outcome = handleRequest(State, Read, 1, Small, Start);
  REQUIRE(Outcome.Unread.size() == 1);
  CHECK(Outcome.Unread[0].Index == 1);
  CHECK(Outcome.Unread[0].Place.Offset == 90);
  expireRecords(State, later(Start, seconds(600)));
  CHECK(State.Bytes == 0);
  CHECK(State.TextBytes == 0);
}

TEST_CASE("an index leaves out texts, and damage to it is seen") {
  replica_change Change;
  Change.Kind = change_kind::Turn;
  Change.Turn = makeTurn("t2", "t1");
  Change.Turn.Runner = {"r", 7};
  segment_index Index;
  addToIndex(Index, Change, {3, 10, 20});
  const std::string Bytes = encodeIndex(Index);
  segment_index Read;
  REQUIRE(decodeIndex(Bytes, Read));
  REQUIRE(Read.Records.size() == 1);
  const turn_record &Turn = Read.Records[0].Change.Turn;
  CHECK(Turn.Previous == "t1");
  CHECK(Turn.Runner.BornMs == 7);
  CHECK(Turn.Input.empty());
  CHECK(Read.Records[0].Place.Offset == 10);
  for (std::size_t At = 0; At < Bytes.size(); ++At) {
    std::string Damaged = Bytes;
    Damaged[At] = static_cast<char>(Damaged[At] ^ 0x41);
    CHECK_FALSE(decodeIndex(Damaged, Read));
    CHECK_FALSE(decodeIndex(Bytes.substr(0, At), Read));
  }
}

TEST_CASE("an index keeps only the reservations that it does not settle") {
  const auto EntryOf = [](const char *Attempt, bool Settled) {
    replica_change Change;
    Change.Kind = change_kind::Entry;
    Change.Program = "p";
    Change.Entry = {Attempt, 5, Settled};
    return Change;
  };
  replica_change Turn;
  Turn.Kind = change_kind::Turn;
  Turn.Turn = makeTurn("1", "");
  segment_index Index;
  for (const replica_change &Change :
       {EntryOf("1", false), EntryOf("2", false), EntryOf("3", false), Turn,
        EntryOf("2", true), EntryOf("1", false)})
    addToIndex(Index, Change, {});
  dropSettledReservations(Index);
  REQUIRE(Index.Records.size() == 4);
  CHECK(Index.Records[0].Change.Entry.Attempt == "3");
  CHECK(Index.Records[1].Change.Turn.Id == "1");
  CHECK(Index.Records[2].Change.Entry.Settled);
  // A late one changes nothing, as a settled entry stays settled.
  CHECK_FALSE(Index.Records[3].Change.Entry.Settled);
}

TEST_CASE("a message that is none is an error") {
  CHECK_THROWS(decodeReplicaRequest("nothing"));
  CHECK_THROWS(decodeReplicaReply(""));
}

TEST_CASE("recent chains are kept within their memory") {
  chain_cache Cache(10);
  Cache.put("a", "12345");
  Cache.put("b", "12345");
  CHECK(Cache.find("a"));
  Cache.put("c", "123");
  CHECK(Cache.find("a"));
  CHECK_FALSE(Cache.find("b"));
  Cache.put("huge", std::string(11, 'x'));
  CHECK_FALSE(Cache.find("huge"));
  CHECK(Cache.bytes() <= 10);
}
