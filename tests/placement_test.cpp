#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include "placement/admission.h"
#include "placement/placement.h"

#include <doctest/doctest.h>

using namespace lentilhoist;

namespace {

const instant Start{seconds(100), milliseconds(0)};

runner_entry makeEntry(std::string Id, std::string Domain) {
  runner_entry Entry;
  Entry.Id = std::move(Id);
  Entry.Service = "llm";
  Entry.Address = "10.0.0.1:80";
  Entry.Domain = std::move(Domain);
  Entry.Slots = 4;
  Entry.BornMs = 1;
  return Entry;
}

/// Two runners in this failure domain and one in another.
struct fixture {
  fixture() {
    upsertRunner(Directory, makeEntry("a", "here"));
    upsertRunner(Directory, makeEntry("b", "here"));
    upsertRunner(Directory, makeEntry("far", "there"));
    Request.PromptTokens = 2'440;
    Request.Prompt = {{"shared", 1'220}, {"own", 1'220}};
    Query.Service = "llm";
    Query.Domain = "here";
    Query.Request = &Request;
    Query.Engine = engine_traits{4, 100'000, 10};
  }

  std::string place() { return placeRequest(Directory, Query, Start).Runner; }
  runner_view &at(const char *Id) { return Directory.Runners.at(Id); }
  double loadOf(const char *Id, instant Now) {
    return estimateLoad(Directory, at(Id), Now);
  }

  runner_directory Directory;
  request_traits Request;
  placement_query Query;
};

} // namespace

TEST_CASE("a turn goes back to the runner that keeps its prefix") {
  fixture Fixture;
  recordContent(Fixture.at("b"), Fixture.Request, Start);
  CHECK(Fixture.place() == "b");
  // Kept parts count from the start of the prompt only.
  Fixture.Request.Prompt.insert(Fixture.Request.Prompt.begin(), {"new", 10});
  CHECK(cachedPrefixTokens(Fixture.at("b"), Fixture.Request) == 0);
}

TEST_CASE("a full runner loses a turn although it keeps its prefix") {
  fixture Fixture;
  recordContent(Fixture.at("b"), Fixture.Request, Start);
  Fixture.at("b").Outstanding = 8;
  CHECK(Fixture.place() == "a");
}

TEST_CASE("another failure domain is taken only for a gain above its price") {
  fixture Fixture;
  CHECK(Fixture.place() != "far");
  Fixture.at("a").Outstanding = 12;
  Fixture.at("b").Outstanding = 12;
  CHECK(Fixture.place() == "far");
}

TEST_CASE("load that others cause counts, and fades as its report ages") {
  fixture Fixture;
  runner_view &Runner = Fixture.at("a");
  Runner.Outstanding = 1;
  recordLoad(Fixture.Directory, Runner, {4, 6, 4}, Start);
  CHECK(Fixture.loadOf("a", Start) == doctest::Approx(10));
  const double Later = Fixture.loadOf("a", later(Start, milliseconds(750)));
  CHECK(Later < 10);
  CHECK(Later > 1);
  CHECK(Fixture.loadOf("a", later(Start, seconds(3))) == doctest::Approx(1));
}

TEST_CASE("an old report gives way to the fresh reports of other runners") {
  // Many instances share many runners: each hears of one runner only now and
  // then, but of some runner all the time.
  fixture Fixture;
  recordLoad(Fixture.Directory, Fixture.at("a"), {4, 8, 4}, Start);
  instant Now = Start;
  for (int Report = 0; Report < 50; ++Report) {
    Now = later(Now, milliseconds(30));
    recordLoad(Fixture.Directory, Fixture.at("far"), {4, 4, 4}, Now);
  }
  CHECK(Fixture.loadOf("a", Now) == doctest::Approx(8).epsilon(0.05));
  CHECK(Fixture.loadOf("b", Now) == doctest::Approx(8).epsilon(0.05));
}

TEST_CASE("places in an overload go by rank: urgent, under way, new, late") {
  admission_query Query;
  Query.Slots = 12;
  Query.ProgramTimeLeft = milliseconds(2'000);
  const double UrgentNew = admissionLimit(Query);
  Query.UnderWay = true;
  const double UrgentUnderWay = admissionLimit(Query);
  Query.Priority = 1;
  const double UnderWay = admissionLimit(Query);
  Query.UnderWay = false;
  const double New = admissionLimit(Query);
  Query.ProgramTimeLeft = milliseconds(0);
  const double Late = admissionLimit(Query);
  CHECK(UrgentUnderWay > UrgentNew);
  CHECK(UrgentNew > UnderWay);
  CHECK(UnderWay > New);
  CHECK(New > Late);
  // Nothing starves: some places are open to all.
  Query.Priority = 100;
  CHECK(admissionLimit(Query) > 6);
}

TEST_CASE("a full engine takes urgent turns while others wait") {
  fixture Fixture;
  for (const char *Id : {"a", "b", "far"})
    Fixture.at(Id).Outstanding = 6;
  Fixture.Query.Priority = 1;
  auto Result = placeRequest(Fixture.Directory, Fixture.Query, Start);
  CHECK(Result.Runner.empty());
  CHECK(Result.Full);
  Fixture.Query.Priority = 0;
  Result = placeRequest(Fixture.Directory, Fixture.Query, Start);
  CHECK_FALSE(Result.Runner.empty());
  // A place that becomes free is taken by whoever waits.
  Fixture.Query.Priority = 1;
  Fixture.at("far").Outstanding = 2;
  Result = placeRequest(Fixture.Directory, Fixture.Query, Start);
  CHECK(Result.Runner == "far");
}

TEST_CASE("draining, excluded and foreign runners are never chosen") {
  fixture Fixture;
  Fixture.at("a").Entry.Draining = true;
  Fixture.Query.Excluded = {"b"};
  CHECK(Fixture.place() == "far");
  Fixture.at("far").Entry.Service = "other";
  CHECK(Fixture.place().empty());
}

TEST_CASE("a runner that has just refused is the last choice") {
  fixture Fixture;
  recordRefusal(Fixture.at("a"), Start);
  recordRefusal(Fixture.at("b"), Start);
  auto Result = placeRequest(Fixture.Directory, Fixture.Query, Start);
  CHECK(Result.Runner == "far");
  CHECK_FALSE(Result.InBackoff);
  recordRefusal(Fixture.at("far"), Start);
  Result = placeRequest(Fixture.Directory, Fixture.Query, Start);
  CHECK(Result.InBackoff);
  Result =
      placeRequest(Fixture.Directory, Fixture.Query, later(Start, seconds(1)));
  CHECK_FALSE(Result.InBackoff);
}

TEST_CASE("failures in a row pause a runner longer, a success clears them") {
  fixture Fixture;
  runner_view &Runner = Fixture.at("a");
  recordFailure(Runner, Start);
  const auto First = Runner.FailedUntil.Steady;
  recordFailure(Runner, Start);
  CHECK(Runner.FailedUntil.Steady > First);
  recordSuccess(Runner);
  CHECK(Runner.FailedUntil.Steady.count() == 0);
}

TEST_CASE("a runner that is born again keeps nothing of its earlier life") {
  fixture Fixture;
  recordContent(Fixture.at("a"), Fixture.Request, Start);
  Fixture.at("a").Outstanding = 2;
  runner_entry Entry = makeEntry("a", "here");
  CHECK_FALSE(upsertRunner(Fixture.Directory, Entry));
  Entry.BornMs = 2;
  CHECK(upsertRunner(Fixture.Directory, Entry));
  CHECK(Fixture.at("a").RecentContent.empty());
  CHECK(Fixture.at("a").Outstanding == 2);
}

TEST_CASE("runners that lapsed have time to register again") {
  fixture Fixture;
  const instant Back = later(Start, seconds(2));
  replaceRunners(Fixture.Directory, {makeEntry("a", "here")}, Back, Start);
  CHECK(Fixture.Directory.Runners.size() == 3);
  upsertRunner(Fixture.Directory, makeEntry("b", "here"));
  CHECK(removeMissing(Fixture.Directory, Back) ==
        std::vector<std::string>{"far"});
  CHECK(Fixture.Directory.Runners.size() == 2);
  // Without an outage, a missing runner is gone at once.
  replaceRunners(Fixture.Directory, {makeEntry("a", "here")}, Start, Start);
  CHECK(Fixture.Directory.Runners.size() == 1);
}

TEST_CASE("objects return to the plain runner that had them") {
  fixture Fixture;
  Fixture.Query.Engine.reset();
  Fixture.Request.AffinityKey = "order-7";
  recordContent(Fixture.at("b"), Fixture.Request, Start);
  CHECK(Fixture.place() == "b");
  Fixture.at("b").Outstanding = 10;
  CHECK(Fixture.place() == "a");
}
