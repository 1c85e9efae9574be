#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include "explore/virtual_clock.h"
#include "fuzz.h"
#include "quarantine/broken_sends.h"
#include "quarantine/suspect_archive.h"

#include <algorithm>
#include <doctest/doctest.h>
#include <set>

using namespace lentilhoist;

namespace {

const instant Start{seconds(1'000), milliseconds(1'700'000'000'000)};
constexpr request_signature Bad = 7;

crash_record crashOf(const char *Runner, instant At, bool Early = true) {
  return {Runner, 1, At, Early};
}

quarantine_verdict verdictOf(const suspect_table &Table, instant Now) {
  return decideQuarantine(Table, Bad, Now).Verdict;
}

/// Faults put in on purpose, to show that the world below finds them.
enum class planted_fault {
  None,
  NoEvidence, ///< Ends of runners are not recorded.
  NoSharing,  ///< Instances don't tell each other.
  NoSaving,   ///< Replicas start without evidence.
  Forgiving,  ///< A trial that ended its runner counts as no evidence.
  NoClearing, ///< Complete answers don't clear a request.
};

/// Instances, replicas and runners in virtual time. One request ends each
/// runner that begins to run it and comes again at any instance; others are
/// sound. Instances and replicas restart, together or one at a time, and
/// instances are cut off.
class quarantine_world {
public:
  quarantine_world(std::uint64_t Seed, std::size_t Instances,
                   planted_fault Given)
      : Planted(Given), Choice(Seed), Entries(Instances), Replicas(3),
        Runners(10) {
    for (std::size_t Index = 0; Index < Entries.size(); ++Index)
      ping(Index);
    sendSound();
    sendBad();
    endAny();
    fault();
    while (Clock.now().Steady < End && Clock.step()) {
    }
  }

  /// Sends of the bad request later than this after the third end.
  static constexpr seconds ContactTime{3};
  int LateSends = 0;
  int Ends = 0;
  /// Longest that a sound request was rejected in a row.
  microseconds LongestRejection{0};
  int SoundSent = 0;

private:
  static constexpr seconds End{60};
  static constexpr request_signature FirstSound = 100;

  struct entry {
    suspect_table Table;
    broken_sends Broken;
    instant ExcusedUntil{};
    std::uint64_t Life = 0;
  };
  struct runner {
    instant DownUntil{};
    std::int64_t BornMs = 1;
    /// Requests at it: instance, signature, whether output has arrived.
    std::vector<std::pair<std::size_t, broken_send>> At;
  };

  microseconds delay() {
    return Choice.between(milliseconds(2), milliseconds(12));
  }

  void ping(std::size_t Index) {
    exchange(Index, MinListedCrashes);
    Clock.after(seconds(2), [this, Index] { ping(Index); });
  }

  /// Exchanges evidence with all replicas.
  void exchange(std::size_t Index, std::size_t Least = 0) {
    if (Planted == planted_fault::NoSharing)
      return;
    const instant Now = Clock.now();
    if (Entries[Index].ExcusedUntil.Steady > Now.Steady)
      return;
    const auto Notices =
        listSuspects(Entries[Index].Table, MaxListedSuspects, Least, Now);
    for (suspect_table &Replica : Replicas)
      Clock.after(delay(), [this, Index, Notices, &Replica,
                            Life = Entries[Index].Life] {
        mergeSuspects(Replica, Notices, Clock.now());
        const auto Reply = listSuspects(Replica, MaxListedSuspects,
                                        MinListedCrashes, Clock.now());
        Clock.after(delay(), [this, Index, Reply, Life] {
          if (Entries[Index].Life == Life)
            mergeSuspects(Entries[Index].Table, Reply, Clock.now());
        });
      });
  }

  void sendSound() {
    // A sound request is tried until it is answered.
    const request_signature Signature = FirstSound + Choice.below(200);
    attemptSound(Signature, Clock.now());
    Clock.after(Choice.between(milliseconds(10), milliseconds(40)),
                [this] { sendSound(); });
  }

  void attemptSound(request_signature Signature, instant FirstTry) {
    const std::size_t Index = Choice.below(Entries.size());
    const instant Now = Clock.now();
    if (Now.Steady > End)
      return;
    const auto Again = [this, Signature, FirstTry] {
      Clock.after(milliseconds(300), [this, Signature, FirstTry] {
        attemptSound(Signature, FirstTry);
      });
    };
    const auto Decision =
        decideQuarantine(Entries[Index].Table, Signature, Now);
    if (Decision.Verdict == quarantine_verdict::Reject) {
      LongestRejection =
          std::max(LongestRejection, Now.Steady - FirstTry.Steady);
      Again();
      return;
    }
    ++SoundSent;
    runner &Runner = Runners[Choice.below(Runners.size())];
    if (Runner.DownUntil.Steady > Now.Steady) {
      Again();
      return;
    }
    if (Decision.Verdict == quarantine_verdict::Trial)
      recordTrial(Entries[Index].Table, Signature, Now);
    const std::int64_t BornMs = Runner.BornMs;
    Runner.At.push_back({Index, {Signature, {}, Choice.chance(200)}});
    Clock.after(
        Choice.between(milliseconds(100), milliseconds(400)),
        [this, Index, Signature, &Runner, BornMs, Again,
         Life = Entries[Index].Life] {
          if (Runner.BornMs != BornMs || Entries[Index].Life != Life) {
            Again();
            return;
          }
          std::erase_if(Runner.At, [&](const auto &Item) {
            return Item.second.Signature == Signature;
          });
          if (Planted != planted_fault::NoClearing &&
              recordCompletion(Entries[Index].Table, Signature, Clock.now()))
            exchange(Index);
        });
  }

  void sendBad() {
    const std::size_t Index = Choice.below(Entries.size());
    entry &Entry = Entries[Index];
    const instant Now = Clock.now();
    // Evidence comes with the reservation, if the instance reaches replicas.
    if (Planted != planted_fault::NoSharing &&
        Entry.ExcusedUntil.Steady <= Now.Steady)
      for (const suspect_table &Replica : Replicas)
        mergeSuspects(Entry.Table,
                      listSuspects(Replica, MaxListedSuspects, 0, Now), Now);
    auto Decision = decideQuarantine(Entry.Table, Bad, Now);
    if (Planted == planted_fault::Forgiving &&
        Decision.RetryIn < LongQuarantine - FirstQuarantine)
      Decision.Verdict = quarantine_verdict::Send;
    if (Decision.Verdict != quarantine_verdict::Reject)
      runBad(Index, Decision.Verdict);
    Clock.after(Choice.between(milliseconds(100), milliseconds(700)),
                [this] { sendBad(); });
  }

  void runBad(std::size_t Index, quarantine_verdict Verdict) {
    entry &Entry = Entries[Index];
    const instant Now = Clock.now();
    runner &Runner = Runners[Choice.below(Runners.size())];
    if (Runner.DownUntil.Steady > Now.Steady)
      return;
    if (Verdict == quarantine_verdict::Trial) {
      recordTrial(Entry.Table, Bad, Now);
      exchange(Index);
    }
    if (ThirdEnd && Now.Steady > ThirdEnd->Steady + ContactTime &&
        Entry.ExcusedUntil.Steady <= Now.Steady)
      ++LateSends;
    Runner.At.push_back({Index, {Bad, {}, true}});
    Clock.after(Choice.between(milliseconds(50), milliseconds(150)),
                [this, &Runner, BornMs = Runner.BornMs] {
                  if (Runner.BornMs != BornMs)
                    return;
                  if (++Ends == 3)
                    ThirdEnd = Clock.now();
                  endRunner(Runner);
                });
  }

  /// Runners also end for reasons of their own.
  void endAny() {
    runner &Runner = Runners[Choice.below(Runners.size())];
    if (Runner.DownUntil.Steady <= Clock.now().Steady)
      endRunner(Runner);
    Clock.after(Choice.between(milliseconds(500), milliseconds(1'500)),
                [this] { endAny(); });
  }

  void endRunner(runner &Runner) {
    const instant Now = Clock.now();
    const std::string Id = std::to_string(&Runner - Runners.data());
    const std::int64_t BornMs = Runner.BornMs++;
    Runner.DownUntil = later(Now, seconds(3));
    std::set<std::size_t> Told;
    for (auto [Index, Send] : Runner.At) {
      Send.BrokenAt = Now;
      if (Planted != planted_fault::NoEvidence)
        recordBroken(Entries[Index].Broken, Id, BornMs, Send);
      Told.insert(Index);
    }
    Runner.At.clear();
    for (const std::size_t Index : Told)
      Clock.after(delay(), [this, Index, Id, BornMs] {
        confirmCrash(Entries[Index].Broken, Entries[Index].Table, Id, BornMs,
                     Clock.now());
        exchange(Index);
      });
  }

  void fault() {
    Clock.after(Choice.between(seconds(2), seconds(9)), [this] {
      const instant Now = Clock.now();
      const auto restart = [&](entry &Entry) {
        Entry.Table = {};
        Entry.Broken = {};
        ++Entry.Life;
      };
      switch (Choice.below(3)) {
      case 0:
        restart(Entries[Choice.below(Entries.size())]);
        break;
      case 1: // Everything restarts; the replicas have saved the evidence.
        for (entry &Entry : Entries)
          restart(Entry);
        for (suspect_table &Replica : Replicas) {
          const std::string Saved = packSuspects(Replica, Now);
          Replica = {};
          if (Planted != planted_fault::NoSaving)
            unpackSuspects(Replica, Saved, Now);
        }
        break;
      default:
        Entries[Choice.below(Entries.size())].ExcusedUntil =
            later(Now, seconds(3));
        break;
      }
      fault();
    });
  }

  planted_fault Planted;
  virtual_clock Clock;
  chooser Choice;
  std::vector<entry> Entries;
  std::vector<suspect_table> Replicas;
  std::vector<runner> Runners;
  std::optional<instant> ThirdEnd;
};

} // namespace

// Guards against a request that ends runner after runner.
TEST_CASE("a request is kept back after two early ends of runners, then tried "
          "once") {
  suspect_table Table;
  CHECK(verdictOf(Table, Start) == quarantine_verdict::Send);
  CHECK(recordCrash(Table, Bad, crashOf("a", Start), Start));
  CHECK(verdictOf(Table, Start) == quarantine_verdict::Isolate);
  CHECK_FALSE(recordCrash(Table, Bad, crashOf("a", Start), Start));
  CHECK(recordCrash(Table, Bad, crashOf("b", Start), Start));
  CHECK(verdictOf(Table, later(Start, milliseconds(4'999))) ==
        quarantine_verdict::Reject);
  const instant Over = later(Start, FirstQuarantine);
  CHECK(verdictOf(Table, Over) == quarantine_verdict::Trial);
  recordTrial(Table, Bad, Over);
  CHECK(verdictOf(Table, later(Over, seconds(2))) ==
        quarantine_verdict::Reject);
  SUBCASE("the trial ends a third runner") {
    recordCrash(Table, Bad, crashOf("c", Over), Over);
    CHECK(verdictOf(Table, later(Over, seconds(500))) ==
          quarantine_verdict::Reject);
  }
  SUBCASE("the trial is answered") {
    CHECK(recordCompletion(Table, Bad, later(Over, seconds(1))));
    CHECK(verdictOf(Table, later(Over, seconds(1))) ==
          quarantine_verdict::Send);
  }
  SUBCASE("its outcome is lost") {
    CHECK(verdictOf(Table, later(Over, TrialTime)) ==
          quarantine_verdict::Trial);
  }
}

// Guards against sound requests that are shut out for being near an end.
TEST_CASE("a request with output at two ends of runners is only isolated, and "
          "cleared by a complete answer") {
  suspect_table Table;
  recordCrash(Table, Bad, crashOf("a", Start, false), Start);
  recordCrash(Table, Bad, crashOf("b", Start, false), Start);
  CHECK(verdictOf(Table, Start) == quarantine_verdict::Isolate);
  const instant Answered = later(Start, seconds(1));
  CHECK(recordCompletion(Table, Bad, Answered));
  CHECK(verdictOf(Table, Answered) == quarantine_verdict::Send);
  // Older evidence that arrives late counts no more.
  CHECK_FALSE(recordCrash(Table, Bad, crashOf("c", Start), Answered));
  recordCrash(Table, Bad, crashOf("d", later(Start, seconds(2)), false),
              later(Start, seconds(2)));
  CHECK(verdictOf(Table, later(Start, seconds(2))) ==
        quarantine_verdict::Isolate);
}

TEST_CASE("a broken connection is evidence only if its runner has ended") {
  broken_sends Broken;
  suspect_table Table;
  recordBroken(Broken, "a", 1, {Bad, Start, true});
  CHECK(confirmCrash(Broken, Table, "a", 2, Start).empty());
  CHECK(confirmCrash(Broken, Table, "b", 1, Start).empty());
  CHECK(verdictOf(Table, Start) == quarantine_verdict::Send);
  CHECK(confirmCrash(Broken, Table, "a", 1, Start) ==
        std::vector<request_signature>{Bad});
  CHECK(verdictOf(Table, Start) == quarantine_verdict::Isolate);
  recordBroken(Broken, "c", 1, {Bad, Start, true});
  const instant Late = later(Start, MaxConfirmationDelay);
  CHECK(confirmCrash(Broken, Table, "c", 1, Late).empty());
  recordBroken(Broken, "d", 1, {Bad, Start, true});
  dropUnconfirmed(Broken, Late);
  CHECK(Broken.ByRunner.empty());
}

TEST_CASE("evidence merges in any order, also over the disk, and lapses") {
  suspect_table First;
  suspect_table Second;
  recordCrash(First, Bad, crashOf("a", Start), Start);
  recordCrash(Second, Bad, crashOf("b", Start), Start);
  const instant Now = later(Start, seconds(1));
  CHECK(mergeSuspects(First, listSuspects(Second, 10, 0, Now), Now));
  CHECK_FALSE(mergeSuspects(First, listSuspects(Second, 10, 0, Now), Now));
  CHECK(verdictOf(First, Now) == quarantine_verdict::Reject);
  suspect_table Loaded;
  const instant Restarted{seconds(5), later(Now, seconds(2)).Unix};
  unpackSuspects(Loaded, packSuspects(First, Now), Restarted);
  CHECK(verdictOf(Loaded, Restarted) == quarantine_verdict::Reject);
  CHECK(verdictOf(Loaded, later(Restarted, seconds(2))) ==
        quarantine_verdict::Trial);
  forgetOldSuspects(First, later(Start, SuspectLifetime - seconds(1)));
  CHECK_FALSE(First.Suspects.empty());
  forgetOldSuspects(First, later(Start, SuspectLifetime + seconds(1)));
  CHECK(First.Suspects.empty());
  // A single end is neither listed in pings nor kept for long.
  CHECK(listSuspects(Second, 10, MinListedCrashes, Now).empty());
  forgetOldSuspects(Second, later(Start, SingleCrashLifetime + seconds(1)));
  CHECK(Second.Suspects.empty());
}

// Guards against peers that pass ages to and fro until they grow young.
TEST_CASE("ages that only lose the time of messages change nothing") {
  suspect_table Table;
  recordCrash(Table, Bad, crashOf("a", Start), Start);
  recordTrial(Table, Bad, Start);
  const auto Notices = listSuspects(Table, 10, 0, Start);
  CHECK_FALSE(mergeSuspects(Table, Notices, later(Start, milliseconds(900))));
  CHECK(Table.Suspects.at(Bad).TrialAt->Steady == Start.Steady);
}

TEST_CASE("signatures differ by method, host, target and body") {
  const request_signature Signature = signatureOf("POST", "h", "/a", "body");
  CHECK(Signature == signatureOf("POST", "h", "/a", "body"));
  CHECK(Signature != signatureOf("PUT", "h", "/a", "body"));
  CHECK(Signature != signatureOf("POST", "i", "/a", "body"));
  CHECK(Signature != signatureOf("POST", "h", "/b", "body"));
  CHECK(Signature != signatureOf("POST", "h", "/a", "bodies"));
}

// Guards against evidence that takes up memory or messages without bound.
TEST_CASE("evidence is bounded, and damaged evidence is rejected or merged") {
  suspect_table Table;
  for (request_signature Index = 1; Index <= MaxSuspects + 10; ++Index)
    recordCrash(Table, Index, crashOf("a", Start), Start);
  CHECK(Table.Suspects.size() == MaxSuspects);
  CHECK(listSuspects(Table, MaxListedSuspects, 0, Start).size() ==
        MaxListedSuspects);
  for (int Index = 0; Index < 20; ++Index)
    recordCrash(Table, Bad, crashOf(std::to_string(Index).c_str(), Start),
                Start);
  CHECK(Table.Suspects.at(Bad).Crashes.size() == MaxCrashRecords);
  suspect_table Small;
  recordCrash(Small, Bad, crashOf("a", Start), Start);
  recordTrial(Small, Bad, Start);
  suspect_table Merged;
  fuzz({packSuspects(Small, Start)}, [&](const std::string &Bytes) {
    unpackSuspects(Merged, Bytes, Start);
    forgetOldSuspects(Merged, Start);
  });
}

TEST_CASE("instances together stop a request that ends runners, over random "
          "faults, and keep sound ones") {
  microseconds Longest{0};
  for (const std::size_t Instances : {6, 90})
    for (std::uint64_t Seed = 1; Seed <= 60; ++Seed) {
      const quarantine_world World(Seed, Instances, planted_fault::None);
      CAPTURE(Seed);
      CAPTURE(Instances);
      REQUIRE(World.Ends >= 2);
      REQUIRE(World.LateSends <= 3);
      REQUIRE(World.SoundSent > 1'000);
      Longest = std::max(Longest, World.LongestRejection);
    }
  // A sound request waits for one trial at most, and for its next try.
  CHECK(Longest < FirstQuarantine + TrialTime + seconds(1));
}

TEST_CASE("the world of quarantines finds each planted fault") {
  for (int Fault = 1; Fault <= 5; ++Fault) {
    bool Found = false;
    for (std::uint64_t Seed = 1; Seed <= 60 && !Found; ++Seed)
      for (const std::size_t Instances : {6, 90}) {
        const quarantine_world World(Seed, Instances,
                                     static_cast<planted_fault>(Fault));
        Found =
            Found || World.LateSends > 3 ||
            World.LongestRejection > FirstQuarantine + TrialTime + seconds(1);
      }
    CAPTURE(Fault);
    CHECK(Found);
  }
}
