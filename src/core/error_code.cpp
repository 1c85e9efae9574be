#include "core/error_code.h"

#include <array>
#include <cassert>

namespace lentilhoist {

namespace {

struct error_row {
  error_code Code;       ///< Value that the row describes.
  std::string_view Name; ///< Stable text form.
  int Status;            ///< HTTP status.
};

constexpr std::array<error_row, 18> ErrorTable{{
    {error_code::None, "none", 200},
    {error_code::BadRequest, "bad_request", 400},
    {error_code::UnknownProgram, "unknown_program", 404},
    {error_code::ProgramEnded, "program_ended", 410},
    {error_code::CallConflict, "call_conflict", 409},
    {error_code::OutOfOrder, "out_of_order", 409},
    {error_code::BudgetExhausted, "budget_exhausted", 402},
    {error_code::Overloaded, "overloaded", 429},
    {error_code::NoRunner, "no_runner", 503},
    {error_code::RunnerFailed, "runner_failed", 502},
    {error_code::Timeout, "timeout", 504},
    {error_code::OutcomeUnknown, "outcome_unknown", 504},
    {error_code::NotOwner, "not_owner", 503},
    {error_code::StoreUnavailable, "store_unavailable", 503},
    {error_code::ShuttingDown, "shutting_down", 503},
    {error_code::Unauthorized, "unauthorized", 401},
    {error_code::Conflict, "conflict", 409},
    {error_code::Internal, "internal", 500},
}};

constexpr std::array<std::string_view, 3> RunStateTable{"not_run", "ran",
                                                        "outcome_unknown"};

const error_row &rowOf(error_code Code) {
  const auto Index = static_cast<std::size_t>(Code);
  assert(Index < ErrorTable.size() && ErrorTable[Index].Code == Code);
  return ErrorTable[Index];
}

} // namespace

std::string_view runStateName(run_state State) {
  return RunStateTable[static_cast<std::size_t>(State)];
}

std::string_view errorCodeName(error_code Code) { return rowOf(Code).Name; }

int httpStatus(error_code Code) { return rowOf(Code).Status; }

} // namespace lentilhoist
