#pragma once

#include "decision/call_request.h"

#include <cstdint>
#include <msgpack.hpp>
#include <string>

namespace lentilhoist {

/// Kinds of message on a link between instances.
enum class peer_kind {
  Hello,     ///< First message; carries the shared token.
  Request,   ///< An encoded owner_request.
  Text,      ///< Generated text of a request.
  Answer,    ///< End of a request.
  Heartbeat, ///< Shows that the sender lives.
  Offer      ///< A shard was handed to the receiver.
};

/// A message on a link. Framed by its length as four bytes, big-endian.
struct peer_message {
  std::uint32_t Version = 1;
  peer_kind Kind = peer_kind::Heartbeat;
  std::uint64_t Stream = 0; ///< Matches answers to requests.
  std::uint32_t Attempt = 0;
  std::uint64_t Offset = 0;
  std::string Payload;
  call_answer Answer;

  MSGPACK_DEFINE(Version, Kind, Stream, Attempt, Offset, Payload, Answer)
};

/// \param Message the message.
/// \returns its frame.
std::string encodeFrame(const peer_message &Message);

/// \param Body a frame's content without the length.
/// \returns the message.
/// \throws std::invalid_argument if the content is malformed.
peer_message decodeFrame(std::string_view Body);

/// Bytes of the length in front of each frame.
inline constexpr std::size_t FrameHeaderBytes = 4;

/// Longest frame that is accepted; the largest answer fits.
inline constexpr std::size_t MaxFrameBytes = 2 * MaxAnswerBytes;

} // namespace lentilhoist

MSGPACK_ADD_ENUM(lentilhoist::peer_kind)
