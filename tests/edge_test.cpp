#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include "edge/drain_plan.h"
#include "edge/edge.h"
#include "net/address.h"

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

bool isFree(std::uint16_t Port) {
  try {
    asio::io_context Loop;
    listenOn(Loop, {asio::ip::address_v4::loopback(), Port});
    return true;
  } catch (const std::system_error &) {
    return false;
  }
}

/// \param Count how many ports follow each other.
/// \returns the first of some free ports below those that the system gives out
/// by itself (32768 by default), so that no other test takes one meanwhile.
std::uint16_t freePorts(int Count) {
  constexpr int FirstPort = 24'000;
  constexpr int PortsEach = 8;
  constexpr int Choices = 1'000;
  for (int Try = ::getpid();; ++Try) {
    const int First = FirstPort + Try % Choices * PortsEach;
    int Free = 0;
    while (Free < Count && isFree(static_cast<std::uint16_t>(First + Free)))
      ++Free;
    if (Free == Count)
      return static_cast<std::uint16_t>(First);
  }
}

} // namespace

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
