#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include "history_explore/history_explore.h"

#include <atomic>
#include <doctest/doctest.h>
#include <mutex>
#include <thread>
#include <vector>

using namespace lentilhoist;

namespace {

#ifdef LENTILHOIST_SANITIZED
// The plain build explores all seeds; here it is memory that is looked at.
constexpr std::uint64_t SeedCount = 300;
constexpr std::uint64_t OlderBuildSeedCount = 150;
#else
constexpr std::uint64_t SeedCount = 10'000;
constexpr std::uint64_t OlderBuildSeedCount = 3'000;
#endif

struct totals {
  std::uint64_t Breached = 0;
  std::uint64_t Turns = 0;
  std::uint64_t Spent = 0;
  std::uint64_t Copies = 0;
  std::uint64_t Takeovers = 0;
  std::uint64_t Conflicts = 0;
  std::uint64_t FirstSeed = 0;
  std::string FirstBreach;
};

/// Explores Count seeds from First on all cores; the totals do not depend on
/// them.
totals exploreSeeds(std::uint64_t First, std::uint64_t Count,
                    planted_history_fault Planted, bool OlderBuild = false) {
  constexpr unsigned ThreadCount = 6;
  totals Totals;
  std::mutex Mutex;
  std::atomic<std::uint64_t> Next{First};
  std::vector<std::thread> Threads;
  for (unsigned Index = 0; Index < ThreadCount; ++Index)
    Threads.emplace_back([&] {
      for (std::uint64_t Seed = Next++; Seed < First + Count; Seed = Next++) {
        const auto Result = exploreHistory({Seed, Planted, false, OlderBuild});
        const std::lock_guard Lock(Mutex);
        Totals.Turns += Result.Turns;
        Totals.Spent += Result.Spent;
        Totals.Copies += Result.Copies;
        Totals.Takeovers += Result.Takeovers;
        Totals.Conflicts += Result.Conflicts;
        if (Result.Breaches.empty())
          continue;
        ++Totals.Breached;
        if (Totals.FirstSeed == 0 || Seed < Totals.FirstSeed) {
          Totals.FirstSeed = Seed;
          Totals.FirstBreach = Result.Breaches.front();
        }
      }
    });
  for (std::thread &Thread : Threads)
    Thread.join();
  return Totals;
}

} // namespace

TEST_CASE("the history keeps its promises over many random faults") {
  const totals Totals = exploreSeeds(1, SeedCount, planted_history_fault::None);
  INFO("seed " << Totals.FirstSeed << ": " << Totals.FirstBreach);
  CHECK(Totals.Breached == 0);
  // The faults leave room for work, and what they are meant to cause happens.
  CHECK(Totals.Turns > 50 * SeedCount);
  CHECK(Totals.Spent > SeedCount / 10);
  CHECK(Totals.Copies > SeedCount / 10);
  CHECK(Totals.Takeovers > SeedCount / 100);
}

// Guards against turns that are denied in an upgrade: a build with the fault of
// review case 11 writes two sets of one version.
TEST_CASE("the history keeps its promises beside an instance of an older build "
          "that writes sets of one version with other replicas") {
  const totals Totals =
      exploreSeeds(1, OlderBuildSeedCount, planted_history_fault::None, true);
  INFO("seed " << Totals.FirstSeed << ": " << Totals.FirstBreach);
  CHECK(Totals.Breached == 0);
#ifndef LENTILHOIST_SANITIZED
  CHECK(Totals.Conflicts > 20);
#endif
}

#ifndef LENTILHOIST_SANITIZED
TEST_CASE("every planted fault of the history is found") {
  for (std::size_t Index = 1; Index < PlantedHistoryFaultNames.size();
       ++Index) {
    INFO(PlantedHistoryFaultNames[Index]);
    const auto Planted = static_cast<planted_history_fault>(Index);
    const bool OlderBuild = Planted == planted_history_fault::IgnoredConflict;
    // Some need a rare sequence of faults.
    constexpr std::uint64_t BlockSize = 1'000;
    totals Totals;
    for (std::uint64_t First = 1; Totals.Breached == 0 && First < SeedCount;
         First += BlockSize)
      Totals = exploreSeeds(First, BlockSize, Planted, OlderBuild);
    CHECK(Totals.Breached > 0);
  }
}
#endif

TEST_CASE("equal seeds give equal explorations of the history") {
  const auto First = exploreHistory({5, planted_history_fault::None, true});
  const auto Second = exploreHistory({5, planted_history_fault::None, true});
  CHECK(First.Steps == Second.Steps);
  CHECK(First.Events == Second.Events);
  CHECK_FALSE(First.Steps.empty());
}
