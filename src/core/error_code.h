#pragma once

#include <msgpack.hpp>
#include <string_view>

namespace lentilhoist {

/// Whether a refused or failed request took effect.
enum class run_state { NotRun, Ran, OutcomeUnknown };

/// Stable codes that callers and operators can rely on.
enum class error_code {
  None,
  BadRequest,
  UnknownProgram,
  ProgramEnded,
  CallConflict,
  OutOfOrder,
  BudgetExhausted,
  Overloaded,
  NoRunner,
  RunnerFailed,
  Timeout,
  OutcomeUnknown,
  NotOwner,
  StoreUnavailable,
  ShuttingDown,
  Unauthorized,
  Conflict,
  Internal,
};

/// \param State the value to name.
/// \returns the stable text form, for example `not_run`.
std::string_view runStateName(run_state State);

/// \param Code the value to name.
/// \returns the stable text form, for example `budget_exhausted`.
std::string_view errorCodeName(error_code Code);

/// \param Code the value to map.
/// \returns the HTTP status that carries the code to a caller.
int httpStatus(error_code Code);

} // namespace lentilhoist

MSGPACK_ADD_ENUM(lentilhoist::run_state)
MSGPACK_ADD_ENUM(lentilhoist::error_code)
