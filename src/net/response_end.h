#pragma once

#include "net/http_head.h"

namespace lentilhoist {

/// What has arrived of a response when its framing, or the orderly end of its
/// connection, says that nothing more follows.
struct response_progress {
  body_framing Framing = body_framing::Length;
  bool Delimited = false;   ///< See http_reader::complete().
  bool EventStream = false; ///< The body is a stream of events.
  bool InsideEvent = false; ///< The body ends with the start of an event.
  bool AnyEvent = false;    ///< The body has at least one whole event.
};

/// The rule for responses of runners. A connection that ends in order also ends
/// a body without a length or chunks, but a server that crashes ends it in the
/// same way; only the events can show the difference.
/// \param Progress what has arrived.
/// \returns whether the response is complete; otherwise it has been broken off.
bool isComplete(const response_progress &Progress);

} // namespace lentilhoist
