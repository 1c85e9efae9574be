#pragma once

#include <cstdint>
#include <msgpack.hpp>
#include <string>

namespace lentilhoist {

/// One life of a runner, which may start again under its id.
struct runner_incarnation {
  std::string Id; ///< Empty if it is not known.
  std::int64_t BornMs = 0;
  MSGPACK_DEFINE(Id, BornMs)
};

/// A turn that was answered whole. Never changes once it is written.
struct turn_record {
  std::string Id;       ///< The attempt that produced it.
  std::string Previous; ///< The turn that it continues; empty at the start.
  std::string Program;
  std::string Input;  ///< Body that the caller sent.
  std::string Output; ///< Data of each event, each followed by a line feed.
  std::uint64_t Tokens = 0;      ///< Generated tokens.
  std::uint64_t RetentionMs = 0; ///< How long it is kept after its last use.
  /// Runner that likely keeps the prompt in memory, for the turns that follow.
  runner_incarnation Runner{};
  MSGPACK_DEFINE(Id, Previous, Program, Input, Output, Tokens, RetentionMs,
                 Runner)
};

/// What one attempt draws from its program's budget.
struct ledger_entry {
  std::string Attempt;
  std::uint64_t Tokens = 0; ///< Most it may hand out, or what it handed out.
  bool Settled = false;     ///< Whether Tokens is final.
  MSGPACK_DEFINE(Attempt, Tokens, Settled)
};

} // namespace lentilhoist
