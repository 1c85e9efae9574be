#pragma once

#include "core/instant.h"
#include "http/http_client.h"
#include "net/http_head.h"

#include <functional>
#include <string>
#include <string_view>

namespace lentilhoist {

/// Limits of one call to a server that may be slow, broken or endless.
struct call_limits {
  milliseconds Connect{500};
  milliseconds Silence{5'000}; ///< Longest gap between bytes of the response.
  milliseconds Total{10'000};  ///< From the start to the end of the response.
  std::size_t MaxHeadBytes = 16U << 10U;
  std::size_t MaxBodyBytes = 1U << 20U;
};

/// \param Timeouts limits of each wait.
/// \returns limits of a call, whose total time is the sum of the waits.
call_limits limitsOf(const http_timeouts &Timeouts);

/// How a call ended.
enum class call_end {
  Complete,     ///< The response is whole.
  NotConnected, ///< Nothing was sent.
  Silent,       ///< No byte for the time allowed.
  TimedOut,     ///< The total time is over.
  Broken,       ///< The connection ended before the response did.
  Malformed,    ///< Not HTTP/1.1, or framed in more than one way.
  TooLarge,     ///< The head or the body exceeds its limit.
  Stopped,      ///< The receiver of the body wanted no more.
};

/// \param End the value to name.
/// \returns its stable text form.
const char *callEndName(call_end End);

/// Result of a call.
struct call_result {
  call_end End = call_end::NotConnected;
  http_response_head Head; ///< Status 0 if there was none.
  std::string Body;        ///< Unless it was passed to a receiver.
};

/// Takes the body of a successful response in parts.
/// \returns whether to go on.
using body_receiver = std::function<bool(std::string_view)>;

/// Calls a server on a connection of its own and reads the response within
/// limits of time and size. Blocks.
/// \param Target the server.
/// \param Head the head of the request, without framing fields.
/// \param Body the body of the request.
/// \param Limits the limits.
/// \param OnBody takes the body of a response with status 200 instead of the
/// result, without a limit of size; may be empty.
/// \returns the result.
call_result callBounded(const endpoint &Target, const http_request_head &Head,
                        std::string_view Body, const call_limits &Limits,
                        const body_receiver &OnBody = {});

} // namespace lentilhoist
