#include "net/frame.h"

#include <algorithm>
#include <stdexcept>

namespace lentilhoist {

namespace {
constexpr std::size_t LengthBytes = 4;
}

std::string encodeFrame(std::string_view Payload) {
  std::string Frame;
  Frame.reserve(LengthBytes + Payload.size());
  const auto Length = static_cast<std::uint32_t>(Payload.size());
  for (int Shift = 24; Shift >= 0; Shift -= 8)
    Frame += static_cast<char>((Length >> Shift) & 0xff);
  Frame += Payload;
  return Frame;
}

void frame_reader::add(std::string_view Bytes) {
  const std::size_t Dropped = std::min(Dropping, Bytes.size());
  Dropping -= Dropped;
  Buffer += Bytes.substr(Dropped);
}

std::optional<std::string> frame_reader::next() {
  if (Buffer.size() < LengthBytes)
    return std::nullopt;
  std::size_t Length = 0;
  for (std::size_t Index = 0; Index < LengthBytes; ++Index)
    Length = Length << 8 | static_cast<unsigned char>(Buffer[Index]);
  const bool Cut = Length > MaxBytes;
  if (Cut &&
      (Oversized == oversized_frame::Throw || Length > MaxBytes * MaxCutFactor))
    throw std::runtime_error("a frame exceeds the limit");
  if (Cut) {
    if (Buffer.size() < LengthBytes + CutFrameBytes)
      return std::nullopt;
    std::string Begin = Buffer.substr(LengthBytes, CutFrameBytes);
    const std::size_t Arrived = std::min(Length, Buffer.size() - LengthBytes);
    Buffer.erase(0, LengthBytes + Arrived);
    Dropping = Length - Arrived;
    return Begin;
  }
  if (Buffer.size() < LengthBytes + Length)
    return std::nullopt;
  std::string Frame = Buffer.substr(LengthBytes, Length);
  Buffer.erase(0, LengthBytes + Length);
  return Frame;
}

} // namespace lentilhoist
