#pragma once

#include <cstdint>
#include <msgpack.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <tuple>

namespace lentilhoist {

/// Index of one partition of the programs.
using shard_index = std::uint16_t;

/// Identity of a program. The shard is part of it, so that any instance finds
/// the owner of a program without a directory.
struct program_id {
  shard_index Shard = 0; ///< Partition that orders the program's calls.
  std::uint64_t Key = 0; ///< Unique in the shard.

  bool operator==(const program_id &) const = default;
  bool operator<(const program_id &Other) const {
    return std::tie(Shard, Key) < std::tie(Other.Shard, Other.Key);
  }
  MSGPACK_DEFINE(Shard, Key)
};

/// Formats an identity as `003-00000000000000ff`.
/// \param Program the identity.
/// \returns its text form.
std::string formatProgramId(const program_id &Program);

/// Parses the text form of an identity.
/// \param Text the text to parse.
/// \returns the identity, or nothing if the text is malformed.
std::optional<program_id> parseProgramId(std::string_view Text);

} // namespace lentilhoist
