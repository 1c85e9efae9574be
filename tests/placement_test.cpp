#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
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
    putRunner(Directory, makeEntry("a", "here"));
    putRunner(Directory, makeEntry("b", "here"));
    putRunner(Directory, makeEntry("far", "there"));
    Request.PromptTokens = 2'440;
    Request.Prompt = {{"shared", 1'220}, {"own", 1'220}};
    Question.Service = "llm";
    Question.Domain = "here";
    Question.Request = &Request;
    Question.Engine = engine_traits{4, 100'000, 10};
  }

  std::string place() {
    return placeRequest(Directory, Question, Start).Runner;
  }
  runner_view &at(const char *Id) { return Directory.Runners.at(Id); }

  runner_directory Directory;
  request_traits Request;
  placement_question Question;
};

} // namespace

TEST_CASE("a turn goes back to the runner that keeps its prefix") {
  fixture Fixture;
  noteContent(Fixture.at("b"), Fixture.Request, Start);
  CHECK(Fixture.place() == "b");
  // Kept parts count from the start of the prompt only.
  Fixture.Request.Prompt.insert(Fixture.Request.Prompt.begin(), {"new", 10});
  CHECK(keptTokens(Fixture.at("b"), Fixture.Request) == 0);
}

TEST_CASE("a full runner loses a turn although it keeps its prefix") {
  fixture Fixture;
  noteContent(Fixture.at("b"), Fixture.Request, Start);
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
  noteLoad(Runner, {4, 6, 4}, Start);
  CHECK(estimateLoad(Runner, Start) == doctest::Approx(10));
  const double Later = estimateLoad(Runner, later(Start, milliseconds(750)));
  CHECK(Later < 10);
  CHECK(Later > 1);
  CHECK(estimateLoad(Runner, later(Start, seconds(3))) == doctest::Approx(1));
}

TEST_CASE("draining, excluded and foreign runners are never chosen") {
  fixture Fixture;
  Fixture.at("a").Entry.Draining = true;
  Fixture.Question.Excluded = {"b"};
  CHECK(Fixture.place() == "far");
  Fixture.at("far").Entry.Service = "other";
  CHECK(Fixture.place().empty());
}

TEST_CASE("a runner that has just refused is the last choice") {
  fixture Fixture;
  noteRefusal(Fixture.at("a"), Start);
  noteRefusal(Fixture.at("b"), Start);
  auto Placed = placeRequest(Fixture.Directory, Fixture.Question, Start);
  CHECK(Placed.Runner == "far");
  CHECK_FALSE(Placed.Paused);
  noteRefusal(Fixture.at("far"), Start);
  Placed = placeRequest(Fixture.Directory, Fixture.Question, Start);
  CHECK(Placed.Paused);
  Placed = placeRequest(Fixture.Directory, Fixture.Question,
                        later(Start, seconds(1)));
  CHECK_FALSE(Placed.Paused);
}

TEST_CASE("failures in a row pause a runner longer, a success clears them") {
  fixture Fixture;
  runner_view &Runner = Fixture.at("a");
  noteFailure(Runner, Start);
  const auto First = Runner.FailedUntil.Steady;
  noteFailure(Runner, Start);
  CHECK(Runner.FailedUntil.Steady > First);
  noteSuccess(Runner);
  CHECK(Runner.FailedUntil.Steady.count() == 0);
}

TEST_CASE("a runner that is born again keeps nothing of its earlier life") {
  fixture Fixture;
  noteContent(Fixture.at("a"), Fixture.Request, Start);
  Fixture.at("a").Outstanding = 2;
  runner_entry Entry = makeEntry("a", "here");
  CHECK_FALSE(putRunner(Fixture.Directory, Entry));
  Entry.BornMs = 2;
  CHECK(putRunner(Fixture.Directory, Entry));
  CHECK(Fixture.at("a").Recent.empty());
  CHECK(Fixture.at("a").Outstanding == 2);
}

TEST_CASE("runners that lapsed have time to register again") {
  fixture Fixture;
  const instant Back = later(Start, seconds(2));
  replaceRunners(Fixture.Directory, {makeEntry("a", "here")}, Back, Start);
  CHECK(Fixture.Directory.Runners.size() == 3);
  putRunner(Fixture.Directory, makeEntry("b", "here"));
  CHECK(removeMissing(Fixture.Directory, Back) ==
        std::vector<std::string>{"far"});
  CHECK(Fixture.Directory.Runners.size() == 2);
  // Without an outage, a missing runner is gone at once.
  replaceRunners(Fixture.Directory, {makeEntry("a", "here")}, Start, Start);
  CHECK(Fixture.Directory.Runners.size() == 1);
}

TEST_CASE("objects return to the plain runner that had them") {
  fixture Fixture;
  Fixture.Question.Engine.reset();
  Fixture.Request.AffinityKey = "order-7";
  noteContent(Fixture.at("b"), Fixture.Request, Start);
  CHECK(Fixture.place() == "b");
  Fixture.at("b").Outstanding = 10;
  CHECK(Fixture.place() == "a");
}
