#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include "path/relay_directory.h"
#include "path/runner_path.h"

#include <algorithm>
#include <doctest/doctest.h>
#include <functional>
#include <map>
#include <random>

using namespace lentilhoist;

namespace {

instant at(milliseconds Time) {
  return later({seconds(100), milliseconds(0)}, Time);
}

/// A fault put into the decisions, which a scenario must notice.
enum class planted_fault {
  None,
  FirstFailureDecides, ///< One failed connection takes the path for lost.
  SilenceDecides,      ///< So does silence.
  OneDomainProbed,     ///< All probes go to one failure domain.
  RoundsOverlap,       ///< A round starts before the last one has its results.
  ProbesWithoutPause,  ///< Silence is probed again and again.
};

/// What happens to the runners and the path in one scenario.
struct scenario {
  const char *Name;
  /// Whether a new connection to a runner is accepted.
  std::function<bool(const std::string &Runner, milliseconds Time)> Accepts;
  /// Whether a runner's bytes arrive on connections that stand.
  std::function<bool(const std::string &Runner, milliseconds Time)> Sends;
  milliseconds FailureTime{250}; ///< Until a connection attempt fails.
  milliseconds LostFrom{-1};     ///< The path is lost from here; -1: never.
  milliseconds LostUntil{-1};
};

constexpr milliseconds Length{12'000};
/// The users allow three seconds; detection takes a third of them at most.
constexpr milliseconds MaxDetection{1'000};
/// Connections that only test runners, in a second of a path that is open: two
/// rounds.
constexpr int MaxProbesPerSecond = 6;

/// An instance in virtual time with nine runners in three failure domains.
/// Every 20 ms a request is sent on a connection that stands, every 400 ms one
/// on a new connection.
class path_world {
public:
  path_world(const scenario &GivenPlayed, planted_fault GivenPlanted)
      : Played(GivenPlayed), Planted(GivenPlanted) {
    for (const char *Domain : {"a", "b", "c"})
      for (int Index = 0; Index < 3; ++Index) {
        runner_entry Entry;
        Entry.Id = Domain + std::to_string(Index);
        Entry.Service = "s";
        Entry.Address = "10.0.0.1:1";
        Entry.Domain = Domain;
        upsertRunner(Directory, Entry);
        Ids.push_back(Entry.Id);
      }
  }

  /// \returns what went wrong; empty if nothing did.
  std::string play() {
    for (milliseconds Time{0}; Time < Length; Time += milliseconds(5)) {
      deliver(Time);
      if (Time.count() % 20 == 0)
        request(Time);
      if (Time.count() % 400 == 0)
        connect(Ids[static_cast<std::size_t>(Time.count() / 400) % Ids.size()],
                Time);
      if (Time.count() % 100 == 0)
        check(Time);
      plant(Time);
      judge(Time);
    }
    if (Played.LostFrom.count() >= 0 && !LostSeen)
      return "the lost path was not noticed";
    return Breach;
  }

private:
  void request(milliseconds Time) {
    if (Path.State == path_state::Lost)
      return;
    recordPathSent(Path, at(Time));
    const std::string &Id = Ids[Random() % Ids.size()];
    Events.emplace(Time + milliseconds(30), [this, Id](milliseconds Now) {
      if (!Played.Sends(Id, Now)) {
        // The caller's time is over at last.
        Events.emplace(Now + milliseconds(1'500),
                       [this](milliseconds) { recordPathEnded(Path); });
        return;
      }
      recordPathHeard(Path, at(Now));
      Directory.Runners.at(Id).HeardAt = at(Now);
      recordPathEnded(Path);
    });
  }

  void connect(const std::string &Id, milliseconds Time) {
    const bool Accepted = Played.Accepts(Id, Time);
    Events.emplace(Time + (Accepted ? milliseconds(5) : Played.FailureTime),
                   [this, Id, Accepted](milliseconds Now) {
                     recordPathConnect(Path, Id, Accepted, at(Now));
                     if (!Accepted &&
                         Planted == planted_fault::FirstFailureDecides)
                       Path.State = path_state::Lost;
                     if (!Accepted)
                       check(Now);
                   });
  }

  void check(milliseconds Time) {
    if (Planted == planted_fault::RoundsOverlap)
      Path.Probed.clear();
    if (Planted == planted_fault::ProbesWithoutPause)
      Path.RoundSucceeded = Path.QuietSinceAccept = false;
    std::vector<std::string> Chosen =
        startProbeRound(Path, Directory, at(Time));
    if (Planted == planted_fault::OneDomainProbed && Chosen.size() == 3) {
      Chosen = {"a0", "a1", "a2"};
      Path.Probed = {Chosen.begin(), Chosen.end()};
    }
    for (const std::string &Id : Chosen) {
      ++Probes[Time.count() / 1'000];
      connect(Id, Time);
    }
  }

  void deliver(milliseconds Time) {
    while (!Events.empty() && Events.begin()->first <= Time) {
      const auto Event = Events.begin()->second;
      const milliseconds When = Events.begin()->first;
      Events.erase(Events.begin());
      Event(When);
    }
  }

  void plant(milliseconds Time) {
    if (Planted == planted_fault::SilenceDecides &&
        Path.SilentSince.Steady.count() != 0 &&
        at(Time).Steady - Path.SilentSince.Steady > SilenceBeforeProbe)
      Path.State = path_state::Lost;
  }

  void judge(milliseconds Time) {
    const bool Lost = Path.State == path_state::Lost;
    const bool Cut = Played.LostFrom.count() >= 0 && Time >= Played.LostFrom &&
                     Time < Played.LostUntil;
    const bool Settling =
        Played.LostFrom.count() >= 0 &&
        ((Time >= Played.LostFrom && Time < Played.LostFrom + MaxDetection) ||
         (Time >= Played.LostUntil && Time < Played.LostUntil + MaxDetection));
    LostSeen = LostSeen || (Lost && Cut);
    if (Breach.empty() && !Settling && Lost != Cut)
      Breach = Lost ? "the path was taken for lost" : "the path was not lost";
    if (Breach.empty() && !Lost && !Cut && !Settling &&
        Probes[Time.count() / 1'000] > MaxProbesPerSecond)
      Breach = "too many probes";
  }

  const scenario &Played;
  planted_fault Planted;
  runner_path Path;
  runner_directory Directory;
  std::vector<std::string> Ids;
  std::multimap<milliseconds, std::function<void(milliseconds)>> Events;
  std::map<std::int64_t, int> Probes; ///< By second.
  std::mt19937 Random{7};
  bool LostSeen = false;
  std::string Breach;
};

const std::vector<scenario> &scenarios() {
  const auto Always = [](const std::string &, milliseconds) { return true; };
  const auto During = [](milliseconds From, milliseconds Until) {
    return [From, Until](const std::string &, milliseconds Time) {
      return Time < From || Time >= Until;
    };
  };
  const auto Except = [](const std::string &Prefix, milliseconds From,
                         milliseconds Until) {
    return [=](const std::string &Runner, milliseconds Time) {
      return !Runner.starts_with(Prefix) || Time < From || Time >= Until;
    };
  };
  const milliseconds From{4'000};
  const milliseconds Until{8'000};
  static const std::vector<scenario> All{
      {"nothing happens", Always, Always},
      {"all connections hang", During(From, Until), During(From, Until),
       milliseconds(250), From, Until},
      {"new connections are refused, others live on", During(From, Until),
       Always, milliseconds(5), From, Until},
      {"one runner is silent for a second",
       Except("a0", From, From + seconds(1)),
       Except("a0", From, From + seconds(1))},
      {"one runner is lost", Except("b1", From, Until),
       Except("b1", From, Until), milliseconds(5)},
      {"a failure domain is lost", Except("a", From, Until),
       Except("a", From, Until)},
      {"a failure domain ends", Except("c", From, Until),
       Except("c", From, Until), milliseconds(5)},
      {"all runners are slow to respond, none is lost", Always,
       During(From, Until)},
  };
  return All;
}

} // namespace

// Guards against an instance that does not notice the loss of its path, or
// takes a silent runner, a lost one or a lost failure domain for it.
TEST_CASE(
    "runner_path tells a lost path from runners that are lost or silent") {
  for (const scenario &Played : scenarios()) {
    INFO(std::string(Played.Name));
    CHECK(path_world(Played, planted_fault::None).play() == "");
  }
}

TEST_CASE("the scenarios of runner_path find planted faults") {
  for (const planted_fault Planted :
       {planted_fault::FirstFailureDecides, planted_fault::SilenceDecides,
        planted_fault::OneDomainProbed, planted_fault::RoundsOverlap,
        planted_fault::ProbesWithoutPause}) {
    const bool Found = std::any_of(
        scenarios().begin(), scenarios().end(), [&](const scenario &Played) {
          return !path_world(Played, Planted).play().empty();
        });
    INFO(static_cast<int>(Planted));
    CHECK(Found);
  }
}

// Guards against requests that wait for a response that the cut has taken.
TEST_CASE("requests are cut off only on a lost path whose runners are all "
          "silent") {
  runner_path Path;
  recordPathSent(Path, at(milliseconds(0)));
  CHECK_FALSE(isCutOff(Path, at(milliseconds(900))));
  Path.State = path_state::Lost;
  CHECK_FALSE(isCutOff(Path, at(milliseconds(399))));
  CHECK(isCutOff(Path, at(milliseconds(400))));
  recordPathHeard(Path, at(milliseconds(450)));
  CHECK_FALSE(isCutOff(Path, at(milliseconds(500))));
  recordPathEnded(Path);
  CHECK_FALSE(isCutOff(Path, at(milliseconds(2'000))));
}

// Guards against evidence that comes late, or from a runner that failed with
// the other.
TEST_CASE(
    "the witness of a failure is the runner heard last in another failure "
    "domain") {
  runner_directory Directory;
  CHECK(chooseWitness(Directory, "a0").empty());
  for (const char *Id : {"a0", "a1", "b0", "b1"}) {
    runner_entry Entry;
    Entry.Id = Id;
    Entry.Domain = Entry.Id.substr(0, 1);
    upsertRunner(Directory, Entry);
  }
  Directory.Runners.at("a1").HeardAt = at(milliseconds(9));
  Directory.Runners.at("b1").HeardAt = at(milliseconds(5));
  CHECK(chooseWitness(Directory, "a0") == "b1");
  CHECK(chooseWitness(Directory, "b0") == "a1");
  Directory.Runners.at("b0").Entry.Draining = true;
  Directory.Runners.at("b1").Entry.Draining = true;
  CHECK(chooseWitness(Directory, "a0") == "a1");
}

// Guards against a path that is never found open again with a single runner.
TEST_CASE("the path of an instance with one runner is lost and regained") {
  runner_directory Directory;
  runner_entry Entry;
  Entry.Id = "only";
  Entry.Domain = "a";
  upsertRunner(Directory, Entry);
  runner_path Path;
  CHECK_FALSE(recordPathConnect(Path, "only", false, at(milliseconds(0))));
  CHECK(startProbeRound(Path, Directory, at(milliseconds(1))).size() == 1);
  CHECK(recordPathConnect(Path, "only", false, at(milliseconds(2))));
  CHECK(Path.State == path_state::Lost);
  CHECK(startProbeRound(Path, Directory, at(milliseconds(300))).size() == 1);
  CHECK(recordPathConnect(Path, "only", true, at(milliseconds(310))));
  CHECK(Path.State == path_state::Open);
}

namespace {

/// Instances in virtual time, the first of which have lost their path.
class relay_world {
public:
  relay_world(int Instances, int Stranded) : Lost(Stranded) {
    for (int Index = 0; Index < Instances; ++Index)
      Addresses.push_back("10.0." + std::to_string(Index / 200) + "." +
                          std::to_string(Index % 200) + ":7002");
    Directories.resize(static_cast<std::size_t>(Instances));
    for (std::size_t Index = 0; Index < Addresses.size(); ++Index)
      listRelays(Directories[Index], Addresses, Addresses[Index],
                 at(milliseconds(0)));
  }

  /// Runs the checks of all stranded instances for some time; a check takes 10
  /// ms.
  void run(milliseconds From, milliseconds Until) {
    for (milliseconds Time = From; Time < Until; Time += milliseconds(10))
      for (int Index = 0; Index < Lost; ++Index) {
        relay_directory &Own = Directories[static_cast<std::size_t>(Index)];
        for (const std::string &Relay : startRelayChecks(
                 Own, Addresses[static_cast<std::size_t>(Index)], at(Time))) {
          ++Checks;
          const auto Found =
              std::find(Addresses.begin(), Addresses.end(), Relay);
          const bool Works = Found - Addresses.begin() >= Lost;
          recordRelay(Own, Relay,
                      Works ? relay_result::Works : relay_result::Refused,
                      at(Time + milliseconds(9)));
        }
      }
  }

  int Lost;
  int Checks = 0;
  std::vector<std::string> Addresses;
  std::vector<relay_directory> Directories;
};

} // namespace

// Guards against instances without a path that find no relay, load one with all
// of them, or check without end.
TEST_CASE(
    "instances without a path find relays soon, spread over them and check "
    "at a bounded rate, at 10 and 95 instances") {
  for (const auto &[Instances, Stranded] :
       std::vector<std::pair<int, int>>{{10, 6}, {10, 9}, {95, 57}, {95, 32}}) {
    relay_world World(Instances, Stranded);
    World.run(milliseconds(0), milliseconds(100));
    INFO(Instances, " ", Stranded);
    // Ten requests of each at a time.
    std::map<std::string, int> Load;
    for (int Index = 0; Index < Stranded; ++Index)
      for (int Request = 0; Request < 10; ++Request) {
        relay_directory &Own =
            World.Directories[static_cast<std::size_t>(Index)];
        const std::string Relay = chooseRelay(Own, at(milliseconds(100)));
        REQUIRE(!Relay.empty());
        ++Own.Relays.at(Relay).Requests;
        ++Load[Relay];
      }
    const int Fair = 10 * Stranded / (Instances - Stranded) + 1;
    for (const auto &[Relay, Requests] : Load)
      CHECK(Requests <= 4 * Fair);
    // Later, each checks the relays in use and, with too few, the others once
    // in the time that these are left alone.
    World.Checks = 0;
    World.run(milliseconds(2'000), milliseconds(12'000));
    const int PerRelay =
        10 * 1'000 / static_cast<int>(RelayCheckInterval.count());
    CHECK(World.Checks <=
          Stranded *
              (PerRelay * (static_cast<int>(RelaysInUse + MaxRelayChecks)) +
               10 * Instances));
  }
}

// Guards against callers that wait for a relay that there can't be.
TEST_CASE("without any instance that can relay no relay is expected") {
  relay_world World(10, 10);
  World.run(milliseconds(0), milliseconds(50));
  for (const relay_directory &Own : World.Directories) {
    CHECK(chooseRelay(Own, at(milliseconds(60))).empty());
    CHECK_FALSE(mayFindRelay(Own, at(milliseconds(60))));
    // Later one may have come back.
    CHECK(mayFindRelay(Own, at(milliseconds(1'200))));
  }
}

// Guards against giving up a relay for one lost packet, and against keeping one
// that says no or is gone.
TEST_CASE("a relay is given up when it refuses or is silent twice in a row") {
  relay_directory Directory;
  listRelays(Directory, {"own", "x", "y"}, "own", at(milliseconds(0)));
  CHECK(Directory.Relays.size() == 2);
  CHECK(startRelayChecks(Directory, "own", at(milliseconds(0))).size() == 2);
  CHECK(startRelayChecks(Directory, "own", at(milliseconds(1))).empty());
  CHECK(recordRelay(Directory, "x", relay_result::Works, at(milliseconds(9))));
  CHECK_FALSE(
      recordRelay(Directory, "y", relay_result::Silent, at(milliseconds(9))));
  CHECK(chooseRelay(Directory, at(milliseconds(10))) == "x");
  CHECK_FALSE(
      recordRelay(Directory, "x", relay_result::Silent, at(milliseconds(20))));
  CHECK(chooseRelay(Directory, at(milliseconds(21))) == "x");
  // A doubtful relay is checked at once.
  CHECK(startRelayChecks(Directory, "own", at(milliseconds(22))) ==
        std::vector<std::string>{"x"});
  CHECK(
      recordRelay(Directory, "x", relay_result::Silent, at(milliseconds(30))));
  CHECK(chooseRelay(Directory, at(milliseconds(31))).empty());
  recordRelay(Directory, "y", relay_result::Works, at(milliseconds(1'100)));
  CHECK(recordRelay(Directory, "y", relay_result::Refused,
                    at(milliseconds(1'110))));
  // One replica may not know an instance yet, but not all of them for long.
  recordRelay(Directory, "x", relay_result::Works, at(milliseconds(2'000)));
  listRelays(Directory, {"y"}, "own", at(milliseconds(3'000)));
  CHECK(chooseRelay(Directory, at(milliseconds(3'000))) == "x");
  listRelays(Directory, {"y"}, "own", at(milliseconds(11'000)));
  CHECK(chooseRelay(Directory, at(milliseconds(11'000))).empty());
}
