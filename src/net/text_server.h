#pragma once

#include "core/instant.h"
#include "net/http_reader.h"
#include "net/listener.h"
#include "net/tcp_stream.h"

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <string>

namespace lentilhoist {

/// A small answer of a text_server.
struct text_answer {
  int Status = 200;
  std::string Body;
};

/// Connections of a text_server that are open at a time. The platform and a
/// few operators use some each.
inline constexpr std::size_t MaxTextConnections = 32;

/// Serves short texts over HTTP on the event loop: readiness and metrics. With
/// too many connections the oldest one is closed, so that a new one is always
/// served.
class text_server {
public:
  using handler = std::function<text_answer(const http_request_head &)>;

  /// \param Loop the event loop.
  /// \param Address where to listen.
  /// \param Handler makes the answers.
  /// \throws std::system_error if the address can't be used.
  text_server(asio::io_context &Loop, const asio::ip::tcp::endpoint &Address,
              handler Handler);

private:
  void add(asio::io_context &Loop, asio::ip::tcp::socket Socket);

  std::shared_ptr<handler> Handler; ///< Connections may outlive the server.
  /// Open connections, oldest first; some have ended.
  std::deque<std::weak_ptr<tcp_stream>> Streams;
  std::uint64_t ClosedForOthers = 0; ///< Since the start.
  instant LastLine{};                ///< Of connections closed for others.
  listener Listener;
};

} // namespace lentilhoist
