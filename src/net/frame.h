#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace lentilhoist {

/// Largest frame between processes of the system; a batch of a copy fits.
inline constexpr std::size_t MaxFrameBytes = std::size_t{16} * 1024 * 1024;

/// \param PayloadBytes the size of a message.
/// \returns the bytes that precede it in its frame.
std::string encodeFrameLength(std::size_t PayloadBytes);

/// \param Payload the message.
/// \returns the message behind its length in four bytes, big-endian.
std::string encodeFrame(std::string_view Payload);

/// What a reader does with a frame that exceeds its limit.
enum class oversized_frame {
  Throw, ///< The stream can't be read any further.
  Cut,   ///< Its beginning is returned and the rest is dropped as it arrives.
};

/// Cuts a stream of bytes into frames.
class frame_reader {
public:
  frame_reader() = default;
  /// \param GivenMax largest frame, in bytes.
  explicit frame_reader(std::size_t GivenMax) : MaxBytes(GivenMax) {}
  /// \param GivenOversized what happens to frames above MaxFrameBytes.
  explicit frame_reader(oversized_frame GivenOversized)
      : Oversized(GivenOversized) {}

  /// \param Bytes what arrived.
  void add(std::string_view Bytes);

  /// \returns the next whole frame, or the first CutFrameBytes of one that
  /// exceeds the limit, or nothing.
  /// \throws std::runtime_error if a length exceeds the largest frame and such
  /// frames are not cut, or exceeds it more than MaxCutFactor times.
  std::optional<std::string> next();

  /// \returns the length of the frame that has begun and is not whole yet, in
  /// bytes; 0 before its length has arrived, and for one that is cut.
  std::size_t announced() const;

  /// Bytes that are returned of a frame that is cut; a message of the system
  /// begins with its number.
  static constexpr std::size_t CutFrameBytes = 64;
  /// A longer frame is no message of the system, and to drop it would take up
  /// the connection for too long.
  static constexpr std::size_t MaxCutFactor = 16;

private:
  std::optional<std::size_t> nextLength() const;

  std::size_t MaxBytes = MaxFrameBytes;
  oversized_frame Oversized = oversized_frame::Throw;
  std::size_t Dropping = 0; ///< Bytes of a frame that are still to be dropped.
  std::string Buffer;
};

} // namespace lentilhoist
