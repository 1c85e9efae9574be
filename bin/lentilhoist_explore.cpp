#include "explore/explore_settings.h"

#include <algorithm>
#include <atomic>
#include <fmt/format.h>
#include <gflags/gflags.h>
#include <mutex>
#include <thread>

DEFINE_uint64(first, 1, "first seed");
DEFINE_uint64(seeds, 1000, "number of seeds");
DEFINE_int32(threads, 8, "threads to use");
DEFINE_string(planted, "none", "fault to put in on purpose");
DEFINE_bool(steps, false,
            "print the steps of the least seed with a breach, or of the first");

namespace {

constexpr int ExitBreach = 1;
constexpr int ExitUsage = 2;

struct explore_totals {
  std::atomic<std::uint64_t> Events{0};
  std::atomic<std::uint64_t> Calls{0};
  std::atomic<std::uint64_t> Takeovers{0};
  std::atomic<std::uint64_t> Breached{0};
  std::mutex Mutex;
  std::uint64_t LeastSeed = 0; ///< Least seed with a breach, 0 if none.
  std::string Breach;
};

void exploreSeeds(lentilhoist::planted_fault Planted,
                  std::atomic<std::uint64_t> &Next, std::uint64_t End,
                  explore_totals &Totals) {
  for (std::uint64_t Seed = Next++; Seed < End; Seed = Next++) {
    const auto Result = lentilhoist::explore({Seed, Planted, false});
    Totals.Events += Result.Events;
    Totals.Calls += Result.Calls;
    Totals.Takeovers += Result.Takeovers;
    if (Result.Breaches.empty())
      continue;
    ++Totals.Breached;
    const std::lock_guard Lock(Totals.Mutex);
    if (Totals.LeastSeed != 0 && Totals.LeastSeed < Seed)
      continue;
    Totals.LeastSeed = Seed;
    Totals.Breach = Result.Breaches.front();
  }
}

} // namespace

int main(int ArgumentCount, char **Arguments) {
  gflags::SetUsageMessage("Explores random faults in virtual time.");
  gflags::ParseCommandLineFlags(&ArgumentCount, &Arguments, true);
  const auto &Names = lentilhoist::PlantedFaultNames;
  const auto Found = std::find(Names.begin(), Names.end(), FLAGS_planted);
  if (Found == Names.end()) {
    fmt::print(stderr, "unknown fault {}; known: {}\n", FLAGS_planted,
               fmt::join(Names, " "));
    return ExitUsage;
  }
  const auto Planted =
      static_cast<lentilhoist::planted_fault>(Found - Names.begin());
  explore_totals Totals;
  std::atomic<std::uint64_t> Next{FLAGS_first};
  const std::uint64_t End = FLAGS_first + FLAGS_seeds;
  std::vector<std::thread> Threads;
  for (int Index = 0; Index < std::max(1, FLAGS_threads); ++Index)
    Threads.emplace_back([&] { exploreSeeds(Planted, Next, End, Totals); });
  for (std::thread &Thread : Threads)
    Thread.join();
  fmt::print("seeds {} events {} calls {} takeovers {} breached {}\n",
             FLAGS_seeds, Totals.Events.load(), Totals.Calls.load(),
             Totals.Takeovers.load(), Totals.Breached.load());
  const bool Breached = Totals.Breached != 0;
  if (Breached)
    fmt::print("least seed {}: {}\n", Totals.LeastSeed, Totals.Breach);
  if (FLAGS_steps) {
    const std::uint64_t Seed = Breached ? Totals.LeastSeed : FLAGS_first;
    const auto Result = lentilhoist::explore({Seed, Planted, true});
    for (const std::string &Step : Result.Steps)
      fmt::print("{}\n", Step);
  }
  return Breached ? ExitBreach : 0;
}
