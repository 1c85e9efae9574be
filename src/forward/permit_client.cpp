#include "forward/permit_client.h"

#include "limit/permit_issuer.h"
#include "log/log.h"

#include <algorithm>
#include <fmt/format.h>

namespace lentilhoist {

namespace {

using std::chrono::duration_cast;

std::uint64_t ageMs(instant Then, instant Now) {
  return static_cast<std::uint64_t>(std::max<std::int64_t>(
      0, duration_cast<milliseconds>(Now.Steady - Then.Steady).count()));
}

void logLimitChange(const std::string &Runner, double Former,
                    const permit_stock &Stock, const std::string &Source,
                    instant Now) {
  logEvent(log_level::Info, "runner_limit_changed",
           {{"runner", Runner},
            {"per_second", formatRate(Stock.Limit.PerSecond)},
            {"former_per_second", formatRate(Former)},
            {"age_ms", std::to_string(ageMs(Stock.Limit.StatedAt, Now))},
            {"source", Source}});
}

/// This instance's part of the limit while no issuer can be reached: as if all
/// instances were in the same state. Nothing if their number is not known.
permit_reply issueOwnShare(exchange_context &Context, permit_request Request,
                           instant Now) {
  const double Limit = Request.PerSecond;
  const std::size_t Instances = Context.History.instanceCount();
  permit_reply Reply;
  Reply.DelayMs = static_cast<std::uint64_t>(PermitLifetime.count());
  if (Instances != 0) {
    Request.PerSecond = Limit / static_cast<double>(Instances);
    Reply = issuePermit(Context.OwnShare, Request, Now);
  }
  Reply.PerSecond = Limit;
  Reply.AgeMs = Request.AgeMs;
  return Reply;
}

} // namespace

std::string formatRate(double PerSecond) {
  return fmt::format("{:.3f}", PerSecond);
}

void requestPermit(exchange_context &Context, const std::string &RunnerId,
                   permit_rank Rank, milliseconds MaxDelay,
                   const std::string &Attempt,
                   std::function<void(permit_outcome)> OnDone) {
  const instant Now = readClock();
  const runner_view &View = Context.Runners.Runners.at(RunnerId);
  permit_request Request;
  Request.Runner = RunnerId;
  Request.BornMs = View.Entry.BornMs;
  Request.PerSecond = View.Permits.Limit.PerSecond;
  Request.AgeMs = ageMs(View.Permits.Limit.StatedAt, Now);
  Request.Rank = Rank;
  Request.MaxDelayMs =
      static_cast<std::uint64_t>(std::max<std::int64_t>(0, MaxDelay.count()));
  const auto Apply = [&Context, RunnerId, BornMs = Request.BornMs, Rank, Now,
                      Attempt, OnDone = std::move(OnDone)](
                         const permit_reply &Reply, const std::string &Issuer) {
    const instant Received = readClock();
    logEvent(
        log_level::Info, "permit_decided",
        {{"request", Attempt},
         {"runner", RunnerId},
         {"rank", std::string(PermitRankNames[static_cast<std::size_t>(Rank)])},
         {"granted", Reply.Granted ? "true" : "false"},
         {"delay_ms", std::to_string(Reply.DelayMs)},
         {"per_second", formatRate(Reply.PerSecond)},
         {"limit_age_ms", std::to_string(Reply.AgeMs)},
         {"issuer", Issuer},
         {"waited_ms", std::to_string(ageMs(Now, Received))}});
    Context.Metrics.count(std::string("lentilhoist_permits_total{granted=\"") +
                          (Reply.Granted ? "true" : "false") + "\"}");
    runner_view *Runner = findIncarnation(Context.Runners, RunnerId, BornMs);
    if (!Runner)
      return;
    const double Former = Runner->Permits.Limit.PerSecond;
    if (applyReply(Runner->Permits, Rank, Reply, Now, Received))
      logLimitChange(RunnerId, Former, Runner->Permits, Issuer, Received);
    OnDone(
        {Reply.Granted, milliseconds(static_cast<std::int64_t>(
                            std::min<std::uint64_t>(Reply.DelayMs, 60'000)))});
  };
  if (Context.History.requestPermit(Request, Apply))
    return;
  // Posted: the caller must not be called back before this function returns.
  asio::post(Context.Loop,
             [Apply, Reply = issueOwnShare(Context, Request, Now)] {
               Apply(Reply, "own_share");
             });
}

void applyLimitNotices(exchange_context &Context,
                       const std::vector<limit_notice> &Notices, instant Now) {
  for (const limit_notice &Notice : Notices) {
    runner_view *Runner =
        findIncarnation(Context.Runners, Notice.Runner, Notice.BornMs);
    if (!Runner)
      continue;
    const double Former = Runner->Permits.Limit.PerSecond;
    if (applyNotice(Runner->Permits, Notice.PerSecond, Notice.AgeMs, Now))
      logLimitChange(Notice.Runner, Former, Runner->Permits, "replica", Now);
  }
}

} // namespace lentilhoist
