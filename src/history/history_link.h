#pragma once

#include "core/instant.h"
#include "history/replica_message.h"
#include "net/frame.h"
#include "net/tcp_stream.h"

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <functional>
#include <map>
#include <memory>
#include <string>

namespace lentilhoist {

/// A lasting connection to one replica. Requests are pipelined; those that are
/// not answered are sent again when a broken or silent connection has been
/// replaced, which is harmless as all operations may be repeated.
class history_link : public std::enable_shared_from_this<history_link> {
public:
  using on_reply = std::function<void(replica_reply)>;

  /// \param Loop the event loop.
  /// \param Address the replica as IP:PORT.
  history_link(asio::io_context &Loop, std::string Address);

  /// Sends a request.
  /// \param Request the request; its sequence is set here.
  /// \param OnReply called at most once, not after cancel() or close().
  /// \returns a handle for cancel().
  std::uint64_t send(replica_request Request, on_reply OnReply);

  /// Forgets a request.
  /// \param Sequence the handle.
  void cancel(std::uint64_t Sequence);

  /// Connects before there is a request.
  void open() {
    if (!Stream)
      connect();
  }

  /// Ends the connection for good.
  void close();

  const std::string &address() const { return Address; }
  /// \returns whether the connection stands.
  bool connected() const { return Stream && Stream->connected(); }
  std::size_t outstanding() const { return Outstanding.size(); }

  /// \param Now the present time.
  /// \returns whether the replica has left a request unanswered for longer
  /// than it usually takes. A probe then finds out when it is back.
  bool isSuspected(instant Now);

private:
  /// A request that is not answered yet.
  struct pending_request {
    std::string Frame;
    on_reply OnReply;
  };

  /// Memory for requests that wait for a replica that does not answer; the
  /// oldest are dropped beyond it. They are copies that other replicas hold.
  static constexpr std::size_t MaxOutstandingBytes = 4UL * 1024UL * 1024UL;

  void connect();
  void
  removeRequest(std::map<std::uint64_t, pending_request>::iterator Request);
  void scheduleReconnect();
  void onBytes(std::string_view Bytes);
  void scheduleResponseCheck();
  void handleConnectionLoss(const char *Reason);

  asio::io_context &Loop;
  std::string Address;
  std::shared_ptr<tcp_stream> Stream;
  frame_reader Frames;
  asio::steady_timer ReconnectTimer;
  asio::steady_timer ResponseTimer;
  std::map<std::uint64_t, pending_request> Outstanding;
  std::size_t OutstandingBytes = 0;
  std::uint64_t LastSequence = 0;
  /// Doubles while new connections stay silent, so that an overloaded replica
  /// is not asked the same over and over.
  std::chrono::milliseconds ResponseTimeout;
  bool ReceivedSinceCheck = false;
  bool Probing = false;
  /// Since when requests wait without a sign of the replica; zero if none do.
  instant UnansweredSince{};
  bool WasConnected = false;
  bool Closed = false;
};

} // namespace lentilhoist
