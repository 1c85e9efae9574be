#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include "fuzz.h"
#include "net/address.h"
#include "tunnel/runner_connection.h"
#include "tunnel/tunnel_server.h"

#include <doctest/doctest.h>
#include <list>
#include <set>

using namespace lentilhoist;

namespace {

const asio::ip::tcp::endpoint AnyPort{asio::ip::address_v4::loopback(), 0};

std::string addressOf(std::uint16_t Port) {
  return "127.0.0.1:" + std::to_string(Port);
}

/// A server on loopback that records what it receives.
class recording_server {
public:
  explicit recording_server(asio::io_context &Loop)
      : Listener(Loop, AnyPort, "test", [this](asio::ip::tcp::socket Socket) {
          auto Stream = std::make_shared<tcp_stream>(std::move(Socket),
                                                     socket_settings{});
          tcp_stream::handlers Handlers;
          Handlers.OnBytes = [this](std::string_view Bytes) {
            Received += Bytes;
          };
          Handlers.OnEnd = [this](stream_end) { ++Ended; };
          Handlers.OnDrained = [this] {
            if (OnDrained)
              OnDrained();
          };
          Stream->setHandlers(std::move(Handlers));
          Stream->start();
          Streams.push_back(Stream);
        }) {}
  std::string address() const { return addressOf(Listener.port()); }

  std::string Received;
  int Ended = 0;
  std::function<void()> OnDrained;
  std::list<std::shared_ptr<tcp_stream>> Streams;

private:
  listener Listener;
};

/// A relay, a runner, and an instance's connection through the one to the
/// other.
struct fixture {
  fixture() : Runner(Loop) {
    tunnel_host Host;
    Host.CheckOpen = [this] { return Refusal; };
    Host.FindRunner = [this](const std::string &Id, std::int64_t BornMs) {
      return Id == "r" && Lives.contains(BornMs) ? std::optional(RunnerAddress)
                                                 : std::nullopt;
    };
    Host.OnConnect = [this](const std::string &, bool Accepted) {
      ++(Accepted ? Accepts : Failures);
    };
    Host.OnClosed = [this] { ++Closed; };
    Host.IsLeaving = [this](const std::string &Id, std::int64_t BornMs) {
      return Leaving.contains({Id, BornMs});
    };
    Host.OnLeaving = [this](const std::string &Id, std::int64_t BornMs) {
      Leaving.insert({Id, BornMs});
    };
    Host.TunnelLimit = TunnelLimit;
    RunnerAddress = Runner.address();
    Relay.emplace(Loop, AnyPort, std::move(Host));
  }

  std::shared_ptr<runner_connection> connect(const std::string &Id = "r",
                                             std::int64_t BornMs = 7) {
    auto Connection = std::make_shared<runner_connection>(
        Loop,
        runner_target{"127.0.0.1:1", addressOf(Relay->port()), Id, BornMs});
    tcp_stream::handlers Handlers;
    Handlers.OnConnected = [this] { ++Connected; };
    Handlers.OnBytes = [this](std::string_view Bytes) { Received += Bytes; };
    Handlers.OnEnd = [this](stream_end End) { Ends.push_back(End); };
    Connection->setHandlers(std::move(Handlers));
    Connection->connect();
    return Connection;
  }

  void runUntil(const std::function<bool()> &Condition) {
    const instant Start = readClock();
    while (!Condition() && readClock().Steady - Start.Steady < seconds(5)) {
      Loop.restart();
      Loop.run_for(milliseconds(2));
    }
    CHECK(Condition());
  }

  static constexpr std::size_t TunnelLimit = 8;

  asio::io_context Loop;
  recording_server Runner;
  std::string RunnerAddress;
  std::optional<tunnel_server> Relay;
  tunnel_refusal Refusal = tunnel_refusal::None;
  std::set<std::int64_t> Lives{7}; ///< Known incarnations of "r".
  std::set<std::pair<std::string, std::int64_t>> Leaving;
  int Accepts = 0;
  int Failures = 0;
  int Closed = 0;
  int Connected = 0;
  std::string Received;
  std::vector<stream_end> Ends;
};

/// \returns a port on which nothing listens.
std::uint16_t closedPort(asio::io_context &Loop) {
  return listenOn(Loop, AnyPort).local_endpoint().port();
}

} // namespace

