#include "history/replica_server.h"

#include "core/instant.h"
#include "log/log.h"

#include <algorithm>
#include <asio/post.hpp>
#include <stdexcept>

namespace lentilhoist {

namespace {

/// Requests from this size on are charged. Smaller ones, which are most, are
/// received within a few reads.
constexpr std::size_t LargeRequestBytes = 64UL * 1024UL;
/// A connection that sends nothing of a large request for so long gives way to
/// those that wait. Its instance sends the request again.
constexpr milliseconds StallTime{500};
/// Replies with records: a batch of 512 KiB and the record that completes it.
constexpr std::size_t BatchReplyBytes = 1024UL * 1024UL;
/// Replies to older builds, which do not limit the texts that they read.
constexpr std::size_t UnlimitedReplyBytes = 2UL * 1024UL * 1024UL;

/// \returns the size of the texts in a reply, as far as it is known before; 0
/// for replies that are small.
std::size_t expectedTextBytes(const replica_request &Request) {
  switch (Request.Operation) {
  case replica_operation::Texts:
    return std::min<std::uint64_t>(requestedBytes(Request), MaxTextReplyBytes);
  case replica_operation::Read:
    return Request.TextLimit == 0 ? UnlimitedReplyBytes : 0;
  case replica_operation::Copy:
  case replica_operation::Fetch:
    return BatchReplyBytes;
  default:
    return 0;
  }
}

} // namespace

/// A connection from another instance.
struct replica_server::peer {
  /// A reply whose bytes are not all with the system yet.
  struct unsent_reply {
    std::uint64_t End; ///< Bytes written before and with it.
    byte_charge Charge;
  };

  std::shared_ptr<tcp_stream> Stream;
  frame_reader Frames{oversized_frame::Cut};
  byte_charge NextCharge; ///< For the large request that is being received.
  instant ReceivedAt{};
  std::uint64_t WrittenBytes = 0;
  std::deque<unsent_reply> Unsent;

  /// Sends a reply, or that the request is refused if the reply has become
  /// larger than the peer reads.
  void reply(replica_reply Reply, byte_charge Charge) {
    // A relay's own link could not read it.
    if (Reply.Status == replica_status::Unreadable)
      Reply = refusal(Reply.Sequence);
    const std::uint64_t Sequence = Reply.Sequence;
    shared_frame Frame =
        encodeShared(std::make_shared<const replica_reply>(std::move(Reply)));
    if (!fitsFrame(Frame.Bytes)) {
      logEvent(log_level::Error, "reply_too_large",
               {{"bytes", std::to_string(Frame.Bytes)}});
      Frame = encodeShared(
          std::make_shared<const replica_reply>(refusal(Sequence)));
    }
    WrittenBytes += Frame.Bytes;
    for (shared_bytes &Piece : Frame.Pieces)
      Stream->write(std::move(Piece));
    if (Charge)
      Unsent.push_back({WrittenBytes, std::move(Charge)});
    releaseSent();
  }

  void releaseSent() {
    const std::uint64_t Sent = WrittenBytes - Stream->pendingBytes();
    while (!Unsent.empty() && Unsent.front().End <= Sent)
      Unsent.pop_front();
  }

