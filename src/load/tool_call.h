#pragma once

#include "http/bounded_call.h"

#include <optional>
#include <string>

namespace lentilhoist {

/// Calls a server on a connection of its own.
/// \param Server the server.
/// \param Head the head of the request, without Host and framing.
/// \param Body the body of the request.
/// \param Timeouts limits of each wait; the whole call has no limit.
/// \param OnBody takes the body of a response with status 200; may be empty.
/// \returns the result.
call_result callServer(const endpoint &Server, http_request_head Head,
                       const std::string &Body, const http_timeouts &Timeouts,
                       const body_receiver &OnBody = {});

/// \param Server the server.
/// \param Path the page.
/// \param Timeouts limits of each wait.
/// \returns the page; nothing unless it came whole with status 200.
std::optional<std::string> getPage(const endpoint &Server,
                                   const std::string &Path,
                                   const http_timeouts &Timeouts);

} // namespace lentilhoist
