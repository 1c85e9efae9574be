#pragma once

#include "journal/record.h"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace lentilhoist {

/// Progress of a call according to the journal.
enum class call_progress { Intended, Completed };

/// One call of a program's history. The texts, Request and Response, can be
/// evicted from memory and read again from the entry that stores them.
struct recorded_call {
  std::uint32_t Call = 0;
  std::uint64_t BodyHash = 0; ///< Hash of the request.
  call_kind Kind = call_kind::Model;
  call_progress Progress = call_progress::Completed;
  run_state Run = run_state::Ran;
  int Status = 200;
  std::uint64_t PromptTokens = 0;
  std::uint64_t GeneratedTokens = 0;
  std::string Service;    ///< Set for an exclusive service call.
  std::string RequestKey; ///< Set for an exclusive service call.
  entry_number Entry = 0; ///< Entry that stores the texts.
  bool Loaded = true;     ///< Whether the texts are in memory.
  std::string Request;
  std::string Response;

  MSGPACK_DEFINE(Call, BodyHash, Kind, Progress, Run, Status, PromptTokens,
                 GeneratedTokens, Service, RequestKey, Entry)
};

/// State of one program, as replayed from the journal.
struct program_state {
  program_id Program;
  std::string Tenant;
  std::string Class;
  bool HasParent = false;
  program_id Parent;
  program_budget Budget;
  std::uint64_t CreatedUnixMs = 0;
  std::uint64_t SpentTokens = 0;    ///< Usage reported by engines.
  std::uint64_t LostTokens = 0;     ///< Of attempts whose usage is unknown.
  std::uint64_t ReservedTokens = 0; ///< For the current and next calls.
  std::uint64_t CarvedTokens = 0;   ///< Allocated to sub-agents.
  bool Ended = false;
  end_reason Reason = end_reason::Caller;
  std::uint64_t EndedUnixMs = 0;
  std::vector<recorded_call> Calls;   ///< Call N has index N - 1.
  std::set<std::string> CacheRunners; ///< Runners that may cache its prefix.
  std::string LastRunner;             ///< Runner of the last model call.

  MSGPACK_DEFINE(Program, Tenant, Class, HasParent, Parent, Budget,
                 CreatedUnixMs, SpentTokens, LostTokens, ReservedTokens,
                 CarvedTokens, Ended, Reason, EndedUnixMs, Calls, CacheRunners,
                 LastRunner)
};

/// \param Program the program.
/// \returns the tokens that are spent, lost, reserved or allocated to
/// sub-agents.
std::uint64_t usedTokens(const program_state &Program);

/// \param Program the program.
/// \returns the tokens of the budget that are not used; see usedTokens().
std::uint64_t freeTokens(const program_state &Program);

/// \param Program the program.
/// \returns the number that the program's next call must have.
std::uint32_t nextCall(const program_state &Program);

/// \param Program the program.
/// \returns whether the last call is an exclusive call that may have been sent
/// and whose outcome is not recorded.
bool hasOpenIntent(const program_state &Program);

/// Computes an upper bound of the prompt of the next model call.
/// \param Program the program.
/// \param NewBytes size of the messages that the call adds, in bytes; a token
/// has at least one byte.
/// \returns the bound in tokens.
std::uint64_t promptBound(const program_state &Program, std::size_t NewBytes);

} // namespace lentilhoist

MSGPACK_ADD_ENUM(lentilhoist::call_progress)
