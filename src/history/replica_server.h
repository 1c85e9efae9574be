#pragma once

#include "history/replica_message.h"
#include "net/frame.h"
#include "net/listener.h"
#include "net/tcp_stream.h"

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <functional>
#include <memory>
#include <set>

namespace lentilhoist {

/// Accepts connections from other instances and answers their history requests.
/// Replies are sent in the order in which they become available.
class replica_server {
public:
  using on_reply = std::function<void(const replica_reply &)>;
  /// Handles a request. The reply may be passed on before or after the call
  /// returns.
  using handler = std::function<void(replica_request, on_reply)>;

  /// \param Loop the event loop.
  /// \param Address local address to listen on.
  /// \param Handler handles the requests; called on the event loop.
  /// \throws std::system_error if listening on the address fails.
  replica_server(asio::io_context &Loop, const asio::ip::tcp::endpoint &Address,
                 handler Handler);

private:
  struct peer;

  void addPeer(asio::ip::tcp::socket Socket);
  void onBytes(const std::shared_ptr<peer> &Peer, std::string_view Bytes);
  void onFrame(const std::shared_ptr<peer> &Peer, const std::string &Frame);

  handler Handler;
  std::set<std::shared_ptr<peer>> Peers;
  listener Listener;
};

} // namespace lentilhoist
