#pragma once

#include "forward/exchange_context.h"

namespace lentilhoist {

/// Longest wait for an issuer's reply. By then the issuer is suspected, if
/// nothing was received from it, and the next one is asked.
inline constexpr milliseconds QuotaReplyTimeout{260};
/// Longest wait of a request until an issuer can be reached. It covers a
/// restart of all replicas, which takes about a second.
inline constexpr milliseconds QuotaDecisionTimeout{1'200};
/// Permits that one request may ask for. One is usual; more are needed if
/// replies are lost, or if capacity is gone when a permit arrives.
inline constexpr int MaxQuotaAsks = 8;

/// One request's way to a permit of its workspace.
struct quota_progress {
  instant PermitUntil{};  ///< Its permit lapses then; zero without one.
  instant FirstAskedAt{}; ///< Since when it waits; zero if it doesn't.
  instant RetryAt{};      ///< Asks again then, unless a reply comes first.
  int Asks = 0;
  bool Noted = false;             ///< Counted in the stock.
  std::optional<sent_quota> Sent; ///< Under way.
  /// The issuer has refused it: time until the rate allows it.
  std::optional<milliseconds> RefusedFor;
};

/// What a request that is about to be sent does next.
enum class quota_step {
  Send,   ///< It has a permit or needs none.
  Wait,   ///< Until progress' RetryAt or a reply.
  Refuse, ///< The workspace has used up its quota.
  GiveUp, ///< No issuer has decided in time.
};

/// The next step of a request.
struct quota_decision {
  quota_step Step = quota_step::Send;
  milliseconds RetryAfter{0}; ///< Refuse: when the rate allows the request.
};

/// \param Workspace the workspace; null without one.
/// \param ConfigVersion version of the configuration that states it.
/// \returns its quota; not active if it has none.
quota quotaOf(const workspace *Workspace, std::int64_t ConfigVersion);

/// Takes the next step towards a permit, before a request is sent. Asks the
/// issuer of the workspace if this instance has no permit.
/// \param Context state of the instance.
/// \param Workspace name.
/// \param Quota its quota.
/// \param Progress of the request; updated.
/// \param HoldTime how long the request may wait.
/// \param Attempt the request, for the log.
/// \param OnReply called after Wait with the reply, unless it is lost; the
/// request applies it with applyQuotaAnswer() and takes its next step.
/// \returns the step. Refuse is logged.
quota_decision advanceQuota(exchange_context &Context,
                            const std::string &Workspace, const quota &Quota,
                            quota_progress &Progress, milliseconds HoldTime,
                            const std::string &Attempt,
                            std::function<void(const quota_reply &)> OnReply);

/// Applies a reply to the request that it answers.
/// \param Progress of the request; updated.
/// \param Reply the reply.
/// \param Now the current time.
void applyQuotaAnswer(quota_progress &Progress, const quota_reply &Reply,
                      instant Now);

/// \param Context state of the instance.
/// \param Workspace name.
/// \param Quota its quota.
/// \param Progress of the request; updated.
/// \param Now the current time.
/// \returns whether the request has a permit that has not lapsed, or gets
/// another one without a message.
bool hasPermit(exchange_context &Context, const std::string &Workspace,
               const quota &Quota, quota_progress &Progress, instant Now);

} // namespace lentilhoist