TEST_CASE("bytes pass through a tunnel in both directions, whatever their "
          "length") {
  fixture Fixture;
  const auto Connection = Fixture.connect();
  Fixture.runUntil([&] { return Fixture.Connected == 1; });
  const std::string Long(3 * MaxTunnelDataBytes + 17, 'x');
  Connection->write("a");
  Connection->write(Long);
  Fixture.runUntil(
      [&] { return Fixture.Runner.Received.size() == Long.size() + 1; });
  CHECK(Fixture.Runner.Received == "a" + Long);
  Fixture.Runner.Streams.front()->write(Long + "b");
  Fixture.runUntil([&] { return Fixture.Received.size() == Long.size() + 1; });
  CHECK(Fixture.Received == Long + "b");
  CHECK(Fixture.Relay->tunnels() == 1);
  Connection->close();
  Fixture.runUntil([&] { return Fixture.Runner.Ended == 1; });
  CHECK(Fixture.Relay->tunnels() == 0);
  CHECK(Fixture.Closed == 1);
  CHECK(Fixture.Ends.empty());
}

// Guards against a response that only its connection ends being taken for
// complete although its runner ended before it had the whole request, of which
// the relay knows only what has reached it (review, case 2).
TEST_CASE(
    "a tunnel tells an orderly end only of a runner that took all bytes") {
  fixture Fixture;
  const auto Connection = Fixture.connect();
  Fixture.runUntil([&] { return Fixture.Connected == 1; });
  Connection->write("first");
  Fixture.runUntil([&] { return Fixture.Runner.Received == "first"; });
  stream_end Expected = stream_end::Finished;
  SUBCASE("all of them") {}
  SUBCASE("not those that the relay has not received yet") {
    // More than the system takes at once for a relay that reads nothing.
    Connection->write(std::string(16'000'000, 'x'));
    Expected = stream_end::Reset;
  }
  Fixture.Runner.Streams.front()->finish();
  Fixture.runUntil([&] { return Fixture.Ends.size() == 1; });
  CHECK(Fixture.Ends.front() == Expected);
}

// Guards against a request that is written twice, or counts as not sent,
// because a relay opens or refuses a tunnel that is open.
TEST_CASE("a tunnel takes messages only in their order") {
  asio::io_context Loop;
  const auto MessageOf = [](tunnel_kind Kind) {
    tunnel_message Message;
    Message.Kind = Kind;
    Message.End = stream_end::Finished;
    Message.Refusal = tunnel_refusal::Busy;
    Message.Data = "x";
    return encodeMessage(Message);
  };
  std::string Sent;
  int ExpectedConnects = 1;
  stream_end Expected = stream_end::Reset;
  SUBCASE("opened twice") {
    Sent = MessageOf(tunnel_kind::Opened) + MessageOf(tunnel_kind::Opened);
  }
  SUBCASE("refused when it is open") {
    Sent = MessageOf(tunnel_kind::Opened) + MessageOf(tunnel_kind::Refused);
  }
  SUBCASE("bytes before it is open") {
    Sent = MessageOf(tunnel_kind::Data);
    ExpectedConnects = 0;
    Expected = stream_end::ConnectFailed;
  }
  SUBCASE("an end before it is open") {
    Sent = MessageOf(tunnel_kind::End);
    ExpectedConnects = 0;
    Expected = stream_end::ConnectFailed;
  }
  std::shared_ptr<tcp_stream> Origin;
  listener Relay(Loop, AnyPort, "test", [&](asio::ip::tcp::socket Socket) {
    Origin = std::make_shared<tcp_stream>(std::move(Socket), socket_settings{});
    Origin->setHandlers({});
    Origin->start();
    Origin->write(Sent);
  });
  const auto Connection = std::make_shared<runner_connection>(
      Loop, runner_target{"127.0.0.1:1", addressOf(Relay.port()), "r", 7});
  int Connects = 0;
  std::string Received;
  std::vector<stream_end> Ends;
  tcp_stream::handlers Handlers;
  Handlers.OnConnected = [&] { ++Connects; };
  Handlers.OnBytes = [&](std::string_view Bytes) { Received += Bytes; };
  Handlers.OnEnd = [&](stream_end End) { Ends.push_back(End); };
  Connection->setHandlers(std::move(Handlers));
  Connection->connect();
  for (int Round = 0; Round < 500 && Ends.empty(); ++Round)
    Loop.run_for(milliseconds(2));
  CHECK(Connects == ExpectedConnects);
  CHECK(Received.empty());
  CHECK(Ends == std::vector{Expected});
  Origin->close();
}

