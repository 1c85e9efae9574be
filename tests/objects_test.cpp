#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include "objects/journal_store.h"
#include "standin/platform_standin.h"

#include <doctest/doctest.h>

using namespace lentilhoist;

namespace {

/// A stand-in and a client of it.
struct fixture {
  fixture() : Standin(platform_standin_settings()) { Standin.start(); }
  ~fixture() { Standin.stop(); }

  object_store connect() {
    return {{"127.0.0.1", Standin.port()},
            {std::chrono::milliseconds(500), std::chrono::milliseconds(500),
             std::chrono::milliseconds(500)}};
  }

  void setFaults(const char *Json) {
    makeHttpClient({"127.0.0.1", Standin.port()}, {})
        ->Post("/admin/faults", Json, "application/json");
  }

  platform_standin Standin;
};

write_entry makeWrite(entry_number Number, std::vector<journal_record> Records,
                      std::uint64_t Nonce = 1) {
  return {0, Number, encodeEntry({0, Number, "a", Nonce, std::move(Records)})};
}

} // namespace

TEST_CASE("an object is created once and replaced only in its version") {
  fixture Fixture;
  object_store Store = Fixture.connect();
  CHECK(Store.create("k/1", "one") == update_status::Done);
  CHECK(Store.create("k/1", "two") == update_status::Conflict);
  const auto Object = Store.read("k/1");
  REQUIRE(Object);
  CHECK(Object->Value == "one");
  CHECK(Store.update("k/1", "two", Object->Version) == update_status::Done);
  CHECK(Store.update("k/1", "three", Object->Version) ==
        update_status::Conflict);
  Store.remove("k/1");
  CHECK_FALSE(Store.read("k/1"));
}

TEST_CASE("lists go on past one page") {
  fixture Fixture;
  object_store Store = Fixture.connect();
  for (int Index = 0; Index < 1'005; ++Index)
    Store.create("p/" + std::to_string(10'000 + Index), "");
  CHECK(Store.listKeys("p/").size() == 1'005);
  CHECK(Store.listKeys("q/").empty());
}

TEST_CASE("a lost answer leaves the outcome unclear, and the entry shows whose "
          "it is") {
  fixture Fixture;
  object_store Store = Fixture.connect();
  Fixture.setFaults(R"({"drop_answer":1,"hold_ms":900})");
  const write_entry Write = makeWrite(1, {shard_taken{"a", false}}, 77);
  CHECK(writeEntry(Write, Store) == write_status::Indeterminate);
  Fixture.setFaults(R"({"drop_answer":0})");
  CHECK(writeEntry(Write, Store) == write_status::Exists);
  const entry_read_result Read = readEntry(0, 1, Store);
  REQUIRE(Read.Status == read_status::Found);
  CHECK(Read.Entry.Nonce == 77);
}

TEST_CASE("an outage is an error, not an absence") {
  fixture Fixture;
  object_store Store = Fixture.connect();
  Fixture.setFaults(R"({"outage":true})");
  CHECK(readEntry(0, 1, Store).Status == read_status::Failed);
  CHECK_THROWS_AS(readShard(0, Store), platform_error);
  CHECK_FALSE(readSnapshotNumber(0, Store));
  Fixture.setFaults(R"({"outage":false})");
  CHECK(readEntry(0, 1, Store).Status == read_status::Absent);
}

TEST_CASE("an answer that is not what the protocol says is an error") {
  http_server Odd{http_server_settings()};
  Odd.routes().Get("/objects", [](const auto &, auto &Response) {
    Response.set_content("{}", "application/json");
  });
  Odd.routes().Get("/instances", [](const auto &, auto &Response) {
    Response.set_content(R"({"instances":[{"id":7}]})", "application/json");
  });
  Odd.start();
  object_store Store({"127.0.0.1", Odd.port()}, {});
  CHECK_THROWS_AS(Store.listKeys("p"), platform_error);
  CHECK_THROWS_AS(Store.listInstances(), platform_error);
  CHECK_THROWS_AS(readShard(0, Store), platform_error);
}

TEST_CASE("calls beyond the platform's rate are errors, and are not applied") {
  platform_standin_settings Settings;
  // So little that the second write is refused however slow the test runs.
  Settings.WritesPerSecond = 1e-6;
  platform_standin Limited(Settings);
  Limited.start();
  {
    object_store Store({"127.0.0.1", Limited.port()}, {});
    CHECK(Store.create("k/1", "") == update_status::Done);
    CHECK_THROWS_AS(Store.create("k/2", ""), platform_error);
    CHECK_FALSE(Store.read("k/2"));
  }
  Limited.stop();
}

TEST_CASE("a silent connection does not stop a new one") {
  fixture Fixture;
  object_store Store = Fixture.connect();
  CHECK(Store.create("k", "v") == update_status::Done);
  Fixture.setFaults(R"({"silent":true})");
  CHECK_THROWS_AS(Store.read("k"), platform_error);
  CHECK(Store.read("k")->Value == "v");
  Fixture.setFaults(R"({"silent":false})");
}

TEST_CASE("a shard is read from its snapshot and tail") {
  fixture Fixture;
  object_store Store = Fixture.connect();
  program_created Created;
  Created.Program = {0, 1};
  Created.Budget = {100, 10, 1'000};
  shard_state State;
  const write_entry First = makeWrite(1, {shard_taken{"a", false}, Created});
  applyEntry(decodeEntry(First.Bytes), State);
  writeEntry(First, Store);
  CHECK(writeSnapshot({0, 1, encodeSnapshot(State)}, Store));
  writeEntry(makeWrite(2, {shard_handed_over{"a", "b", {}}}), Store);
  deleteJournalObject({0, entryKey(0, 1)}, Store);
  const stored_shard Stored = readShard(0, Store);
  CHECK(Stored.SnapshotNumber == 1);
  CHECK(Stored.State.LastEntry == 2);
  CHECK(Stored.State.HandedTo == "b");
  CHECK(Stored.State.Programs.size() == 1);
  CHECK(readSnapshotNumber(0, Store) == 1);
  const entry_read_result Covered = checkNextEntry({0, 1, true}, Store);
  CHECK(Covered.Status == read_status::Found);
  CHECK(Covered.Entry.Writer.empty());
  deleteJournalObject({0, snapshotKey(0, 1)}, Store);
  CHECK(Store.listKeys("snapshot").empty());
}
