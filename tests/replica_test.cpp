#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include "free_ports.h"
#include "history/history_client.h"
#include "history/replica_server.h"
#include "platform/store_protocol.h"
#include "replica/replica_daemon.h"
#include "replica/replica_repair.h"
#include "replica/replica_store.h"
#include "watched_store.h"

#include <algorithm>
#include <csignal>
#include <doctest/doctest.h>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <sys/resource.h>
#include <unistd.h>

using namespace lentilhoist;

namespace {

constexpr std::size_t DiskBytes = 100'000'000;
const replica_limits Limits{10'000'000, milliseconds(0)};

/// A temporary folder that is removed at the end of the test case.
struct temporary_folder {
  temporary_folder()
      : Path(std::filesystem::temp_directory_path() /
             ("lentilhoist-replica-" + std::to_string(::getpid()))) {
    std::filesystem::remove_all(Path);
  }
  ~temporary_folder() { std::filesystem::remove_all(Path); }
  std::filesystem::path Path;
};

replica_request commitOf(const std::string &Id, std::uint64_t RetentionMs) {
  replica_request Request;
  Request.Operation = replica_operation::Commit;
  Request.SetVersion = 1;
  Request.Turn = {Id, "", "p", "in", "out\n", 10, RetentionMs};
  return Request;
}

void markComplete(replica_store &Store) {
  replica_change Change;
  Change.Kind = change_kind::Complete;
  Store.apply(Change, [](bool) {});
}

/// Handles a request and runs the event loop until the reply arrives.
replica_status handleAndWait(asio::io_context &Loop, replica_store &Store,
                             const replica_request &Request) {
  std::optional<replica_status> Status;
  Store.handle(Request,
               [&](const replica_reply &Reply) { Status = Reply.Status; });
  const auto Guard = asio::make_work_guard(Loop);
  while (!Status) {
    Loop.restart();
    Loop.run_one_for(seconds(5));
  }
  return *Status;
}

replica_request ledgerRequest(replica_operation Operation,
                              const std::string &Attempt,
                              std::uint64_t Tokens) {
  replica_request Request;
  Request.Operation = Operation;
  Request.SetVersion = 1;
  Request.Program = "p";
  Request.Entry = {Attempt, Tokens, Operation == replica_operation::Settle};
  Request.RetentionMs = 60'000;
  return Request;
}

std::uintmax_t bytesOfSegments(const temporary_folder &Folder) {
  std::uintmax_t Bytes = 0;
  for (const auto &Entry : std::filesystem::directory_iterator(Folder.Path))
    Bytes += Entry.path().extension() == ".segment" ? Entry.file_size() : 0;
  return Bytes;
}

bool segmentExists(const temporary_folder &Folder, segment_number Number) {
  return std::filesystem::exists(segmentPath(Folder.Path.string(), Number));
}

/// Three replicas of an established set, each in a thread of its own.
class replica_group {
public:
  static constexpr int Size = 3;

  /// \param Spares number of further complete replicas, outside the set.
  explicit replica_group(int Spares = 0) {
    const int Count = Size + Spares;
    const int Port = freePorts(2 * Count);
    Set = {1, 1, true, {}};
    std::vector<replica_slot> Slots;
    for (int Index = 0; Index < Count; ++Index) {
      const std::string Name = "replica" + std::to_string(Index);
      Addresses.push_back("127.0.0.1:" + std::to_string(Port + 2 * Index));
      Slots.push_back({Name, Addresses.back(), "here", ""});
      const std::string Data = (Folder.Path / Name).string();
      asio::io_context Loop;
      replica_store Complete(Loop, Data + "/history", DiskBytes, Limits);
      markComplete(Complete);
      handleAndWait(Loop, Complete,
                    ledgerRequest(replica_operation::Settle, "first", 1));
    }
    Set.Slots.assign(Slots.begin(), Slots.begin() + Size);
    Store.serve(platform::ReplicaSetKind, "main", encodeReplicaSet(Set));
    Store.acceptWrites(platform::ReplicaSetKind);
    for (int Index = 0; Index < Count; ++Index) {
      instance_settings Settings;
      Settings.Name = Slots[static_cast<std::size_t>(Index)].Node;
      Settings.Domain = "here";
      Settings.Address = "127.0.0.1";
      Settings.ReplicaAddress = Addresses[static_cast<std::size_t>(Index)];
      Settings.FirstPort = static_cast<std::uint16_t>(Port + 2 * Index + 1);
      Settings.StoreAddress = Store.address();
      Settings.DataFolder = (Folder.Path / Settings.Name).string();
      Settings.MemoryBytes = 100'000'000;
      Settings.DiskBytes = DiskBytes;
      Threads.emplace_back([Settings] { runReplica(Settings, [] {}); });
      Links.push_back(
          std::make_shared<history_link>(Loop, Settings.ReplicaAddress));
    }
  }
  ~replica_group() {
    for (const auto &Link : Links)
      Link->close();
    pthread_kill(Threads.front().native_handle(), SIGTERM);
    for (std::thread &Thread : Threads)
      Thread.join();
  }
  replica_group(const replica_group &) = delete;
  replica_group &operator=(const replica_group &) = delete;

  /// Sends a request to one replica and waits for its reply.
  replica_reply call(int Replica, replica_request Request) {
    std::optional<replica_reply> Reply;
    Links[static_cast<std::size_t>(Replica)]->send(
        std::move(Request), [&](replica_reply Given) { Reply = Given; });
    runUntil([&] { return Reply.has_value(); }, seconds(10));
    return Reply.value_or(replica_reply{});
  }

  /// Runs the event loop of the test until a condition holds.
  void runUntil(const std::function<bool()> &Condition, milliseconds Longest) {
    const auto Guard = asio::make_work_guard(Loop);
    const auto Begin = std::chrono::steady_clock::now();
    while (!Condition() && std::chrono::steady_clock::now() - Begin < Longest) {
      Loop.restart();
      Loop.run_one_for(milliseconds(100));
    }
  }

  asio::io_context &loop() { return Loop; }
  const replica_set &set() const { return Set; }

  /// Changes the set in the store, of which all replicas are told.
  void changeSet(const replica_set &Next) {
    Store.setSpec(encodeReplicaSet(Next), "main");
    Store.change(platform::ReplicaSetKind);
  }

  const std::string &address(int Replica) const {
    return Addresses[static_cast<std::size_t>(Replica)];
  }
  int running() const { return static_cast<int>(Threads.size()); }

