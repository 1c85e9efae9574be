#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include "explore/explore_settings.h"

#include <atomic>
#include <doctest/doctest.h>
#include <mutex>
#include <thread>
#include <vector>

using namespace lentilhoist;

namespace {

#ifdef LENTILHOIST_SANITIZED
// The plain build explores all seeds; here it is memory that is looked at.
constexpr std::uint64_t SeedCount = 500;
constexpr std::uint64_t LeastCalls = 2'500;
#else
constexpr std::uint64_t SeedCount = 10'000;
constexpr std::uint64_t LeastCalls = 50'000;
#endif

struct totals {
  std::uint64_t Breached = 0;
  std::uint64_t Calls = 0;
  std::uint64_t FirstSeed = 0;
  std::string FirstBreach;
};

/// Explores seeds 1 to Count on all cores; the totals do not depend on them.
totals exploreSeeds(std::uint64_t Count, planted_fault Planted) {
  constexpr unsigned ThreadCount = 8;
  totals Totals;
  std::mutex Mutex;
  std::atomic<std::uint64_t> Next{1};
  std::vector<std::thread> Threads;
  for (unsigned Index = 0; Index < ThreadCount; ++Index)
    Threads.emplace_back([&] {
      for (std::uint64_t Seed = Next++; Seed <= Count; Seed = Next++) {
        const explore_result Result = explore({Seed, Planted, false});
        const std::lock_guard Lock(Mutex);
        Totals.Calls += Result.Calls;
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

TEST_CASE("the promises hold over many random faults") {
  const totals Totals = exploreSeeds(SeedCount, planted_fault::None);
  INFO("seed " << Totals.FirstSeed << ": " << Totals.FirstBreach);
  CHECK(Totals.Breached == 0);
  CHECK(Totals.Calls > LeastCalls);
}

TEST_CASE("seeds that once showed a fault stay clean") {
  for (const std::uint64_t Seed :
       {8, 13, 22, 37, 77, 109, 112, 273, 810, 10'409, 10'714, 16'681}) {
    const explore_result Result = explore({Seed, planted_fault::None, false});
    INFO("seed " << Seed);
    CHECK(Result.Breaches.empty());
  }
}

#ifndef LENTILHOIST_SANITIZED
TEST_CASE("every planted fault is found") {
  for (std::size_t Index = 1; Index < PlantedFaultNames.size(); ++Index) {
    INFO(PlantedFaultNames[Index]);
    const totals Totals =
        exploreSeeds(2'000, static_cast<planted_fault>(Index));
    CHECK(Totals.Breached > 0);
  }
}
#endif

TEST_CASE("equal seeds give equal histories") {
  const explore_result First = explore({5, planted_fault::None, true});
  const explore_result Second = explore({5, planted_fault::None, true});
  CHECK(First.Steps == Second.Steps);
  CHECK(First.Events == Second.Events);
  CHECK_FALSE(First.Steps.empty());
}
