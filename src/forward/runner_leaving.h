#pragma once

#include "forward/exchange_context.h"

#include <cstdint>
#include <string>

namespace lentilhoist {

/// Takes note that an incarnation of a runner leaves: it gets no new request
/// from this instance, for whomever.
/// \param Context state of the instance.
/// \param Id the runner's ID.
/// \param BornMs start time of the incarnation, Unix time in milliseconds.
/// \param Source how this instance knows, for the log: "response" or
/// "relayed" for a response that it passed on for another instance.
void reportLeaving(exchange_context &Context, const std::string &Id,
                   std::int64_t BornMs, const char *Source);

} // namespace lentilhoist
