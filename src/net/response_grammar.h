#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace lentilhoist {

/// Checks the bytes of responses against the grammar of RFC 9112 before the
/// parser library reads them. The library accepts more: any number as a status,
/// and lines that other recipients split or frame in another way.
class response_grammar {
public:
  /// Checks the next bytes.
  /// \param Bytes what arrived; not empty.
  /// \returns how many of them may be parsed before the next call; nullopt if
  /// they can't be part of a response.
  std::optional<std::size_t> check(std::string_view Bytes);

  /// The line that was checked last ended the head of a response. Without this
  /// call another head follows.
  /// \param Chunked whether the body comes in chunks.
  void beginBody(bool Chunked);

  /// Prepares for the next response.
  void reset();

private:
  /// What the next bytes belong to.
  enum class part {
    StatusLine,
    FieldLine,
    Body,
    ChunkSize,
    ChunkData,
    ChunkEnd
  };

  std::optional<std::size_t> checkLine(std::string_view Bytes);
  bool acceptLine(std::string_view Text);
  bool acceptChunkSize(std::string_view Text);

  part Part = part::StatusLine;
  std::string Line; ///< Start of a line whose end has not arrived.
  std::size_t ChunkBytesLeft = 0;
};

/// \param Text a line without its end.
/// \returns whether it states a version 1.x and a status from 100 to 599 (RFC
/// 9112, section 4; RFC 9110, section 15).
bool isStatusLine(std::string_view Text);

/// \param Text a line without its end.
/// \returns whether it is a name, a colon and a value (RFC 9112, section 5).
/// Lines that continue the one before are not.
bool isFieldLine(std::string_view Text);

} // namespace lentilhoist