  /// Waits until its running replicas have read a set.
  void awaitSet(const replica_set &Awaited) {
    for (int Replica = 0; Replica < running(); ++Replica)
      if (Awaited.find(address(Replica)))
        runUntil(
            [&] {
              replica_request Ping;
              Ping.SetVersion = Awaited.Version;
              return call(Replica, Ping).SetReplicas == hashReplicas(Awaited);
            },
            seconds(5));
  }

  /// \returns the ids of the chain that ends with a turn, as one replica
  /// returns it, newest first.
  std::string chainAt(int Replica, const std::string &Last) {
    replica_request Request;
    Request.Operation = replica_operation::Read;
    Request.SetVersion = 1;
    Request.Turns = {Last};
    std::string Ids;
    for (const turn_record &Turn : call(Replica, Request).Turns)
      Ids += Turn.Id + " ";
    return Ids;
  }

private:
  temporary_folder Folder;
  watched_store Store;
  replica_set Set;
  asio::io_context Loop;
  std::vector<std::string> Addresses;
  std::vector<std::thread> Threads;
  std::vector<std::shared_ptr<history_link>> Links;
};

/// While it exists, writes of this process beyond a file size fail, as on a
/// disk with errors.
class failing_disk {
public:
  explicit failing_disk(rlim_t FileBytes)
      : PreviousHandler(std::signal(SIGXFSZ, SIG_IGN)) {
    getrlimit(RLIMIT_FSIZE, &Previous);
    const rlimit Limit{FileBytes, Previous.rlim_max};
    setrlimit(RLIMIT_FSIZE, &Limit);
  }
  ~failing_disk() {
    setrlimit(RLIMIT_FSIZE, &Previous);
    std::signal(SIGXFSZ, PreviousHandler);
  }
  failing_disk(const failing_disk &) = delete;
  failing_disk &operator=(const failing_disk &) = delete;

private:
  rlimit Previous{};
  void (*PreviousHandler)(int);
};

} // namespace

