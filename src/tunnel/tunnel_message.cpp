#include "tunnel/tunnel_message.h"

#include "core/unpack.h"
#include "net/frame.h"

#include <stdexcept>

namespace lentilhoist {

const char *tunnelRefusalName(tunnel_refusal Refusal) {
  switch (Refusal) {
  case tunnel_refusal::None:
    return "none";
  case tunnel_refusal::PathLost:
    return "path_lost";
  case tunnel_refusal::Stopping:
    return "stopping";
  case tunnel_refusal::Busy:
    return "busy";
  case tunnel_refusal::UnknownRunner:
    return "unknown_runner";
  case tunnel_refusal::RunnerUnreachable:
    return "runner_unreachable";
  }
  return "unknown";
}

std::string encodeMessage(const tunnel_message &Message) {
  msgpack::sbuffer Buffer;
  msgpack::pack(Buffer, Message);
  return encodeFrame({Buffer.data(), Buffer.size()});
}

std::string encodeTunnelData(std::string_view Bytes) {
  std::string Frames;
  while (!Bytes.empty()) {
    tunnel_message Message;
    Message.Data = Bytes.substr(0, MaxTunnelDataBytes);
    Bytes.remove_prefix(Message.Data.size());
    Frames += encodeMessage(Message);
  }
  return Frames;
}

tunnel_message decodeTunnelMessage(const std::string &Bytes) {
  tunnel_message Message;
  try {
    Message = unpackInPlace<tunnel_message>(Bytes);
  } catch (const std::exception &Error) {
    throw std::runtime_error(std::string("malformed tunnel message: ") +
                             Error.what());
  }
  const bool Known = Message.Kind >= tunnel_kind::Open &&
                     Message.Kind <= tunnel_kind::Closing &&
                     Message.Refusal >= tunnel_refusal::None &&
                     Message.Refusal <= tunnel_refusal::RunnerUnreachable &&
                     Message.End >= stream_end::Finished &&
                     Message.End <= stream_end::ConnectFailed;
  if (!Known)
    throw std::runtime_error("malformed tunnel message: unknown value");
  return Message;
}

} // namespace lentilhoist
