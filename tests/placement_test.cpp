#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include "core/hash.h"
#include "limit/quota_stock.h"
#include "placement/admission.h"
#include "placement/outlier.h"
#include "placement/placement.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <deque>
#include <doctest/doctest.h>
#include <functional>
#include <map>
#include <random>
#include <vector>

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

namespace {

/// Runners whose durations are known, as a source of observations.
class speed_world {
public:
  explicit speed_world(std::uint64_t Seed) : Random(Seed) {}

  void add(const std::string &Id, const std::string &Domain, double Speed) {
    upsertRunner(Directory, makeEntry(Id, Domain));
    Speeds[Id] = Speed;
  }

  /// 15% of the time a runner takes 2.5 times its usual duration, redrawn every
  /// 600 ms.
  double noiseOf(const std::string &Id) {
    if (!Noisy)
      return 1;
    constexpr std::int64_t PeriodUs = 600'000;
    const auto Key = std::pair(Id, Now.Steady.count() / PeriodUs);
    const auto [Found, Added] = Noise.try_emplace(Key, 1);
    if (Added && std::uniform_real_distribution<double>()(Random) < 0.15)
      Found->second = 2.5;
    return Found->second;
  }

  double multipleOf(const std::string &Id) {
    return Speeds.at(Id) * noiseOf(Id);
  }

