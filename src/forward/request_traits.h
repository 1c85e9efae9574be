#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace lentilhoist {

/// A segment of a prompt. Runners cache prompts by segment, from the start.
struct prompt_part {
  std::string Id;
  std::int64_t Tokens = 0;
};

/// Properties of a request, decoded from its headers.
struct request_traits {
  std::string Attempt; ///< Identifies one attempt of the caller.
  /// How long the caller waits, counted from arrival.
  std::optional<std::chrono::milliseconds> Deadline;
  std::string Program; ///< Empty if the request belongs to no program.
  std::string Session; ///< Sequence of turns within the program.
  /// Time left until the deadline of the program.
  std::optional<std::chrono::milliseconds> ProgramTimeLeft;
  std::optional<std::uint64_t> TokenBudget; ///< For all turns of the program.
  std::string PreviousTurn; ///< Turn that this turn continues; empty if none.
  std::int64_t PromptTokens = 0;
  std::uint64_t MaxOutputTokens = 0;
  std::int64_t OutputHint = 0;     ///< Estimate of generated tokens; 0: none.
  std::string AffinityKey;         ///< Object that the request refers to.
  std::vector<prompt_part> Prompt; ///< Leading segments, in order.
};

/// Load that a runner reports with a response, in requests.
struct load_report {
  int Running = 0;
  int Waiting = 0;
  int Slots = 0;
  /// How long work takes at the runner at the moment, as a multiple of the
  /// usual time; nothing if it does not say.
  std::optional<double> Slowdown = std::nullopt;
};

/// Properties of a response, decoded from the headers that a runner sends.
struct response_traits {
  std::string Attempt;      ///< Attempt that the response belongs to.
  bool NotExecuted = false; ///< The runner states that it did not execute it.
  bool Sealed = false;      ///< Has the seal that proves its origin.
  bool Events = false;      ///< The body is an event stream.
  bool Encoded = false;     ///< A content encoding has been applied.
  bool Leaving = false;     ///< The runner is about to shut down.
  std::optional<load_report> Load;
  /// Requests a second that the runner accepts from all instances together.
  std::optional<double> RateLimit;
  /// How long the runner keeps the connection open while it is idle.
  std::optional<std::chrono::seconds> KeepAlive;
};

} // namespace lentilhoist
