#pragma once

#include "history/replica_message.h"
#include "net/frame.h"
#include "net/tcp_stream.h"

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <functional>
#include <memory>
#include <set>

namespace lentilhoist {

/// Accepts connections of other instances and answers their requests for the
/// history, in whichever order the answers come.
class replica_server {
public:
  using on_reply = std::function<void(const replica_reply &)>;
  /// Handles a request; the answer may be given at once or later.
  using handler = std::function<void(replica_request, on_reply)>;

  /// \param Loop the event loop.
  /// \param Address where to listen.
  /// \param Handler handles the requests.
  /// \throws std::system_error if the address can't be used.
  replica_server(asio::io_context &Loop, const asio::ip::tcp::endpoint &Address,
                 handler Handler);

private:
  struct peer;

  void accept();
  void onBytes(const std::shared_ptr<peer> &Peer, std::string_view Bytes);

  asio::ip::tcp::acceptor Acceptor;
  handler Handler;
  std::set<std::shared_ptr<peer>> Peers;
};

} // namespace lentilhoist
