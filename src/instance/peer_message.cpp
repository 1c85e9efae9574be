#include "instance/peer_message.h"

#include "core/unpack.h"

#include <stdexcept>

namespace lentilhoist {

namespace {

constexpr std::uint32_t ProtocolVersion = 1;
constexpr unsigned BitsPerByte = 8;

} // namespace

std::string encodeFrame(const peer_message &Message) {
  msgpack::sbuffer Buffer;
  msgpack::pack(Buffer, Message);
  std::string Frame(FrameHeaderBytes, '\0');
  std::size_t Length = Buffer.size();
  for (std::size_t Index = FrameHeaderBytes; Index-- > 0;) {
    Frame[Index] = static_cast<char>(Length & 0xffU);
    Length >>= BitsPerByte;
  }
  Frame.append(Buffer.data(), Buffer.size());
  return Frame;
}

peer_message decodeFrame(std::string_view Body) {
  try {
    const auto Handle = unpackBounded(Body);
    auto Message = Handle.get().as<peer_message>();
    if (Message.Version != ProtocolVersion)
      throw std::invalid_argument("unknown protocol version");
    return Message;
  } catch (const msgpack::unpack_error &) {
    throw std::invalid_argument("malformed frame");
  } catch (const msgpack::type_error &) {
    throw std::invalid_argument("a frame has a field of the wrong type");
  }
}

} // namespace lentilhoist
