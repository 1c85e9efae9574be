#pragma once

#include "core/error_code.h"
#include "core/program_id.h"
#include "journal/record.h"

#include <chrono>
#include <cstdint>
#include <string>

namespace lentilhoist {

/// Identifies one caller that waits for an answer; unique in the process, 0 if
/// no caller waits.
using call_ticket = std::uint64_t;

/// A model or service call, as issued by a caller.
struct call_request {
  program_id Program;
  std::uint32_t Call = 0;
  call_kind Kind = call_kind::Model;
  std::string Service;         ///< Empty for a model call.
  std::string Model;           ///< Empty for a service call.
  std::string Body;            ///< JSON array of messages, or service payload.
  std::uint64_t MaxTokens = 0; ///< 0 selects the default.
  std::uint64_t TimeoutMilliseconds = 0; ///< 0 selects the default.

  MSGPACK_DEFINE(Program, Call, Kind, Service, Model, Body, MaxTokens,
                 TimeoutMilliseconds)
};

/// Request to create a program.
struct create_request {
  program_id Program;
  std::string Tenant;
  std::string Class;
  bool HasParent = false;
  program_id Parent;
  program_budget Budget;

  MSGPACK_DEFINE(Program, Tenant, Class, HasParent, Parent, Budget)
};

/// Final answer to a caller.
struct call_answer {
  error_code Code = error_code::None;
  run_state Run = run_state::Ran;
  int Status = 200;
  std::string Body; ///< Response, or the error message.
  std::uint64_t PromptTokens = 0;
  std::uint64_t GeneratedTokens = 0;
  std::uint32_t CommittedThrough = 0; ///< Last durable call.
  std::uint64_t RetryAfterMilliseconds = 0;
  std::string Owner; ///< Instance to ask instead; set with error_code::NotOwner
                     ///< if it is known.

  MSGPACK_DEFINE(Code, Run, Status, Body, PromptTokens, GeneratedTokens,
                 CommittedThrough, RetryAfterMilliseconds, Owner)
};

/// Largest text of an answer, in bytes.
inline constexpr std::size_t MaxAnswerBytes = std::size_t{4} * 1024 * 1024;

/// Result of one attempt at a runner.
struct attempt_result {
  error_code Code = error_code::None;
  run_state Run = run_state::Ran;
  int Status = 200;
  std::string Response;
  bool UsageKnown = false; ///< Whether the runner reported token counts.
  std::uint64_t PromptTokens = 0;
  std::uint64_t GeneratedTokens = 0;
  std::string Runner;

  MSGPACK_DEFINE(Code, Run, Status, Response, UsageKnown, PromptTokens,
                 GeneratedTokens, Runner)
};

} // namespace lentilhoist
