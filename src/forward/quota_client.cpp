#include "forward/quota_client.h"

#include "core/hash.h"
#include "forward/permit_client.h"
#include "limit/rate_limit.h"
#include "log/log.h"

#include <algorithm>

namespace lentilhoist {

namespace {

using std::chrono::duration_cast;

/// Interval at which a request looks again for an issuer.
constexpr milliseconds IssuerRetryInterval{30};
/// A reply of an issuer that restarts says little: a request asks again after
/// this time at most.
constexpr milliseconds MaxUndecidedDelay{250};

std::string ageText(instant Then, instant Now) {
  return Then.Steady.count() == 0 ? "-1"
                                  : std::to_string(duration_cast<milliseconds>(
                                                       Now.Steady - Then.Steady)
                                                       .count());
}

void countDecision(exchange_context &Context, const std::string &Workspace,
                   const char *Decision, instant Now) {
  Context.Metrics.count(std::string("lentilhoist_quota_requests_total{") +
                        "workspace=\"" +
                        labelOf(Context.Quotas, Workspace, Now) +
                        "\",decision=\"" + Decision + "\"}");
}

quota_decision refuse(exchange_context &Context, const std::string &Workspace,
                      const quota &Quota, const std::string &Attempt,
                      milliseconds RetryAfter, instant Now) {
  const quota_stock &Stock = findStock(Context.Quotas, Workspace, Now);
  logEvent(log_level::Info, "quota_refused",
           {{"request", Attempt},
            {"workspace", Workspace},
            {"per_second", formatRate(Quota.PerSecond)},
            {"burst", formatRate(Quota.Burst)},
            {"config_version", std::to_string(Quota.Version)},
            {"issuer", Stock.Issuer},
            {"issuer_config_version", std::to_string(Stock.RefusedVersion)},
            {"tokens", formatRate(Stock.Tokens)},
            {"demand_per_second", formatRate(Stock.Demand)},
            {"age_ms", ageText(Stock.DemandAt, Now)},
            {"retry_after_ms", std::to_string(RetryAfter.count())}});
  countDecision(Context, Workspace, "refused", Now);
  return {quota_step::Refuse, RetryAfter};
}

quota_decision wait(quota_progress &Progress, instant Now, milliseconds Time) {
  Progress.RetryAt = later(Now, Time);
  return {quota_step::Wait, {}};
}

double phaseOf(const exchange_context &Context, const std::string &Workspace) {
  const std::uint64_t Hash =
      stableHash(Workspace, stableHash(Context.RelayAddress));
  constexpr std::uint64_t Steps = 1'000'000;
  return static_cast<double>(Hash % Steps) / static_cast<double>(Steps);
}

/// The step of a request if no issuer can be reached.
quota_decision decideAlone(exchange_context &Context,
                           const std::string &Workspace, const quota &Quota,
                           quota_progress &Progress, const std::string &Attempt,
                           instant Now) {
  const std::size_t Instances = Context.History.instanceCount();
  // Replicas of a build without quotas are all there is: the request is served
  // as before, because instances of that build don't ask either.
  const bool Unsupported = Context.History.quotasUnsupported(Now);
  quota_stock &Stock = findStock(Context.Quotas, Workspace, Now);
  const bool Own =
      !Unsupported && Instances != 0 &&
      addOwnPermit(Stock, Quota, Instances, phaseOf(Context, Workspace), Now);
  if (!Unsupported && !Own)
    return wait(Progress, Now, IssuerRetryInterval);
  logEvent(log_level::Info, "quota_decided",
           {{"request", Attempt},
            {"workspace", Workspace},
            {"verdict", "granted"},
            {"permits", "1"},
            {"per_second", formatRate(Quota.PerSecond)},
            {"config_version", std::to_string(Quota.Version)},
            {"issuer", Own ? "own_share" : "unsupported"},
            {"instances", std::to_string(Instances)},
            {"waited_ms", ageText(Progress.FirstAskedAt, Now)}});
  Progress.PermitUntil =
      Own ? takePermit(Stock, Now).value_or(Now) : later(Now, QuotaPermitLife);
  Progress.FirstAskedAt = {};
  countDecision(Context, Workspace, Own ? "own_share" : "unsupported", Now);
  return {};
}

/// Asks the issuer of the workspace.
bool ask(exchange_context &Context, const std::string &Workspace,
         const quota &Quota, quota_progress &Progress,
         const std::string &Attempt,
         std::function<void(const quota_reply &)> OnReply, instant Now) {
  quota_stock &Stock = findStock(Context.Quotas, Workspace, Now);
  const quota_request Request =
      makeQuotaRequest(Stock, Workspace, Quota, Progress.Asks > 0, Now);
  Progress.Sent = Context.History.requestQuota(
      Request, [&Context, Workspace, Now, Attempt,
                OnReply = std::move(OnReply)](const quota_answer &Answer) {
        const instant Received = readClock();
        const quota_reply Reply = Answer.Reply.value_or(quota_reply{});
        const auto Verdict = static_cast<std::size_t>(Reply.Verdict);
        logEvent(log_level::Info, "quota_decided",
                 {{"request", Attempt},
                  {"workspace", Workspace},
                  {"verdict", std::string(QuotaVerdictNames[Verdict])},
                  {"permits", std::to_string(Reply.Permits)},
                  {"per_second", formatRate(Reply.PerSecond)},
                  {"config_version", std::to_string(Reply.Version)},
                  {"tokens", formatRate(Reply.Tokens)},
                  {"issuer", Answer.Issuer},
                  {"waited_ms", ageText(Now, Received)}});
        quota_stock &Asked = findStock(Context.Quotas, Workspace, Received);
        Asked.Issuer = Answer.Issuer;
        applyQuotaReply(Asked, Reply, Now, Received);
        OnReply(Reply);
      });
  if (!Progress.Sent) {
    Stock.UnreportedRefusals = Request.Refused;
    return false;
  }
  ++Progress.Asks;
  Context.Metrics.count("lentilhoist_quota_messages_total");
  return true;
}

} // namespace

quota quotaOf(const workspace *Workspace, std::int64_t ConfigVersion) {
  if (!Workspace || !(Workspace->RatePerSecond > 0) ||
      Workspace->RatePerSecond > MaxRateLimit)
    return {};
  return {ConfigVersion, std::max(Workspace->RatePerSecond, MinRateLimit),
          std::clamp(Workspace->Burst, 0.0, MaxRateLimit)};
}

bool hasPermit(exchange_context &Context, const std::string &Workspace,
               const quota &Quota, quota_progress &Progress, instant Now) {
  if (!Quota.active() || Progress.PermitUntil.Steady > Now.Steady)
    return true;
  const auto Until = takePermit(findStock(Context.Quotas, Workspace, Now), Now);
  if (!Until)
    return false;
  Progress.PermitUntil = *Until;
  Progress.FirstAskedAt = {};
  countDecision(Context, Workspace, "granted", Now);
  return true;
}

void applyQuotaAnswer(quota_progress &Progress, const quota_reply &Reply,
                      instant Now) {
  Progress.Sent = std::nullopt;
  Progress.RetryAt = Now;
  if (Reply.Verdict == quota_verdict::Refused)
    Progress.RefusedFor = milliseconds(static_cast<std::int64_t>(
        std::min<std::uint64_t>(Reply.RetryMs, 3'600'000)));
  if (Reply.Verdict == quota_verdict::Undecided)
    Progress.RetryAt = later(
        Now, std::min(MaxUndecidedDelay,
                      milliseconds(static_cast<std::int64_t>(
                          std::min<std::uint64_t>(Reply.DelayMs, 60'000)))));
}

quota_decision advanceQuota(exchange_context &Context,
                            const std::string &Workspace, const quota &Quota,
                            quota_progress &Progress, milliseconds HoldTime,
                            const std::string &Attempt,
                            std::function<void(const quota_reply &)> OnReply) {
  const instant Now = readClock();
  if (Quota.active() && !std::exchange(Progress.Noted, true))
    noteRequest(findStock(Context.Quotas, Workspace, Now), Now);
  if (hasPermit(Context, Workspace, Quota, Progress, Now))
    return {};
  quota_stock &Stock = findStock(Context.Quotas, Workspace, Now);
  if (Progress.RefusedFor)
    return refuse(Context, Workspace, Quota, Attempt, *Progress.RefusedFor,
                  Now);
  if (const auto RetryAfter = refuseKnown(Stock, Quota, Now))
    return refuse(Context, Workspace, Quota, Attempt, *RetryAfter, Now);
  if (Progress.RetryAt.Steady > Now.Steady)
    return {quota_step::Wait, {}};
  if (Progress.Sent)
    Context.History.cancelQuota(*std::exchange(Progress.Sent, std::nullopt));
  if (Progress.FirstAskedAt.Steady.count() == 0)
    Progress.FirstAskedAt = Now;
  const microseconds Waited = Now.Steady - Progress.FirstAskedAt.Steady;
  // A request that has waited long for capacity may still ask once.
  const bool Late = Waited >= QuotaDecisionTimeout ||
                    (HoldTime.count() <= 0 && Waited.count() > 0);
  if (Late || Progress.Asks >= MaxQuotaAsks) {
    logEvent(
        log_level::Warning, "quota_undecided",
        {{"request", Attempt},
         {"workspace", Workspace},
         {"per_second", formatRate(Quota.PerSecond)},
         {"config_version", std::to_string(Quota.Version)},
         {"asked", std::to_string(Progress.Asks)},
         {"replica_set", std::to_string(Context.History.replicas().Version)},
         {"instances", std::to_string(Context.History.instanceCount())},
         {"last_reply_age_ms", ageText(Stock.DemandAt, Now)},
         {"waited_ms", ageText(Progress.FirstAskedAt, Now)}});
    countDecision(Context, Workspace, "undecided", Now);
    return {quota_step::GiveUp, {}};
  }
  if (!ask(Context, Workspace, Quota, Progress, Attempt, std::move(OnReply),
           Now))
    return decideAlone(Context, Workspace, Quota, Progress, Attempt, Now);
  return wait(Progress, Now, QuotaReplyTimeout);
}

} // namespace lentilhoist
