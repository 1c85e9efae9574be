#pragma once

#include "decision/call_request.h"
#include "journal/record.h"

#include <msgpack.hpp>
#include <variant>

namespace lentilhoist {

/// End a program.
struct end_request {
  program_id Program;
  end_reason Reason = end_reason::Caller;

  MSGPACK_DEFINE(Program, Reason)
};

/// Read a program's history.
struct history_request {
  program_id Program;

  MSGPACK_DEFINE(Program)
};

/// Take over the result of a call that a former owner ran.
struct result_request {
  call_request Call;
  attempt_result Result;

  MSGPACK_DEFINE(Call, Result)
};

/// Whatever is asked of a shard's owner. The order of the alternatives is
/// part of the protocol between instances: append only.
using owner_request =
    std::variant<create_request, call_request, end_request, history_request,
                 result_request, outcome_resolved>;

/// \param Request a request.
/// \returns the program that it is about.
program_id programOf(const owner_request &Request);

/// \param Request the request.
/// \returns its form on the wire.
std::string encodeRequest(const owner_request &Request);

/// \param Bytes a form on the wire.
/// \returns the request.
/// \throws std::invalid_argument if the bytes are malformed.
owner_request decodeRequest(std::string_view Bytes);

} // namespace lentilhoist
