#include "net/text_server.h"

#include "log/log.h"

#include <asio/steady_timer.hpp>

namespace lentilhoist {

namespace {

/// A connection is closed after this time whatever has been asked.
constexpr std::chrono::seconds ConnectionLife{30};
/// Least time between two log lines on connections closed for others.
constexpr std::chrono::seconds LineInterval{1};
constexpr std::size_t MaxHead = 8UL * 1024UL;

/// One connection; its handlers own it until it ends.
struct text_connection : std::enable_shared_from_this<text_connection> {
  text_connection(asio::io_context &Loop, std::shared_ptr<tcp_stream> Given,
                  std::shared_ptr<text_server::handler> GivenHandler)
      : Stream(std::move(Given)), Handler(std::move(GivenHandler)),
        Timer(Loop) {}

  void start() {
    tcp_stream::handlers Handlers;
    Handlers.OnBytes = [Self = shared_from_this()](std::string_view Bytes) {
      Self->onBytes(Bytes);
    };
    Stream->setHandlers(std::move(Handlers));
    Stream->start();
    Timer.expires_after(ConnectionLife);
    Timer.async_wait([Weak = weak_from_this()](const asio::error_code &Error) {
      const auto Self = Weak.lock();
      if (Self && !Error)
        Self->Stream->close();
    });
  }

  void onBytes(std::string_view Bytes) {
    while (!Bytes.empty()) {
      Bytes.remove_prefix(Reader.feed(Bytes));
      (void)Reader.takeBody(); // No request here carries one that matters.
      if (Reader.error() != http_read_error::None) {
        Stream->close();
        return;
      }
      if (!Reader.complete())
        return;
      const text_answer Answer = (*Handler)(Reader.request());
      const bool Close = !Reader.keepAlive();
      http_response_head Head{Answer.Status, {{"Content-Type", "text/plain"}}};
      Stream->write(encodeResponseHead(Head, body_framing::Length,
                                       Answer.Body.size(), Close) +
                    Answer.Body);
      if (Close) {
        Stream->finish();
        return;
      }
      Reader.reset();
    }
  }

  std::shared_ptr<tcp_stream> Stream;
  std::shared_ptr<text_server::handler> Handler;
  asio::steady_timer Timer;
  http_reader Reader{http_message::Request, MaxHead};
};

} // namespace

text_server::text_server(asio::io_context &Loop,
                         const asio::ip::tcp::endpoint &Address,
                         handler GivenHandler)
    : Handler(std::make_shared<handler>(std::move(GivenHandler))),
      Listener(Loop, Address, "texts",
               [this, &Loop](asio::ip::tcp::socket Socket) {
                 add(Loop, std::move(Socket));
               }) {}

void text_server::add(asio::io_context &Loop, asio::ip::tcp::socket Socket) {
  std::erase_if(Streams, [](const std::weak_ptr<tcp_stream> &Weak) {
    const auto Stream = Weak.lock();
    return !Stream || Stream->closed();
  });
  if (Streams.size() >= MaxTextConnections) {
    if (const auto Oldest = Streams.front().lock())
      Oldest->close();
    Streams.pop_front();
    ++ClosedForOthers;
    const instant Now = readClock();
    if (Now.Steady - LastLine.Steady >= LineInterval) {
      LastLine = Now;
      logEvent(log_level::Warning, "text_connections_closed",
               {{"port", std::to_string(Listener.port())},
                {"closed", std::to_string(ClosedForOthers)}});
    }
  }
  const auto Stream =
      std::make_shared<tcp_stream>(std::move(Socket), socket_settings{});
  Streams.push_back(Stream);
  std::make_shared<text_connection>(Loop, Stream, Handler)->start();
}

} // namespace lentilhoist
