#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include "journal/journal_entry.h"

#include <doctest/doctest.h>

using namespace lentilhoist;

namespace {

journal_entry makeEntry() {
  journal_entry Entry{3, 9, "a", 42, {}};
  program_created Created;
  Created.Program = {3, 5};
  Created.Tenant = "t";
  Created.Budget = {100, 2, 3};
  call_completed Done;
  Done.Program = {3, 5};
  Done.Call = 1;
  Done.Response = std::string("text\0with zero", 14);
  Entry.Records = {Created, Done, shard_taken{"a", true}};
  return Entry;
}

} // namespace

TEST_CASE("an entry survives its stored form") {
  const journal_entry Entry = decodeEntry(encodeEntry(makeEntry()));
  CHECK(Entry.Shard == 3);
  CHECK(Entry.Number == 9);
  CHECK(Entry.Writer == "a");
  CHECK(Entry.Nonce == 42);
  REQUIRE(Entry.Records.size() == 3);
  CHECK(std::get<program_created>(Entry.Records[0]).Budget.Tokens == 100);
  CHECK(std::get<call_completed>(Entry.Records[1]).Response.size() == 14);
  CHECK(std::get<shard_taken>(Entry.Records[2]).Clean);
}

TEST_CASE("every truncation of an entry is rejected, none crashes") {
  const std::string Bytes = encodeEntry(makeEntry());
  for (std::size_t Length = 0; Length < Bytes.size(); ++Length)
    CHECK_THROWS_AS(decodeEntry(std::string_view(Bytes).substr(0, Length)),
                    corrupt_entry);
}

TEST_CASE("an entry of an unknown format is rejected") {
  std::string Bytes = encodeEntry(makeEntry());
  Bytes[1] = 2;
  CHECK_THROWS_AS(decodeEntry(Bytes), corrupt_entry);
}

TEST_CASE("keys sort by number and give it back") {
  CHECK(entryKey(3, 9) < entryKey(3, 10));
  CHECK(entryKey(3, 99) < entryKey(3, 100));
  CHECK(numberInKey(entryKey(3, 1234)) == 1234);
  CHECK(numberInKey(snapshotKey(3, 77)) == 77);
  CHECK_THROWS_AS(numberInKey("journal/003/x"), corrupt_entry);
  CHECK_THROWS_AS(numberInKey("journal"), corrupt_entry);
}
