#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include "net/address.h"
#include "net/http_reader.h"
#include "store/store_watch.h"

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

/// A store on loopback that answers by a script; an empty answer is silence.
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

  std::vector<std::string> Calls; ///< Targets, in order.
  int Connections = 0;

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
            if (const auto Self = Weak.lock())
              Self->write(Script(Calls.back()));
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

/// A watch with short times and what it told.
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

  /// Runs until a condition holds, for two seconds at most.
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

TEST_CASE("pages are joined, and the watch begins at the first one") {
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

TEST_CASE("changes are told and the watch goes on behind them") {
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

TEST_CASE("a dropped history leads to a new list") {
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

TEST_CASE("a silent connection is replaced, and the watch goes on") {
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

TEST_CASE("the return of the store is noticed long before a wait is over") {
  // A store that has returned holds a watch without changes for its whole wait.
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
  // Behind the return the waits are long again.
  Fixture.runUntil([&] {
    return Fixture.Store.Calls.back().find("wait-ms=60000") !=
           std::string::npos;
  });
}

TEST_CASE("refusals and broken answers are tried again") {
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

TEST_CASE("an overdue answer leaves the outcome unknown") {
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

TEST_CASE("calls on one connection are made one after the other") {
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