TEST_CASE("an end from a relay of an older version is read") {
  msgpack::sbuffer Older;
  msgpack::packer Packer(Older);
  Packer.pack_array(6);
  Packer.pack(tunnel_kind::End);
  Packer.pack("");
  Packer.pack(0);
  Packer.pack(tunnel_refusal::None);
  Packer.pack(stream_end::Finished);
  Packer.pack("");
  const tunnel_message Message =
      decodeTunnelMessage({Older.data(), Older.size()});
  CHECK(Message.End == stream_end::Finished);
  CHECK(Message.Delivered == UnknownDelivery);
}

// Guards against a response that only its connection ends being taken for
// complete because the relay, not the runner, ended the connection.
TEST_CASE(
    "a tunnel tells a runner's orderly end from a reset and from the end of "
    "the relay") {
  fixture Fixture;
  const auto Connection = Fixture.connect();
  Fixture.runUntil([&] { return Fixture.Connected == 1; });
  const auto Stream = Fixture.Runner.Streams.front();
  Stream->write("part");
  Fixture.runUntil([&] { return Fixture.Received == "part"; });
  stream_end Expected = stream_end::Reset;
  SUBCASE("orderly") {
    Stream->finish();
    Expected = stream_end::Finished;
  }
  SUBCASE("reset") { Stream->abort(); }
  bool RelayBroke = false;
  SUBCASE("the relay ends") {
    Fixture.Relay.reset();
    RelayBroke = true;
  }
  Fixture.runUntil([&] { return !Fixture.Ends.empty(); });
  CHECK(Fixture.Ends == std::vector<stream_end>{Expected});
  CHECK(Connection->relayBroke() == RelayBroke);
  CHECK(Connection->closed());
}

// Guards against a request that is taken for sent, or for run, though its
// tunnel was never open.
TEST_CASE("a tunnel that is not opened has sent nothing and says why") {
  fixture Fixture;
  tunnel_refusal Expected = tunnel_refusal::None;
  std::string Id = "r";
  std::int64_t BornMs = 7;
  SUBCASE("the relay has no path") {
    Expected = Fixture.Refusal = tunnel_refusal::PathLost;
  }
  SUBCASE("the relay stops") {
    Expected = Fixture.Refusal = tunnel_refusal::Stopping;
  }
  SUBCASE("an unknown runner") {
    Id = "other";
    Expected = tunnel_refusal::UnknownRunner;
  }
  SUBCASE("another incarnation") {
    BornMs = 8;
    Expected = tunnel_refusal::UnknownRunner;
  }
  SUBCASE("the runner refuses") {
    Fixture.RunnerAddress = addressOf(closedPort(Fixture.Loop));
    Expected = tunnel_refusal::RunnerUnreachable;
  }
  SUBCASE("the relay is gone") { Fixture.Relay.reset(); }
  const auto Connection = [&] {
    if (Fixture.Relay)
      return Fixture.connect(Id, BornMs);
    Fixture.Relay.emplace(Fixture.Loop, AnyPort, tunnel_host{});
    auto Made = Fixture.connect(Id, BornMs);
    Fixture.Relay.reset();
    return Made;
  }();
  Fixture.runUntil([&] { return !Fixture.Ends.empty(); });
  CHECK(Fixture.Ends == std::vector<stream_end>{stream_end::ConnectFailed});
  CHECK(Connection->refusal() == Expected);
  CHECK(Fixture.Connected == 0);
  CHECK(Fixture.Runner.Received.empty());
  CHECK(Fixture.Failures ==
        (Expected == tunnel_refusal::RunnerUnreachable ? 1 : 0));
}

