#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include "child_process.h"
#include "client_crowd.h"
#include "core/instant.h"
#include "free_ports.h"
#include "net/http_reader.h"
#include "net/listener.h"
#include "net/tcp_stream.h"
#include "platform/machine_settings.h"
#include "platform/store_protocol.h"
#include "watched_store.h"

#include <asio/io_context.hpp>
#include <doctest/doctest.h>
#include <filesystem>
#include <fmt/format.h>
#include <fstream>
#include <list>
#include <thread>

using namespace lentilhoist;

// Guards against clients that make an entry instance exceed the memory or the
// descriptors of its machine (docs/design/overview.md, part 3). The crowds and
// the bounds below were fixed before the product was changed.

namespace {

constexpr std::size_t Megabyte = 1024UL * 1024UL;
/// memory-mb and max-fds in the settings of the process under test.
constexpr std::size_t MemoryMegabytes = 48;
constexpr std::size_t MaxDescriptors = 600;
/// Descriptors of these that the platform reserves for files.
constexpr std::size_t FileDescriptors = 200;
/// max-body-bytes in the configuration.
constexpr std::size_t MaxBodyBytes = Megabyte;
/// Clients of a crowd. Their bodies of legal size take twice the memory.
constexpr std::size_t CrowdSize = 96;
/// Bytes by which most clients stop before the end of their body.
constexpr std::size_t StopBefore = 10;
/// Of so many clients, one sends its body whole.
constexpr std::size_t WholeEvery = 12;

/// Bound of the resident memory. A sanitizer keeps shadow memory and metadata
/// beside each byte (thread: four to eight bytes) and adds its own runtime, so
/// that only growth by whole crowds shows there; address keeps freed memory in
/// a quarantine, which the test limits to QuarantineMegabytes.
#ifdef LENTILHOIST_SANITIZED
constexpr std::size_t MemoryBound = 8 * MemoryMegabytes * Megabyte;
#else
constexpr std::size_t MemoryBound = MemoryMegabytes * Megabyte;
#endif
constexpr int QuarantineMegabytes = 16;
constexpr std::size_t DescriptorBound = MaxDescriptors - FileDescriptors;

/// Responses of the runner by the target of the request.
constexpr std::string_view LargeTarget = "/work/large";
constexpr std::string_view EndlessTarget = "/stream/endless";
/// Below what the product buffers of the response of a plain service.
constexpr std::size_t LargeResponse = 128UL * 1024UL;

/// A runner on loopback that answers each request, in a thread of its own.
class answering_runner {
public:
  answering_runner()
      : Listener(Loop, {asio::ip::address_v4::loopback(), 0}, "runner",
                 [this](asio::ip::tcp::socket Socket) {
                   accept(std::move(Socket));
                 }),
        Thread([this] { Loop.run(); }) {}
  ~answering_runner() {
    Loop.stop();
    Thread.join();
  }
  answering_runner(const answering_runner &) = delete;
  answering_runner &operator=(const answering_runner &) = delete;

  std::string address() const {
    return "127.0.0.1:" + std::to_string(Listener.port());
  }

private:
  struct connection {
    std::shared_ptr<tcp_stream> Stream;
    http_reader Reader{http_message::Request};
    bool Endless = false; ///< Events are sent as long as they are taken.
  };

