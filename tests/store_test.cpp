#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include "broken_responses.h"
#include "early_runner.h"
#include "net/address.h"
#include "net/http_reader.h"
#include "net/listener.h"
#include "store/store_pulse.h"

#include <doctest/doctest.h>
#include <list>

using namespace lentilhoist;

namespace {

std::string jsonAnswer(int Status, const std::string &Body) {
  return encodeResponseHead({Status, {{"Content-Type", "application/json"}}},
                            body_framing::Length, Body.size(), false) +
         Body;
}

std::string itemText(const std::string &Name, int Revision) {
  return R"({"metadata":{"name":")" + Name + R"(","revision":)" +
         std::to_string(Revision) + R"(},"spec":{},"status":null})";
}

/// Store on loopback with scripted responses; an empty one sends no response.
class scripted_store {
public:
  using script = std::function<std::string(const std::string &Target)>;

  scripted_store(asio::io_context &Loop, script Given)
      : Acceptor(listenOn(Loop, {asio::ip::address_v4::loopback(), 0})),
        Script(std::move(Given)) {
    accept();
  }

  std::string address() const {
    return "127.0.0.1:" + std::to_string(Acceptor.local_endpoint().port());
  }

  std::vector<std::string> Calls; ///< Request targets, in order.
  int Connections = 0;
  bool FinishAfterResponse = false; ///< End each connection in order.

private:
  void accept() {
    Acceptor.async_accept([this](const asio::error_code &Error,
                                 asio::ip::tcp::socket Socket) {
      if (Error)
        return;
      ++Connections;
      const auto Stream =
          std::make_shared<tcp_stream>(std::move(Socket), socket_settings{});
      const auto Reader = std::make_shared<http_reader>(http_message::Request);
      tcp_stream::handlers Handlers;
      Handlers.OnBytes =
          [this, Reader,
           Weak = std::weak_ptr<tcp_stream>(Stream)](std::string_view Bytes) {
            Reader->feed(Bytes);
            if (!Reader->complete())
              return;
            Calls.push_back(Reader->request().Target);
            Reader->reset();
            const auto Self = Weak.lock();
            if (!Self)
              return;
            Self->write(Script(Calls.back()));
            if (FinishAfterResponse)
              Self->finish();
          };
      Stream->setHandlers(std::move(Handlers));
      Stream->start();
      Streams.push_back(Stream);
      accept();
    });
  }

  asio::ip::tcp::acceptor Acceptor;
  std::list<std::shared_ptr<tcp_stream>> Streams;
  script Script;
};

/// A watch with short timeouts that records its callbacks.
struct fixture {
  explicit fixture(scripted_store::script Script,
                   milliseconds Wait = milliseconds(50))
      : Store(Loop, std::move(Script)) {
    watch_settings Timing;
    Timing.Wait = Wait;
    Timing.AnswerSlack = milliseconds(50);
    Timing.ListTimeout = milliseconds(100);
    Timing.MinRetryDelay = milliseconds(5);
    Timing.MaxRetryDelay = milliseconds(20);
    Watch =
        std::make_shared<store_watch>(Loop, Store.address(), "servers", Timing);
    store_watch::handlers Handlers;
    Handlers.OnList = [this](const std::vector<store_item> &Items) {
      Lists.push_back(Items.size());
    };
    Handlers.OnEvent = [this](const store_event &Event) {
      Events.push_back(Event.Item.Name + (Event.Removed ? "-" : "+"));
    };
    Handlers.OnAvailability = [this](bool Available) {
      AvailabilityChanges.push_back(Available);
    };
    Watch->start(std::move(Handlers));
  }
  ~fixture() { Watch->stop(); }

  /// Runs the event loop until the condition is true, for at most 2 s.
  void runUntil(const std::function<bool()> &Condition) {
    const auto Start = readClock();
    while (!Condition() && readClock().Steady - Start.Steady < seconds(2)) {
      Loop.restart();
      Loop.run_for(milliseconds(5));
    }
    CHECK(Condition());
  }

  asio::io_context Loop;
  scripted_store Store;
  std::shared_ptr<store_watch> Watch;
  std::vector<std::size_t> Lists;
  std::vector<std::string> Events;
  std::vector<bool> AvailabilityChanges;
};

bool isWatch(const std::string &Target) {
  return Target.find("watch=") != std::string::npos;
}

std::string emptyList(int Revision) {
  return jsonAnswer(200, R"({"items":[],"truncated":false,"store-revision":)" +
                             std::to_string(Revision) + "}");
}

} // namespace