TEST_CASE("replica store restores acknowledged commits after a restart") {
  const temporary_folder Folder;
  {
    asio::io_context Loop;
    replica_store Store(Loop, Folder.Path.string(), DiskBytes, Limits);
    CHECK_FALSE(Store.state().Complete);
    markComplete(Store);
    CHECK(handleAndWait(Loop, Store, commitOf("t1", 60'000)) ==
          replica_status::Done);
    CHECK(handleAndWait(Loop, Store, commitOf("t2", 60'000)) ==
          replica_status::Done);
  }
  asio::io_context Loop;
  const replica_store Store(Loop, Folder.Path.string(), DiskBytes, Limits);
  CHECK(Store.state().Complete);
  CHECK(Store.state().SetVersion == 1);
  CHECK(Store.state().Turns.size() == 2);
  CHECK(Store.state().Ledgers.at("p").Entries.at("t1").Entry.Tokens == 10);
}

TEST_CASE("replica store refuses commits on a full disk and keeps those it "
          "acknowledged") {
  const temporary_folder Folder;
  asio::io_context Loop;
  replica_store Store(Loop, Folder.Path.string(), 1'000, Limits);
  int Accepted = 0;
  bool Refused = false;
  for (int Index = 0; Index < 20 && !Refused; ++Index) {
    Refused = handleAndWait(Loop, Store,
                            commitOf("t" + std::to_string(Index), 60'000)) ==
              replica_status::Refused;
    Accepted += Refused ? 0 : 1;
  }
  CHECK(Refused);
  CHECK(Accepted > 0);
  asio::io_context OtherLoop;
  const replica_store Restarted(OtherLoop, Folder.Path.string(), DiskBytes,
                                Limits);
  CHECK(Restarted.state().Turns.size() == static_cast<std::size_t>(Accepted));
}

TEST_CASE("replica store deletes segments whose records have expired") {
  const temporary_folder Folder;
  asio::io_context Loop;
  replica_store Store(Loop, Folder.Path.string(), DiskBytes, Limits);
  markComplete(Store);
  replica_request Large = commitOf("large", 0);
  Large.Turn.Program = "short-lived";
  Large.Turn.Input.assign(MaxSegmentBytes, 'x');
  CHECK(handleAndWait(Loop, Store, Large) == replica_status::Done);
  CHECK(handleAndWait(Loop, Store, commitOf("small", 60'000)) ==
        replica_status::Done);
  Store.expire();
  CHECK(handleAndWait(Loop, Store, commitOf("last", 60'000)) ==
        replica_status::Done);
  std::uintmax_t Bytes = 0;
  for (const auto &Entry : std::filesystem::directory_iterator(Folder.Path))
    Bytes += Entry.file_size();
  CHECK(Bytes < MaxSegmentBytes / 2);
  // The newer segment repeats the completeness record of the deleted one.
  asio::io_context OtherLoop;
  const replica_store Restarted(OtherLoop, Folder.Path.string(), DiskBytes,
                                Limits);
  CHECK(Restarted.state().Complete);
  CHECK(Restarted.state().Turns.contains("small"));
}

TEST_CASE("replica store relocates the live records of the oldest segment when "
          "there are too many segments") {
  const temporary_folder Folder;
  asio::io_context Loop;
  replica_store Store(Loop, Folder.Path.string(), 5 * MaxSegmentBytes, Limits);
  markComplete(Store);
  for (int Index = 0; Index < 3; ++Index) {
    const std::string Id = "t" + std::to_string(Index);
    CHECK(handleAndWait(Loop, Store, commitOf(Id, 60'000)) ==
          replica_status::Done);
    replica_request Large = commitOf("large" + Id, 0);
    Large.Turn.Program = "short-lived";
    Large.Turn.Input.assign(MaxSegmentBytes, 'x');
    CHECK(handleAndWait(Loop, Store, Large) == replica_status::Done);
    Store.expire();
  }
  CHECK(handleAndWait(Loop, Store, commitOf("last", 60'000)) ==
        replica_status::Done);
  Store.expire();
  CHECK(handleAndWait(Loop, Store, commitOf("really last", 60'000)) ==
        replica_status::Done);
  CHECK(Store.state().LiveRecords.begin()->first > 1);
  asio::io_context OtherLoop;
  const replica_store Restarted(OtherLoop, Folder.Path.string(),
                                5 * MaxSegmentBytes, Limits);
  for (const char *Id : {"t0", "t1", "t2", "last"})
    CHECK(Restarted.state().Turns.contains(Id));
}

TEST_CASE("replica store reads texts that are not in memory from the journal") {
  const temporary_folder Folder;
  replica_limits Small = Limits;
  Small.MaxTextBytes = 0;
  const auto ReadChain = [](replica_store &Store) {
    replica_request Request;
    Request.Operation = replica_operation::Read;
    Request.SetVersion = 1;
    Request.Turns = {"t1"};
    replica_reply Read;
    Store.handle(Request, [&](const replica_reply &Reply) { Read = Reply; });
    return Read;
  };
  {
    asio::io_context Loop;
    replica_store Store(Loop, Folder.Path.string(), 5 * MaxSegmentBytes, Small);
    markComplete(Store);
    CHECK(handleAndWait(Loop, Store, commitOf("t1", 60'000)) ==
          replica_status::Done);
    CHECK_FALSE(Store.state().Turns.at("t1").TextsInMemory);
    REQUIRE(ReadChain(Store).Turns.size() == 1);
    CHECK(ReadChain(Store).Turns[0].Output == "out\n");
  }
  // The first start reads the segment and writes its index. The second one
  // loads the index. The third one meets truncated indexes.
  for (const bool Damage : {false, false, true}) {
    if (Damage)
      for (const auto &Entry : std::filesystem::directory_iterator(Folder.Path))
        if (Entry.path().extension() == ".index")
          std::filesystem::resize_file(Entry.path(), Entry.file_size() / 2);
    asio::io_context Loop;
    replica_store Store(Loop, Folder.Path.string(), 5 * MaxSegmentBytes, Small);
    CHECK(Store.state().Complete);
    CHECK_FALSE(Store.state().Turns.at("t1").TextsInMemory);
    const replica_reply Read = ReadChain(Store);
    CHECK(Read.Status == replica_status::Done);
    REQUIRE(Read.Turns.size() == 1);
    CHECK(Read.Turns[0].Input == "in");
    CHECK(Store.state().Ledgers.at("p").Entries.at("t1").Entry.Tokens == 10);
    const std::string Id = "t" + std::to_string(Store.state().Turns.size() + 1);
    CHECK(handleAndWait(Loop, Store, commitOf(Id, 60'000)) ==
          replica_status::Done);
  }
  CHECK(std::filesystem::exists(Folder.Path / "000000000001.index"));
  // Relocation moves the texts along with their records.
  asio::io_context Loop;
  replica_store Store(Loop, Folder.Path.string(), 5 * MaxSegmentBytes, Small);
  Store.expire();
  CHECK(handleAndWait(Loop, Store, commitOf("last", 60'000)) ==
        replica_status::Done);
  CHECK(Store.state().Turns.at("t1").Location.Segment > 1);
  CHECK(ReadChain(Store).Turns[0].Output == "out\n");
  // The writer executes a removal before it acknowledges writes queued later:
  // after this one, the loop below can't meet the relocated segment's file.
  CHECK(handleAndWait(Loop, Store, commitOf("after removal", 60'000)) ==
        replica_status::Done);
  // A read of a damaged record is refused rather than answered wrongly.
  for (const auto &Entry : std::filesystem::directory_iterator(Folder.Path))
    if (Entry.path().extension() == ".segment")
      std::filesystem::resize_file(Entry.path(), Entry.file_size() / 8);
  CHECK(ReadChain(Store).Status == replica_status::Refused);
}

TEST_CASE(
    "replica store keeps a segment whose live records could not be moved") {
  const temporary_folder Folder;
  for (const char *Id : {"t1", "t2", "t3"}) {
    asio::io_context Loop;
    replica_store Store(Loop, Folder.Path.string(), DiskBytes, Limits);
    markComplete(Store);
    CHECK(handleAndWait(Loop, Store, commitOf(Id, 60'000)) ==
          replica_status::Done);
  }
  std::uintmax_t Bytes = 0;
  for (const auto &Entry : std::filesystem::directory_iterator(Folder.Path))
    Bytes += Entry.path().extension() == ".segment" ? Entry.file_size() : 0;
  {
    // The disk is full: in each round, the relocation and the repeated commit
    // fail.
    asio::io_context Loop;
    replica_store Store(Loop, Folder.Path.string(), Bytes, Limits);
    for (int Round = 0; Round < 3; ++Round) {
      Store.expire();
      CHECK(handleAndWait(Loop, Store, commitOf("t4", 60'000)) ==
            replica_status::Refused);
    }
  }
  asio::io_context Loop;
  const replica_store Restarted(Loop, Folder.Path.string(), DiskBytes, Limits);
  for (const char *Id : {"t1", "t2", "t3"})
    CHECK(Restarted.state().Turns.contains(Id));
}

// Guards against a runner that gets a conversation with a text missing
// (UNASKED): a turn whose texts can't be read was returned without them.
TEST_CASE("a replica returns no turn that it can't read, and the others to a "
          "replica that fetches them") {
  const temporary_folder Folder;
  replica_limits NoTexts = Limits;
  NoTexts.MaxTextBytes = 0;
  asio::io_context Loop;
  replica_store Store(Loop, Folder.Path.string(), DiskBytes, NoTexts);
  markComplete(Store);
  for (const char *Id : {"t1", "t2"}) {
    replica_request Request = commitOf(Id, 60'000);
    Request.Turn.Previous = *(Id + 1) == '2' ? "t1" : "";
    Request.Turn.Input.assign(100'000, *(Id + 1));
    CHECK(handleAndWait(Loop, Store, Request) == replica_status::Done);
  }
  // The record of the second turn is damaged.
  for (const auto &Entry : std::filesystem::directory_iterator(Folder.Path))
    if (Entry.path().extension() == ".segment")
      std::filesystem::resize_file(Entry.path(), Entry.file_size() - 10);
  const auto Call = [&](replica_request Request) {
    Request.SetVersion = 1;
    replica_reply Reply;
    Store.handle(Request, [&](const replica_reply &Given) { Reply = Given; });
    return Reply;
  };
  replica_request Read;
  Read.Operation = replica_operation::Read;
  Read.Turns = {"t2"};
  const replica_reply Refused = Call(Read);
  CHECK(Refused.Status == replica_status::Refused);
  for (const turn_record &Turn : Refused.Turns)
    CHECK(Turn.Input.size() == 100'000);
  replica_request Fetch;
  Fetch.Operation = replica_operation::Fetch;
  Fetch.Records = {{"t2", "", true}, {"t1", "", true}};
  const replica_reply Fetched = Call(Fetch);
  CHECK(Fetched.Status == replica_status::Done);
  REQUIRE(Fetched.Turns.size() == 1);
  CHECK(Fetched.Turns[0].Id == "t1");
  CHECK(Fetched.TurnsLeftMs.size() == 1);
}

TEST_CASE("replica store restores backups of the platform's objects, also from "
          "newer segments") {
  const temporary_folder Folder;
  const store_backup Backup{"config", {"main"}, {"{\"version\":7}"}};
  {
    asio::io_context Loop;
    replica_store Store(Loop, Folder.Path.string(), DiskBytes, Limits);
    markComplete(Store);
    replica_change Change;
    Change.Kind = change_kind::Backup;
    Change.Backup = Backup;
    Store.apply(Change, [](bool) {});
    CHECK(handleAndWait(Loop, Store, commitOf("t1", 60'000)) ==
          replica_status::Done);
  }
  for (int Restart = 0; Restart < 2; ++Restart) {
    asio::io_context Loop;
    replica_store Store(Loop, Folder.Path.string(), DiskBytes, Limits);
    replica_request Request;
    Request.Operation = replica_operation::Backups;
    Request.SetVersion = 1;
    std::vector<store_backup> Read;
    Store.handle(Request,
                 [&](const replica_reply &Reply) { Read = Reply.Backups; });
    REQUIRE(Read.size() == 1);
    CHECK(Read.front() == Backup);
  }
}

TEST_CASE("a segment is kept until the record that replaces its own is known "
          "to be durable") {
  const temporary_folder Folder;
  {
    asio::io_context Loop;
    replica_store Store(Loop, Folder.Path.string(), DiskBytes, Limits);
    markComplete(Store);
    CHECK(handleAndWait(Loop, Store,
                        ledgerRequest(replica_operation::Reserve, "a", 100)) ==
          replica_status::Done);
  }
  SUBCASE("the replacing write is still queued") {
    asio::io_context Loop;
    {
      replica_store Store(Loop, Folder.Path.string(), DiskBytes, Limits);
      Store.handle(ledgerRequest(replica_operation::Settle, "a", 40),
                   [](const replica_reply &) {});
      Store.expire();
    }
    CHECK(segmentExists(Folder, 1));
  }
  SUBCASE("the replacing write was refused") {
    asio::io_context Loop;
    replica_store Store(Loop, Folder.Path.string(), bytesOfSegments(Folder),
                        Limits);
    CHECK(handleAndWait(Loop, Store,
                        ledgerRequest(replica_operation::Settle, "a", 40)) ==
          replica_status::Refused);
    Store.expire();
    CHECK(handleAndWait(Loop, Store, commitOf("t1", 60'000)) ==
          replica_status::Refused);
  }
  asio::io_context Loop;
  const replica_store Restarted(Loop, Folder.Path.string(), DiskBytes, Limits);
  REQUIRE(Restarted.state().Ledgers.contains("p"));
  CHECK(Restarted.state().Ledgers.at("p").Entries.contains("a"));
}

TEST_CASE("a segment is kept until a newer one repeats the replica set and the "
          "completeness") {
  const temporary_folder Folder;
  {
    asio::io_context Loop;
    replica_store Store(Loop, Folder.Path.string(), DiskBytes, Limits);
    markComplete(Store);
    replica_request Expired = commitOf("t1", 0);
    CHECK(handleAndWait(Loop, Store, Expired) == replica_status::Done);
  }
  {
    // The header of the new segment does not fit on the disk.
    asio::io_context Loop;
    replica_store Store(Loop, Folder.Path.string(), bytesOfSegments(Folder),
                        Limits);
    for (int Round = 0; Round < 3; ++Round) {
      Store.expire();
      CHECK(handleAndWait(Loop, Store, commitOf("t2", 60'000)) ==
            replica_status::Refused);
    }
  }
  asio::io_context Loop;
  const replica_store Restarted(Loop, Folder.Path.string(), DiskBytes, Limits);
  CHECK(Restarted.state().Complete);
  CHECK(Restarted.state().SetVersion == 1);
}

// Guards against a set of one version with the members of another: segments
// repeated the newest version together with the slots of an older set.
TEST_CASE("a segment repeats the newest version that is known apart from an "
          "older set") {
  const temporary_folder Folder;
  const replica_set Set{
      1,
      1,
      true,
      {{"a", "a:1", "", ""}, {"b", "b:1", "", ""}, {"c", "c:1", "", ""}}};
  {
    asio::io_context Loop;
    replica_store Store(Loop, Folder.Path.string(), DiskBytes, Limits);
    replica_change Change;
    Change.Kind = change_kind::Set;
    Change.Set = Set;
    Store.apply(Change, [](bool) {});
    // A sender knows a set that this replica has not read yet.
    replica_request Newer = commitOf("t1", 60'000);
    Newer.SetVersion = 2;
    handleAndWait(Loop, Store, Newer);
  }
  for (int Restart = 0; Restart < 3; ++Restart) {
    CAPTURE(Restart);
    asio::io_context Loop;
    replica_store Store(Loop, Folder.Path.string(), DiskBytes, Limits);
    CHECK(Store.state().SetVersion == 2);
    CHECK(Store.state().Set.Version == 1);
    CHECK(Store.state().Set.Slots.size() == 3);
    std::optional<replica_reply> Reply;
    Store.handle(commitOf("t2", 60'000),
                 [&](replica_reply Given) { Reply = std::move(Given); });
    REQUIRE(Reply);
    CHECK(Reply->Status == replica_status::OldSet);
    CHECK(Reply->Set.empty());
  }
}

TEST_CASE("an older set that an older build repeated under the newest version "
          "is not taken for the set of that version") {
  const temporary_folder Folder;
  replica_set Set{
      1,
      1,
      true,
      {{"a", "a:1", "", ""}, {"b", "b:1", "", ""}, {"c", "c:1", "", ""}}};
  {
    asio::io_context Loop;
    replica_store Store(Loop, Folder.Path.string(), DiskBytes, Limits);
    for (; Set.Version <= 2; ++Set.Version) {
      replica_change Change;
      Change.Kind = change_kind::Set;
      Change.Set = Set;
      Store.apply(Change, [](bool) {});
    }
    CHECK(handleAndWait(Loop, Store, commitOf("t1", 60'000)) ==
          replica_status::OldSet);
    replica_request Commit = commitOf("t2", 60'000);
    Commit.SetVersion = 2;
    handleAndWait(Loop, Store, Commit);
  }
  asio::io_context Loop;
  const replica_store Restarted(Loop, Folder.Path.string(), DiskBytes, Limits);
  CHECK(Restarted.state().SetVersion == 2);
  CHECK(Restarted.state().Set.Version == 1);
}

TEST_CASE("a replica passes on the set of a version that it knew from a "
          "request before it read the set") {
  replica_group Group;
  replica_request Ping;
  Ping.SetVersion = 2;
  CHECK(Group.call(0, Ping).Status == replica_status::Done);
  replica_set Next = Group.set();
  Next.Version = 2;
  Next.Slots[2].Domain = "elsewhere";
  Group.changeSet(Next);
  replica_reply Reply;
  Group.runUntil(
      [&] {
        Reply = Group.call(0, commitOf("t1", 60'000));
        return !Reply.Set.empty();
      },
      seconds(5));
  CHECK(Reply.Status == replica_status::OldSet);
  REQUIRE(Reply.Set.size() == 1);
  CHECK(Reply.Set[0].Version == 2);
  CHECK(Reply.Set[0].Slots[2].Domain == "elsewhere");
}

namespace {

/// \returns a request as an instance sends it that uses a set.
replica_request inSet(replica_request Request, const replica_set &Set) {
  Request.SetVersion = Set.Version;
  Request.SetReplicas = hashReplicas(Set);
  return Request;
}

/// What the replicas of a set say about a turn.
struct turn_search {
  bool Denied = false; ///< A quorum doesn't have it.
  bool Found = false;  ///< A quorum answers, and one of it has the turn.
};

/// Asks all running replicas of a set for a turn.
/// \param[in,out] Newest replaced by a later set that a replica returns.
turn_search searchTurn(replica_group &Group, const replica_set &Set,
                       const std::string &Turn, replica_set &Newest) {
  replica_request Reserve = ledgerRequest(replica_operation::Reserve, "t2", 1);
  Reserve.Previous = Turn;
  quorum_round All = beginRound(Set);
  quorum_round Without = All;
  bool Found = false;
  for (int Replica = 0; Replica < Group.running(); ++Replica) {
    const auto Slot = Set.find(Group.address(Replica));
    if (!Slot)
      continue;
    const replica_reply Reply = Group.call(Replica, inSet(Reserve, Set));
    for (const replica_set &Later : Reply.Set)
      if (isLaterSet(Later, Newest))
        Newest = Later;
    Found = Found || Reply.PreviousFound;
    addAnswer(All, *Slot, Reply, readClock());
    if (!Reply.PreviousFound)
      addAnswer(Without, *Slot, Reply, readClock());
  }
  return {hasQuorum(Without, readClock()),
          Found && hasQuorum(All, readClock())};
}

/// Replaces the set in the store by one of the same version, of which an
/// acknowledged turn must not be denied in any of the two or in a later one.
/// \returns the set in which the turn was found; version 0 if it wasn't.
replica_set searchAfterConflict(replica_group &Group, const replica_set &Former,
                                const replica_set &Other) {
  replica_set Newest = Other;
  Group.changeSet(Other);
  const auto Begin = std::chrono::steady_clock::now();
  while (std::chrono::steady_clock::now() - Begin < seconds(10)) {
    for (const replica_set &Set : {Other, Former})
      CHECK_FALSE(searchTurn(Group, Set, "t1", Newest).Denied);
    if (Newest.Version == Other.Version)
      continue;
    const turn_search Search = searchTurn(Group, Newest, "t1", Newest);
    CHECK_FALSE(Search.Denied);
    if (Search.Found)
      return Newest;
  }
  return {};
}

} // namespace

// Guards against two replica sets of one version, as an older build may write
// them (review case 11): a turn that was acknowledged under the one was denied
// under the other.
TEST_CASE("a replica that was displaced under the same version takes its slot "
          "back, and no turn is denied meanwhile") {
  replica_group Group(1);
  const replica_set Former = Group.set();
  Group.awaitSet(Former);
  for (const int Replica : {0, 2})
    CHECK(Group.call(Replica, inSet(commitOf("t1", 60'000), Former)).Status ==
          replica_status::Done);
  replica_set Other = Former;
  Other.Slots[2].Node = "replica3";
  Other.Slots[2].Address = Group.address(3);
  const replica_set Last = searchAfterConflict(Group, Former, Other);
  CHECK(Last.Version == 2);
  CHECK(hasSameReplicas(Last, Former));
}

TEST_CASE("members end a conflict of two sets once they hold what the replicas "
          "of both have acknowledged, if the displaced one is gone") {
  replica_group Group;
  replica_set Other = Group.set();
  Other.Version = 2;
  replica_set Former = Other;
  Former.Slots[2].Node = "gone";
  Former.Slots[2].Address = "127.0.0.1:1";
  Group.changeSet(Former);
  Group.awaitSet(Former);
  // The other replica that acknowledged the turn is the one that is gone.
  CHECK(Group.call(0, inSet(commitOf("t1", 60'000), Former)).Status ==
        replica_status::Done);
  const replica_set Last = searchAfterConflict(Group, Former, Other);
  CHECK(Last.Version == 3);
  CHECK(hasSameReplicas(Last, Other));
}

TEST_CASE("a replica accepts writes again once its disk does, and then deletes "
          "the segments that it could not relocate") {
  const temporary_folder Folder;
  for (const char *Id : {"t1", "t2", "t3"}) {
    asio::io_context Loop;
    replica_store Store(Loop, Folder.Path.string(), DiskBytes, Limits);
    markComplete(Store);
    CHECK(handleAndWait(Loop, Store, commitOf(Id, 60'000)) ==
          replica_status::Done);
  }
  asio::io_context Loop;
  {
    // Two segments at most: the oldest ones are relocated.
    replica_store Store(Loop, Folder.Path.string(), 5 * MaxSegmentBytes,
                        Limits);
    CHECK(handleAndWait(Loop, Store, commitOf("t4", 60'000)) ==
          replica_status::Done);
    {
      const failing_disk Failing(1);
      for (int Round = 0; Round < 3; ++Round) {
        Store.expire();
        CHECK(handleAndWait(Loop, Store, commitOf("t5", 60'000)) ==
              replica_status::Refused);
      }
      for (const segment_number Segment : {1, 2, 3})
        CHECK(segmentExists(Folder, Segment));
    }
    CHECK(handleAndWait(Loop, Store, commitOf("t5", 60'000)) ==
          replica_status::Done);
    for (int Round = 0; Round < 6; ++Round) {
      Store.expire();
      CHECK(handleAndWait(Loop, Store,
                          commitOf("later" + std::to_string(Round), 60'000)) ==
            replica_status::Done);
    }
    CHECK_FALSE(segmentExists(Folder, 1));
    CHECK_FALSE(segmentExists(Folder, 2));
  }
  const replica_store Restarted(Loop, Folder.Path.string(), DiskBytes, Limits);
  for (const char *Id : {"t1", "t2", "t3", "t4", "t5"})
    CHECK(Restarted.state().Turns.contains(Id));
}

TEST_CASE("a record that was refused and then repeated stays when its first "
          "segment is deleted") {
  const temporary_folder Folder;
  asio::io_context Loop;
  {
    replica_store Store(Loop, Folder.Path.string(), DiskBytes, Limits);
    markComplete(Store);
    replica_request Large = commitOf("large", 0);
    Large.Turn.Program = "short-lived";
    Large.Turn.Input.assign(MaxSegmentBytes, 'x');
    {
      const failing_disk Failing(1);
      CHECK(handleAndWait(Loop, Store, commitOf("t1", 60'000)) ==
            replica_status::Refused);
    }
    // The next segment begins behind the large record.
    CHECK(handleAndWait(Loop, Store, Large) == replica_status::Done);
    CHECK(handleAndWait(Loop, Store, commitOf("t1", 60'000)) ==
          replica_status::Done);
    CHECK(handleAndWait(Loop, Store, Large) == replica_status::Done);
    for (int Round = 0; Round < 4; ++Round) {
      Store.expire();
      CHECK(handleAndWait(Loop, Store,
                          commitOf("later" + std::to_string(Round), 60'000)) ==
            replica_status::Done);
    }
  }
  const replica_store Restarted(Loop, Folder.Path.string(), DiskBytes, Limits);
  CHECK(Restarted.state().Turns.contains("t1"));
}

TEST_CASE("a batch of a copy without records is durable") {
  const temporary_folder Folder;
  asio::io_context Loop;
  replica_store Store(Loop, Folder.Path.string(), DiskBytes, Limits);
  // The journal's thread is idle after this.
  CHECK(handleAndWait(Loop, Store, commitOf("t1", 60'000)) ==
        replica_status::Incomplete);
  std::optional<bool> Durable;
  Store.addCopyBatch({}, [&](bool Result) { Durable = Result; });
  const auto Guard = asio::make_work_guard(Loop);
  while (!Durable) {
    Loop.restart();
    Loop.run_one_for(seconds(5));
  }
  CHECK(*Durable);
}

// Guards against replicas whose watches wait out their long poll behind a store
// that fell silent as their call arrived (incident DRAIN); entry instances
// start from what replicas know.
TEST_CASE("a replica knows each change soon after the store has returned, "
          "whatever it watches and however the store failed") {
  constexpr milliseconds MaxDelay{1'500};
  constexpr const char *Kinds[] = {platform::ReplicaSetKind,
                                   platform::RetirementKind,
                                   platform::ConfigKind, platform::RunnerKind};
  const auto Await = [](const std::function<bool()> &Condition) {
    const auto Start = std::chrono::steady_clock::now();
    while (!Condition() &&
           std::chrono::steady_clock::now() - Start < seconds(15))
      std::this_thread::sleep_for(milliseconds(5));
  };
  for (const store_fault Fault :
       {store_fault::Silent, store_fault::Busy, store_fault::Reset}) {
    const temporary_folder Folder;
    watched_store Store;
    instance_settings Settings;
    Settings.Name = "replica";
    Settings.Domain = "here";
    Settings.Address = "127.0.0.1";
    const int Port = freePorts(2);
    Settings.ReplicaAddress = "127.0.0.1:" + std::to_string(Port);
    Settings.FirstPort = static_cast<std::uint16_t>(Port + 1);
    Settings.StoreAddress = Store.address();
    Settings.DataFolder = Folder.Path.string();
    Settings.MemoryBytes = 100'000'000;
    Settings.DiskBytes = DiskBytes;
    std::thread Replica([&] { runReplica(Settings, [] {}); });
    for (const char *Kind : Kinds)
      Await([&] { return Store.isWatched(Kind); });
    Store.fail(Fault);
    std::this_thread::sleep_for(seconds(3));
    Store.fail(store_fault::None);
    for (const char *Kind : Kinds)
      Store.change(Kind);
    const auto Start = std::chrono::steady_clock::now();
    for (const char *Kind : Kinds) {
      CAPTURE(static_cast<int>(Fault));
      CAPTURE(std::string(Kind));
      Await([&] { return Store.knowsLastChange(Kind); });
      CHECK(std::chrono::steady_clock::now() - Start < MaxDelay);
    }
    pthread_kill(Replica.native_handle(), SIGTERM);
    Replica.join();
  }
}

// Guards against keys of callers on the disk: replicas keep copies of the
// configuration.
TEST_CASE("a replica's backup of the configuration has no keys") {
  const temporary_folder Folder;
  watched_store Store;
  instance_settings Settings;
  Settings.Name = "replica";
  Settings.Domain = "here";
  Settings.Address = "127.0.0.1";
  const int Port = freePorts(2);
  Settings.ReplicaAddress = "127.0.0.1:" + std::to_string(Port);
  Settings.FirstPort = static_cast<std::uint16_t>(Port + 1);
  Settings.StoreAddress = Store.address();
  Settings.DataFolder = Folder.Path.string();
  Settings.MemoryBytes = 100'000'000;
  Settings.DiskBytes = DiskBytes;
  const auto AnyFileHas = [&](const std::string &Text) {
    for (const auto &Entry :
         std::filesystem::recursive_directory_iterator(Folder.Path)) {
      if (!Entry.is_regular_file())
        continue;
      std::ifstream File(Entry.path(), std::ios::binary);
      const std::string Content{std::istreambuf_iterator<char>(File), {}};
      if (Content.find(Text) != std::string::npos)
        return true;
    }
    return false;
  };
  const auto Await = [](const std::function<bool()> &Condition) {
    const auto Start = std::chrono::steady_clock::now();
    while (!Condition() &&
           std::chrono::steady_clock::now() - Start < seconds(15))
      std::this_thread::sleep_for(milliseconds(20));
    return Condition();
  };
  std::thread Replica([&] { runReplica(Settings, [] {}); });
  CHECK(Await([&] { return Store.isWatched(platform::ConfigKind); }));
  Store.setSpec(R"({"version":7,"routes":[],"services":[],
    "tenants":[{"name":"customer","api-keys":["secret"]}]})");
  Store.change(platform::ConfigKind);
  CHECK(Await([&] { return AnyFileHas("customer"); }));
  CHECK_FALSE(AnyFileHas("secret"));
  pthread_kill(Replica.native_handle(), SIGTERM);
  Replica.join();
  CHECK_FALSE(AnyFileHas("secret"));
}

// Guards against turns and entries that stay on a quorum only (review case 6):
// with the disk of one more replica lost, what only it held was gone for good.
TEST_CASE("a replica gets the records that it missed from the other replicas, "
          "without whoever wrote them") {
  constexpr milliseconds CatchUpTime{4'400};
  replica_group Group;
  const auto Commit = [&](const std::string &Id, const std::string &Previous,
                          const std::vector<int> &Replicas) {
    replica_request Request = commitOf(Id, 60'000);
    Request.Turn.Previous = Previous;
    for (const int Replica : Replicas)
      CHECK(Group.call(Replica, Request).Status == replica_status::Done);
  };
  Commit("t1", "", {0, 1, 2});
  Commit("t2", "t1", {1, 2});
  Commit("t3", "t2", {0, 2});
  Commit("t4", "t3", {0, 1, 2});
  for (const int Replica : {0, 1})
    Group.call(Replica,
               ledgerRequest(replica_operation::Reserve, "broken", 100));
  Group.call(2, ledgerRequest(replica_operation::Settle, "broken", 7));
  const auto Begin = std::chrono::steady_clock::now();
  const auto HasAll = [&](int Replica) {
    if (Group.chainAt(Replica, "t4") != "t4 t3 t2 t1 ")
      return false;
    const replica_reply Reply = Group.call(
        Replica, ledgerRequest(replica_operation::Reserve, "last", 1));
    return std::any_of(Reply.Ledger.begin(), Reply.Ledger.end(),
                       [](const ledger_entry &Entry) {
                         return Entry.Attempt == "broken" && Entry.Settled &&
                                Entry.Tokens == 7;
                       });
  };
  for (const int Replica : {0, 1, 2}) {
    while (!HasAll(Replica) &&
           std::chrono::steady_clock::now() - Begin < CatchUpTime)
      std::this_thread::sleep_for(milliseconds(50));
    CAPTURE(Replica);
    CHECK(HasAll(Replica));
    CHECK(Group.chainAt(Replica, "t4") == "t4 t3 t2 t1 ");
  }
}

// Guards against a conversation that can't be continued where its text is not
// in memory (review case 7): the replies with its turns exceeded a frame.
TEST_CASE("a chain larger than a frame is read by an instance that does not "
          "have its text") {
  constexpr int TurnCount = 8;
  constexpr std::size_t InputBytes = 4'000'000;
  replica_group Group;
  const auto Client = [&](const std::string &Domain) {
    auto Created =
        std::make_unique<history_client>(Group.loop(), Domain, 11'000'000);
    Created->setReplicas(Group.set(), "test");
    return Created;
  };
  const auto Writer = Client("here");
  std::string Chain;
  std::string Last;
  for (int Index = 0; Index < TurnCount; ++Index) {
    turn_record Turn;
    Turn.Id = "t" + std::to_string(Index);
    Turn.Previous = Last;
    Turn.Program = "p";
    Turn.Input = std::string(InputBytes, static_cast<char>('a' + Index));
    Turn.Output = "out\n";
    Turn.RetentionMs = 60'000;
    std::optional<bool> Durable;
    const auto Commit = Writer->commit(Turn, Chain, seconds(10),
                                       [&](bool Done) { Durable = Done; });
    Group.runUntil([&] { return Durable.has_value(); }, seconds(20));
    CHECK(Durable.value_or(false));
    Chain += Turn.Input + Turn.Output;
    Last = Turn.Id;
  }
  for (const char *Domain : {"here", "elsewhere"}) {
    const auto Reader = Client(Domain);
    turn_reservation Reservation;
    Reservation.Program = "p";
    Reservation.Attempt = std::string("next ") + Domain;
    Reservation.Previous = Last;
    Reservation.Budget = 1'000;
    Reservation.RetentionMs = 60'000;
    std::optional<reserve_result> Result;
    const auto Read =
        Reader->reserve(Reservation, milliseconds(1'200),
                        [&](reserve_result Done) { Result = std::move(Done); });
    Group.runUntil([&] { return Result.has_value(); }, seconds(20));
    REQUIRE(Result.has_value());
    CHECK(std::string(reserveOutcomeName(Result->Outcome)) == "granted");
    CHECK(Result->Chain.empty());
    CHECK(Result->Parts.size() == TurnCount);
    std::string Text;
    for (const text_part &Part : Result->Parts)
      for (std::uint64_t Offset = 0; Offset < Part.Bytes;
           Offset += MaxTextReplyBytes) {
        std::optional<std::optional<std::string>> Read;
        const auto Operation = Reader->readTexts(
            "",
            {{Part.Turn, Offset,
              std::min<std::uint64_t>(MaxTextReplyBytes, Part.Bytes - Offset)}},
            milliseconds(1'200),
            [&](std::optional<std::string> Done) { Read = std::move(Done); });
        Group.runUntil([&] { return Read.has_value(); }, seconds(20));
        REQUIRE(Read.value_or(std::nullopt).has_value());
        Text += **Read;
      }
    CHECK(Text.size() == Chain.size());
    CHECK((Text == Chain));
  }
}

// Guards against replies with texts that are not those of the turn, and against
// turns of an older build whose size is not known.
TEST_CASE("replica store returns sizes and parts of texts that are only in the "
          "journal") {
  const temporary_folder Folder;
  replica_limits Small = Limits;
  Small.MaxTextBytes = 0;
  const auto Ask = [](asio::io_context &Loop, replica_store &Store,
                      replica_operation Operation, std::uint64_t TextLimit,
                      std::vector<text_part> Parts = {}) {
    replica_request Request;
    Request.Operation = Operation;
    Request.SetVersion = 1;
    Request.Turns = {"t2"};
    Request.TextLimit = TextLimit;
    Request.Parts = std::move(Parts);
    std::optional<replica_reply> Reply;
    Store.handle(Request, [&](replica_reply Given) { Reply = Given; });
    while (!Reply) {
      Loop.restart();
      Loop.run_one_for(seconds(5));
    }
    return *Reply;
  };
  const auto CheckTexts = [&](asio::io_context &Loop, replica_store &Store) {
    const replica_reply Listed = Ask(Loop, Store, replica_operation::Read, 1);
    REQUIRE(Listed.Turns.size() == 2);
    for (const turn_record &Turn : Listed.Turns) {
      CHECK(Turn.Input.empty());
      CHECK(Turn.TextBytes == 1'004);
    }
    CHECK(Ask(Loop, Store, replica_operation::Read, 5'000)
              .Turns.front()
              .Input.size() == 1'000);
    CHECK(Ask(Loop, Store, replica_operation::Texts, 0,
              {{"t1", 998, 5}, {"t2", 0, 3}})
              .Text == "11out222");
    CHECK(Ask(Loop, Store, replica_operation::Texts, 0, {{"t1", 0, 1'005}})
              .Text.empty());
  };
  {
    asio::io_context Loop;
    replica_store Store(Loop, Folder.Path.string(), DiskBytes, Small);
    markComplete(Store);
    for (const char *Id : {"t1", "t2"}) {
      replica_request Request = commitOf(Id, 60'000);
      Request.Turn.Previous = Id == std::string("t2") ? "t1" : "";
      Request.Turn.Input.assign(1'000, Id[1]);
      CHECK(handleAndWait(Loop, Store, Request) == replica_status::Done);
    }
    CHECK_FALSE(Store.state().Turns.at("t1").TextsInMemory);
    CheckTexts(Loop, Store);
    replica_request Filler = commitOf("filler", 60'000);
    Filler.Turn.Program = "other";
    Filler.Turn.Input.assign(MaxSegmentBytes, 'x');
    CHECK(handleAndWait(Loop, Store, Filler) == replica_status::Done);
    CHECK(handleAndWait(Loop, Store, commitOf("last", 60'000)) ==
          replica_status::Done);
  }
  std::uint64_t Known = 1'004;
  SUBCASE("after a restart from an index") {}
  SUBCASE("after a restart from an index of an older build") {
    Known = 0;
    for (const auto &File : std::filesystem::directory_iterator(Folder.Path)) {
      if (File.path().extension() != ".index")
        continue;
      std::ostringstream Bytes;
      Bytes << std::ifstream(File.path(), std::ios::binary).rdbuf();
      segment_index Index;
      CHECK(decodeIndex(Bytes.str(), Index));
      for (indexed_record &Record : Index.Records)
        Record.Change.Turn.TextBytes = 0;
      std::ofstream(File.path(), std::ios::binary) << encodeIndex(Index);
    }
  }
  asio::io_context Loop;
  replica_store Store(Loop, Folder.Path.string(), DiskBytes, Small);
  CHECK(Store.state().Turns.at("t1").Record.TextBytes == Known);
  CheckTexts(Loop, Store);
  CHECK(Store.state().Turns.at("t1").Record.TextBytes == 1'004);
}

// Guards against a replica whose records are never fetched because the list of
// another one is under way each time.
TEST_CASE(
    "records that one replica lists are fetched while the list of another "
    "one is under way") {
  /// A replica whose replies the test gives.
  struct scripted_peer {
    scripted_peer(asio::io_context &Loop, std::uint16_t Port)
        : Server(Loop, {asio::ip::address_v4::loopback(), Port}, {},
                 [this](const replica_request &Request,
                        replica_server::on_reply OnReply) {
                   Asked.push_back(Request);
                   Replies.push_back(std::move(OnReply));
                 }) {}
    void answer(replica_reply Reply) {
      Reply.Sequence = Asked.back().Sequence;
      Replies.back()(std::move(Reply));
    }
    std::vector<replica_request> Asked;
    std::vector<replica_server::on_reply> Replies;
    replica_server Server;
  };
  const temporary_folder Folder;
  asio::io_context Loop;
  replica_store Store(Loop, Folder.Path.string(), DiskBytes, Limits);
  markComplete(Store);
  const auto Port = static_cast<std::uint16_t>(freePorts(2));
  scripted_peer Slow(Loop, Port);
  scripted_peer Quick(Loop, static_cast<std::uint16_t>(Port + 1));
  const std::string SlowAddress = "127.0.0.1:" + std::to_string(Port);
  const std::string QuickAddress = "127.0.0.1:" + std::to_string(Port + 1);
  const replica_set Set{1,
                        1,
                        true,
                        {{"self", "127.0.0.1:1", "here", ""},
                         {"slow", SlowAddress, "here", ""},
                         {"quick", QuickAddress, "here", ""}}};
  std::map<std::string, std::shared_ptr<history_link>> Links;
  for (const std::string &Address : {SlowAddress, QuickAddress})
    Links[Address] = std::make_shared<history_link>(Loop, Address);
  replica_repair Repair(Store,
                        [&](const std::string &Address) -> history_link & {
                          return *Links.at(Address);
                        });
  const auto RunUntil = [&](const std::function<bool()> &Condition) {
    const auto Guard = asio::make_work_guard(Loop);
    for (int Step = 0; Step < 500 && !Condition(); ++Step) {
      Loop.restart();
      Loop.run_for(milliseconds(5));
    }
    REQUIRE(Condition());
  };
  const auto Listing = [](const std::string &Id) {
    replica_reply Reply;
    Reply.Run = 7;
    Reply.Records = {{Id, "", true}};
    return Reply;
  };
  const auto Fetched = [](const std::string &Id) {
    replica_reply Reply;
    Reply.Turns = {commitOf(Id, 60'000).Turn};
    Reply.TurnsLeftMs = {60'000};
    return Reply;
  };
  Repair.run(Set, "127.0.0.1:1", readClock());
  RunUntil([&] { return Slow.Asked.size() == 1 && Quick.Asked.size() == 1; });
  Quick.answer({});
  Slow.answer(Listing("t1"));
  RunUntil([&] { return Slow.Asked.size() == 2; });
  CHECK(Slow.Asked.back().Operation == replica_operation::Fetch);
  Slow.answer(Fetched("t1"));
  RunUntil([&] { return Store.state().Turns.contains("t1"); });
  Repair.run(Set, "127.0.0.1:1", readClock());
  RunUntil([&] { return Slow.Asked.size() == 3 && Quick.Asked.size() == 2; });
  CHECK(Slow.Asked.back().Operation == replica_operation::List);
  Quick.answer(Listing("t2"));
  RunUntil([&] { return Quick.Asked.size() == 3; });
  CHECK(Quick.Asked.back().Operation == replica_operation::Fetch);
  Quick.answer(Fetched("t2"));
  RunUntil([&] { return Store.state().Turns.contains("t2"); });
  // A fetch that is under way still keeps others from fetching the same.
  Slow.answer(Listing("t3"));
  RunUntil([&] { return Slow.Asked.size() == 4; });
  Repair.run(Set, "127.0.0.1:1", readClock());
  RunUntil([&] { return Quick.Asked.size() == 4; });
  Quick.answer(Listing("t3"));
  Loop.restart();
  Loop.run_for(milliseconds(50));
  CHECK(Quick.Asked.size() == 4);
  for (auto &[Address, Link] : Links)
    Link->close();
}