  void accept(asio::ip::tcp::socket Socket) {
    const auto Connection = std::make_shared<connection>();
    Connection->Stream =
        std::make_shared<tcp_stream>(std::move(Socket), socket_settings{});
    tcp_stream::handlers Handlers;
    Handlers.OnBytes =
        [Weak = std::weak_ptr<connection>(Connection)](std::string_view Bytes) {
          if (const auto Self = Weak.lock())
            answer(*Self, Bytes);
        };
    Handlers.OnDrained = [Weak = std::weak_ptr<connection>(Connection)] {
      const auto Self = Weak.lock();
      if (Self && Self->Endless)
        Self->Stream->write(
            encodeChunk("data: " + std::string(8'000, 'x') + "\n\n"));
    };
    Handlers.OnEnd = [this, Raw = Connection.get()](stream_end) {
      std::erase_if(Connections,
                    [Raw](const auto &Each) { return Each.get() == Raw; });
    };
    Connection->Stream->setHandlers(std::move(Handlers));
    Connections.push_back(Connection);
    Connection->Stream->start();
  }

  static void answer(connection &Connection, std::string_view Bytes) {
    while (!Bytes.empty()) {
      Bytes.remove_prefix(Connection.Reader.feed(Bytes));
      (void)Connection.Reader.takeBody();
      if (!Connection.Reader.complete())
        return;
      const http_request_head &Request = Connection.Reader.request();
      http_response_head Head{
          200,
          {{"X-Attempt-Id",
            std::string(fieldValue(Request.Fields, "X-Attempt-Id"))},
           {"X-Server-Seal", "1"}}};
      if (Request.Target == EndlessTarget) {
        Head.Fields.push_back({"Content-Type", "text/event-stream"});
        Connection.Endless = true;
        Connection.Stream->write(
            encodeResponseHead(Head, body_framing::Chunked, 0, false));
        return;
      }
      const std::string Text = Request.Target == LargeTarget
                                   ? std::string(LargeResponse, 'x')
                                   : std::string("ok");
      Connection.Stream->write(
          encodeResponseHead(Head, body_framing::Length, Text.size(), false) +
          Text);
      Connection.Reader.reset();
    }
  }

  asio::io_context Loop;
  listener Listener;
  std::list<std::shared_ptr<connection>> Connections;
  std::thread Thread;
};

/// The daemon under test with a store and a runner.
struct edge_under_test {
  edge_under_test() : Port(freePorts(5)) {
    Store.serve(
        platform::ConfigKind, "main",
        fmt::format(R"({{"version":1,"routes":[{{"name":"work","host":"h",)"
                    R"("path-prefix":"/work/","type":"idempotent",)"
                    R"("timeout-ms":5000,"service":"s","max-attempts":2}},)"
                    R"({{"name":"stream","host":"h",)"
                    R"("path-prefix":"/stream/","type":"streaming",)"
                    R"("timeout-ms":60000,"service":"s"}}],)"
                    R"("services":[{{"name":"s"}}],)"
                    R"("limits":{{"max-body-bytes":{}}}}})",
                    MaxBodyBytes));
    Store.serve(platform::RunnerKind, "r1",
                fmt::format(R"({{"service":"s","address":"{}","zone":"here",)"
                            R"("slots":512,"state":"ready","born":1}})",
                            Runner.address()));
    const auto Folder = std::filesystem::temp_directory_path();
    const std::string Base =
        (Folder / fmt::format("crowd-{}-{}", ::getpid(), Port)).string();
    SettingsPath = Base + ".json";
    LogPath = Base + ".log";
    std::ofstream(SettingsPath) << fmt::format(
        R"({{"node-name":"edge","zone":"here","ip":"127.0.0.1",)"
        R"("listen":{{"frontend":"127.0.0.1:{}","ready":"127.0.0.1:{}"}},)"
        R"("port-range":[{},{}],"platform":{{"address":"{}"}},)"
        R"("limits":{{"memory-mb":{},"max-fds":{}}}}})",
        Port, Port + 1, Port + 2, Port + 4, Store.address(), MemoryMegabytes,
        MaxDescriptors);
    Process = std::make_unique<child_process>(
        LENTILHOIST_EDGE,
        std::vector<std::string>{
            std::string(platform::SettingsVariable) + "=" + SettingsPath,
            fmt::format("ASAN_OPTIONS=quarantine_size_mb={}",
                        QuarantineMegabytes)},
        LogPath);
  }
  ~edge_under_test() {
    Process.reset();
    std::error_code Ignored;
    std::filesystem::remove(SettingsPath, Ignored);
    std::filesystem::remove(LogPath, Ignored);
  }

  /// \returns whether an ordinary request is served, asked again as clients do
  /// after a 503 or a closed connection.
  bool answers() const {
    constexpr int Attempts = 60;
    for (int Attempt = 0; Attempt < Attempts; ++Attempt) {
      const std::string Response = askOnce(
          Port, "POST /work/x HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: ordinary-" +
                    std::to_string(Attempt) +
                    "\r\nX-Deadline-Ms: 4000\r\nConnection: close\r\n"
                    "Content-Length: 5\r\n\r\nhello");
      if (Response.starts_with("HTTP/1.1 200"))
        return true;
      std::this_thread::sleep_for(milliseconds(250));
    }
    return false;
  }

  std::uint16_t Port;
  watched_store Store;
  answering_runner Runner;
  std::string SettingsPath;
  std::string LogPath;
  std::unique_ptr<child_process> Process;
};

/// \returns the head of a request of a crowd's client.
std::string requestHead(std::size_t Client, const std::string &Framing) {
  return fmt::format("POST /work/x HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: "
                     "crowd-{}\r\nX-Deadline-Ms: 30000\r\n{}\r\n\r\n",
                     Client, Framing);
}

/// \returns a body of chunks of one size, with its end.
std::string chunkedBody(std::size_t Bytes, std::size_t ChunkBytes) {
  const std::string Chunk = fmt::format("{:x}\r\n", ChunkBytes) +
                            std::string(ChunkBytes, 'x') + "\r\n";
  std::string Body;
  for (std::size_t Done = 0; Done < Bytes; Done += ChunkBytes)
    Body += Chunk;
  return Body + "0\r\n\r\n";
}

/// \param Framing header field that delimits the body.
/// \param Body the body on the wire.
/// \param StopAt bytes of it that most clients send.
/// \param WholeAt bytes that each WholeEvery-th sends.
std::vector<client_script> makeScripts(const std::string &Framing,
                                       std::string_view Body,
                                       std::size_t StopAt,
                                       std::size_t WholeAt) {
  std::vector<client_script> Scripts;
  for (std::size_t Index = 0; Index < CrowdSize; ++Index)
    Scripts.push_back({requestHead(Index, Framing), Body,
                       Index % WholeEvery == 0 ? WholeAt : StopAt});
  return Scripts;
}

/// Waits until the daemon has read what the system holds for it: until it uses
/// hardly any processor time.
void awaitQuiet(const child_process &Process) {
  constexpr milliseconds Interval{500};
  constexpr long IdleTicks = 4;
  constexpr int MaxIntervals = 120;
  long Before = Process.processorTicks();
  for (int Index = 0; Index < MaxIntervals; ++Index) {
    std::this_thread::sleep_for(Interval);
    const long Now = Process.processorTicks();
    if (Now - Before <= IdleTicks)
      return;
    Before = Now;
  }
}

/// What a crowd does beside sending.
struct crowd_manner {
  crowd_reads Reads = crowd_reads::All;
  int TrickledBytes = 0;        ///< Afterwards, one byte in TrickleInterval.
  std::uint16_t PortOffset = 0; ///< From the port for clients.
};
constexpr milliseconds TrickleInterval{100};

/// Runs a crowd against the daemon and checks what doesn't depend on speed.
void checkCrowd(const std::vector<client_script> &Scripts,
                std::size_t PieceBytes, const crowd_manner &Manner = {}) {
  edge_under_test Edge;
  REQUIRE(Edge.answers());
  const std::size_t CalmMemory = Edge.Process->peakMemory();
  const std::size_t CalmDescriptors = Edge.Process->descriptors();
  {
    client_crowd Crowd(
        static_cast<std::uint16_t>(Edge.Port + Manner.PortOffset), Scripts,
        PieceBytes, Manner.Reads);
    Crowd.send(milliseconds(4'000), milliseconds(60'000));
    Crowd.trickle(TrickleInterval, Manner.TrickledBytes);
    awaitQuiet(*Edge.Process);
    const std::size_t Descriptors = Edge.Process->descriptors();
    CHECK(Edge.Process->alive());
    CHECK(Descriptors <= DescriptorBound);
    CHECK(Edge.answers());
    if (Manner.PortOffset != 0)
      CHECK(askOnce(static_cast<std::uint16_t>(Edge.Port + Manner.PortOffset),
                    "GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n")
                .starts_with("HTTP/1.1 "));
    MESSAGE("peak " << Edge.Process->peakMemory() / 1024 << " KiB, calm "
                    << CalmMemory / 1024 << " KiB, descriptors " << Descriptors
                    << ", calm " << CalmDescriptors << ", closed "
                    << Crowd.closed());
  }
  CHECK(Edge.answers());
  CHECK(Edge.Process->alive());
  CHECK(Edge.Process->peakMemory() <= MemoryBound);
  CHECK(Edge.Process->peakMemory() > 0);
}

/// Larger than any body here: a client sends as much as the system takes.
constexpr std::size_t Unlimited = 1024 * Megabyte;
constexpr std::size_t SmallPiece = 4'096;

std::string contentLength(std::size_t Bytes) {
  return "Content-Length: " + std::to_string(Bytes);
}

} // namespace

TEST_CASE("many large bodies that are sent whole stay within the memory") {
  const std::string Body(MaxBodyBytes, 'x');
  checkCrowd(makeScripts(contentLength(Body.size()), Body,
                         Body.size() - StopBefore, Body.size()),
             Unlimited);
}

TEST_CASE("many large bodies that are sent in pieces stay within the memory") {
  const std::string Body(MaxBodyBytes, 'x');
  checkCrowd(makeScripts(contentLength(Body.size()), Body,
                         Body.size() - StopBefore, Body.size()),
             SmallPiece);
}

TEST_CASE("many bodies in large chunks stay within the memory") {
  const std::string Body = chunkedBody(MaxBodyBytes, 65'536);
  checkCrowd(makeScripts("Transfer-Encoding: chunked", Body,
                         Body.size() - StopBefore, Body.size()),
             Unlimited);
}

TEST_CASE("many bodies in chunks of one byte stay within the memory") {
  const std::string Body = chunkedBody(MaxBodyBytes * 3 / 4, 1);
  checkCrowd(makeScripts("Transfer-Encoding: chunked", Body,
                         Body.size() - StopBefore, Body.size()),
             Unlimited);
}

TEST_CASE("many bodies that announce more than the limit stay within the "
          "memory") {
  const std::string Body(4 * MaxBodyBytes, 'x');
  checkCrowd(makeScripts(contentLength(64 * MaxBodyBytes), Body, Body.size(),
                         Body.size()),
             Unlimited);
}

TEST_CASE("many chunked bodies over the limit stay within the memory") {
  const std::string Body = chunkedBody(4 * MaxBodyBytes, 65'536);
  checkCrowd(makeScripts("Transfer-Encoding: chunked", Body,
                         Body.size() - StopBefore, Body.size()),
             SmallPiece);
}

TEST_CASE("many bodies that arrive byte by byte stay within the memory") {
  const std::string Body(MaxBodyBytes, 'x');
  checkCrowd(makeScripts(contentLength(Body.size()), Body, Body.size() * 3 / 4,
                         Body.size()),
             SmallPiece, {.TrickledBytes = 30});
}

// A field of four bytes takes up sixteen times as much in memory.
TEST_CASE("many heads of small fields that never end stay within the memory") {
  std::string Fields;
  while (Fields.size() < 16'000)
    Fields += "a:\r\n";
  std::vector<client_script> Scripts;
  for (std::size_t Index = 0; Index < 2 * CrowdSize; ++Index)
    Scripts.push_back(
        {"POST /work/x HTTP/1.1\r\nHost: h\r\n", Fields, Fields.size()});
  checkCrowd(Scripts, Unlimited);
}

TEST_CASE("many idle connections leave descriptors for others") {
  checkCrowd(std::vector<client_script>(450), Unlimited);
}

TEST_CASE("many clients that never read an endless stream stay within the "
          "memory") {
  std::vector<client_script> Scripts;
  for (std::size_t Index = 0; Index < 2 * CrowdSize; ++Index)
    Scripts.push_back(
        {fmt::format("GET {} HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: "
                     "crowd-{}\r\nX-Deadline-Ms: 60000\r\n\r\n",
                     EndlessTarget, Index),
         "", 0});
  checkCrowd(Scripts, Unlimited, {.Reads = crowd_reads::None});
}

TEST_CASE("many clients that send requests ahead and never read the responses "
          "stay within the memory") {
  std::string Requests;
  for (int Index = 0; Index < 200; ++Index)
    Requests += fmt::format("GET {} HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: "
                            "ahead-{}\r\nX-Deadline-Ms: 5000\r\n\r\n",
                            LargeTarget, Index);
  checkCrowd(
      std::vector<client_script>(CrowdSize, {"", Requests, Requests.size()}),
      Unlimited, {.Reads = crowd_reads::None});
}

TEST_CASE("many connections to the ports for readiness and metrics leave "
          "descriptors for others") {
  const std::vector<client_script> Scripts(450, {"GET /metrics", "", 0});
  SUBCASE("readiness") { checkCrowd(Scripts, Unlimited, {.PortOffset = 1}); }
  SUBCASE("metrics") { checkCrowd(Scripts, Unlimited, {.PortOffset = 2}); }
}
