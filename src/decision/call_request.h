#pragma once

#include "core/error_code.h"
#include "core/program_id.h"
#include "journal/record.h"

#include <chrono>
#include <cstdint>
#include <string>

namespace lentilhoist {

/// Handle of one caller that waits for an answer; unique in the process.
using call_ticket = std::uint64_t;

/// A call as a caller issues it.
struct call_request {
  program_id Program;
  std::uint32_t Call = 0;
  call_kind Kind = call_kind::Model;
  std::string Service;                   ///< Empty for a model call.
  std::string Model;                     ///< Empty for a service call.
  std::string Body;                      ///< Messages or service payload.
  std::uint64_t MaxTokens = 0;           ///< 0 takes the default.
  std::uint64_t TimeoutMilliseconds = 0; ///< 0 takes the default.

  MSGPACK_DEFINE(Program, Call, Kind, Service, Model, Body, MaxTokens,
                 TimeoutMilliseconds)
};

/// A program as a caller asks for it.
struct create_request {
  program_id Program;
  std::string Tenant;
  std::string Class;
  bool HasParent = false;
  program_id Parent;
  program_budget Budget;

  MSGPACK_DEFINE(Program, Tenant, Class, HasParent, Parent, Budget)
};

/// What a caller is told in the end.
struct call_answer {
  error_code Code = error_code::None;
  run_state Run = run_state::Ran;
  int Status = 200;
  std::string Body; ///< Response, or the error's detail.
  std::uint64_t PromptTokens = 0;
  std::uint64_t GeneratedTokens = 0;
  std::uint32_t CommittedThrough = 0; ///< Last call that is durable.
  std::uint64_t RetryAfterMilliseconds = 0;
  std::string Owner; ///< Set with error_code::NotOwner: where to ask next.

  MSGPACK_DEFINE(Code, Run, Status, Body, PromptTokens, GeneratedTokens,
                 CommittedThrough, RetryAfterMilliseconds, Owner)
};

/// What one attempt at a runner led to.
struct attempt_result {
  error_code Code = error_code::None;
  run_state Run = run_state::Ran;
  int Status = 200;
  std::string Response;
  bool UsageKnown = false; ///< The runner reported the tokens of the attempt.
  std::uint64_t PromptTokens = 0;
  std::uint64_t GeneratedTokens = 0;
  std::string Runner;

  MSGPACK_DEFINE(Code, Run, Status, Response, UsageKnown, PromptTokens,
                 GeneratedTokens, Runner)
};

} // namespace lentilhoist
