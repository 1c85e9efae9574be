#include "http/bounded_call.h"

#include "http/bounded_connection.h"

namespace lentilhoist {

call_limits limitsOf(const http_timeouts &Timeouts) {
  call_limits Limits;
  Limits.Connect = Timeouts.Connect;
  Limits.Silence = Timeouts.Read;
  Limits.Total = Timeouts.Connect + Timeouts.Write + Timeouts.Read;
  return Limits;
}

const char *callEndName(call_end End) {
  switch (End) {
  case call_end::Complete:
    return "complete";
  case call_end::NotConnected:
    return "not connected";
  case call_end::Silent:
    return "silent";
  case call_end::TimedOut:
    return "timed out";
  case call_end::Broken:
    return "broken off";
  case call_end::Malformed:
    return "malformed";
  case call_end::TooLarge:
    return "too large";
  case call_end::Stopped:
    return "stopped";
  }
  return "unknown";
}

call_result callBounded(const endpoint &Target, const http_request_head &Head,
                        std::string_view Body, const call_limits &Limits,
                        const body_receiver &OnBody) {
  return bounded_connection(Target).call(Head, Body, Limits, OnBody);
}

} // namespace lentilhoist