  static replica_reply refusal(std::uint64_t Sequence) {
    replica_reply Refusal;
    Refusal.Sequence = Sequence;
    Refusal.Status = replica_status::Refused;
    return Refusal;
  }
};

replica_server::replica_server(asio::io_context &GivenLoop,
                               const asio::ip::tcp::endpoint &Address,
                               const server_limits &Limits,
                               handler GivenHandler)
    : Loop(GivenLoop), Handler(std::move(GivenHandler)), StallTimer(GivenLoop),
      Listener(Loop, Address, "replica", [this](asio::ip::tcp::socket Socket) {
        addPeer(std::move(Socket));
      }) {
  Requests->Limit = Limits.Requests;
  Replies->Limit = Limits.Replies;
  for (const auto &Budget : {Requests, Replies})
    Budget->OnReleased = [this] { scheduleResume(); };
}

replica_server::~replica_server() {
  // Handlers may hold charges for longer than the server lives.
  for (const auto &Budget : {Requests, Replies})
    Budget->OnReleased = nullptr;
}

void replica_server::addPeer(asio::ip::tcp::socket Socket) {
  const auto Peer = std::make_shared<peer>();
  Peer->Stream =
      std::make_shared<tcp_stream>(std::move(Socket), socket_settings{});
  tcp_stream::handlers Handlers;
  const std::weak_ptr<peer> Weak = Peer;
  Handlers.OnBytes = [this, Weak](std::string_view Bytes) {
    if (const auto Self = Weak.lock())
      onBytes(Self, Bytes);
  };
  Handlers.OnDrained = [Weak] {
    if (const auto Self = Weak.lock())
      Self->releaseSent();
  };
  Handlers.OnEnd = [this, Weak](stream_end) { removePeer(Weak.lock()); };
  Peers.insert(Peer);
  Peer->Stream->setHandlers(std::move(Handlers));
  Peer->Stream->start();
}

void replica_server::removePeer(const peer_ptr &Peer) {
  if (!Peer)
    return;
  Peer->Stream->close();
  Peer->NextCharge = {};
  Peer->Unsent.clear();
  Peers.erase(Peer);
}

void replica_server::onBytes(const peer_ptr &Peer, std::string_view Bytes) {
  Peer->ReceivedAt = readClock();
  Peer->Frames.add(Bytes);
  try {
    while (auto Frame = Peer->Frames.next())
      onFrame(Peer, std::move(*Frame));
  } catch (const std::runtime_error &Error) {
    logEvent(log_level::Warning, "peer_message_unreadable",
             {{"reason", Error.what()}});
    removePeer(Peer);
    return;
  }
  chargeNext(Peer);
}

/// Charges the large request that has begun to arrive, or lets it wait.
void replica_server::chargeNext(const peer_ptr &Peer) {
  const std::size_t Bytes = Peer->Frames.announced();
  if (Bytes < LargeRequestBytes || Peer->NextCharge)
    return;
  if (WaitingPeers.empty() && hasRoom(*Requests, Bytes)) {
    Peer->NextCharge = byte_charge(Requests, Bytes);
    return;
  }
  Peer->Stream->pauseReading(true);
  WaitingPeers.push_back(Peer);
  scheduleStallCheck();
}

void replica_server::onFrame(const peer_ptr &Peer, std::string Frame) {
  byte_charge Charge = std::move(Peer->NextCharge);
  replica_request Request;
  try {
    Request = decodeReplicaRequest(Frame);
  } catch (const std::runtime_error &Error) {
    // The peer would send it again on a new connection, with all that it has
    // not been answered yet.
    const auto Sequence = sequenceOf(Frame);
    if (!Sequence)
      throw;
    logEvent(log_level::Warning, "peer_message_refused",
             {{"reason", Error.what()}});
    Peer->reply(peer::refusal(*Sequence), {});
    return;
  }
  std::string().swap(Frame); // The request has copies of its texts.
  const std::size_t TextBytes = expectedTextBytes(Request);
  if (TextBytes != 0 &&
      (!WaitingReads.empty() || !hasRoom(*Replies, TextBytes)))
    WaitingReads.push_back({Peer, std::move(Request)});
  else
    handle(Peer, std::move(Request), std::move(Charge));
}

void replica_server::handle(const peer_ptr &Peer, replica_request Request,
                            byte_charge RequestCharge) {
  /// Released with the handler that holds them, if it never replies.
  struct charges {
    byte_charge Request;
    byte_charge Reply;
  };
  const auto Charges = std::make_shared<charges>();
  Charges->Request = std::move(RequestCharge);
  if (const std::size_t Bytes = expectedTextBytes(Request); Bytes != 0)
    Charges->Reply = byte_charge(Replies, Bytes);
  Handler(std::move(Request),
          [Weak = std::weak_ptr<peer>(Peer), Charges](replica_reply Reply) {
            Charges->Request = {};
            byte_charge ReplyCharge = std::move(Charges->Reply);
            if (const auto Self = Weak.lock())
              Self->reply(std::move(Reply), std::move(ReplyCharge));
          });
}

/// Posted rather than called: a charge may be released anywhere.
void replica_server::scheduleResume() {
  if (ResumeScheduled || waiting() == 0)
    return;
  ResumeScheduled = true;
  asio::post(Loop, [this, Alive = std::weak_ptr<byte_budget>(Requests)] {
    // Without a callback, only charges of handlers are left of the budget.
    const auto Budget = Alive.lock();
    if (!Budget || !Budget->OnReleased)
      return;
    ResumeScheduled = false;
    resume();
  });
}

void replica_server::resume() {
  while (!WaitingPeers.empty()) {
    const auto Peer = WaitingPeers.front().lock();
    if (Peer && !Peer->Stream->closed()) {
      const std::size_t Bytes = Peer->Frames.announced();
      if (!hasRoom(*Requests, Bytes))
        break;
      Peer->NextCharge = byte_charge(Requests, Bytes);
      Peer->ReceivedAt = readClock(); // It was this process that let it wait.
      Peer->Stream->pauseReading(false);
    }
    WaitingPeers.pop_front();
  }
  while (!WaitingReads.empty()) {
    if (!hasRoom(*Replies, expectedTextBytes(WaitingReads.front().Request)))
      return;
    waiting_read Read = std::move(WaitingReads.front());
    WaitingReads.pop_front();
    if (const auto Peer = Read.Peer.lock())
      handle(Peer, std::move(Read.Request), {});
  }
}

void replica_server::scheduleStallCheck() {
  if (StallCheckScheduled)
    return;
  StallCheckScheduled = true;
  StallTimer.expires_after(StallTime);
  StallTimer.async_wait([this](const asio::error_code &Error) {
    if (Error)
      return;
    StallCheckScheduled = false;
    dropStalled();
    if (!WaitingPeers.empty())
      scheduleStallCheck();
  });
}

void replica_server::dropStalled() {
  if (WaitingPeers.empty())
    return;
  const instant Now = readClock();
  std::vector<peer_ptr> Stalled;
  std::copy_if(Peers.begin(), Peers.end(), std::back_inserter(Stalled),
               [&](const peer_ptr &Peer) {
                 return Peer->NextCharge &&
                        Now.Steady - Peer->ReceivedAt.Steady >= StallTime;
               });
  for (const peer_ptr &Peer : Stalled) {
    logEvent(log_level::Warning, "peer_request_stalled",
             {{"bytes", std::to_string(Peer->Frames.announced())},
              {"waiting", std::to_string(WaitingPeers.size())}});
    removePeer(Peer);
  }
}

} // namespace lentilhoist
