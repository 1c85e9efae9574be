#include "forward/crash_watch.h"

#include "forward/path_watch.h"
#include "log/log.h"

#include <fmt/format.h>

namespace lentilhoist {

std::string formatSignature(request_signature Signature) {
  return fmt::format("{:016x}", Signature);
}

void watchBrokenSend(exchange_context &Context, const std::string &RunnerId,
                     std::int64_t BornMs, const broken_send &Send) {
  const auto Found = Context.Runners.Runners.find(RunnerId);
  // A runner that drains may end with requests at it.
  if (Found == Context.Runners.Runners.end() || !takesRequests(Found->second))
    return;
  recordBroken(Context.Broken, RunnerId, BornMs, Send);
  const runner_entry &Entry = Found->second.Entry;
  if (Entry.BornMs != BornMs)
    reportCrash(Context, RunnerId, BornMs, "new_incarnation");
  else
    probeRunner(Context, RunnerId);
}

void reportCrash(exchange_context &Context, const std::string &RunnerId,
                 std::int64_t BornMs, const char *Sign) {
  const instant Now = readClock();
  const auto Signatures =
      confirmCrash(Context.Broken, Context.Suspects, RunnerId, BornMs, Now);
  if (Signatures.empty())
    return;
  Context.Metrics.count("lentilhoist_runner_crashes_total");
  for (const request_signature Signature : Signatures) {
    const auto Decision = decideQuarantine(Context.Suspects, Signature, Now);
    logEvent(log_level::Warning, "runner_ended_under_request",
             {{"runner", RunnerId},
              {"born_ms", std::to_string(BornMs)},
              {"sign", Sign},
              {"signature", formatSignature(Signature)},
              {"crashes", std::to_string(Decision.Crashes)},
              {"early_crashes", std::to_string(Decision.EarlyCrashes)},
              {"verdict", quarantineVerdictName(Decision.Verdict)}});
  }
  shareSuspects(Context, Signatures);
}

void shareSuspects(exchange_context &Context,
                   const std::vector<request_signature> &Signatures) {
  suspect_table Changed;
  for (const request_signature Signature : Signatures)
    if (const auto Found = Context.Suspects.Suspects.find(Signature);
        Found != Context.Suspects.Suspects.end())
      Changed.Suspects.insert(*Found);
  Context.History.shareSuspects(
      listSuspects(Changed, MaxListedSuspects, 0, readClock()));
}

} // namespace lentilhoist