// Guards against a request that waits for a relay that is silent.
TEST_CASE("a tunnel that a silent relay does not open fails in time") {
  fixture Fixture;
  recording_server Silent(Fixture.Loop);
  const auto Connection = std::make_shared<runner_connection>(
      Fixture.Loop, runner_target{"127.0.0.1:1", Silent.address(), "r", 7});
  tcp_stream::handlers Handlers;
  Handlers.OnEnd = [&](stream_end End) { Fixture.Ends.push_back(End); };
  Connection->setHandlers(std::move(Handlers));
  const instant Start = readClock();
  Connection->connect();
  Fixture.runUntil([&] { return !Fixture.Ends.empty(); });
  CHECK(Fixture.Ends == std::vector<stream_end>{stream_end::ConnectFailed});
  CHECK(readClock().Steady - Start.Steady < milliseconds(900));
}

TEST_CASE("a relay answers whether it can open tunnels, and opens a bounded "
          "number") {
  fixture Fixture;
  const auto Check = Fixture.connect("", 0);
  Fixture.runUntil([&] { return Fixture.Connected == 1; });
  Check->close();
  Fixture.Ends.clear(); // A relay ends the connection of such a question.
  std::vector<std::shared_ptr<runner_connection>> Open;
  for (std::size_t Count = 0; Count < fixture::TunnelLimit + 3; ++Count)
    Open.push_back(Fixture.connect());
  Fixture.runUntil([&] { return Fixture.Ends.size() == 3; });
  CHECK(Fixture.Connected == static_cast<int>(fixture::TunnelLimit) + 1);
  CHECK(std::count_if(Open.begin(), Open.end(), [](const auto &Connection) {
          return Connection->refusal() == tunnel_refusal::Busy;
        }) == 3);
}

// Guards against a relay whose memory a slow instance or an endless runner
// fills.
TEST_CASE("a relay reads no more from a runner than the instance takes") {
  fixture Fixture;
  const auto Connection = Fixture.connect();
  Fixture.runUntil([&] { return Fixture.Connected == 1; });
  Connection->pauseReading(true);
  const std::string Part(64UL * 1024UL, 'x');
  std::size_t Sent = 0;
  const auto Send = [&] {
    Sent += Part.size();
    Fixture.Runner.Streams.front()->write(Part);
  };
  Fixture.Runner.OnDrained = Send;
  Send();
  Fixture.Loop.restart();
  Fixture.Loop.run_for(milliseconds(500));
  // The rest lies in the buffers of the two connections.
  CHECK(Sent < 24UL * 1024UL * 1024UL);
  const std::size_t Stalled = Sent;
  Connection->pauseReading(false);
  Fixture.runUntil([&] { return Sent > Stalled + 4UL * 1024UL * 1024UL; });
  Fixture.Runner.OnDrained = nullptr;
}

// Guards against a peer whose bytes are no messages and never end.
TEST_CASE("bytes without end that are no messages end a tunnel, at the relay "
          "and at the instance") {
  constexpr std::size_t Limit = 16UL * 1024UL * 1024UL;
  fixture Fixture;
  const std::string Part(64UL * 1024UL, 'x');
  std::size_t Sent = 0;
  // To the relay.
  const auto Peer = std::make_shared<tcp_stream>(
      asio::ip::tcp::socket(Fixture.Loop), socket_settings{});
  bool Ended = false;
  tcp_stream::handlers Handlers;
  const auto Send = [&] {
    Sent += Part.size();
    if (Sent < 2 * Limit)
      Peer->write(Part);
  };
  Handlers.OnConnected = Send;
  Handlers.OnDrained = Send;
  Handlers.OnEnd = [&](stream_end) { Ended = true; };
  Peer->setHandlers(std::move(Handlers));
  Peer->connect(*parseAddress(addressOf(Fixture.Relay->port())));
  Fixture.runUntil([&] { return Ended; });
  CHECK(Sent < Limit);
  Peer->close();
  // To an instance: the stand-in of a runner takes the place of the relay.
  Sent = 0;
  Fixture.Runner.OnDrained = [&] {
    Sent += Part.size();
    if (Sent < 2 * Limit)
      Fixture.Runner.Streams.front()->write(Part);
  };
  const auto Connection = std::make_shared<runner_connection>(
      Fixture.Loop,
      runner_target{"127.0.0.1:1", Fixture.RunnerAddress, "r", 7});
  std::vector<stream_end> Ends;
  tcp_stream::handlers Instance;
  Instance.OnEnd = [&](stream_end End) { Ends.push_back(End); };
  Connection->setHandlers(std::move(Instance));
  Connection->connect();
  Fixture.runUntil([&] { return !Fixture.Runner.Received.empty(); });
  Fixture.Runner.Streams.front()->write(Part);
  Fixture.runUntil([&] { return !Ends.empty(); });
  CHECK(Ends == std::vector<stream_end>{stream_end::ConnectFailed});
  CHECK(Sent < Limit);
  Fixture.Runner.OnDrained = nullptr;
}

