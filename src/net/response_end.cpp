#include "net/response_end.h"

namespace lentilhoist {

bool isComplete(const response_progress &Progress) {
  if (!Progress.Delimited)
    return false;
  if (!Progress.EventStream)
    return true;
  if (Progress.InsideEvent)
    return false;
  return Progress.AnyEvent || Progress.Framing != body_framing::Connection;
}

} // namespace lentilhoist