TEST_CASE(
    "store_watch joins list pages and watches from the first page's revision") {
  fixture Fixture([](const std::string &Target) {
    if (isWatch(Target))
      return std::string();
    if (Target.find("after=b") != std::string::npos)
      return jsonAnswer(200, R"({"items":[)" + itemText("c", 3) +
                                 R"(],"truncated":false,"store-revision":9})");
    return jsonAnswer(200, R"({"items":[)" + itemText("a", 1) + "," +
                               itemText("b", 2) +
                               R"(],"truncated":true,"store-revision":5})");
  });
  Fixture.runUntil([&] { return Fixture.Store.Calls.size() == 3; });
  CHECK(Fixture.Lists == std::vector<std::size_t>{3});
  CHECK(Fixture.Store.Calls[2].find("watch=5") != std::string::npos);
}

TEST_CASE(
    "store_watch reports changes and continues at the returned revision") {
  int Watches = 0;
  fixture Fixture([&](const std::string &Target) {
    if (!isWatch(Target))
      return emptyList(5);
    if (++Watches > 1)
      return std::string();
    return jsonAnswer(200, R"({"events":[{"removed":false,"object":)" +
                               itemText("a", 6) +
                               R"(},{"removed":true,"object":)" +
                               itemText("b", 7) + R"(}],"store-revision":7})");
  });
  Fixture.runUntil([&] { return Watches == 2; });
  CHECK(Fixture.Events == std::vector<std::string>{"a+", "b-"});
  CHECK(Fixture.Store.Calls.back().find("watch=7") != std::string::npos);
}

TEST_CASE("store_watch lists again when the watched revision is gone") {
  int Watches = 0;
  fixture Fixture([&](const std::string &Target) {
    if (!isWatch(Target))
      return emptyList(5 + Watches);
    return ++Watches == 1 ? jsonAnswer(410, "{}") : std::string();
  });
  Fixture.runUntil([&] { return Watches == 2; });
  CHECK(Fixture.Lists.size() == 2);
  CHECK(Fixture.AvailabilityChanges.empty());
}

TEST_CASE(
    "store_watch replaces an unresponsive connection and continues the watch") {
  int Watches = 0;
  fixture Fixture([&](const std::string &Target) {
    if (!isWatch(Target))
      return emptyList(5);
    return ++Watches == 1
               ? std::string()
               : jsonAnswer(200, R"({"events":[],"store-revision":5})");
  });
  Fixture.runUntil([&] { return Watches >= 2; });
  Fixture.runUntil([&] { return Fixture.AvailabilityChanges.size() == 2; });
  CHECK(Fixture.AvailabilityChanges == std::vector<bool>{false, true});
  CHECK(Fixture.Store.Connections == 2);
  CHECK(Fixture.Lists.size() == 1);
}

