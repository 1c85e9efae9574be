#pragma once

#include "forward/exchange_context.h"

namespace lentilhoist {

/// Records that a runner's connection broke under a request, and finds out
/// whether the runner has ended.
/// \param Context state of the instance.
/// \param RunnerId the runner.
/// \param BornMs the incarnation that the request was sent to.
/// \param Send the request.
void watchBrokenSend(exchange_context &Context, const std::string &RunnerId,
                     std::int64_t BornMs, const broken_send &Send);

/// Records that a runner has ended, and tells the replicas which requests were
/// at it.
/// \param Context state of the instance.
/// \param RunnerId the runner.
/// \param BornMs the incarnation that has ended.
/// \param Sign how that was noticed, for the log.
void reportCrash(exchange_context &Context, const std::string &RunnerId,
                 std::int64_t BornMs, const char *Sign);

/// Tells the replicas what this instance knows of some signatures.
/// \param Context state of the instance.
/// \param Signatures the signatures.
void shareSuspects(exchange_context &Context,
                   const std::vector<request_signature> &Signatures);

/// \param Signature a signature.
/// \returns its text form in log lines.
std::string formatSignature(request_signature Signature);

} // namespace lentilhoist
