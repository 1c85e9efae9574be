#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include "edge/drain_plan.h"
#include "edge/edge.h"
#include "free_ports.h"
#include "net/address.h"
#include "platform/store_protocol.h"
#include "watched_store.h"

#include <asio/io_context.hpp>
#include <csignal>
#include <doctest/doctest.h>
#include <system_error>
#include <thread>
#include <unistd.h>

using namespace lentilhoist;

namespace {

const instant StoppedAt{seconds(100), milliseconds(0)};

drain_state makeState() { return {StoppedAt, milliseconds(8'000), {}}; }

instant after(milliseconds Time) { return later(StoppedAt, Time); }

/// Settings of an entry instance on loopback.
instance_settings loopbackSettings(const std::string &StoreAddress) {
  instance_settings Settings;
  Settings.Name = "edge";
  Settings.Domain = "here";
  Settings.Address = "127.0.0.1";
  const int Port = freePorts(5);
  Settings.CallerAddress = "127.0.0.1:" + std::to_string(Port);
  Settings.ReadinessAddress = "127.0.0.1:" + std::to_string(Port + 1);
  Settings.StoreAddress = StoreAddress;
  // The history relay and the tunnels take the next two ports.
  Settings.FirstPort = static_cast<std::uint16_t>(Port + 2);
  Settings.MemoryBytes = 100'000'000;
  Settings.TerminationGracePeriod = seconds(1);
  return Settings;
}

/// Waits for a condition.
/// \returns the time until it held, at most \p Limit.
milliseconds timeUntil(const std::function<bool()> &Condition,
                       milliseconds Limit) {
  const auto Start = std::chrono::steady_clock::now();
  while (!Condition() && std::chrono::steady_clock::now() - Start < Limit)
    std::this_thread::sleep_for(milliseconds(5));
  return std::chrono::duration_cast<milliseconds>(
      std::chrono::steady_clock::now() - Start);
}

/// The kinds that an entry instance watches.
constexpr const char *WatchedKinds[] = {
    platform::RunnerKind, platform::ConfigKind, platform::ReplicaSetKind};

/// An entry instance in a thread of its own.
struct running_edge {
  explicit running_edge(const std::string &StoreAddress)
      : Settings(loopbackSettings(StoreAddress)),
        Thread([this] { runEdge(Settings, [] {}); }) {}
  ~running_edge() {
    pthread_kill(Thread.native_handle(), SIGTERM);
    Thread.join();
  }
  instance_settings Settings;
  std::thread Thread;
};

} // namespace

// Guards against watches that wait out their long poll behind a store that fell
// silent as their call arrived, and so miss what it says after its return
// (incident DRAIN).
TEST_CASE("an entry instance knows each change soon after the store has "
          "returned, whatever it watches and however the store failed") {
  // Well below the two seconds within which a runner that leaves must receive
  // no more requests.
  constexpr milliseconds MaxDelay{1'500};
  for (const store_fault Fault :
       {store_fault::Silent, store_fault::Busy, store_fault::Reset}) {
    watched_store Store;
    const running_edge Edge(Store.address());
    for (const char *Kind : WatchedKinds)
      REQUIRE(timeUntil([&] { return Store.isWatched(Kind); }, seconds(5)) <
              seconds(5));
    // New calls of all watches arrive just as the store fails.
    Store.fail(Fault);
    std::this_thread::sleep_for(seconds(3));
    Store.fail(store_fault::None);
    for (const char *Kind : WatchedKinds)
      Store.change(Kind);
    const auto Start = std::chrono::steady_clock::now();
    for (const char *Kind : WatchedKinds) {
      CAPTURE(static_cast<int>(Fault));
      CAPTURE(Kind);
      timeUntil([&] { return Store.knowsLastChange(Kind); }, seconds(15));
      CHECK(std::chrono::steady_clock::now() - Start < MaxDelay);
    }
  }
}

// Guards against a call whose answer was lost while the store went on (incident
// DRAIN): no silence shows it.
TEST_CASE(
    "an entry instance notices that a watch has missed a change while the "
    "store answers other calls") {
  // Two beats, and the stand-in's stale reads don't lag.
  constexpr milliseconds MaxDelay{1'500};
  watched_store Store;
  const running_edge Edge(Store.address());
  for (const char *Kind : WatchedKinds)
    REQUIRE(timeUntil([&] { return Store.isWatched(Kind); }, seconds(5)) <
            seconds(5));
  Store.fail(store_fault::Swallow);
  for (const char *Kind : {platform::RunnerKind, platform::ConfigKind}) {
    CAPTURE(Kind);
    Store.change(Kind);
    CHECK(timeUntil([&] { return Store.knowsLastChange(Kind); }, seconds(15)) <
          MaxDelay);
  }
}

// A long poll of 10 s for each of two kinds and one of 20 s made 0.25 current
// reads a second; a stale read costs a tenth of one.
TEST_CASE("an entry instance on a quiet day calls the store little more often "
          "than long polls alone would") {
  watched_store Store;
  const running_edge Edge(Store.address());
  for (const char *Kind : WatchedKinds)
    REQUIRE(timeUntil([&] { return Store.isWatched(Kind); }, seconds(5)) <
            seconds(5));
  const auto Before = Store.calls();
  std::this_thread::sleep_for(seconds(5));
  const auto After = Store.calls();
  CHECK(After.first - Before.first == 0);
  CHECK(After.second - Before.second <= 10);
  CHECK(After.second - Before.second >= 5);
}

TEST_CASE("a stopping instance listens until it is out of rotation, also when "
          "it is idle") {
  drain_state State = makeState();
  for (const bool Idle : {true, false}) {
    const auto Decision = decideDrain(State, Idle, after(milliseconds(3'100)));
    CHECK(Decision.Step == drain_step::Listen);
    CHECK(Decision.NextCheck.Steady == after(OutOfRotationTime).Steady);
  }
}

TEST_CASE(
    "the last responses have time to reach their callers before the exit") {
  drain_state State = makeState();
  CHECK(decideDrain(State, false, after(milliseconds(4'000))).Step ==
        drain_step::Finish);
  CHECK(decideDrain(State, true, after(milliseconds(5'000))).Step ==
        drain_step::Finish);
  // Asked again, as each closed connection does.
  const auto Decision = decideDrain(State, true, after(milliseconds(5'100)));
  CHECK(Decision.Step == drain_step::Finish);
  CHECK(Decision.NextCheck.Steady == after(milliseconds(5'200)).Steady);
  CHECK(decideDrain(State, true, after(milliseconds(5'200))).Step ==
        drain_step::Exit);
}

TEST_CASE("a request that arrives late restarts the wait, and the grace period "
          "ends it") {
  drain_state State = makeState();
  decideDrain(State, true, after(milliseconds(3'200)));
  CHECK(decideDrain(State, false, after(milliseconds(3'300))).Step ==
        drain_step::Finish);
  CHECK(decideDrain(State, true, after(milliseconds(3'450))).Step ==
        drain_step::Finish);
  CHECK(decideDrain(State, false, after(milliseconds(3'700))).Step ==
        drain_step::Finish);
  const auto Decision = decideDrain(State, false, after(milliseconds(7'000)));
  CHECK(Decision.NextCheck.Steady == after(milliseconds(7'200)).Steady);
  CHECK(decideDrain(State, false, after(milliseconds(7'200))).Step ==
        drain_step::Exit);
}

TEST_CASE("what ends by the last deadline of a stopping instance has time to "
          "reach its caller before the exit") {
  drain_state State = makeState();
  CHECK(lastExit(State).Steady == after(milliseconds(7'200)).Steady);
  CHECK(lastDeadline(State).Steady == after(milliseconds(7'000)).Steady);
  // Callers' requests arrive until the rotation ends; with the usual grace
  // period those that are passed on without a bound have over four seconds.
  CHECK(UnboundedSendTime < OutOfRotationTime);
  CHECK(lastDeadline(State).Steady - after(UnboundedSendTime).Steady >
        seconds(4));
  State.GracePeriod = milliseconds(1'000);
  CHECK(lastExit(State).Steady == after(OutOfRotationTime).Steady);
}

// Guards against instances without a path to runners that find no relay because
// all others are stopping, one after the other (incident RECOVER).
TEST_CASE("a stopping instance opens tunnels for others as long as it takes "
          "callers' requests") {
  const drain_state State = makeState();
  CHECK(opensTunnels(State, after(milliseconds(0))));
  CHECK(opensTunnels(State, after(OutOfRotationTime - milliseconds(1))));
  CHECK_FALSE(opensTunnels(State, after(OutOfRotationTime)));
  CHECK_FALSE(opensTunnels(State, after(milliseconds(7'000))));
}

TEST_CASE("a grace period shorter than the rotation still ends in an exit") {
  drain_state State = makeState();
  State.GracePeriod = milliseconds(1'000);
  CHECK(decideDrain(State, false, after(OutOfRotationTime)).Step ==
        drain_step::Exit);
}

TEST_CASE("an entry instance that is idle ends after its rotation and the time "
          "for the last responses") {
  instance_settings Settings;
  Settings.Name = "edge";
  Settings.Domain = "here";
  Settings.Address = "127.0.0.1";
  const int Port = freePorts(6);
  const auto AddressOf = [](int Number) {
    return "127.0.0.1:" + std::to_string(Number);
  };
  Settings.CallerAddress = AddressOf(Port);
  Settings.ReadinessAddress = AddressOf(Port + 1);
  Settings.StoreAddress = AddressOf(Port + 2); // Nothing listens there.
  // The history relay and the tunnels take the next two ports.
  Settings.FirstPort = static_cast<std::uint16_t>(Port + 3);
  Settings.MemoryBytes = 100'000'000;
  instant Stopped{};
  // The signal goes to the thread of the event loop, as in a daemon: raised in
  // the other thread, its handler would race with the loop's setup.
  std::thread Stop([&, Loop = pthread_self()] {
    std::this_thread::sleep_for(milliseconds(300));
    Stopped = readClock();
    pthread_kill(Loop, SIGTERM);
  });
  CHECK(runEdge(Settings, [] {}) == 0);
  const instant Ended = readClock();
  Stop.join();
  const auto Took = Ended.Steady - Stopped.Steady;
  CHECK(Took >= OutOfRotationTime + FlushTime);
  CHECK(Took < Settings.TerminationGracePeriod - ExitMargin);
}
