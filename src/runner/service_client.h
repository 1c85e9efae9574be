#pragma once

#include "decision/runner_table.h"
#include "http/http_client.h"

#include <optional>
#include <string>

namespace lentilhoist {

/// Runs one attempt of a service call. A call that may run only once is sent on
/// a fresh connection, and only before its send-by time.
/// \param Placed the attempt and its service.
/// \returns the result; OutcomeUnknown if the service may have run it.
attempt_result runServiceAttempt(const placed_attempt &Placed);

/// Asks a service whether it ran the request with a key.
/// \param Service the service.
/// \param RequestKey the key.
/// \returns the recorded response, or nothing if the service does not know.
std::optional<std::string> queryOutcome(const endpoint &Service,
                                        const std::string &RequestKey);

} // namespace lentilhoist
