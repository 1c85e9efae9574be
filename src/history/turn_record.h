#pragma once

#include "net/frame.h"

#include <cstdint>
#include <msgpack.hpp>
#include <string>

namespace lentilhoist {

/// One run of a runner process. A runner that restarts keeps its id.
struct runner_incarnation {
  std::string Id;          ///< Empty if the runner is unknown.
  std::int64_t BornMs = 0; ///< Start of this run; Unix time, ms.
  MSGPACK_DEFINE(Id, BornMs)
};

/// Largest output of a turn that is kept, in bytes.
inline constexpr std::size_t MaxTurnOutputBytes = MaxFrameBytes / 8;

/// Largest input of a turn that is kept, in bytes. A frame also holds the
/// output, the other fields and the records that a copy sends before the turn.
inline constexpr std::size_t MaxTurnInputBytes =
    MaxFrameBytes - MaxTurnOutputBytes - std::size_t{1024} * 1024;

/// A turn whose answer was complete. Immutable once written.
struct turn_record {
  std::string Id;       ///< Id of the attempt that produced the turn.
  std::string Previous; ///< Turn that it continues; empty if it is the first.
  std::string Program;  ///< Name of its ledger, see ownedName().
  std::string Input;    ///< Request body that the caller sent.
  std::string Output;   ///< Data of each event, each followed by a line feed.
  std::uint64_t Tokens = 0;      ///< Number of generated tokens.
  std::uint64_t RetentionMs = 0; ///< Retention after the last use.
  /// Runner that likely has the prompt cached; used to route later turns.
  runner_incarnation Runner{};
  std::string Workspace{}; ///< Owner, see mayRead(); empty in older records.
  /// Size of Input and Output together, also where both are left out; 0 in
  /// older records.
  std::uint64_t TextBytes = 0;
  MSGPACK_DEFINE(Id, Previous, Program, Input, Output, Tokens, RetentionMs,
                 Runner, Workspace, TextBytes)
};

/// \param Turn a turn.
/// \returns a copy with neither input nor output.
inline turn_record withoutTexts(const turn_record &Turn) {
  return {Turn.Id,
          Turn.Previous,
          Turn.Program,
          {},
          {},
          Turn.Tokens,
          Turn.RetentionMs,
          Turn.Runner,
          Turn.Workspace,
          Turn.TextBytes};
}

/// \param Turn a turn from a message.
/// \returns whether its input and output are there, not only their size.
inline bool hasTexts(const turn_record &Turn) {
  return Turn.TextBytes == 0 ||
         Turn.Input.size() + Turn.Output.size() == Turn.TextBytes;
}

/// A part of a turn's text, which is its input followed by its output.
struct text_part {
  std::string Turn;         ///< Id.
  std::uint64_t Offset = 0; ///< In the turn's text, in bytes.
  std::uint64_t Bytes = 0;
  MSGPACK_DEFINE(Turn, Offset, Bytes)
  bool operator==(const text_part &) const = default;
};

/// Tokens that one attempt takes from the budget of its program.
struct ledger_entry {
  std::string Attempt;
  std::uint64_t Tokens = 0; ///< Reserved maximum; tokens used once settled.
  bool Settled = false;     ///< True once Tokens is final.
  MSGPACK_DEFINE(Attempt, Tokens, Settled)
};

} // namespace lentilhoist
