#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include "http/http_client_pool.h"
#include "http/http_server.h"

#include <atomic>
#include <doctest/doctest.h>
#include <netinet/tcp.h>
#include <thread>
#include <vector>

using namespace lentilhoist;

TEST_CASE("addresses are parsed whole") {
  const endpoint Parsed = parseEndpoint("127.0.0.1:8080");
  CHECK(Parsed.Address == "127.0.0.1");
  CHECK(Parsed.Port == 8080);
  for (const char *Text : {"", ":80", "127.0.0.1", "127.0.0.1:", "a:b",
                           "127.0.0.1:0", "127.0.0.1:65536", "127.0.0.1:80x"})
    CHECK_THROWS_AS(parseEndpoint(Text), std::invalid_argument);
}

TEST_CASE("sockets do not delay small messages") {
  const int Descriptor = ::socket(AF_INET, SOCK_STREAM, 0);
  setSocketOptions(Descriptor);
  int Value = 0;
  socklen_t Length = sizeof(Value);
  ::getsockopt(Descriptor, IPPROTO_TCP, TCP_NODELAY, &Value, &Length);
  CHECK(Value != 0);
  ::close(Descriptor);
}

TEST_CASE("a connection serves far more than the library's five requests") {
  http_server Server{http_server_settings()};
  std::atomic<int> Connections{0};
  int LastPort = 0;
  Server.routes().Get("/", [&](const auto &Request, auto &) {
    if (Request.remote_port != LastPort)
      ++Connections;
    LastPort = Request.remote_port;
  });
  Server.start();
  const auto Client = makeHttpClient({"127.0.0.1", Server.port()}, {});
  for (int Index = 0; Index < 50; ++Index)
    REQUIRE(Client->Get("/"));
  CHECK(Connections == 1);
}

TEST_CASE("a burst of connections is accepted whole") {
  http_server_settings Settings;
  Settings.MaxConnections = 400;
  http_server Server(Settings);
  Server.routes().Get("/", [](const auto &, auto &) {});
  Server.start();
  std::atomic<int> Failed{0};
  std::vector<std::thread> Callers;
  for (int Index = 0; Index < 300; ++Index)
    Callers.emplace_back([&] {
      const auto Answer =
          makeHttpClient({"127.0.0.1", Server.port()}, {})->Get("/");
      if (!Answer || Answer->status != 200)
        ++Failed;
    });
  for (std::thread &Caller : Callers)
    Caller.join();
  CHECK(Failed == 0);
}

TEST_CASE("a full server refuses at once and says that nothing ran") {
  http_server_settings Settings;
  Settings.MaxConnections = 1;
  http_server Server(Settings);
  std::atomic<bool> Release{false};
  std::atomic<bool> Entered{false};
  Server.routes().Get("/slow", [&](const auto &, auto &) {
    Entered = true;
    while (!Release)
      std::this_thread::sleep_for(std::chrono::milliseconds(1));
  });
  Server.routes().Get("/fast", [](const auto &, auto &) {});
  Server.start();
  const endpoint Target{"127.0.0.1", Server.port()};
  std::thread Slow([&] { makeHttpClient(Target, {})->Get("/slow"); });
  while (!Entered)
    std::this_thread::sleep_for(std::chrono::milliseconds(1));
  const auto Refused = makeHttpClient(Target, {})->Get("/fast");
  REQUIRE(Refused);
  CHECK(Refused->status == 429);
  CHECK(Refused->body.find("not_run") != std::string::npos);
  Release = true;
  Slow.join();
}
