#pragma once

#include "net/http_reader.h"
#include "net/listener.h"
#include "net/tcp_stream.h"

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <functional>
#include <memory>
#include <string>

namespace lentilhoist {

/// A small answer of a text_server.
struct text_answer {
  int Status = 200;
  std::string Body;
};

/// Serves short texts over HTTP on the event loop: readiness and metrics.
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
  std::shared_ptr<handler> Handler; ///< Connections may outlive the server.
  listener Listener;
};

} // namespace lentilhoist
