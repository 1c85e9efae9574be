#pragma once

#include "net/tcp_stream.h"

#include <cstdint>
#include <msgpack.hpp>
#include <string>
#include <string_view>

namespace lentilhoist {

/// Messages on the connection between an instance and the relay that connects
/// it to a runner. Ends are messages of their own: the end of the connection
/// itself can't tell a runner's orderly end from the end of the relay.
enum class tunnel_kind {
  Open,    ///< To the relay: connect to a runner.
  Opened,  ///< The connection to the runner is established.
  Refused, ///< It is not, and nothing was sent to the runner.
  Data,    ///< Bytes to or from the runner.
  End,     ///< The connection to the runner has ended.
  Closing, ///< The relay stops: open no further request on this tunnel.
};

/// Why a relay opens no tunnel.
enum class tunnel_refusal {
  None,
  PathLost,          ///< The relay reaches no runners itself.
  Stopping,          ///< The relay stops.
  Busy,              ///< The relay has as many tunnels as it may.
  UnknownRunner,     ///< The relay knows no such runner or incarnation.
  RunnerUnreachable, ///< The runner accepts no connection from the relay.
};

/// \param Refusal the value to name.
/// \returns its stable text form.
const char *tunnelRefusalName(tunnel_refusal Refusal);

/// Value of tunnel_message::Delivered that a relay did not send.
inline constexpr std::int64_t UnknownDelivery = -1;

/// One message. The kind decides which fields are used.
struct tunnel_message {
  tunnel_kind Kind = tunnel_kind::Data;
  /// Open: ID of the runner; empty to ask whether the relay can open tunnels.
  /// Data without bytes, to the relay: ID of the runner, which has said that it
  /// leaves. A relay of an older version passes on no bytes.
  std::string Runner;
  std::int64_t BornMs = 0;                       ///< The incarnation of Runner.
  tunnel_refusal Refusal = tunnel_refusal::None; ///< Refused.
  stream_end End = stream_end::Reset;            ///< End.
  std::string Data;                              ///< Data.
  /// End: bytes that were passed on to the runner, all of which it has received
  /// if it ended in order; UnknownDelivery from a relay of an older version.
  std::int64_t Delivered = UnknownDelivery;
  MSGPACK_DEFINE(Kind, Runner, BornMs, Refusal, End, Data, Delivered)
};

/// Largest part of a body in one message, the size of one read.
inline constexpr std::size_t MaxTunnelDataBytes = 16UL * 1024UL;
/// Largest message: a part with the other fields.
inline constexpr std::size_t MaxTunnelMessageBytes = 2 * MaxTunnelDataBytes;

/// \param Message the message.
/// \returns the encoded frame.
std::string encodeMessage(const tunnel_message &Message);

/// \param Bytes bytes to pass through a tunnel.
/// \returns the frames that carry them.
std::string encodeTunnelData(std::string_view Bytes);

/// \param Bytes the payload of a frame.
/// \returns the decoded message.
/// \throws std::runtime_error if the payload is malformed.
tunnel_message decodeTunnelMessage(const std::string &Bytes);

} // namespace lentilhoist

MSGPACK_ADD_ENUM(lentilhoist::tunnel_kind)
MSGPACK_ADD_ENUM(lentilhoist::tunnel_refusal)
MSGPACK_ADD_ENUM(lentilhoist::stream_end)
