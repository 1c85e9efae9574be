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
  MSGPACK_DEFINE(Id, Previous, Program, Input, Output, Tokens, RetentionMs,
                 Runner, Workspace)
};

/// Tokens that one attempt takes from the budget of its program.
struct ledger_entry {
  std::string Attempt;
  std::uint64_t Tokens = 0; ///< Reserved maximum; tokens used once settled.
  bool Settled = false;     ///< True once Tokens is final.
  MSGPACK_DEFINE(Attempt, Tokens, Settled)
};

} // namespace lentilhoist