TEST_CASE("store_watch detects store recovery without a full long-poll wait") {
  // A recovered store holds a watch call without changes for its full wait.
  int Watches = 0;
  fixture Fixture(
      [&](const std::string &Target) -> std::string {
        if (!isWatch(Target))
          return emptyList(5);
        if (++Watches == 1)
          return jsonAnswer(503, "{}");
        const bool Long = Target.find("wait-ms=60000") != std::string::npos;
        return Long ? ""
                    : jsonAnswer(200, R"({"events":[],"store-revision":5})");
      },
      milliseconds(60'000));
  Fixture.runUntil([&] { return Fixture.AvailabilityChanges.size() == 2; });
  CHECK(Fixture.AvailabilityChanges == std::vector<bool>{false, true});
  // After the recovery the watch uses the full wait again.
  Fixture.runUntil([&] {
    return Fixture.Store.Calls.back().find("wait-ms=60000") !=
           std::string::npos;
  });
}

TEST_CASE("store_watch retries refused calls and malformed responses") {
  int Lists = 0;
  fixture Fixture([&](const std::string &Target) -> std::string {
    if (isWatch(Target))
      return "";
    switch (++Lists) {
    case 1:
      return jsonAnswer(503, "{}");
    case 2:
      return jsonAnswer(429, "{}");
    case 3:
      return jsonAnswer(200, "not json");
    case 4:
      return "garbage\r\n\r\n";
    default:
      return emptyList(1);
    }
  });
  Fixture.runUntil([&] { return Fixture.Lists.size() == 1; });
  CHECK(Lists == 5);
}

namespace {

/// A pulse with short times that follows the fixture's watch.
std::shared_ptr<store_pulse> startPulse(fixture &Fixture) {
  const auto Pulse = std::make_shared<store_pulse>(
      Fixture.Loop, Fixture.Store.address(),
      pulse_settings{milliseconds(20), milliseconds(500)});
  Pulse->follow(Fixture.Watch, pulse_scope::Changes);
  Pulse->start();
  return Pulse;
}

bool isStale(const std::string &Target) {
  return Target.find("serializable=1") != std::string::npos;
}

} // namespace

TEST_CASE("store_pulse has a watch replace a long poll that a silent store "
          "holds") {
  bool Silent = false;
  fixture Fixture(
      [&](const std::string &Target) -> std::string {
        if (Silent)
          return "";
        if (!isWatch(Target))
          return emptyList(5);
        const bool Long = Target.find("wait-ms=60000") != std::string::npos;
        return Long ? ""
                    : jsonAnswer(200, R"({"events":[],"store-revision":5})");
      },
      milliseconds(60'000));
  const auto Pulse = startPulse(Fixture);
  Fixture.runUntil([&] { return Fixture.Store.Calls.size() > 6; });
  CHECK(Fixture.AvailabilityChanges.empty());
  Silent = true;
  Fixture.runUntil([&] { return Fixture.AvailabilityChanges.size() == 1; });
  Silent = false;
  Fixture.runUntil([&] { return Fixture.AvailabilityChanges.size() == 2; });
  CHECK(Fixture.AvailabilityChanges == std::vector<bool>{false, true});
  CHECK(Fixture.Lists.size() == 1);
}

TEST_CASE("store_pulse changes no belief by itself: a stale change is reported "
          "by the watch alone, and an older one not at all") {
  int Older = 0;
  fixture Fixture(
      [&](const std::string &Target) -> std::string {
        if (!isWatch(Target))
          return emptyList(5);
        if (isStale(Target)) {
          ++Older;
          return jsonAnswer(200, R"({"events":[{"removed":true,"object":)" +
                                     itemText("a", 4) +
                                     R"(}],"store-revision":4})");
        }
        return "";
      },
      milliseconds(60'000));
  const auto Pulse = startPulse(Fixture);
  Fixture.runUntil([&] { return Older > 5; });
  CHECK(Fixture.Events.empty());
  CHECK(Fixture.AvailabilityChanges.empty());
  // The list, and one long poll that was never replaced.
  CHECK(std::count_if(
            Fixture.Store.Calls.begin(), Fixture.Store.Calls.end(),
            [](const std::string &Target) { return !isStale(Target); }) == 2);
}

// Guards against a list of all objects each time that the revision of a long
// poll is older than what the store keeps.
TEST_CASE("store_pulse goes on where its last read ended, while the long poll "
          "waits") {
  int Stale = 0;
  fixture Fixture(
      [&](const std::string &Target) -> std::string {
        if (!isWatch(Target))
          return emptyList(5);
        if (!isStale(Target))
          return "";
        // What is older than the last two reads has been dropped.
        ++Stale;
        const auto From = std::stoi(Target.substr(Target.find("watch=") + 6));
        return From + 2 < Stale
                   ? jsonAnswer(410, "{}")
                   : jsonAnswer(200, R"({"events":[],"store-revision":)" +
                                         std::to_string(Stale + 5) + "}");
      },
      milliseconds(60'000));
  const auto Pulse = startPulse(Fixture);
  Fixture.runUntil([&] { return Stale > 20; });
  CHECK(Fixture.Lists.size() == 1);
  CHECK(Fixture.AvailabilityChanges.empty());
}

TEST_CASE("store_client reports Unknown when a call times out") {
  asio::io_context Loop;
  scripted_store Store(Loop, [](const std::string &) { return ""; });
  const auto Client = std::make_shared<store_client>(Loop, Store.address());
  std::optional<store_status> Status;
  Client->call(platform::createRequest("kind", "name", "{}"), milliseconds(50),
               [&](const store_answer &Answer) { Status = Answer.Status; });
  Loop.run_for(milliseconds(300));
  CHECK(Status == store_status::Unknown);
  Client->close();
}

// Guards against a store, or what answers in its place, that sends without end:
// all of it was kept until the call's time was over (LOST of all that the
// process had).
TEST_CASE("store_client gives up a response without end") {
  asio::io_context Loop;
  std::string Start = "HTTP/1.1 200 OK\r\n\r\n";
  std::string Repeat(64UL * 1024UL, 'x');
  SUBCASE("a body that the connection ends") {}
  SUBCASE("a body in chunks") {
    Start = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    Repeat = encodeChunk(Repeat);
  }
  SUBCASE("one line of a head") { Start = "HTTP/1.1 200 OK\r\nX-A: "; }
  SUBCASE("lines of a head") {
    Start = "HTTP/1.1 200 OK\r\n";
    Repeat.clear();
    for (int Count = 0; Count < 4'000; ++Count)
      Repeat += "X-A: b\r\n";
  }
  SUBCASE("trailers") {
    Start = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n";
    Repeat.clear();
    for (int Count = 0; Count < 4'000; ++Count)
      Repeat += "X-A: b\r\n";
  }
  SUBCASE("no response at all") { Start = Repeat; }
  std::size_t Sent = 0;
  std::shared_ptr<tcp_stream> Peer;
  const listener Listener(Loop, {asio::ip::address_v4::loopback(), 0}, "store",
                          [&](asio::ip::tcp::socket Socket) {
                            Peer = std::make_shared<tcp_stream>(
                                std::move(Socket), socket_settings{});
                            tcp_stream::handlers Handlers;
                            Handlers.OnBytes = [&](std::string_view) {
                              if (Sent == 0)
                                Peer->write(Start);
                            };
                            Handlers.OnDrained = [&] {
                              Sent += Repeat.size();
                              Peer->write(Repeat);
                            };
                            Peer->setHandlers(std::move(Handlers));
                            Peer->start();
                          });
  const auto Client = std::make_shared<store_client>(
      Loop, "127.0.0.1:" + std::to_string(Listener.port()));
  std::optional<store_status> Status;
  const instant Begin = readClock();
  Client->call(platform::createRequest("kind", "name", "{}"), seconds(20),
               [&](const store_answer &Answer) { Status = Answer.Status; });
  while (!Status && readClock().Steady - Begin.Steady < seconds(19)) {
    Loop.restart();
    Loop.run_one_for(milliseconds(100));
  }
  CHECK(Status == store_status::Unknown);
  // The rest lies in the buffers of the connection.
  CHECK(Sent < 2 * MaxStoreResponseBytes);
  Client->close();
  if (Peer)
    Peer->close();
}

// Guards against a response that only its connection ends being taken for a
// lost one.
TEST_CASE("store_client reads responses that end with their connection") {
  asio::io_context Loop;
  std::string Text = "HTTP/1.1 200 OK\r\n\r\n{}";
  store_status Expected = store_status::Done;
  SUBCASE("whole") {}
  SUBCASE("shorter than its length") {
    Text = "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n{}";
    Expected = store_status::Unknown;
  }
  SUBCASE("without its last chunk") {
    Text = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" +
           encodeChunk("{}");
    Expected = store_status::Unknown;
  }
  scripted_store Store(Loop, [&](const std::string &) { return Text; });
  Store.FinishAfterResponse = true;
  const auto Client = std::make_shared<store_client>(Loop, Store.address());
  std::vector<store_answer> Answers;
  for (const char *Name : {"one", "two"})
    Client->call(
        platform::readRequest("kind", Name), milliseconds(500),
        [&](const store_answer &Answer) { Answers.push_back(Answer); });
  Loop.run_for(milliseconds(300));
  REQUIRE(Answers.size() == 2);
  for (const store_answer &Answer : Answers) {
    CHECK(Answer.Status == Expected);
    if (Expected == store_status::Done)
      CHECK(Answer.Body == "{}");
  }
  Client->close();
}

// Guards against a response whose head stops halfway passing for an answer.
TEST_CASE("store_client takes no response that stops anywhere in its head") {
  const std::string Head = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
  for (std::size_t Stop = 0; Stop <= Head.size(); ++Stop) {
    asio::io_context Loop;
    scripted_store Store(
        Loop, [&](const std::string &) { return Head.substr(0, Stop); });
    Store.FinishAfterResponse = true;
    const auto Client = std::make_shared<store_client>(Loop, Store.address());
    std::optional<store_status> Status;
    Client->call(platform::readRequest("kind", "one"), milliseconds(500),
                 [&](const store_answer &Answer) { Status = Answer.Status; });
    for (int Round = 0; Round < 300 && !Status; ++Round)
      Loop.run_for(milliseconds(2));
    INFO(Head.substr(0, Stop));
    CHECK(Status ==
          (Stop == Head.size() ? store_status::Done : store_status::Unknown));
    Client->close();
  }
}

// Guards against a write that counts as done although the store ended, or was
// cut off, while the call was still on its way (review, case 2).
TEST_CASE("store_client takes an end of the connection for that of a response "
          "only if the store received the whole call") {
  for (const early_end End : EarlyEnds)
    for (const std::size_t Length :
         {std::size_t{400'000}, std::size_t{8'000'000}}) {
      early_runner Store("HTTP/1.1 200 OK\r\n\r\n{\"a\":", "1}", End);
      asio::io_context Loop;
      const auto Client = std::make_shared<store_client>(
          Loop, "127.0.0.1:" + std::to_string(Store.port()));
      std::optional<store_answer> Answer;
      Client->call(platform::createRequest(
                       "kind", "one", '"' + std::string(Length, 'x') + '"'),
                   seconds(5),
                   [&](const store_answer &Given) { Answer = Given; });
      for (int Round = 0; Round < 2'500 && !Answer; ++Round)
        Loop.run_for(milliseconds(2));
      INFO("end " << static_cast<int>(End) << ", " << Length << " bytes");
      REQUIRE(Answer);
      CHECK(Answer->Status ==
            (isSound(End) ? store_status::Done : store_status::Unknown));
      if (isSound(End))
        CHECK(Answer->Body == "{\"a\":1}");
      Client->close();
    }
}

// Guards against a store's broken response, or what follows it, passing for an
// answer (incident 025).
TEST_CASE(
    "store_client takes no broken response, and nothing that follows it") {
  for (const std::string &Broken : brokenResponses("", "{}")) {
    asio::io_context Loop;
    bool First = true;
    scripted_store Store(Loop, [&](const std::string &) {
      return std::exchange(First, false) ? Broken + jsonAnswer(200, "[1]")
                                         : jsonAnswer(200, "{}");
    });
    const auto Client = std::make_shared<store_client>(Loop, Store.address());
    std::vector<store_answer> Answers;
    for (const char *Name : {"one", "two"})
      Client->call(
          platform::readRequest("kind", Name), milliseconds(500),
          [&](const store_answer &Answer) { Answers.push_back(Answer); });
    for (int Round = 0; Round < 600 && Answers.size() < 2; ++Round)
      Loop.run_for(milliseconds(2));
    INFO(Broken);
    REQUIRE(Answers.size() == 2);
    CHECK(Answers[0].Status == store_status::Unknown);
    CHECK(Answers[1].Status == store_status::Done);
    CHECK(Answers[1].Body == "{}");
    CHECK(Store.Connections == 2);
    Client->close();
  }
}

// Guards against the rest of an unasked response being read as the beginning of
// the next call's.
TEST_CASE("store_client uses no connection again on which more than a response "
          "came") {
  asio::io_context Loop;
  bool First = true;
  scripted_store Store(Loop, [&](const std::string &) {
    return jsonAnswer(200, "{}") +
           (std::exchange(First, false) ? "HTTP/1.1 20" : "");
  });
  const auto Client = std::make_shared<store_client>(Loop, Store.address());
  std::vector<store_answer> Answers;
  for (const char *Name : {"one", "two"})
    Client->call(
        platform::readRequest("kind", Name), milliseconds(500),
        [&](const store_answer &Answer) { Answers.push_back(Answer); });
  Loop.run_for(milliseconds(300));
  REQUIRE(Answers.size() == 2);
  CHECK(Answers[1].Status == store_status::Done);
  CHECK(Store.Connections == 2);
  Client->close();
}

TEST_CASE("store_client sends calls sequentially on one connection") {
  asio::io_context Loop;
  scripted_store Store(Loop, [](const std::string &Target) {
    return jsonAnswer(Target.ends_with("two") ? 409 : 200, "{}");
  });
  const auto Client = std::make_shared<store_client>(Loop, Store.address());
  std::vector<store_status> Statuses;
  for (const char *Name : {"one", "two", "three"})
    Client->call(
        platform::readRequest("kind", Name), milliseconds(500),
        [&](const store_answer &Answer) { Statuses.push_back(Answer.Status); });
  Loop.run_for(milliseconds(300));
  CHECK(Statuses == std::vector<store_status>{store_status::Done,
                                              store_status::Conflict,
                                              store_status::Done});
  CHECK(Store.Connections == 1);
  Client->close();
}
