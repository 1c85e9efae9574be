#include "history/history_link.h"

#include "log/log.h"
#include "net/address.h"

#include <algorithm>
#include <stdexcept>

namespace lentilhoist {

namespace {

/// A reply takes one round trip between failure domains and one disk sync,
/// about 20 ms. The timeout is far above this, and below the time that a caller
/// waits for a first event.
constexpr milliseconds InitialResponseTimeout{500};
constexpr milliseconds MaxResponseTimeout{4'000};
/// Wait for data, with requests outstanding, after which a replica is
/// suspected: twenty times the usual response time, and a quarter of a caller's
/// latency objective.
constexpr milliseconds SuspicionTimeout{250};
/// Delay before a reconnect. A restarted process accepts connections again
/// after about 300 ms.
constexpr milliseconds ReconnectDelay{100};

} // namespace

history_link::history_link(asio::io_context &GivenLoop,
                           std::string GivenAddress)
    : Loop(GivenLoop), Address(std::move(GivenAddress)),
      ReconnectTimer(GivenLoop), ResponseTimer(GivenLoop),
      ResponseTimeout(InitialResponseTimeout) {}

void history_link::write(const shared_frame &Frame) {
  for (const shared_bytes &Piece : Frame.Pieces)
    Stream->write(Piece);
}

std::uint64_t
history_link::sendShared(const std::shared_ptr<replica_request> &Request,
                         on_reply OnReply) {
  const std::uint64_t Sequence = ++LastSequence;
  Request->Sequence = Sequence;
  const shared_frame Frame = encodeShared(Request);
  if (!fitsFrame(Frame.Bytes)) {
    logEvent(log_level::Error, "request_too_large",
             {{"address", Address}, {"bytes", std::to_string(Frame.Bytes)}});
    failUnsendable(Sequence, std::move(OnReply));
    return Sequence;
  }
  const bool WasIdle = Outstanding.empty();
  if (UnansweredSince.Steady.count() == 0)
    UnansweredSince = readClock();
  OutstandingBytes += Frame.Bytes;
  Outstanding[Sequence] = {Frame, std::move(OnReply)};
  while (OutstandingBytes > MaxOutstandingBytes && Outstanding.size() > 1)
    removeRequest(Outstanding.begin());
  if (!Stream)
    connect();
  else if (Stream->connected())
    write(Frame);
  if (WasIdle) {
    ReceivedSinceCheck = false;
    scheduleResponseCheck();
  }
  return Sequence;
}

void history_link::failUnsendable(std::uint64_t Sequence, on_reply OnReply) {
  Unsendable[Sequence] = std::move(OnReply);
  asio::post(Loop, [Weak = weak_from_this(), Sequence] {
    const auto Self = Weak.lock();
    if (!Self)
      return;
    const auto Handler = Self->Unsendable.extract(Sequence);
    if (Handler.empty())
      return;
    replica_reply Reply;
    Reply.Sequence = Sequence;
    Reply.Status = replica_status::Unreadable;
    Handler.mapped()(std::move(Reply));
  });
}

void history_link::cancel(std::uint64_t Sequence) {
  Unsendable.erase(Sequence);
  if (const auto Found = Outstanding.find(Sequence); Found != Outstanding.end())
    removeRequest(Found);
}

void history_link::removeRequest(
    std::map<std::uint64_t, pending_request>::iterator Request) {
  OutstandingBytes -= Request->second.Frame.Bytes;
  Outstanding.erase(Request);
}

void history_link::connect() {
  if (Closed)
    return;
  const auto Target = parseAddress(Address);
  if (!Target) {
    logEvent(log_level::Error, "replica_address_malformed",
             {{"address", Address}});
    return;
  }
  Frames = frame_reader(oversized_frame::Cut);
  Stream = std::make_shared<tcp_stream>(asio::ip::tcp::socket(Loop),
                                        socket_settings{});
  const std::weak_ptr<history_link> Weak = shared_from_this();
  tcp_stream::handlers Handlers;
  Handlers.OnConnected = [Weak] {
    const auto Self = Weak.lock();
    if (!Self)
      return;
    if (!Self->WasConnected)
      logEvent(log_level::Info, "replica_connected",
               {{"address", Self->Address}});
    Self->WasConnected = true;
    // All requests were cancelled before they could be sent.
    if (Self->Outstanding.empty())
      Self->UnansweredSince = {};
    for (const auto &[Sequence, Pending] : Self->Outstanding)
      Self->write(Pending.Frame);
  };
  Handlers.OnBytes = [Weak](std::string_view Bytes) {
    if (const auto Self = Weak.lock())
      Self->onBytes(Bytes);
  };
  Handlers.OnEnd = [Weak](stream_end End) {
    if (const auto Self = Weak.lock())
      Self->handleConnectionLoss(streamEndName(End));
  };
  Stream->setHandlers(std::move(Handlers));
  Stream->connect(*Target);
}

void history_link::handleConnectionLoss(const char *Reason) {
  if (WasConnected)
    logEvent(log_level::Warning, "replica_connection_lost",
             {{"address", Address},
              {"reason", Reason},
              {"outstanding", std::to_string(Outstanding.size())}});
  WasConnected = false;
  if (Stream)
    Stream->close();
  scheduleReconnect();
}

void history_link::scheduleReconnect() {
  ReconnectTimer.expires_after(ReconnectDelay);
  ReconnectTimer.async_wait(
      [Weak = weak_from_this()](const asio::error_code &Error) {
        const auto Self = Weak.lock();
        if (Self && !Error)
          Self->connect();
      });
}

void history_link::onBytes(std::string_view Bytes) {
  ReceivedSinceCheck = true;
  UnansweredSince = {};
  ResponseTimeout = InitialResponseTimeout;
  Frames.add(Bytes);
  try {
    while (auto Frame = Frames.next()) {
      onFrame(std::move(*Frame));
      if (Closed)
        return;
    }
  } catch (const std::runtime_error &Error) {
    handleConnectionLoss(Error.what());
  }
  if (!Outstanding.empty())
    UnansweredSince = readClock();
}

void history_link::onFrame(std::string Frame) {
  replica_reply Reply;
  try {
    Reply = decodeReplicaReply(Frame);
  } catch (const std::runtime_error &Error) {
    // Sent again, its request would get the same reply and hold up the others.
    const auto Sequence = sequenceOf(Frame);
    if (!Sequence)
      throw;
    logEvent(log_level::Warning, "replica_reply_unreadable",
             {{"address", Address}, {"reason", Error.what()}});
    Reply = {};
    Reply.Sequence = *Sequence;
    Reply.Status = replica_status::Unreadable;
  }
  std::string().swap(Frame); // The reply has copies of its texts.
  const auto Found = Outstanding.find(Reply.Sequence);
  if (Found == Outstanding.end())
    return;
  const on_reply OnReply = std::move(Found->second.OnReply);
  removeRequest(Found);
  OnReply(std::move(Reply));
}

bool history_link::isSuspected(instant Now) {
  const bool Waiting = UnansweredSince.Steady.count() != 0;
  if (!Waiting || Now.Steady - UnansweredSince.Steady < SuspicionTimeout)
    return false;
  if (!Outstanding.contains(ProbeSequence))
    ProbeSequence = send({}, [](const replica_reply &) {});
  return true;
}

void history_link::scheduleResponseCheck() {
  ResponseTimer.expires_after(ResponseTimeout);
  ResponseTimer.async_wait(
      [Weak = weak_from_this()](const asio::error_code &Error) {
        const auto Self = Weak.lock();
        if (!Self || Error || Self->Closed || Self->Outstanding.empty())
          return;
        // A connection attempt has a timeout of its own in tcp_stream.
        if (!Self->ReceivedSinceCheck && Self->connected()) {
          Self->ResponseTimeout =
              std::min(Self->ResponseTimeout * 2, MaxResponseTimeout);
          Self->handleConnectionLoss("silent");
        }
        Self->ReceivedSinceCheck = false;
        Self->scheduleResponseCheck();
      });
}

void history_link::close() {
  Closed = true;
  Outstanding.clear();
  Unsendable.clear();
  ReconnectTimer.cancel();
  ResponseTimer.cancel();
  if (Stream)
    Stream->close();
}

} // namespace lentilhoist
