#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace lentilhoist {

/// Largest frame between processes of the system; a batch of a copy fits.
inline constexpr std::size_t MaxFrameBytes = std::size_t{16} * 1024 * 1024;

/// \param Payload the message.
/// \returns the message behind its length in four bytes, big-endian.
std::string encodeFrame(std::string_view Payload);

/// Cuts a stream of bytes into frames.
class frame_reader {
public:
  frame_reader() = default;
  /// \param GivenMax largest frame, in bytes.
  explicit frame_reader(std::size_t GivenMax) : MaxBytes(GivenMax) {}

  /// \param Bytes what arrived.
  void add(std::string_view Bytes) { Buffer += Bytes; }

  /// \returns the next whole frame, or nothing.
  /// \throws std::runtime_error if a length exceeds the largest frame.
  std::optional<std::string> next();

private:
  std::size_t MaxBytes = MaxFrameBytes;
  std::string Buffer;
};

} // namespace lentilhoist
