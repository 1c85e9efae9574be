#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include "explore/virtual_clock.h"
#include "limit/permit_issuer.h"
#include "limit/permit_stock.h"

#include <algorithm>
#include <doctest/doctest.h>
#include <limits>

using namespace lentilhoist;

namespace {

const instant Start{seconds(100), milliseconds(0)};

permit_request makeRequest(permit_rank Rank = permit_rank::UnderWay,
                           double PerSecond = 10) {
  permit_request Request;
  Request.Runner = "r";
  Request.BornMs = 1;
  Request.PerSecond = PerSecond;
  Request.Rank = Rank;
  Request.MaxDelayMs = 5'000;
  return Request;
}

/// Faults put in on purpose, to show that the world below finds them.
enum class planted_fault {
  None,
  NoSharing,      ///< Each instance keeps the whole limit for itself.
  FullStandby,    ///< A standby issuer gives out the whole limit.
  LastingPermits, ///< Permits don't lapse.
  ForgottenLimit, ///< Instances ignore limits.
};

struct world_settings {
  std::uint64_t Seed = 1;
  std::size_t Instances = 6;
  double PerSecond = 6;
  planted_fault Planted = planted_fault::None;
};

/// Entry instances, the issuers of one runner's permits and that runner, in
/// virtual time, with bursts of load, issuers that crash or freeze and
/// instances that restart or are cut off from the first issuer.
class limit_world {
public:
  explicit limit_world(const world_settings &Given)
      : Settings(Given), Choice(Given.Seed), Issuers(3), Own(Given.Instances),
        Entries(Given.Instances) {
    for (std::size_t Index = 0; Index < Entries.size(); ++Index)
      hear(Index);
    scheduleLoad();
    scheduleFault();
    while (Clock.now().Steady < End && Clock.step()) {
    }
  }

  /// Most requests that the runner got in four seconds from instances that no
  /// fault excuses, in parts of what the limit allows.
  double worst() const {
    const double Allowed = 1.5 * 4 * Settings.PerSecond + 5;
    std::size_t Most = 0;
    for (std::size_t First = 0, Last = 0; Last < Arrivals.size(); ++Last) {
      while (Arrivals[Last] - Arrivals[First] > seconds(4))
        ++First;
      Most = std::max(Most, Last - First + 1);
    }
    return static_cast<double>(Most) / Allowed;
  }

  std::vector<microseconds> Arrivals;
  std::size_t Offered = 0;
  std::size_t Messages = 0;

private:
  static constexpr seconds End{40};
  static constexpr milliseconds Suspicion{250};

  struct entry {
    permit_stock Stock;
    instant CutUntil{};     ///< Doesn't reach the first issuer.
    instant ExcusedUntil{}; ///< A fault at the instance excuses it.
    instant SuspectsFirst{};
  };

  void hear(std::size_t Index) {
    if (Settings.Planted != planted_fault::ForgottenLimit)
      applyNotice(Entries[Index].Stock, Settings.PerSecond, 0, Clock.now());
  }

  void scheduleLoad() {
    // Two of ten seconds are a burst.
    const bool Burst = Clock.now().Steady.count() / 1'000'000 % 10 >= 8;
    const microseconds Mean(static_cast<std::int64_t>(
        1e6 / (Settings.PerSecond * (Burst ? 20 : 1))));
    Clock.after(Choice.between(Mean / 2, Mean * 3 / 2), [this] {
      ++Offered;
      attempt(Choice.below(Entries.size()), 0);
      scheduleLoad();
    });
  }

  void attempt(std::size_t Index, int Tries) {
    entry &Entry = Entries[Index];
    const instant Now = Clock.now();
    if (maySend(Entry.Stock, Now)) {
      usePermit(Entry.Stock, Now);
      if (Entry.ExcusedUntil.Steady <= Now.Steady)
        Arrivals.push_back(Now.Steady);
      return;
    }
    // Two in three have another runner to go to.
    const permit_rank Rank =
        Choice.chance(667) ? permit_rank::Spare : permit_rank::UnderWay;
    if (Tries < 3 && shouldRequest(Entry.Stock, Rank, Now))
      request(Index, Rank, Tries);
  }

