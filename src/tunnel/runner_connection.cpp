#include "tunnel/runner_connection.h"

#include "core/hash.h"
#include "log/log.h"
#include "net/address.h"

#include <algorithm>
#include <stdexcept>

namespace lentilhoist {

namespace {

/// Longest time to open a tunnel: the relay and the runner each take at most
/// the time of one connection.
constexpr milliseconds OpenTimeout = 2 * socket_settings{}.ConnectTimeout;

} // namespace

runner_connection::runner_connection(asio::io_context &Loop,
                                     runner_target GivenTarget)
    : Target(std::move(GivenTarget)),
      Stream(std::make_shared<tcp_stream>(asio::ip::tcp::socket(Loop),
                                          RunnerSocketSettings)),
      OpenTimer(Loop) {}

void runner_connection::connect() {
  const std::weak_ptr<runner_connection> Weak = weak_from_this();
  tcp_stream::handlers Inner;
  Inner.OnConnected = [Weak] {
    const auto Self = Weak.lock();
    if (!Self)
      return;
    if (Self->relayed()) {
      tunnel_message Open;
      Open.Kind = tunnel_kind::Open;
      Open.Runner = Self->Target.Runner;
      Open.BornMs = Self->Target.BornMs;
      Self->Stream->write(encodeMessage(Open));
      return;
    }
    Self->Opened = true;
    if (const auto Keep = Self->Handlers; Keep->OnConnected)
      Keep->OnConnected();
  };
  Inner.OnBytes = [Weak](std::string_view Bytes) {
    const auto Self = Weak.lock();
    if (!Self)
      return;
    if (Self->relayed())
      Self->onRelayBytes(Bytes);
    else if (const auto Keep = Self->Handlers; Keep->OnBytes)
      Keep->OnBytes(Bytes);
  };
  Inner.OnDrained = [Weak] {
    const auto Self = Weak.lock();
    if (!Self || !Self->Opened)
      return;
    if (const auto Keep = Self->Handlers; Keep->OnDrained)
      Keep->OnDrained();
  };
  Inner.OnEnd = [Weak](stream_end End) {
    const auto Self = Weak.lock();
    if (!Self)
      return;
    if (Self->relayed())
      Self->onRelayBroke(); // The runner's end comes as a message.
    else
      Self->end(End);
  };
  Stream->setHandlers(std::move(Inner));
  // Addresses were validated when the registry and the pings were decoded.
  Stream->connect(*parseAddress(relayed() ? Target.Relay : Target.Address));
  if (!relayed())
    return;
  OpenTimer.expires_after(OpenTimeout);
  OpenTimer.async_wait([Weak](const asio::error_code &Error) {
    const auto Self = Weak.lock();
    if (Self && !Error && !Self->Opened)
      Self->end(stream_end::ConnectFailed);
  });
}

void runner_connection::write(std::string Bytes) {
  WrittenBytes += static_cast<std::int64_t>(Bytes.size());
  Stream->write(relayed() ? encodeTunnelData(Bytes) : std::move(Bytes));
}

void runner_connection::write(shared_bytes Bytes) {
  WrittenBytes += static_cast<std::int64_t>(Bytes.Bytes.size());
  if (relayed())
    Stream->write(encodeTunnelData(Bytes.Bytes));
  else
    Stream->write(std::move(Bytes));
}

void runner_connection::announceLeaving() {
  if (!relayed() || !Opened)
    return;
  tunnel_message Message;
  Message.Runner = Target.Runner;
  Message.BornMs = Target.BornMs;
  Stream->write(encodeMessage(Message));
}

void runner_connection::close() {
  OpenTimer.cancel();
  Handlers = std::make_shared<tcp_stream::handlers>();
  Stream->close();
}

void runner_connection::recordRefusal(std::string_view Attempt) {
  RefusedAttempts.push_back(stableHash(Attempt));
}

bool runner_connection::hasRefused(std::string_view Attempt) const {
  return std::find(RefusedAttempts.begin(), RefusedAttempts.end(),
                   stableHash(Attempt)) != RefusedAttempts.end();
}

void runner_connection::end(stream_end How) {
  const auto Keep = Handlers;
  close();
  if (Keep->OnEnd)
    Keep->OnEnd(How);
}

void runner_connection::onRelayBytes(std::string_view Bytes) {
  const auto Self = shared_from_this(); // A handler may drop the connection.
  Frames.add(Bytes);
  try {
    while (const auto Frame = closed() ? std::nullopt : Frames.next())
      onMessage(decodeTunnelMessage(*Frame));
  } catch (const std::runtime_error &Error) {
    logEvent(log_level::Warning, "tunnel_message_unreadable",
             {{"relay", Target.Relay}, {"reason", Error.what()}});
    onRelayBroke();
  }
}

void runner_connection::onRelayBroke() {
  RelayBroke = Opened;
  end(Opened ? stream_end::Reset : stream_end::ConnectFailed);
}

bool runner_connection::tookAllBytes(const tunnel_message &End) const {
  if (End.Delivered == UnknownDelivery)
    return Stream->pendingBytes() == 0;
  return End.Delivered >= WrittenBytes;
}

void runner_connection::onMessage(const tunnel_message &Message) {
  const auto Keep = Handlers;
  // After it is open nothing says any more that nothing was sent.
  const bool Opening = Message.Kind == tunnel_kind::Opened ||
                       Message.Kind == tunnel_kind::Refused;
  const bool FromRunner =
      Message.Kind == tunnel_kind::Data || Message.Kind == tunnel_kind::End;
  if ((Opening && Opened) || (FromRunner && !Opened))
    throw std::runtime_error("a message out of order");
  switch (Message.Kind) {
  case tunnel_kind::Opened:
    Opened = true;
    OpenTimer.cancel();
    if (Keep->OnConnected)
      Keep->OnConnected();
    return;
  case tunnel_kind::Refused:
    Refusal = Message.Refusal;
    end(stream_end::ConnectFailed);
    return;
  case tunnel_kind::Data:
    if (Keep->OnBytes)
      Keep->OnBytes(Message.Data);
    return;
  case tunnel_kind::End:
    // As on a direct connection, see socket_settings::ConfirmDelivery.
    end(Message.End == stream_end::Finished && !tookAllBytes(Message)
            ? stream_end::Reset
            : Message.End);
    return;
  case tunnel_kind::Closing:
    RelayClosing = true;
    return;
  case tunnel_kind::Open:
    throw std::runtime_error("a relay does not open tunnels");
  }
}

} // namespace lentilhoist
