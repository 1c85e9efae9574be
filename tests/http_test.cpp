#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include "http/http_client.h"
#include "http/http_server.h"
#include "net/http_head.h"

#include <arpa/inet.h>
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

namespace {

/// Sends bytes to a server and reads until it closes the connection, or for
/// two seconds.
std::string exchangeBytes(int Port, const std::string &Bytes) {
  const int Socket = ::socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in Address{};
  Address.sin_family = AF_INET;
  Address.sin_port = htons(static_cast<std::uint16_t>(Port));
  Address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  REQUIRE(::connect(Socket, reinterpret_cast<sockaddr *>(&Address),
                    sizeof(Address)) == 0);
  const timeval Limit{2, 0};
  ::setsockopt(Socket, SOL_SOCKET, SO_RCVTIMEO, &Limit, sizeof(Limit));
  (void)::send(Socket, Bytes.data(), Bytes.size(), MSG_NOSIGNAL);
  std::string Received;
  char Buffer[4'096];
  for (ssize_t Length = 1; Length > 0;) {
    Length = ::recv(Socket, Buffer, sizeof(Buffer), 0);
    if (Length > 0)
      Received.append(Buffer, static_cast<std::size_t>(Length));
  }
  ::close(Socket);
  return Received;
}

std::size_t countResponses(const std::string &Received) {
  std::size_t Count = 0;
  for (std::size_t At = 0;
       (At = Received.find("HTTP/1.1 ", At)) != std::string::npos; ++At)
    ++Count;
  return Count;
}

/// Sends a start and then the same bytes again and again, some 60 MB a second,
/// until the server ends the connection or a limit is reached.
class endless_client {
public:
  static constexpr std::size_t MaxBytes = 96UL * 1024UL * 1024UL;

  endless_client(int Port, const std::string &Start,
                 const std::string &Repeat) {
    const int Socket = ::socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in Address{};
    Address.sin_family = AF_INET;
    Address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    Address.sin_port = htons(static_cast<std::uint16_t>(Port));
    bool Open = ::connect(Socket, reinterpret_cast<sockaddr *>(&Address),
                          sizeof(Address)) == 0;
    for (std::string_view Bytes = Start; Open && Sent < MaxBytes;
         Bytes = Repeat) {
      Open = ::send(Socket, Bytes.data(), Bytes.size(), MSG_NOSIGNAL) > 0;
      Sent += Bytes.size();
      std::this_thread::sleep_for(std::chrono::milliseconds(1));
      char Part[4'096];
      const ssize_t Length = ::recv(Socket, Part, sizeof(Part), MSG_DONTWAIT);
      if (Length > 0)
        Received.append(Part, static_cast<std::size_t>(Length));
    }
    ::close(Socket);
  }

  std::size_t Sent = 0;
  std::string Received;
};

} // namespace

TEST_CASE(
    "a request whose body can be framed in two ways is rejected before any "
    "handler, and its connection ends") {
  std::atomic<int> Handled{0};
  http_server Server{http_server_settings()};
  Server.routes().Post("/", [&](const auto &, auto &) { ++Handled; });
  Server.routes().Get("/next", [&](const auto &, auto &) { ++Handled; });
  Server.start();
  const std::string Next = "GET /next HTTP/1.1\r\nHost: h\r\n\r\n";
  for (const char *Fields :
       {"Content-Length: 2\r\nContent-Length: 44\r\n", "Content-Length: +2\r\n",
        "Content-Length: 2, 44\r\n", "Content-Length: -1\r\n",
        "Content-Length: 0x2\r\n",
        "Content-Length: 2\r\nTransfer-Encoding: chunked\r\n",
        "Transfer-Encoding: chunked\r\nContent-Length: 2\r\n",
        "Transfer-Encoding: gzip, chunked\r\n",
        "Transfer-Encoding: chunked\r\nTransfer-Encoding: identity\r\n",
        "Content-Length : 2\r\n", "Content-Length: 2\nX-A: b\r\n"}) {
    INFO(Fields);
    const std::string Received = exchangeBytes(
        Server.port(), std::string("POST / HTTP/1.1\r\nHost: h\r\n") + Fields +
                           "\r\nab" + Next);
    CHECK(Received.starts_with("HTTP/1.1 400"));
    CHECK(Received.find("\"run\":\"not_run\"") != std::string::npos);
    CHECK(countResponses(Received) == 1);
    CHECK(Handled == 0);
  }
}

TEST_CASE("sound requests are served one after the other on one connection") {
  std::string Bodies;
  http_server Server{http_server_settings()};
  Server.routes().Post(
      "/", [&](const auto &Request, auto &) { Bodies += Request.body + ";"; });
  Server.start();
  const std::string Received = exchangeBytes(
      Server.port(),
      "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nab"
      "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
      "3\r\ncde\r\n0\r\n\r\n"
      "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\n"
      "Connection: close\r\n\r\nf");
  CHECK(countResponses(Received) == 3);
  CHECK(Bodies == "ab;cde;f;");
}

// Guards against a caller who sends without end.
TEST_CASE("a body without end is rejected") {
  std::atomic<int> Handled{0};
  http_server Server{http_server_settings()};
  Server.routes().Post("/", [&](const auto &, auto &) { ++Handled; });
  Server.start();
  const std::string Filler(64UL * 1024UL, 'x');
  for (const bool Chunked : {true, false}) {
    const endless_client Client(
        Server.port(),
        std::string("POST / HTTP/1.1\r\nHost: h\r\n") +
            (Chunked ? "Transfer-Encoding: chunked\r\n\r\n"
                     : "Content-Length: 99999999999\r\n\r\n"),
        Chunked ? encodeChunk(Filler) : Filler);
    CHECK(Client.Sent < endless_client::MaxBytes);
    CHECK(Client.Received.starts_with("HTTP/1.1 413"));
    CHECK(Client.Received.find("\"run\":\"not_run\"") != std::string::npos);
  }
  CHECK(Handled == 0);
}

TEST_CASE(
    "a head that is too large or never ends is rejected with its reason") {
  http_server_settings Settings;
  Settings.HeadTime = std::chrono::milliseconds(200);
  http_server Server(Settings);
  Server.start();
  const std::string Large = exchangeBytes(
      Server.port(), "GET / HTTP/1.1\r\nX-A: " + std::string(1'000'000, 'a'));
  CHECK(Large.starts_with("HTTP/1.1 431"));
  const std::string Exact =
      exchangeBytes(Server.port(), "GET / HTTP/1.1\r\nX-A: " +
                                       std::string(Settings.MaxHeadBytes, 'a'));
  CHECK(Exact.starts_with("HTTP/1.1 431"));
  CHECK(Exact.find(std::to_string(Settings.MaxHeadBytes)) != std::string::npos);
  const std::string Slow = exchangeBytes(Server.port(), "GET / HTTP/1.1\r\n");
  CHECK(Slow.starts_with("HTTP/1.1 408"));
}
