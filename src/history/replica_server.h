#pragma once

#include "admission/byte_budget.h"
#include "history/replica_message.h"
#include "net/frame.h"
#include "net/listener.h"
#include "net/tcp_stream.h"

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>
#include <deque>
#include <functional>
#include <memory>
#include <set>

namespace lentilhoist {

/// Memory for the messages of other instances, in bytes; 0: no limit. One
/// message may exceed its limit if there is no other.
struct server_limits {
  /// Large requests, from their first bytes until they are answered.
  std::size_t Requests = 0;
  /// Replies with texts of turns, from the request on until they are sent.
  std::size_t Replies = 0;
};

/// Accepts connections from other instances and answers their history requests.
/// Replies are sent in the order in which they become available.
///
/// A large request is charged whole before it is read. Connections whose next
/// request has no room are not read, and go on in the order in which they began
/// to wait. Requests for texts wait, in their order, for earlier replies to be
/// sent; all other requests pass them.
class replica_server {
public:
  using on_reply = std::function<void(replica_reply)>;
  /// Handles a request. The reply may be passed on before or after the call
  /// returns.
  using handler = std::function<void(replica_request, on_reply)>;

  /// \param Loop the event loop.
  /// \param Address local address to listen on.
  /// \param Limits memory for messages.
  /// \param Handler handles the requests; called on the event loop.
  /// \throws std::system_error if listening on the address fails.
  replica_server(asio::io_context &Loop, const asio::ip::tcp::endpoint &Address,
                 const server_limits &Limits, handler Handler);
  ~replica_server();
  replica_server(const replica_server &) = delete;
  replica_server &operator=(const replica_server &) = delete;

  /// \returns bytes charged for large requests.
  std::size_t requestBytes() const { return Requests->Held; }
  /// \returns bytes charged for replies with texts.
  std::size_t replyBytes() const { return Replies->Held; }
  /// \returns connections and requests that wait for memory.
  std::size_t waiting() const {
    return WaitingPeers.size() + WaitingReads.size();
  }

private:
  struct peer;
  using peer_ptr = std::shared_ptr<peer>;
  /// A request for texts that waits.
  struct waiting_read {
    std::weak_ptr<peer> Peer;
    replica_request Request;
  };

  void addPeer(asio::ip::tcp::socket Socket);
  void removePeer(const peer_ptr &Peer);
  void onBytes(const peer_ptr &Peer, std::string_view Bytes);
  void onFrame(const peer_ptr &Peer, std::string Frame);
  void chargeNext(const peer_ptr &Peer);
  void handle(const peer_ptr &Peer, replica_request Request,
              byte_charge RequestCharge);
  void scheduleResume();
  void resume();
  void scheduleStallCheck();
  void dropStalled();

  asio::io_context &Loop;
  handler Handler;
  std::shared_ptr<byte_budget> Requests = std::make_shared<byte_budget>();
  std::shared_ptr<byte_budget> Replies = std::make_shared<byte_budget>();
  std::deque<std::weak_ptr<peer>> WaitingPeers;
  std::deque<waiting_read> WaitingReads;
  bool ResumeScheduled = false;
  asio::steady_timer StallTimer;
  bool StallCheckScheduled = false;
  std::set<peer_ptr> Peers;
  listener Listener;
};

} // namespace lentilhoist
