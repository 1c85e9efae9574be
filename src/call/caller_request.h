#pragma once

#include "decision/call_request.h"
#include "journal/record.h"

#include <msgpack.hpp>
#include <variant>

namespace lentilhoist {

/// Request to end a program.
struct end_request {
  program_id Program;
  end_reason Reason = end_reason::Caller;

  MSGPACK_DEFINE(Program, Reason)
};

/// Request to read a program's history.
struct history_request {
  program_id Program;

  MSGPACK_DEFINE(Program)
};

/// Result of a call that a former owner ran, sent to the new owner.
struct result_request {
  call_request Call;
  attempt_result Result;

  MSGPACK_DEFINE(Call, Result)
};

/// Any request to a shard's owner. The index of an alternative is part of the
/// protocol between instances: only append new ones.
using owner_request =
    std::variant<create_request, call_request, end_request, history_request,
                 result_request, outcome_resolved>;

/// \param Request any request to an owner.
/// \returns the program that the request refers to.
program_id programOf(const owner_request &Request);

/// \param Request request to encode.
/// \returns the MessagePack encoding: an array of alternative index and value.
std::string encodeRequest(const owner_request &Request);

/// \param Bytes encoding produced by encodeRequest().
/// \returns the decoded request.
/// \throws std::invalid_argument if the bytes are malformed.
owner_request decodeRequest(std::string_view Bytes);

} // namespace lentilhoist