  /// Records a request that a runner has answered without a queue.
  void observe(const std::string &Id) {
    runner_view &Runner = Directory.Runners.at(Id);
    if (Reports)
      recordLoad(Directory, Runner, {0, 0, 4, Reports(Id)}, Now);
    const double Multiple = multipleOf(Id);
    const double Scatter =
        std::uniform_real_distribution<double>(0.9, 1.1)(Random);
    work_observation Work;
    Work.UncachedTokens =
        std::uniform_real_distribution<double>(100, 2'000)(Random);
    Work.FirstEventMs = Multiple * Scatter *
                        (40 + Work.UncachedTokens / TruePrefillTokensPerMs);
    Work.TokenMs = Multiple * Scatter * TrueStepMs;
    Work.ActualMs = Work.FirstEventMs + 70 * Work.TokenMs;
    Work.ExpectedMs = Work.ActualMs / Scatter;
    recordWork(Directory, Runner, Work, Now);
  }

  /// Each runner answers a request a second.
  void observeAll(int Seconds, const std::set<std::string> &Except = {}) {
    for (int Second = 0; Second < Seconds; ++Second)
      for (const auto &[Id, Speed] : Speeds) {
        Now = later(Now, microseconds(1'000'000 / Speeds.size()));
        if (!Except.contains(Id))
          observe(Id);
      }
  }

  speed_estimate estimate(const std::string &Id) const {
    const runner_view &Runner = Directory.Runners.at(Id);
    return estimateSpeed(findSpeed(Directory, "llm"), Runner.Speed,
                         Runner.Entry.Domain, Now);
  }

  runner_directory Directory;
  instant Now = Start;
  bool Noisy = true;
  /// Slowdown that a runner reports; empty if none does.
  std::function<double(const std::string &)> Reports;
  double TruePrefillTokensPerMs = 75.8;
  double TrueStepMs = 2.31;

private:
  std::mt19937_64 Random;
  std::map<std::string, double> Speeds;
  std::map<std::pair<std::string, std::int64_t>, double> Noise;
};

/// Three failure domains of machines of the speeds 0.7, 0.7 and 1.7.
void addThreeSpeeds(speed_world &World, int PerDomain) {
  for (int Index = 0; Index < PerDomain; ++Index) {
    const std::string Number = std::to_string(Index);
    World.add("a" + Number, "here", 0.7);
    World.add("b" + Number, "there", 0.7);
    World.add("c" + Number, "slow", 1.7);
  }
}

} // namespace

TEST_CASE("placement prefers the runner that has the prompt prefix cached") {
  fixture Fixture;
  recordContent(Fixture.at("b"), Fixture.Request, Start);
  CHECK(Fixture.place() == "b");
  // Cached parts count only as an unbroken prefix of the prompt.
  Fixture.Request.Prompt.insert(Fixture.Request.Prompt.begin(), {"new", 10});
  CHECK(cachedPrefixTokens(Fixture.at("b"), Fixture.Request) == 0);
}

TEST_CASE("placement avoids a full runner even if it has the prefix cached") {
  fixture Fixture;
  recordContent(Fixture.at("b"), Fixture.Request, Start);
  Fixture.at("b").Outstanding = 8;
  CHECK(Fixture.place() == "a");
}

TEST_CASE("placement leaves the failure domain only if the gain exceeds the "
          "penalty") {
  fixture Fixture;
  CHECK(Fixture.place() != "far");
  Fixture.at("a").Outstanding = 12;
  Fixture.at("b").Outstanding = 12;
  CHECK(Fixture.place() == "far");
}

TEST_CASE("load estimate includes other instances and decays with report age") {
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

TEST_CASE(
    "load estimate replaces an old report by recent reports of other runners") {
  // With many instances and many runners, an instance rarely gets a report of a
  // given runner but continuously gets reports of some runner.
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

TEST_CASE("admission limit falls in the order urgent, started, new, late") {
  admission_query Query;
  Query.Slots = 12;
  Query.ProgramTimeLeft = milliseconds(2'000);
  const double UrgentNew = admissionLimit(Query);
  Query.ProgramStarted = true;
  const double UrgentStarted = admissionLimit(Query);
  Query.Priority = 1;
  const double Started = admissionLimit(Query);
  Query.ProgramStarted = false;
  const double New = admissionLimit(Query);
  Query.ProgramTimeLeft = milliseconds(0);
  const double Late = admissionLimit(Query);
  CHECK(UrgentStarted > UrgentNew);
  CHECK(UrgentNew > Started);
  CHECK(Started > New);
  CHECK(New > Late);
  // A minimum for every priority prevents starvation.
  Query.Priority = 100;
  CHECK(admissionLimit(Query) > 6);
}

TEST_CASE("a full engine admits urgent turns while others wait") {
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
  // Free capacity is available to lower priorities as well.
  Fixture.Query.Priority = 1;
  Fixture.at("far").Outstanding = 2;
  Result = placeRequest(Fixture.Directory, Fixture.Query, Start);
  CHECK(Result.Runner == "far");
}

// Guards against a queue at the runners without a limit, which makes all
// programs late, while the others limit their rate.
TEST_CASE("while runners limit their rate, new and late programs take only "
          "free slots") {
  admission_query Query;
  Query.Slots = 10;
  Query.RateLimited = true;
  CHECK(admissionLimit(Query) == doctest::Approx(5));
  Query.ProgramStarted = true;
  Query.ProgramTimeLeft = milliseconds(500);
  CHECK(admissionLimit(Query) == doctest::Approx(11));
  Query.ProgramTimeLeft = milliseconds(0);
  CHECK(admissionLimit(Query) == doctest::Approx(5));
}

// Guards against requests to a runner with a limit for which the instance has
// no permit.
TEST_CASE("a runner that limits its rate is selected only with a permit") {
  fixture Fixture;
  for (const char *Id : {"a", "b"})
    applyNotice(Fixture.at(Id).Permits, 10, 0, Start);
  SUBCASE("others serve it, and a spare permit is requested for a better one") {
    const auto Placed = placeRequest(Fixture.Directory, Fixture.Query, Start);
    CHECK(Placed.Runner == "far");
    CHECK(Placed.PermitRunner == "a");
    CHECK(Placed.RateLimited);
    Fixture.at("a").Permits.SpareRequestedAt = Start;
    Fixture.at("b").Permits.SpareRequestedAt = Start;
    CHECK(placeRequest(Fixture.Directory, Fixture.Query, Start)
              .PermitRunner.empty());
  }
  SUBCASE("a permit makes it eligible") {
    applyReply(Fixture.at("b").Permits, permit_rank::Spare, {true, 0, 10, 0},
               Start, Start);
    CHECK(Fixture.place() == "b");
  }
  SUBCASE("a limit that was stated long ago is kept, but shows no lack of "
          "capacity") {
    const auto Placed = placeRequest(Fixture.Directory, Fixture.Query,
                                     later(Start, seconds(6)));
    CHECK(Placed.Runner == "far");
    CHECK_FALSE(Placed.RateLimited);
  }
  SUBCASE("no runner is left without permits") {
    applyNotice(Fixture.at("far").Permits, 10, 0, Start);
    auto Placed = placeRequest(Fixture.Directory, Fixture.Query, Start);
    CHECK(Placed.Runner.empty());
    CHECK(Placed.Limited == 3);
    CHECK(Placed.PermitRunner == "a");
    for (const char *Id : {"a", "b", "far"})
      applyReply(Fixture.at(Id).Permits, permit_rank::New, {false, 100, 10, 0},
                 Start, Start);
    Placed = placeRequest(Fixture.Directory, Fixture.Query, Start);
    CHECK(Placed.PermitRunner.empty());
    CHECK_FALSE(Placed.Full);
  }
}

TEST_CASE("draining, excluded and other services' runners are never selected") {
  fixture Fixture;
  Fixture.at("a").Entry.Draining = true;
  Fixture.Query.Excluded = {"b"};
  CHECK(Fixture.place() == "far");
  Fixture.at("far").Entry.Service = "other";
  CHECK(Fixture.place().empty());
}

// Guards against requests to a runner that has said in a response that it
// leaves while the registry says otherwise, or nothing.
TEST_CASE("an incarnation that leaves is never selected again, whatever the "
          "registry says, and a new one is") {
  fixture Fixture;
  Fixture.Query.Excluded = {"far"};
  CHECK(recordLeaving(Fixture.Directory, "a", 1, Start));
  CHECK_FALSE(recordLeaving(Fixture.Directory, "a", 1, Start));
  CHECK(Fixture.place() == "b");
  // Affinity doesn't draw a request there either.
  Fixture.Request.Session = "session";
  recordContent(Fixture.at("a"), Fixture.Request, Start);
  CHECK(Fixture.place() == "b");
  removeRunner(Fixture.Directory, "b");
  CHECK(Fixture.place().empty());
  SUBCASE("registered as ready once more") {
    runner_entry Entry = makeEntry("a", "here");
    Entry.Slots = 5;
    upsertRunner(Fixture.Directory, Entry);
    CHECK(Fixture.place().empty());
  }
  SUBCASE("lapsed and back") {
    removeRunner(Fixture.Directory, "a");
    forgetLeaving(Fixture.Directory, later(Start, seconds(60)));
    upsertRunner(Fixture.Directory, makeEntry("a", "here"));
    CHECK(Fixture.place().empty());
  }
  SUBCASE("listed anew after an outage of the registry") {
    replaceRunners(Fixture.Directory, {makeEntry("a", "here")}, Start, Start);
    CHECK(Fixture.place().empty());
  }
  SUBCASE("a new incarnation, also with a late response of the former one") {
    runner_entry Entry = makeEntry("a", "here");
    Entry.BornMs = 2;
    upsertRunner(Fixture.Directory, Entry);
    CHECK(Fixture.place() == "a");
    CHECK_FALSE(recordLeaving(Fixture.Directory, "a", 1, Start));
    CHECK(Fixture.place() == "a");
    CHECK(recordLeaving(Fixture.Directory, "a", 2, Start));
    CHECK_FALSE(recordLeaving(Fixture.Directory, "a", 1, Start));
    CHECK(Fixture.place().empty());
  }
  SUBCASE("another runner at its address") {
    upsertRunner(Fixture.Directory, makeEntry("c", "here"));
    CHECK(Fixture.place() == "c");
  }
  SUBCASE("long gone") {
    removeRunner(Fixture.Directory, "a");
    forgetLeaving(Fixture.Directory, later(Start, std::chrono::hours(1)));
    CHECK(Fixture.Directory.Leaving.empty());
  }
}

TEST_CASE("a runner in backoff after a refusal is selected last") {
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

TEST_CASE("consecutive failures extend the backoff and a success resets it") {
  fixture Fixture;
  runner_view &Runner = Fixture.at("a");
  recordFailure(Runner, Start);
  const auto First = Runner.FailedUntil.Steady;
  recordFailure(Runner, Start);
  CHECK(Runner.FailedUntil.Steady > First);
  recordSuccess(Runner);
  CHECK(Runner.FailedUntil.Steady.count() == 0);
}

TEST_CASE("a restarted runner loses its cached content but not outstanding "
          "requests") {
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

TEST_CASE("missing runners are removed only after time to register again") {
  fixture Fixture;
  const instant Back = later(Start, seconds(2));
  replaceRunners(Fixture.Directory, {makeEntry("a", "here")}, Back, Start);
  CHECK(Fixture.Directory.Runners.size() == 3);
  upsertRunner(Fixture.Directory, makeEntry("b", "here"));
  CHECK(removeMissing(Fixture.Directory, Back) ==
        std::vector<std::string>{"far"});
  CHECK(Fixture.Directory.Runners.size() == 2);
  // Without an outage, a missing runner is removed immediately.
  replaceRunners(Fixture.Directory, {makeEntry("a", "here")}, Start, Start);
  CHECK(Fixture.Directory.Runners.size() == 1);
}

TEST_CASE("plain services prefer the runner that recently handled the object") {
  fixture Fixture;
  Fixture.Query.Engine.reset();
  Fixture.Request.AffinityKey = "order-7";
  recordContent(Fixture.at("b"), Fixture.Request, Start);
  CHECK(Fixture.place() == "b");
  Fixture.at("b").Outstanding = 10;
  CHECK(Fixture.place() == "a");
}

namespace {

/// Result of a runner at a time, given its index.
using runner_script =
    std::function<runner_outcome(std::size_t Runner, microseconds Time)>;

/// Ejections of one runner in a run.
struct ejection_record {
  microseconds First{-1}; ///< Since the start; negative if there was none.
  microseconds Total{0};
  int Count = 0;
  bool Ejected = false; ///< At the end, and not yet on trial.
};

/// Runners of one service as one instance sees them, each with requests at a
/// fixed interval. Ejected ones get none, and those on trial do.
struct outlier_fleet {
  explicit outlier_fleet(std::size_t Count) : Records(Count) {}

  void run(seconds Time, milliseconds Interval, const runner_script &Script) {
    const microseconds End = Elapsed + Time;
    for (; Elapsed < End; Elapsed += Interval) {
      std::size_t EjectedNow = 0;
      for (std::size_t Runner = 0; Runner < Records.size(); ++Runner) {
        ejection_record &Record = Records[Runner];
        // Runners don't all answer at the same moment.
        const instant Now =
            later(Start, Elapsed + Interval * Runner / Records.size());
        const std::string Id = "r" + std::to_string(Runner);
        const auto Found = Table.Runners.find(Id);
        const bool Out = Found != Table.Runners.end() &&
                         Found->second.Ejected &&
                         Now.Steady < Found->second.TrialsFrom.Steady;
        Record.Ejected = Out;
        if (Out) {
          ++EjectedNow;
          Record.Total += Interval;
          continue;
        }
        const auto Decision = recordOutcome(
            Table, Id, 1, "s", Script(Runner, Now.Steady - Start.Steady),
            [&] { return Records.size(); }, Now);
        if (Decision.Change == outlier_change::Ejected ||
            Decision.Change == outlier_change::EjectedAgain) {
          if (++Record.Count == 1)
            Record.First = Now.Steady - Start.Steady;
        }
        if (Decision.Change == outlier_change::Readmitted)
          ++Readmitted;
      }
      MostEjected = std::max(MostEjected, EjectedNow);
    }
  }

  int soundEjections(std::size_t FirstSound) const {
    int Count = 0;
    for (std::size_t Runner = FirstSound; Runner < Records.size(); ++Runner)
      Count += Records[Runner].Count;
    return Count;
  }

  outlier_table Table;
  std::vector<ejection_record> Records;
  microseconds Elapsed{0};
  std::size_t MostEjected = 0;
  int Readmitted = 0;
};

/// Results that fail with a probability.
class failing_script {
public:
  explicit failing_script(std::uint64_t Seed) : Random(Seed) {}

  runner_outcome outcome(double FaultShare,
                         outcome_kind Failure = outcome_kind::Fault) {
    const bool Fails = std::uniform_real_distribution<>()(Random) < FaultShare;
    return {Fails ? Failure : outcome_kind::Success, 0};
  }

private:
  std::mt19937_64 Random;
};

constexpr std::uint64_t Seeds = 20;

} // namespace

// Guards against runners that fail part of their requests and are used like
// the others, because a success between two failures ends each backoff.
TEST_CASE("runners that fail 40% of their requests are ejected, and sound ones "
          "that fail 2% are not") {
  int Sound = 0;
  for (std::uint64_t Seed = 1; Seed <= Seeds; ++Seed) {
    CAPTURE(Seed);
    failing_script Script(Seed);
    outlier_fleet Fleet(10);
    Fleet.run(seconds(60), milliseconds(100), [&](std::size_t Runner, auto) {
      return Script.outcome(Runner < 2 ? 0.4 : 0.02);
    });
    for (std::size_t Runner = 0; Runner < 2; ++Runner) {
      CHECK(Fleet.Records[Runner].First >= microseconds(0));
      CHECK(Fleet.Records[Runner].First < seconds(10));
      CHECK(Fleet.Records[Runner].Total > seconds(35));
    }
    Sound += Fleet.soundEjections(2);
  }
  CAPTURE(Sound);
  CHECK(Sound <= 2);
}

// An instance of a large deployment sees a runner once in two seconds.
TEST_CASE("sparse results suffice to eject a runner that fails 40%, and don't "
          "eject sound ones") {
  int Sound = 0;
  int Found = 0;
  for (std::uint64_t Seed = 1; Seed <= Seeds; ++Seed) {
    failing_script Script(Seed);
    outlier_fleet Fleet(44);
    Fleet.run(seconds(120), seconds(2), [&](std::size_t Runner, auto) {
      return Script.outcome(Runner < 4 ? 0.4 : 0.02);
    });
    for (std::size_t Runner = 0; Runner < 4; ++Runner)
      Found += Fleet.Records[Runner].Count > 0;
    Sound += Fleet.soundEjections(4);
  }
  CAPTURE(Found);
  CAPTURE(Sound);
  CHECK(Found >= 76); // Of 80.
  CHECK(Sound <= 4);
}

// Guards against a service in which some requests fail everywhere: the runners
// that happen to fail more often would be lost.
TEST_CASE("runners that all fail alike are not ejected") {
  int Ejections = 0;
  for (std::uint64_t Seed = 1; Seed <= Seeds; ++Seed) {
    failing_script Script(Seed);
    outlier_fleet Fleet(12);
    Fleet.run(seconds(60), milliseconds(100),
              [&](std::size_t, auto) { return Script.outcome(0.3); });
    Ejections += Fleet.soundEjections(0);
  }
  CAPTURE(Ejections);
  CHECK(Ejections <= 2);
}

TEST_CASE("a runner that hangs is ejected after a few requests") {
  outlier_fleet Fleet(5);
  // Each hang takes a second of the caller's time.
  Fleet.run(seconds(20), seconds(1), [&](std::size_t Runner, auto) {
    return runner_outcome{
        Runner == 0 ? outcome_kind::Fault : outcome_kind::Success, 0};
  });
  CHECK(Fleet.Records[0].First >= microseconds(0));
  CHECK(Fleet.Records[0].First < seconds(6));
  CHECK(Fleet.soundEjections(1) == 0);
}

// Guards against a runner whose successes while it is up hide its outages.
TEST_CASE("a runner that goes down and up each 1.4 s is ejected for most of "
          "the time") {
  outlier_fleet Fleet(8);
  Fleet.run(
      seconds(60), milliseconds(50), [](std::size_t Runner, microseconds Time) {
        const bool Down = Runner == 0 && Time.count() / 1'400'000 % 2 == 1;
        return runner_outcome{
            Down ? outcome_kind::Unreachable : outcome_kind::Success, 0};
      });
  CHECK(Fleet.Records[0].First >= microseconds(0));
  CHECK(Fleet.Records[0].First < seconds(10));
  CHECK(Fleet.Records[0].Total > seconds(35));
  CHECK(Fleet.soundEjections(1) == 0);
}

// Guards against an ejection after a single crash, which the registry and the
// backoff handle: the runner would be missing for seconds after it is back.
TEST_CASE("a runner that ends once under many requests is not ejected") {
  outlier_fleet Fleet(4);
  Fleet.run(seconds(40), milliseconds(50),
            [](std::size_t Runner, microseconds Time) {
              const bool Down = Runner == 0 && Time >= seconds(10) &&
                                Time < milliseconds(11'400);
              return runner_outcome{
                  Down ? outcome_kind::Unreachable : outcome_kind::Success, 0};
            });
  CHECK(Fleet.soundEjections(0) == 0);
  // All of its requests break at once.
  for (int Request = 0; Request < 8; ++Request)
    CHECK(recordOutcome(
              Fleet.Table, "r1", 1, "s", {outcome_kind::Fault, 0},
              [] { return std::size_t{4}; }, later(Start, Fleet.Elapsed))
              .Change == outlier_change::None);
}

namespace {

/// Durations of runners of three speeds by failure domain, each of which is
/// slower by 2.5 times for 15% of the time, in periods of 0.6 s. The first
/// runners are slower by 8 times.
class uneven_script {
public:
  uneven_script(std::uint64_t Seed, std::size_t Slow)
      : Random(Seed), SlowRunners(Slow) {}

  runner_outcome operator()(std::size_t Runner, microseconds Time) {
    constexpr double Speeds[] = {0.7, 0.7, 1.7};
    auto &[Period, Factor] = Periods[Runner];
    if (Time.count() / 600'000 != Period) {
      Period = Time.count() / 600'000;
      Factor = std::uniform_real_distribution<>()(Random) < 0.15 ? 2.5 : 1;
    }
    const double Spread = std::uniform_real_distribution<>(0.6, 1.6)(Random);
    return {outcome_kind::Success, Speeds[Runner % 3] * Factor * Spread *
                                       (Runner < SlowRunners ? 8 : 1)};
  }

private:
  std::mt19937_64 Random;
  std::size_t SlowRunners;
  std::map<std::size_t, std::pair<std::int64_t, double>> Periods;
};

} // namespace

// Guards against a runner that succeeds slowly and makes its requests late, and
// against the ejection of runners whose speeds merely differ.
TEST_CASE("a runner that is slower by 8 times is ejected, and runners of "
          "three speeds with noise are not") {
  for (const milliseconds Interval : {milliseconds(50), milliseconds(2'000)}) {
    CAPTURE(Interval.count());
    int Sound = 0;
    int Found = 0;
    for (std::uint64_t Seed = 1; Seed <= Seeds; ++Seed) {
      outlier_fleet Fleet(12);
      Fleet.run(seconds(120), Interval, uneven_script(Seed, 1));
      Found += Fleet.Records[0].Count > 0;
      Sound += Fleet.soundEjections(1);
    }
    CAPTURE(Found);
    CAPTURE(Sound);
    CHECK(Found == Seeds);
    CHECK(Sound <= 2);
  }
}

// Guards against an ejection of so many runners that the others are overloaded.
TEST_CASE("if half of a service fails, no more than a third is ejected and no "
          "sound runner is") {
  for (std::uint64_t Seed = 1; Seed <= Seeds; ++Seed) {
    CAPTURE(Seed);
    failing_script Script(Seed);
    outlier_fleet Fleet(10);
    Fleet.run(seconds(60), milliseconds(100), [&](std::size_t Runner, auto) {
      return Script.outcome(Runner < 5 ? 0.5 : 0);
    });
    CHECK(Fleet.MostEjected == 3);
    CHECK(Fleet.soundEjections(5) == 0);
  }
}

TEST_CASE("of two runners, one that fails more is ejected, and never both") {
  failing_script Script(1);
  SUBCASE("one fails") {
    outlier_fleet Fleet(2);
    Fleet.run(seconds(60), milliseconds(100), [&](std::size_t Runner, auto) {
      return Script.outcome(Runner == 0 ? 0.4 : 0);
    });
    CHECK(Fleet.Records[0].Count > 0);
    CHECK(Fleet.Records[1].Count == 0);
  }
  SUBCASE("both fail") {
    outlier_fleet Fleet(2);
    Fleet.run(seconds(60), milliseconds(100),
              [&](std::size_t, auto) { return Script.outcome(0.6); });
    CHECK(Fleet.MostEjected <= 1);
  }
  SUBCASE("the only runner fails") {
    outlier_fleet Fleet(1);
    Fleet.run(seconds(60), milliseconds(100),
              [&](std::size_t, auto) { return Script.outcome(0.6); });
    CHECK(Fleet.Records[0].Count == 0);
  }
}

// Guards against a runner that stays ejected after it has recovered, and one
// that is readmitted at full share while it still fails.
TEST_CASE("an ejected runner is readmitted after a few trials that succeed, "
          "and ejected for longer if one fails") {
  outlier_fleet Fleet(6);
  const auto FailsUntil = [](seconds End) {
    return [End](std::size_t Runner, microseconds Time) {
      return runner_outcome{Runner == 0 && Time < End ? outcome_kind::Fault
                                                      : outcome_kind::Success,
                            0};
    };
  };
  Fleet.run(seconds(4), milliseconds(100), FailsUntil(seconds(4)));
  CHECK(Fleet.Records[0].Ejected);
  // It is ejected for 5 s, fails its trial, and is ejected for 10 s.
  Fleet.run(seconds(10), milliseconds(100), FailsUntil(seconds(8)));
  CHECK(Fleet.Records[0].Ejected);
  CHECK(Fleet.Records[0].Count == 2);
  Fleet.run(seconds(10), milliseconds(100), FailsUntil(seconds(8)));
  CHECK_FALSE(Fleet.Records[0].Ejected);
  CHECK(Fleet.Readmitted == 1);
  const outlier_state &State = Fleet.Table.Runners.at("r0");
  CHECK_FALSE(State.Ejected);
  CHECK(countFaults(State) == 0);
  // The longest ejection bounds the time without a trial.
  Fleet.run(seconds(300), milliseconds(100), FailsUntil(seconds(1'000)));
  CHECK(State.TrialsFrom.Steady - State.EjectedAt.Steady ==
        FirstEjection * (1 << MaxEjectionDoublings));
}

// A server error is the application's answer, unless a runner gives no other.
TEST_CASE("a runner that answers only errors is ejected if the others don't") {
  const auto Run = [](double Own, double Others) {
    failing_script Script(3);
    outlier_fleet Fleet(6);
    Fleet.run(seconds(30), milliseconds(100), [&](std::size_t Runner, auto) {
      return Script.outcome(Runner == 0 ? Own : Others, outcome_kind::Error);
    });
    return Fleet.soundEjections(0);
  };
  CHECK(Run(1, 0) > 0);
  CHECK(Run(0.4, 0) == 0);
  CHECK(Run(1, 1) == 0);
  CHECK(Run(1, 0.5) == 0);
}

// Guards against faults of this instance's own path held against runners.
TEST_CASE("faults that were not the runners' are taken back") {
  outlier_fleet Fleet(4);
  const auto Outcome = [](std::size_t Runner, microseconds Time) {
    const bool Fails = Runner == 0 && Time >= seconds(10);
    return runner_outcome{Fails ? outcome_kind::Fault : outcome_kind::Success,
                          0};
  };
  Fleet.run(seconds(13), milliseconds(100), Outcome);
  REQUIRE(Fleet.Table.Runners.at("r0").Ejected);
  forgiveFaults(Fleet.Table, later(Start, seconds(10)));
  const outlier_state &State = Fleet.Table.Runners.at("r0");
  CHECK_FALSE(State.Ejected);
  CHECK(State.Ejections == 0);
  CHECK(countFaults(State) == 0);
  CHECK(State.Outages.empty());
}

TEST_CASE("runners that are not used any more are forgotten") {
  outlier_fleet Fleet(3);
  Fleet.run(seconds(10), milliseconds(100), [](std::size_t Runner, auto) {
    return runner_outcome{
        Runner == 0 ? outcome_kind::Fault : outcome_kind::Success, 0};
  });
  forgetOutliers(Fleet.Table, later(Start, seconds(60)));
  // An ejection outlasts the results, so that the next one is longer.
  CHECK(Fleet.Table.Runners.size() == 1);
  forgetOutliers(Fleet.Table, later(Start, seconds(600)));
  CHECK(Fleet.Table.Runners.empty());
}

TEST_CASE("short deadlines are no hangs, and refusals of full runners are no "
          "faults") {
  const work_size Plain{false, 0, 0};
  const work_size Prompt{true, 100'000, 0};
  CHECK_FALSE(isHang(milliseconds(78), Plain));
  CHECK_FALSE(isHang(milliseconds(299), Plain));
  CHECK(isHang(milliseconds(1'500), Plain));
  CHECK_FALSE(isHang(milliseconds(1'500), Prompt));
  CHECK(isFalseRefusal(0, 0, 8));
  CHECK(isFalseRefusal(3, 1, 8));
  CHECK_FALSE(isFalseRefusal(7, 0, 8));
  CHECK_FALSE(isFalseRefusal(4, 6, 8));
  CHECK_FALSE(isFalseRefusal(0, 0, 0));
  CHECK_FALSE(isFalseRefusal(-5, 0, 8));
  // The size of a request is no slowness.
  CHECK(slownessOf(milliseconds(830), Prompt) ==
        doctest::Approx(1).epsilon(.05));
  CHECK(slownessOf(milliseconds(45), Plain) == doctest::Approx(1));
}

// Guards against an ejection that turns into an outage of the service.
TEST_CASE("an ejected runner is selected after all others, and before none") {
  fixture Fixture;
  const auto Eject = [&](const char *Id, seconds Time) {
    outlier_state &State = Fixture.Directory.Outliers.Runners[Id];
    State.Ejected = true;
    State.TrialsFrom = later(Start, Time);
    applyEjections(Fixture.Directory);
  };
  recordContent(Fixture.at("a"), Fixture.Request, Start);
  CHECK(Fixture.place() == "a");
  Eject("a", seconds(5));
  CHECK(standingOf(Fixture.at("a"), Start) == runner_standing::Ejected);
  CHECK(Fixture.place() == "b");
  Fixture.at("b").Outstanding = 30;
  CHECK(Fixture.place() == "far");
  Fixture.at("far").Outstanding = 30;
  // The others are full.
  CHECK(Fixture.place() == "a");
  CHECK_FALSE(placeRequest(Fixture.Directory, Fixture.Query, Start).InBackoff);
  // Another one can't be reached at all just now.
  Fixture.at("b").Outstanding = Fixture.at("far").Outstanding = 0;
  recordFailure(Fixture.at("b"), Start);
  recordFailure(Fixture.at("far"), Start);
  CHECK(Fixture.place() == "a");
  recordSuccess(Fixture.at("b"));
  CHECK(Fixture.place() == "b");
  // A restart doesn't end the ejection.
  runner_entry Entry = Fixture.at("a").Entry;
  Entry.BornMs = 2;
  upsertRunner(Fixture.Directory, Entry);
  CHECK(standingOf(Fixture.at("a"), Start) == runner_standing::Ejected);
}

TEST_CASE("a runner on trial gets one request at a time") {
  fixture Fixture;
  outlier_state &State = Fixture.Directory.Outliers.Runners["a"];
  State.Ejected = true;
  State.TrialsFrom = Start;
  applyEjections(Fixture.Directory);
  recordContent(Fixture.at("a"), Fixture.Request, Start);
  CHECK(standingOf(Fixture.at("a"), Start) == runner_standing::OnTrial);
  CHECK(Fixture.place() == "a");
  Fixture.at("a").Outstanding = 1;
  CHECK(Fixture.place() == "b");
}

// Guards against a workspace that delays others by sending many times its rate,
// and against one that is starved because it does.
TEST_CASE("requests beyond a workspace's share wait behind those of others") {
  admission_query Query;
  Query.Slots = 10;
  Query.ProgramStarted = true;
  Query.OverShare = true;
  CHECK(admissionLimit(Query) == doctest::Approx(11));
  Query.RateLimited = true;
  CHECK(admissionLimit(Query) == doctest::Approx(5));

  quota_stock Stock;
  const quota Quota{1, 10, 0};
  const instant Now{seconds(50), milliseconds(0)};
  CHECK_FALSE(isOverShare(Stock, Quota, 0.99, Now));
  Stock.Demand = 20;
  Stock.DemandAt = Now;
  CHECK(isOverShare(Stock, Quota, 0.5, Now));
  CHECK_FALSE(isOverShare(Stock, Quota, 0.49, Now));
  CHECK_FALSE(isOverShare(Stock, Quota, 0.99, later(Now, QuotaDemandLife)));
  Stock.Demand = 10;
  CHECK_FALSE(isOverShare(Stock, Quota, 0.99, Now));
  Stock.Demand = 1'000;
  CHECK_FALSE(isOverShare(Stock, Quota, 0.29, Now));
}

namespace {

/// Nine workspaces that send their usual rate and one that sends 8.4 times as
/// much, at an engine of 12 slots and 40 requests a second.
struct share_run {
  double Light = 0; ///< Part of the requests of the nine that were served.
  double Heavy = 0;
  double All = 0;
};

share_run runShares(double LightPerSecond, bool Shares) {
  struct waiting {
    bool Heavy = false;
    double Part = 0;
    int GivesUpMs = 0;
  };
  const double HeavyPerSecond = LightPerSecond * 8.4;
  const quota Quota{1, LightPerSecond * 1.6, 0};
  std::mt19937_64 Random(7);
  std::uniform_real_distribution<double> Uniform(0, 1);
  std::vector<waiting> Held;
  std::deque<int> Ends; // Of requests at the engine, by its 12 slots in turn.
  quota_stock Stock;
  Stock.Demand = HeavyPerSecond;
  std::array<int, 2> Offered{};
  std::array<int, 2> Served{};
  for (int Ms = 0; Ms < 60'000; ++Ms) {
    const instant Now{milliseconds(1'000 + Ms), milliseconds(0)};
    Stock.DemandAt = Now;
    while (!Ends.empty() && Ends.front() <= Ms)
      Ends.pop_front();
    for (const bool Heavy : {false, true})
      if (Uniform(Random) <
          (Heavy ? HeavyPerSecond : 9 * LightPerSecond) / 1'000) {
        ++Offered[Heavy];
        Held.push_back({Heavy, Uniform(Random), Ms + 1'600});
      }
    // Held requests look again for room in any order.
    std::shuffle(Held.begin(), Held.end(), Random);
    std::erase_if(Held, [&](const waiting &Request) {
      if (Request.GivesUpMs <= Ms)
        return true;
      admission_query Query;
      Query.Slots = 12;
      Query.OverShare = Shares && Request.Heavy &&
                        isOverShare(Stock, Quota, Request.Part, Now);
      if (static_cast<double>(Ends.size()) >= admissionLimit(Query))
        return false;
      const int Start = Ends.size() < 12 ? Ms : Ends[Ends.size() - 12];
      Ends.push_back(Start + 300);
      ++Served[Request.Heavy];
      return true;
    });
  }
  const auto part = [](int Some, int Total) {
    return static_cast<double>(Some) / Total;
  };
  return {part(Served[0], Offered[0]), part(Served[1], Offered[1]),
          part(Served[0] + Served[1], Offered[0] + Offered[1])};
}

} // namespace

// The bound of a quarter is that of docs/design/overview.md.
TEST_CASE("a workspace above its share is served a quarter as often as all, "
          "and others are not delayed") {
  // At 4 a second, the nine alone need nine tenths of the engine.
  const share_run Before = runShares(4, false);
  const share_run After = runShares(4, true);
  MESSAGE("light " << Before.Light << " to " << After.Light << ", heavy "
                   << Before.Heavy << " to " << After.Heavy);
  CHECK(After.Light > Before.Light);
  for (const double LightPerSecond : {2.0, 4.0, 6.0, 10.0}) {
    const share_run Run = runShares(LightPerSecond, true);
    CAPTURE(LightPerSecond);
    CAPTURE(Run.Heavy);
    CAPTURE(Run.All);
    CHECK(Run.Heavy >= Run.All / 4);
  }
}

// Guards against requests to slow machines that only the constants of another
// deployment describe.
TEST_CASE("speeds that differ by failure domain are learned, and apply to a "
          "runner that was never used") {
  for (std::uint64_t Seed = 1; Seed <= 10; ++Seed) {
    CAPTURE(Seed);
    speed_world World(Seed);
    addThreeSpeeds(World, 5);
    World.observeAll(15, {"b4", "c4"});
    const double Fast = World.estimate("a0").multiple();
    CHECK(World.estimate("c0").multiple() / Fast ==
          doctest::Approx(1.7 / 0.7).epsilon(0.25));
    CHECK(World.estimate("c4").multiple() / Fast ==
          doctest::Approx(1.7 / 0.7).epsilon(0.25));
    CHECK(World.estimate("b4").multiple() / Fast ==
          doctest::Approx(1).epsilon(0.25));
    CHECK(World.estimate("c4").Source == speed_source::Domain);
    CHECK(World.estimate("c4").FactorAge.count() == -1);
  }
}

// Guards against differences that are only noise, which would draw requests
// away from equal runners.
TEST_CASE("noise makes equal runners hardly differ") {
  for (std::uint64_t Seed = 1; Seed <= 10; ++Seed) {
    CAPTURE(Seed);
    speed_world World(Seed);
    for (int Index = 0; Index < 15; ++Index)
      World.add(std::to_string(Index), std::to_string(Index % 3), 1);
    for (int Second = 0; Second < 30; ++Second) {
      World.observeAll(1);
      double Least = 10;
      double Most = 0;
      for (int Index = 0; Index < 15; ++Index) {
        const double Factor = World.estimate(std::to_string(Index)).Factor;
        Least = std::min(Least, Factor);
        Most = std::max(Most, Factor);
      }
      CHECK(Most / Least < 1.25);
    }
  }
}

// Guards against a single slow machine that is hidden by the equal ones around
// it.
TEST_CASE("one slow runner among equal ones is found") {
  for (std::uint64_t Seed = 1; Seed <= 10; ++Seed) {
    CAPTURE(Seed);
    speed_world World(Seed);
    World.Noisy = false;
    for (int Index = 0; Index < 15; ++Index)
      World.add(std::to_string(Index), std::to_string(Index % 3),
                Index == 7 ? 3 : 1);
    World.observeAll(15);
    CHECK(World.estimate("7").Factor > 2);
    CHECK(World.estimate("8").Factor < 1.2);
    CHECK(World.estimate("8").Factor > 0.8);
  }
}

// Guards against the constants of one data sheet on other hardware.
TEST_CASE("base rates are the constants until they are learned") {
  const base_rates Constants = baseRates(nullptr);
  CHECK(Constants.PrefillTokensPerMs == doctest::Approx(122));
  CHECK(Constants.StepMs == doctest::Approx(2.92));
  CHECK(Constants.PlainMs == doctest::Approx(45));
  speed_world World(1);
  World.Noisy = false;
  for (int Index = 0; Index < 15; ++Index)
    World.add(std::to_string(Index), std::to_string(Index % 3), 1);
  World.observeAll(30);
  const base_rates Learned = baseRates(findSpeed(World.Directory, "llm"));
  CHECK(Learned.StepMs == doctest::Approx(2.31).epsilon(0.05));
  CHECK(Learned.PrefillTokensPerMs == doctest::Approx(75.8).epsilon(0.2));
  CHECK(Learned.StepMsPerRequest < Constants.StepMsPerRequest);
}

// Guards against counting a machine's speed twice, or not at all: it is not
// known whether the reported slowdown includes it.
TEST_CASE("the speed is the same whether reports include it or not") {
  for (const bool Includes : {false, true}) {
    CAPTURE(Includes);
    speed_world World(1);
    addThreeSpeeds(World, 5);
    World.Reports = [&](const std::string &Id) {
      return Includes ? World.multipleOf(Id) : World.noiseOf(Id);
    };
    World.observeAll(20);
    World.Now = later(World.Now, seconds(1));
    CHECK(World.estimate("c0").multiple() / World.estimate("a0").multiple() ==
          doctest::Approx(1.7 / 0.7).epsilon(0.25));
  }
}

// Guards against a slowdown that is believed after it has passed.
TEST_CASE("a reported slowdown applies at once and ages fast") {
  speed_world World(1);
  World.Noisy = false;
  for (int Index = 0; Index < 6; ++Index)
    World.add(std::to_string(Index), "here", 1);
  World.Reports = [](const std::string &) { return 1.0; };
  World.observeAll(10);
  recordLoad(World.Directory, World.Directory.Runners.at("0"), {0, 0, 4, 2.5},
             World.Now);
  CHECK(World.estimate("0").Slowdown == doctest::Approx(2.5).epsilon(0.05));
  CHECK(World.estimate("1").Slowdown == doctest::Approx(1).epsilon(0.1));
  World.Now = later(World.Now, milliseconds(225));
  CHECK(World.estimate("0").Slowdown < 2);
  CHECK(World.estimate("0").SlowdownAge == milliseconds(225));
  World.Now = later(World.Now, milliseconds(400));
  CHECK(World.estimate("0").Slowdown < 1.25);
}

// Guards against estimates that stay in force after the reports have stopped.
TEST_CASE("when observations stop, a runner's estimate returns to the usual") {
  speed_world World(1);
  World.Noisy = false;
  for (int Index = 0; Index < 6; ++Index)
    World.add(std::to_string(Index), "here", Index == 0 ? 3 : 1);
  World.observeAll(15);
  CHECK(World.estimate("0").Factor > 1.8);
  World.observeAll(60, {"0"});
  CHECK(World.estimate("0").Factor < 1.3);
}

TEST_CASE("a new incarnation of a runner starts without observations") {
  speed_world World(1);
  World.Noisy = false;
  for (int Index = 0; Index < 6; ++Index)
    World.add(std::to_string(Index), "here", Index == 0 ? 3 : 1);
  World.observeAll(15);
  runner_entry Entry = makeEntry("0", "here");
  Entry.BornMs = 2;
  upsertRunner(World.Directory, Entry);
  CHECK(World.estimate("0").FactorAge.count() == -1);
  CHECK(World.estimate("0").Factor < 1.3);
}

// Guards against an instance that stays with the slow machines of its own
// failure domain.
TEST_CASE("placement prefers fast runners of another failure domain to slow "
          "ones nearby") {
  fixture Fixture;
  speed_world World(1);
  addThreeSpeeds(World, 5);
  Fixture.Query.Domain = "slow";
  const auto Place = [&] {
    return placeRequest(World.Directory, Fixture.Query, World.Now);
  };
  CHECK(Place().Runner.front() == 'c');
  World.observeAll(15);
  const auto Placed = Place();
  CHECK(Placed.Runner.front() != 'c');
  // 70 tokens and 2,440 of a prompt, at 0.7 times the usual duration; the slow
  // moments add a fifth.
  const double WorkMs = 40 + 2'440 / 75.8 + 70 * 2.31;
  CHECK(Placed.ExpectedMs > 0.7 * WorkMs);
  CHECK(Placed.ExpectedMs < 0.7 * WorkMs * 1.6);
}

// Guards against queues of the same length, and thus of very different
// durations, at fast and slow runners.
TEST_CASE("a slow runner takes a shorter queue than a fast one") {
  fixture Fixture;
  speed_world World(1);
  World.Noisy = false;
  addThreeSpeeds(World, 5);
  World.observeAll(15);
  const auto LimitOf = [&](const char *Id) {
    for (int Load = 0; Load < 100; ++Load) {
      for (auto &[Other, Runner] : World.Directory.Runners)
        Runner.Outstanding = Other == Id ? Load : 100;
      if (placeRequest(World.Directory, Fixture.Query, World.Now).Full)
        return Load;
    }
    return 100;
  };
  CHECK(LimitOf("a0") > LimitOf("c0"));
  CHECK(LimitOf("c0") > 4);
}

// Guards against requests that leave a cached prompt because of noise.
TEST_CASE("noise does not draw requests away from a cached prefix") {
  fixture Fixture;
  int Stayed = 0;
  constexpr int Seeds = 40;
  for (std::uint64_t Seed = 1; Seed <= Seeds; ++Seed) {
    speed_world World(Seed);
    for (int Index = 0; Index < 15; ++Index)
      World.add(std::to_string(Index), "here", 1);
    World.observeAll(20);
    recordContent(World.Directory.Runners.at("7"), Fixture.Request, World.Now);
    Fixture.Query.Spread = Seed;
    Stayed +=
        placeRequest(World.Directory, Fixture.Query, World.Now).Runner == "7";
  }
  CHECK(Stayed >= Seeds * 9 / 10);
}

// Guards against a herd: instances that have the same reports all send to the
// runner that looks best.
TEST_CASE("instances that place at the same moment use many runners") {
  constexpr int Instances = 79;
  constexpr int Runners = 66;
  fixture Fixture;
  runner_directory Directory;
  for (int Index = 0; Index < Runners; ++Index) {
    const std::string Id = std::to_string(Index);
    upsertRunner(Directory, makeEntry(Id, "here"));
  }
  const auto Count = [&] {
    std::map<std::string, int> Placed;
    for (int Instance = 0; Instance < Instances; ++Instance) {
      Fixture.Query.Spread = stableHash(std::to_string(Instance));
      ++Placed[placeRequest(Directory, Fixture.Query, Start).Runner];
    }
    return Placed;
  };
  const auto Most = [](const std::map<std::string, int> &Placed) {
    int Number = 0;
    for (const auto &[Id, Times] : Placed)
      Number = std::max(Number, Times);
    return Number;
  };
  SUBCASE("all runners are idle") {
    const auto Placed = Count();
    CHECK(Placed.size() >= Runners / 2);
    CHECK(Most(Placed) <= 6);
  }
  SUBCASE("one runner is idle, the others have a request") {
    for (auto &[Id, Runner] : Directory.Runners)
      recordLoad(Directory, Runner, {Id == "7" ? 0 : 1, 0, 4}, Start);
    CHECK(Most(Count()) < Instances * 2 / 3);
  }
  SUBCASE("one runner has a shorter queue than the others") {
    for (auto &[Id, Runner] : Directory.Runners)
      recordLoad(Directory, Runner, {4, Id == "7" ? 0 : 1, 4}, Start);
    CHECK(Most(Count()) < Instances * 2 / 3);
  }
  SUBCASE("a difference of several requests decides") {
    for (auto &[Id, Runner] : Directory.Runners)
      recordLoad(Directory, Runner, {Id == "7" ? 0 : 4, 0, 4}, Start);
    CHECK(Count()["7"] == Instances);
  }
  SUBCASE("the same inputs give the same runners") {
    CHECK(Count() == Count());
  }
}

// Guards against an instance in a slow failure domain that never learns that
// others are faster, as its own runners have room.
TEST_CASE("a few requests explore a failure domain of which nothing is known") {
  fixture Fixture;
  speed_world World(1);
  addThreeSpeeds(World, 5);
  Fixture.Query.Domain = "slow";
  std::set<std::string> Others;
  for (const char *Domain : {"a", "b"})
    for (int Index = 0; Index < 5; ++Index)
      Others.insert(Domain + std::to_string(Index));
  const auto CountOutside = [&] {
    int Outside = 0;
    for (int Request = 0; Request < 1'000; ++Request) {
      Fixture.Query.Spread = stableHash(std::to_string(Request));
      Outside += placeRequest(World.Directory, Fixture.Query, World.Now)
                     .Runner.front() != 'c';
    }
    return Outside;
  };
  World.observeAll(10, Others);
  const int Explored = CountOutside();
  CHECK(Explored >= 5);
  CHECK(Explored <= 60);
  World.observeAll(10);
  CHECK(CountOutside() == 1'000);
}

// Guards against a later turn that waits like a new program because its route
// keeps no history and it names no previous turn.
TEST_CASE("a turn without a previous one is admitted as under way if its "
          "program has begun") {
  fixture Fixture;
  for (const char *Id : {"a", "b", "far"})
    Fixture.at(Id).Outstanding = 7;
  CHECK(placeRequest(Fixture.Directory, Fixture.Query, Start).Full);
  Fixture.Query.ProgramStarted = true;
  CHECK_FALSE(placeRequest(Fixture.Directory, Fixture.Query, Start).Full);
}

// Guards against a price of connections that outweighs load, and against new
// connections where an open one serves as well.
TEST_CASE("a runner with an idle connection is preferred among near-equal "
          "ones") {
  fixture Fixture;
  runner_directory Directory;
  for (int Index = 0; Index < 9; ++Index) {
    runner_entry Entry = makeEntry(std::to_string(Index), "here");
    Entry.Address = "10.0.0." + std::to_string(Index) + ":80";
    upsertRunner(Directory, Entry);
  }
  Fixture.Query.Connected = {"10.0.0.2:80", "10.0.0.7:80"};
  for (int Request = 0; Request < 100; ++Request) {
    Fixture.Query.Spread = stableHash(std::to_string(Request));
    const auto Placed = placeRequest(Directory, Fixture.Query, Start);
    CHECK((Placed.Runner == "2" || Placed.Runner == "7"));
    CHECK(Placed.Connected);
  }
  // A queue there costs more than a connection.
  Directory.Runners.at("2").Outstanding = 5;
  Directory.Runners.at("7").Outstanding = 5;
  CHECK_FALSE(placeRequest(Directory, Fixture.Query, Start).Connected);
  // Without any connection, the cost is the same for all.
  Fixture.Query.Connected = std::vector<std::string_view>{};
  Fixture.Query.Spread = 0;
  CHECK(placeRequest(Directory, Fixture.Query, Start).Runner == "0");
}

// Guards against requests that occupy an engine although their caller gives up
// long before it can answer, and against rejections on a guess.
TEST_CASE("a request that certainly cannot finish in time is recognized") {
  fixture Fixture;
  Fixture.Request.PromptTokens = 0;
  speed_world World(1);
  for (int Index = 0; Index < 6; ++Index)
    World.add(std::to_string(Index), "here", 1);
  const auto Place = [&] {
    return placeRequest(World.Directory, Fixture.Query, World.Now).Completion;
  };
  // A turn takes 40 + 70 x 2.31 ms, with slow moments.
  CHECK_FALSE(cannotFinish(Place(), milliseconds(1)));
  World.observeAll(30);
  CHECK(Place().Known);
  CHECK(cannotFinish(Place(), milliseconds(30)));
  CHECK_FALSE(cannotFinish(Place(), milliseconds(210)));
  CHECK(Place().ExpectedMs == doctest::Approx(250).epsilon(0.3));
  SUBCASE("a runner that was tried counts, as it may be tried again") {
    for (int Index = 0; Index < 6; ++Index)
      Fixture.Query.Excluded.insert(std::to_string(Index));
    CHECK(Place().Known);
    CHECK_FALSE(cannotFinish(Place(), milliseconds(210)));
  }
  SUBCASE("full runners: the queue counts, and tells when to return") {
    const completion_estimate Idle = Place();
    for (auto &[Id, Runner] : World.Directory.Runners)
      Runner.Outstanding = 24;
    CHECK(placeRequest(World.Directory, Fixture.Query, World.Now).Full);
    const completion_estimate Full = Place();
    CHECK(Full.EarliestMs > 2 * Idle.EarliestMs);
    CHECK(cannotFinish(Full, milliseconds(210)));
    CHECK(roomExpectedIn(Full, 0) > milliseconds(500));
    CHECK(roomExpectedIn(Full, 0) <= milliseconds(2'000));
    CHECK(roomExpectedIn(Idle, 0) == milliseconds(150));
    CHECK(roomExpectedIn(Idle, 149) == milliseconds(299));
  }
  SUBCASE("observations that are too old decide nothing") {
    World.Now = later(World.Now, seconds(60));
    CHECK_FALSE(cannotFinish(Place(), milliseconds(1)));
  }
  SUBCASE("no runner, no decision") {
    World.Directory.Runners.clear();
    CHECK_FALSE(cannotFinish(Place(), milliseconds(1)));
  }
}
