#include "net/frame.h"

#include <algorithm>
#include <stdexcept>
#include <utility>

namespace lentilhoist {

namespace {
constexpr std::size_t LengthBytes = 4;
/// Frames from this size on are received into a buffer of their own size and
/// handed out without a copy.
constexpr std::size_t LargeFrameBytes = 64UL * 1024UL;
/// Room for what one read brings of the frames behind a large one.
constexpr std::size_t FollowingBytes = 16UL * 1024UL;
} // namespace

std::string encodeFrameLength(std::size_t PayloadBytes) {
  std::string Frame;
  const auto Length = static_cast<std::uint32_t>(PayloadBytes);
  for (int Shift = 24; Shift >= 0; Shift -= 8)
    Frame += static_cast<char>((Length >> Shift) & 0xff);
  return Frame;
}

std::string encodeFrame(std::string_view Payload) {
  std::string Frame;
  Frame.reserve(LengthBytes + Payload.size());
  Frame += encodeFrameLength(Payload.size());
  Frame += Payload;
  return Frame;
}

void frame_reader::add(std::string_view Bytes) {
  const std::size_t Dropped = std::min(Dropping, Bytes.size());
  Dropping -= Dropped;
  Buffer += Bytes.substr(Dropped);
}

std::optional<std::size_t> frame_reader::nextLength() const {
  if (Buffer.size() < LengthBytes)
    return std::nullopt;
  std::size_t Length = 0;
  for (std::size_t Index = 0; Index < LengthBytes; ++Index)
    Length = Length << 8 | static_cast<unsigned char>(Buffer[Index]);
  return Length;
}

std::size_t frame_reader::announced() const {
  const auto Length = nextLength();
  return Length && *Length <= MaxBytes ? *Length : 0;
}

std::optional<std::string> frame_reader::next() {
  const auto Announced = nextLength();
  if (!Announced)
    return std::nullopt;
  const std::size_t Length = *Announced;
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
  const std::size_t End = LengthBytes + Length;
  if (Buffer.size() < End) {
    if (Length >= LargeFrameBytes)
      Buffer.reserve(End + FollowingBytes);
    return std::nullopt;
  }
  if (Length >= LargeFrameBytes) {
    std::string Following = Buffer.substr(End);
    Buffer.resize(End);
    Buffer.erase(0, LengthBytes);
    return std::exchange(Buffer, std::move(Following));
  }
  std::string Frame = Buffer.substr(LengthBytes, Length);
  Buffer.erase(0, End);
  return Frame;
}

} // namespace lentilhoist
