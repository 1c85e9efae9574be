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

/// A persistent connection to one replica or relay. Requests are pipelined. A
/// broken or unresponsive connection is replaced, and unanswered requests are
/// sent again on the new one; this is safe as all operations are idempotent.
class history_link : public std::enable_shared_from_this<history_link> {
public:
  using on_reply = std::function<void(replica_reply)>;

  /// \param Loop the event loop.
  /// \param Address address of the peer as IP:PORT.
  history_link(asio::io_context &Loop, std::string Address);

  /// Sends a request.
  /// \param Request the request; its sequence number is assigned here.
  /// \param OnReply called at most once, and not after cancel() or close(). It
  /// is not called if the request is dropped to limit memory. The status is
  /// Unreadable if the request exceeds a frame or its reply can't be read; such
  /// a request is not sent again.
  /// \returns the sequence number, for cancel().
  std::uint64_t send(replica_request Request, on_reply OnReply) {
    return sendShared(std::make_shared<replica_request>(std::move(Request)),
                      std::move(OnReply));
  }

  /// Like send(), without a copy of the request's large texts: those must not
  /// change any more.
  /// \param Request the request, which several links may send.
  std::uint64_t sendShared(const std::shared_ptr<replica_request> &Request,
                           on_reply OnReply);

  /// Drops a request; its reply is ignored.
  /// \param Sequence the sequence number that send() returned.
  void cancel(std::uint64_t Sequence);

  /// Connects without waiting for the first request.
  void open() {
    if (!Stream)
      connect();
  }

  /// Closes the connection permanently and drops all requests.
  void close();

  const std::string &address() const { return Address; }
  /// \returns whether the connection is established.
  bool connected() const { return Stream && Stream->connected(); }
  std::size_t outstanding() const { return Outstanding.size(); }

  /// Detects an unresponsive replica, and then sends a probe whose reply shows
  /// that it responds again.
  /// \param Now the current time.
  /// \returns whether requests are outstanding and nothing has been received
  /// for the suspicion timeout.
  bool isSuspected(instant Now);

private:
  /// A request that has not been answered yet.
  struct pending_request {
    shared_frame Frame;
    on_reply OnReply;
  };

  /// Limit on the memory of unanswered requests; the oldest are dropped beyond
  /// it. Dropping is safe, as other replicas hold the same records.
  static constexpr std::size_t MaxOutstandingBytes = 4UL * 1024UL * 1024UL;

  void connect();
  void write(const shared_frame &Frame);
  void
  removeRequest(std::map<std::uint64_t, pending_request>::iterator Request);
  void scheduleReconnect();
  void onBytes(std::string_view Bytes);
  void onFrame(std::string Frame);
  void failUnsendable(std::uint64_t Sequence, on_reply OnReply);
  void scheduleResponseCheck();
  void handleConnectionLoss(const char *Reason);

  asio::io_context &Loop;
  std::string Address;
  std::shared_ptr<tcp_stream> Stream;
  frame_reader Frames{oversized_frame::Cut};
  asio::steady_timer ReconnectTimer;
  asio::steady_timer ResponseTimer;
  std::map<std::uint64_t, pending_request> Outstanding;
  /// Requests that exceed a frame, until their handlers are called.
  std::map<std::uint64_t, on_reply> Unsendable;
  std::size_t OutstandingBytes = 0;
  std::uint64_t LastSequence = 0;
  /// Doubles while new connections receive nothing, so that requests are not
  /// sent again and again to an overloaded replica.
  std::chrono::milliseconds ResponseTimeout;
  bool ReceivedSinceCheck = false;
  std::uint64_t ProbeSequence = 0; ///< Of the last probe.
  /// Start of the current wait for data from the replica; zero if there is
  /// none. A wait goes on when its requests are cancelled: most are, once other
  /// replicas have answered, and silence still counts against this one.
  instant UnansweredSince{};
  bool WasConnected = false;
  bool Closed = false;
};

} // namespace lentilhoist