  void request(std::size_t Index, permit_rank Rank, int Tries) {
    entry &Entry = Entries[Index];
    const instant Now = Clock.now();
    ++Messages;
    if (Rank == permit_rank::Spare)
      Entry.Stock.SpareRequestedAt = Now;
    permit_request Request = makeRequest(Rank, Entry.Stock.Limit.PerSecond);
    Request.AgeMs = static_cast<std::uint64_t>(
        (Now.Steady - Entry.Stock.Limit.StatedAt.Steady).count() / 1'000);
    Request.MaxDelayMs = 1'600;
    const bool First = Entry.SuspectsFirst.Steady <= Now.Steady;
    const bool Full = Settings.Planted == planted_fault::FullStandby;
    Request.Standby = !First && !Full;
    const auto Decide = [this, Index, Rank, Tries, Request, Now, First] {
      const bool Reaches =
          First ? Entries[Index].CutUntil.Steady <= Clock.now().Steady &&
                      FirstDownUntil.Steady <= Clock.now().Steady
                : true;
      if (!Reaches) {
        Clock.after(Suspicion, [this, Index] {
          Entries[Index].SuspectsFirst = later(Clock.now(), seconds(1));
        });
        return;
      }
      permit_issuer &Issuer = Settings.Planted == planted_fault::NoSharing
                                  ? Own[Index]
                              : First ? Issuers[0]
                                      : Issuers[1];
      const permit_reply Reply = issuePermit(Issuer, Request, Clock.now());
      Clock.after(delay(), [this, Index, Rank, Tries, Reply, Now] {
        receive(Index, Rank, Tries, Reply, Now);
      });
    };
    Clock.after(delay(), Decide);
  }

  void receive(std::size_t Index, permit_rank Rank, int Tries,
               const permit_reply &Reply, instant RequestedAt) {
    entry &Entry = Entries[Index];
    applyReply(Entry.Stock, Rank, Reply, RequestedAt, Clock.now());
    if (Settings.Planted == planted_fault::LastingPermits)
      for (permit &Permit : Entry.Stock.Permits)
        Permit.Until = later(Permit.From, seconds(60));
    if (Rank != permit_rank::Spare && Reply.Granted)
      Clock.after(milliseconds(Reply.DelayMs + 1),
                  [this, Index, Tries] { attempt(Index, Tries + 1); });
  }

  microseconds delay() {
    return Choice.between(milliseconds(1), milliseconds(8));
  }

  void scheduleFault() {
    Clock.after(Choice.between(milliseconds(700), milliseconds(4'000)), [this] {
      injectFault();
      scheduleFault();
    });
  }

  void injectFault() {
    const instant Now = Clock.now();
    const auto Time = Choice.between(milliseconds(300), milliseconds(2'500));
    entry &Entry = Entries[Choice.below(Entries.size())];
    switch (Choice.below(5)) {
    case 0: // The first issuer crashes and starts anew.
      Issuers[0] = {};
      FirstDownUntil = later(Now, Time);
      break;
    case 1: // It freezes: its state stays.
      FirstDownUntil = later(Now, Time);
      break;
    case 2: // An instance restarts, and learns the limit from a ping.
      Entry.Stock = {};
      Entry.ExcusedUntil = later(Now, milliseconds(50));
      Clock.after(milliseconds(40), [this, Index = &Entry - Entries.data()] {
        hear(static_cast<std::size_t>(Index));
      });
      break;
    case 3: // The first issuer is so slow that some instances suspect it.
      for (entry &Other : Entries)
        if (Choice.chance(400))
          Other.SuspectsFirst = later(Now, seconds(4));
      break;
    default: // An instance is cut off from the first issuer.
      Entry.CutUntil = later(Now, Time);
      Entry.ExcusedUntil = later(Now, Time);
      break;
    }
  }

  world_settings Settings;
  virtual_clock Clock;
  chooser Choice;
  std::vector<permit_issuer> Issuers;
  std::vector<permit_issuer> Own;
  std::vector<entry> Entries;
  instant FirstDownUntil{};
};

} // namespace

// Guards against a runner that gets several times the rate that it has stated.
TEST_CASE("permits of one issuer keep the stated rate and its credit") {
  permit_issuer Issuer;
  int Granted = 0;
  for (int Ms = 0; Ms < 4'000; ++Ms) {
    permit_request Request = makeRequest(permit_rank::Spare);
    Request.AgeMs = static_cast<std::uint64_t>(Ms);
    Granted +=
        issuePermit(Issuer, Request, later(Start, milliseconds(Ms))).Granted;
  }
  CHECK(Granted == 40);
  // After a pause, the credit is half a second.
  Granted = 0;
  for (int Count = 0; Count < 100; ++Count) {
    permit_request Request = makeRequest(permit_rank::Spare);
    Granted += issuePermit(Issuer, Request, later(Start, seconds(20))).Granted;
  }
  CHECK(Granted == 6);
}

// Guards against a queue of permits in which new programs hold up those that
// are under way.
TEST_CASE("a queue of permits is open longer to higher ranks") {
  permit_issuer Issuer;
  const auto countOf = [&](permit_rank Rank) {
    int Granted = 0;
    for (int Count = 0; Count < 50; ++Count)
      Granted += issuePermit(Issuer, makeRequest(Rank), Start).Granted;
    return Granted;
  };
  CHECK(countOf(permit_rank::Spare) == 1);
  CHECK(countOf(permit_rank::Late) == 1);
  CHECK(countOf(permit_rank::New) == 1);
  CHECK(countOf(permit_rank::UnderWay) == 8);
  const permit_reply Refused =
      issuePermit(Issuer, makeRequest(permit_rank::New), Start);
  CHECK_FALSE(Refused.Granted);
  CHECK(Refused.DelayMs == 850);
  permit_request Impatient = makeRequest();
  Impatient.MaxDelayMs = 100;
  CHECK_FALSE(issuePermit(Issuer, Impatient, Start).Granted);
}

TEST_CASE("a limit that was stated later replaces the former, also if it is "
          "none") {
  permit_issuer Issuer;
  issuePermit(Issuer, makeRequest(), Start);
  permit_request Older = makeRequest(permit_rank::UnderWay, 50);
  Older.AgeMs = 2'000;
  CHECK(issuePermit(Issuer, Older, later(Start, seconds(1))).PerSecond == 10);
  const permit_reply Ended = issuePermit(
      Issuer, makeRequest(permit_rank::Spare, 0), later(Start, seconds(1)));
  CHECK(Ended.Granted);
  CHECK(Ended.PerSecond == 0);
  permit_stock Stock;
  CHECK(applyNotice(Stock, 10, 0, Start));
  CHECK_FALSE(maySend(Stock, Start));
  CHECK(applyReply(Stock, permit_rank::UnderWay, Ended,
                   later(Start, seconds(1)), later(Start, seconds(1))));
  CHECK(maySend(Stock, later(Start, seconds(1))));
  CHECK(listLimits(Issuer, Start).empty());
}

TEST_CASE("a new incarnation of a runner starts without limit and credit") {
  permit_issuer Issuer;
  issuePermit(Issuer, makeRequest(), Start);
  permit_request Reborn = makeRequest(permit_rank::UnderWay, 2);
  Reborn.BornMs = 2;
  CHECK(issuePermit(Issuer, Reborn, later(Start, seconds(5))).PerSecond == 2);
  CHECK_FALSE(
      issuePermit(Issuer, makeRequest(), later(Start, seconds(6))).Granted);
  CHECK(listLimits(Issuer, later(Start, seconds(6))).front().BornMs == 2);
}

// Guards against permits that add to the rate of a later time.
TEST_CASE("a permit lapses, and one from a late reply is not used") {
  permit_stock Stock;
  applyNotice(Stock, 10, 0, Start);
  const permit_reply Granted{true, 100, 10, 0};
  applyReply(Stock, permit_rank::UnderWay, Granted, Start, Start);
  CHECK_FALSE(maySend(Stock, later(Start, milliseconds(99))));
  CHECK(maySend(Stock, later(Start, milliseconds(100))));
  CHECK_FALSE(shouldRequest(Stock, permit_rank::Spare, Start));
  CHECK_FALSE(maySend(Stock, later(Start, milliseconds(600))));
  const instant Late = later(Start, seconds(1));
  applyReply(Stock, permit_rank::UnderWay, Granted, Start, Late);
  CHECK_FALSE(maySend(Stock, later(Late, milliseconds(100))));
  applyReply(Stock, permit_rank::UnderWay, Granted, Late, Late);
  usePermit(Stock, later(Late, milliseconds(100)));
  CHECK_FALSE(maySend(Stock, later(Late, milliseconds(100))));
}

TEST_CASE("requests for permits are bounded while a rank is refused") {
  permit_stock Stock;
  applyNotice(Stock, 10, 0, Start);
  applyReply(Stock, permit_rank::New, {false, 200, 10, 0}, Start, Start);
  CHECK_FALSE(
      shouldRequest(Stock, permit_rank::New, later(Start, milliseconds(199))));
  CHECK(shouldRequest(Stock, permit_rank::UnderWay, Start));
  CHECK(
      shouldRequest(Stock, permit_rank::New, later(Start, milliseconds(200))));
  Stock.SpareRequestedAt = Start;
  CHECK_FALSE(shouldRequest(Stock, permit_rank::Spare, Start));
  CHECK(shouldRequest(Stock, permit_rank::Spare,
                      later(Start, PermitReplyTimeout)));
}

// Guards against peers that fill an issuer's memory or state absurd limits.
TEST_CASE("an issuer refuses absurd requests and keeps a bounded number of "
          "runners") {
  permit_issuer Issuer;
  for (const double Limit :
       {-1.0, 1e300, 1e-300, std::numeric_limits<double>::quiet_NaN(),
        std::numeric_limits<double>::infinity()})
    CHECK_FALSE(
        issuePermit(Issuer, makeRequest(permit_rank::UnderWay, Limit), Start)
            .Granted);
  permit_request Unknown = makeRequest(static_cast<permit_rank>(99));
  CHECK_FALSE(issuePermit(Issuer, Unknown, Start).Granted);
  CHECK(Issuer.Runners.empty());
  permit_request Request = makeRequest();
  for (std::size_t Count = 0; Count < MaxScheduledRunners + 10; ++Count) {
    Request.Runner = std::to_string(Count);
    issuePermit(Issuer, Request, Start);
  }
  CHECK(Issuer.Runners.size() == MaxScheduledRunners);
  CHECK(listLimits(Issuer, Start).size() == MaxListedLimits);
  forgetIdleRunners(Issuer, later(Start, seconds(40)));
  CHECK(Issuer.Runners.empty());
}

// Guards against limits that many instances exceed together, also through
// crashes, freezes, restarts and cuts.
TEST_CASE("instances together keep a runner's rate over random faults") {
  for (const std::size_t Instances : {6, 90})
    for (const double PerSecond : {0.8, 6.0, 40.0}) {
      CAPTURE(Instances);
      CAPTURE(PerSecond);
      double Used = 0;
      for (std::uint64_t Seed = 1; Seed <= 60; ++Seed) {
        const limit_world World({Seed, Instances, PerSecond, {}});
        CAPTURE(Seed);
        REQUIRE(World.worst() <= 1);
        // What instances tell each other stays in proportion to the load.
        REQUIRE(World.Messages <= 2 * World.Offered);
        Used += static_cast<double>(World.Arrivals.size());
      }
      // The limit is also used.
      CHECK(Used > 60 * 40 * PerSecond / 3);
    }
}

TEST_CASE("the world of limits finds each planted fault") {
  for (int Fault = 1; Fault <= 4; ++Fault) {
    double Worst = 0;
    for (std::uint64_t Seed = 1; Seed <= 60; ++Seed)
      for (const std::size_t Instances : {6, 90})
        Worst = std::max(Worst, limit_world({Seed, Instances, 6.0,
                                             static_cast<planted_fault>(Fault)})
                                    .worst());
    CAPTURE(Fault);
    CHECK(Worst > 1);
  }
}
