#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace lentilhoist {

/// A part of a prompt. Runners keep parts in memory, in order from the start.
struct prompt_part {
  std::string Id;
  std::int64_t Tokens = 0;
};

/// What a caller says about its request.
struct request_traits {
  std::string Attempt; ///< Identity of this attempt of the caller.
  std::optional<std::chrono::milliseconds> Deadline; ///< Time it will wait.
  std::string Program; ///< Empty outside of programs.
  std::string Session; ///< Line of turns in the program.
  /// Time until the program should be finished.
  std::optional<std::chrono::milliseconds> ProgramTimeLeft;
  std::optional<std::uint64_t> TokenBudget; ///< Of all turns of the program.
  std::string PreviousTurn; ///< Turn that this one continues; empty if none.
  std::int64_t PromptTokens = 0;
  std::uint64_t MaxOutputTokens = 0;
  std::int64_t OutputHint = 0; ///< Caller's guess of generated tokens; 0: none.
  std::string AffinityKey;     ///< Object that the request concerns.
  std::vector<prompt_part> Prompt; ///< From the start of the prompt.
};

/// Load that a runner tells with an answer.
struct load_report {
  int Running = 0;
  int Waiting = 0;
  int Slots = 0;
};

/// What a runner says with the head of an answer.
struct response_traits {
  std::string Attempt;      ///< Attempt that it answers.
  bool NotExecuted = false; ///< The runner states that it did not run it.
  bool Sealed = false;      ///< Bears the proof that a runner made it.
  bool Events = false;      ///< A stream of events.
  bool Encoded = false;     ///< The body is not the runner's plain bytes.
  std::optional<load_report> Load;
  /// How long the runner keeps the connection while it is idle.
  std::optional<std::chrono::seconds> KeepAlive;
};

} // namespace lentilhoist
