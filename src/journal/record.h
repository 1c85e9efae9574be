#pragma once

#include "core/error_code.h"
#include "core/program_id.h"

#include <cstdint>
#include <msgpack.hpp>
#include <string>
#include <variant>
#include <vector>

namespace lentilhoist {

/// Position of an entry in the journal of one shard.
using entry_number = std::uint64_t;

/// Kinds of call that a program can issue.
enum class call_kind { Model, IdempotentService, ExclusiveService };

/// Reasons for the end of a program.
enum class end_reason { Caller, WallTime, Parent, Operator };

/// Limits that a program may never exceed.
struct program_budget {
  std::uint64_t Tokens = 0;           ///< Prompt and generated tokens together.
  std::uint32_t Turns = 0;            ///< Number of calls.
  std::uint64_t WallMilliseconds = 0; ///< Time from creation to forced end.

  MSGPACK_DEFINE(Tokens, Turns, WallMilliseconds)
};

/// A program came into being.
struct program_created {
  program_id Program;
  std::string Tenant;
  std::string Class;
  bool HasParent = false;
  program_id Parent; ///< Valid if HasParent.
  program_budget Budget;
  std::uint64_t CreatedUnixMs = 0;
  std::uint64_t ReservedTokens = 0; ///< Reserved for the first call.

  MSGPACK_DEFINE(Program, Tenant, Class, HasParent, Parent, Budget,
                 CreatedUnixMs, ReservedTokens)
};

/// A call that must run at most once is about to be sent.
struct call_intended {
  program_id Program;
  std::uint32_t Call = 0;
  std::uint64_t BodyHash = 0;
  std::string Service;
  std::string RequestKey; ///< Idempotency key that the service receives.
  std::string Request;

  MSGPACK_DEFINE(Program, Call, BodyHash, Service, RequestKey, Request)
};

/// Tokens were set aside before an attempt of a model call.
struct tokens_reserved {
  program_id Program;
  std::uint64_t Tokens = 0;     ///< New reservation.
  std::uint64_t LostTokens = 0; ///< Earlier reservation of unknown use.

  MSGPACK_DEFINE(Program, Tokens, LostTokens)
};

/// A call ended, with what the history gained.
struct call_completed {
  program_id Program;
  std::uint32_t Call = 0;
  std::uint64_t BodyHash = 0;
  call_kind Kind = call_kind::Model;
  run_state Run = run_state::Ran;
  int Status = 200;
  std::string Request;
  std::string Response;
  std::uint64_t PromptTokens = 0;
  std::uint64_t GeneratedTokens = 0;
  std::string Runner;
  std::uint64_t ReservedTokens = 0; ///< Reserved for the next call.

  MSGPACK_DEFINE(Program, Call, BodyHash, Kind, Run, Status, Request, Response,
                 PromptTokens, GeneratedTokens, Runner, ReservedTokens)
};

/// The outcome of a call that was in doubt became known.
struct outcome_resolved {
  program_id Program;
  std::uint32_t Call = 0;
  run_state Run = run_state::Ran;
  int Status = 200;
  std::string Response;
  std::string ResolvedBy;
  std::string Reason;
  std::string Request{}; ///< Filled in by the owner; stays readable.

  MSGPACK_DEFINE(Program, Call, Run, Status, Response, ResolvedBy, Reason,
                 Request)
};

/// A program accepts no further call.
struct program_ended {
  program_id Program;
  end_reason Reason = end_reason::Caller;
  std::uint64_t EndedUnixMs = 0;

  MSGPACK_DEFINE(Program, Reason, EndedUnixMs)
};

/// A runner confirmed that it dropped the cache of an ended program.
struct cache_released {
  program_id Program;
  std::string Runner;

  MSGPACK_DEFINE(Program, Runner)
};

/// The retention time of an ended program passed.
struct program_forgotten {
  program_id Program;

  MSGPACK_DEFINE(Program)
};

/// An instance became the owner of the shard.
struct shard_taken {
  std::string Instance;
  bool Clean = false; ///< The last owner handed the shard over.

  MSGPACK_DEFINE(Instance, Clean)
};

/// The owner gave the shard up. It still finishes the calls that it had sent
/// and delivers their results to the successor.
struct shard_handed_over {
  std::string From;
  std::string To;
  std::vector<program_id> InFlight; ///< Programs whose call is still running.

  MSGPACK_DEFINE(From, To, InFlight)
};

/// An intended call was never sent; its number can be issued again.
struct call_withdrawn {
  program_id Program;
  std::uint32_t Call = 0;

  MSGPACK_DEFINE(Program, Call)
};

/// Any record of the journal. The order of the alternatives is part of the
/// stored format: append only.
using journal_record =
    std::variant<program_created, call_intended, tokens_reserved,
                 call_completed, outcome_resolved, program_ended,
                 cache_released, program_forgotten, shard_taken,
                 shard_handed_over, call_withdrawn>;

} // namespace lentilhoist

MSGPACK_ADD_ENUM(lentilhoist::call_kind)
MSGPACK_ADD_ENUM(lentilhoist::end_reason)