TEST_CASE("a relay that stops tells the instances, whose requests go on") {
  fixture Fixture;
  const auto Connection = Fixture.connect();
  Fixture.runUntil([&] { return Fixture.Connected == 1; });
  CHECK(Connection->reusable());
  Fixture.Relay->announceStop();
  Fixture.runUntil([&] { return !Connection->reusable(); });
  Connection->write("a");
  Fixture.runUntil([&] { return Fixture.Runner.Received == "a"; });
  Fixture.Runner.Streams.front()->write("b");
  Fixture.runUntil([&] { return Fixture.Received == "b"; });
}

// Guards against requests that a relay carries to a runner that leaves.
TEST_CASE(
    "a relay opens no tunnel to a runner that leaves, and ends the use of "
    "open ones") {
  fixture Fixture;
  Fixture.Lives.insert(8);
  const auto Connection = Fixture.connect();
  const auto Other = Fixture.connect("r", 8);
  Fixture.runUntil([&] { return Fixture.Connected == 2; });
  // The relay learns it from the instance that reads the response.
  Connection->announceLeaving();
  Fixture.runUntil([&] { return !Fixture.Leaving.empty(); });
  CHECK(Fixture.Leaving ==
        std::set<std::pair<std::string, std::int64_t>>{{"r", 7}});
  CHECK(Fixture.Runner.Received.empty());
  Fixture.Relay->announceLeaving("r", 7);
  Fixture.runUntil([&] { return !Connection->reusable(); });
  CHECK(Other->reusable());
  // What is in progress goes on.
  Connection->write("a");
  Fixture.runUntil([&] { return Fixture.Runner.Received == "a"; });
  const auto Late = Fixture.connect();
  Fixture.runUntil([&] { return Fixture.Ends.size() == 1; });
  CHECK(Late->refusal() == tunnel_refusal::RunnerUnreachable);
  // A new incarnation starts clean.
  const auto Next = Fixture.connect("r", 8);
  Fixture.runUntil([&] { return Fixture.Connected == 3; });
}

// Guards against messages of a damaged or foreign peer that end the process or
// reach a runner.
TEST_CASE("damaged tunnel messages are refused and end only their tunnel") {
  tunnel_message Message;
  Message.Kind = tunnel_kind::Open;
  Message.Runner = "r";
  Message.BornMs = 7;
  Message.Data = "data";
  fuzz({encodeMessage(Message).substr(4)},
       [](const std::string &Bytes) { decodeTunnelMessage(Bytes); });
  fixture Fixture;
  recording_server Peer(Fixture.Loop);
  for (const std::string &Bytes :
       {encodeTunnelData("early"), std::string("\xff\xff\xff\xff"),
        encodeFrame("\xc1"), encodeFrame(std::string(5, '\0'))}) {
    const auto Stream = std::make_shared<tcp_stream>(
        asio::ip::tcp::socket(Fixture.Loop), socket_settings{});
    bool Ended = false;
    tcp_stream::handlers Handlers;
    Handlers.OnEnd = [&](stream_end) { Ended = true; };
    Stream->setHandlers(std::move(Handlers));
    Stream->connect(*parseAddress(addressOf(Fixture.Relay->port())));
    Stream->write(Bytes);
    Fixture.runUntil([&] { return Ended; });
  }
  CHECK(Fixture.Relay->tunnels() == 0);
  CHECK(Fixture.Runner.Received.empty());
}
