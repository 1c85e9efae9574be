#pragma once

#include "journal/record.h"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace lentilhoist {

/// Progress of one call as the journal knows it.
enum class call_progress { Intended, Completed };

/// One call of a program's history. The texts can be dropped from memory and
/// read again from the entry that holds them.
struct recorded_call {
  std::uint32_t Call = 0;
  std::uint64_t BodyHash = 0;
  call_kind Kind = call_kind::Model;
  call_progress Progress = call_progress::Completed;
  run_state Run = run_state::Ran;
  int Status = 200;
  std::uint64_t PromptTokens = 0;
  std::uint64_t GeneratedTokens = 0;
  std::string Service;    ///< Set for an exclusive service call.
  std::string RequestKey; ///< Set for an exclusive service call.
  entry_number Entry = 0; ///< Entry that holds the texts.
  bool Loaded = true;     ///< Whether the texts are in memory.
  std::string Request;
  std::string Response;

  MSGPACK_DEFINE(Call, BodyHash, Kind, Progress, Run, Status, PromptTokens,
                 GeneratedTokens, Service, RequestKey, Entry)
};

/// Everything that the journal says of one program.
struct program_state {
  program_id Program;
  std::string Tenant;
  std::string Class;
  bool HasParent = false;
  program_id Parent;
  program_budget Budget;
  std::uint64_t CreatedUnixMs = 0;
  std::uint64_t SpentTokens = 0;    ///< Reported by engines.
  std::uint64_t LostTokens = 0;     ///< Reserved by attempts of unknown use.
  std::uint64_t ReservedTokens = 0; ///< Reserved for the next attempt.
  std::uint64_t CarvedTokens = 0;   ///< Given to sub-agents.
  bool Ended = false;
  end_reason Reason = end_reason::Caller;
  std::uint64_t EndedUnixMs = 0;
  std::vector<recorded_call> Calls;   ///< Ordered by call number, from 1.
  std::set<std::string> CacheRunners; ///< Runners that may hold cache.
  std::string LastRunner;             ///< Runner of the last model call.

  MSGPACK_DEFINE(Program, Tenant, Class, HasParent, Parent, Budget,
                 CreatedUnixMs, SpentTokens, LostTokens, ReservedTokens,
                 CarvedTokens, Ended, Reason, EndedUnixMs, Calls, CacheRunners,
                 LastRunner)
};

/// \param Program the program.
/// \returns the tokens that are spent, lost, reserved or carved out.
std::uint64_t usedTokens(const program_state &Program);

/// \param Program the program.
/// \returns the tokens that nothing has spent, reserved or carved out.
std::uint64_t freeTokens(const program_state &Program);

/// \param Program the program.
/// \returns the number that the program's next call must have.
std::uint32_t nextCall(const program_state &Program);

/// \param Program the program.
/// \returns whether an exclusive call has been sent or may have been, and its
/// outcome is not recorded.
bool hasOpenIntent(const program_state &Program);

/// Bounds the prompt of the next model call from above.
/// \param Program the program.
/// \param NewBytes size of the messages that the call adds; a token is at
/// least a byte.
/// \returns the bound in tokens.
std::uint64_t promptBound(const program_state &Program, std::size_t NewBytes);

} // namespace lentilhoist

MSGPACK_ADD_ENUM(lentilhoist::call_progress)
