#include "forward/runner_leaving.h"

#include "log/log.h"

namespace lentilhoist {

void reportLeaving(exchange_context &Context, const std::string &Id,
                   std::int64_t BornMs, const char *Source) {
  if (!recordLeaving(Context.Runners, Id, BornMs, readClock()))
    return;
  Context.Metrics.count("lentilhoist_runners_leaving_total");
  logEvent(log_level::Info, "runner_leaving",
           {{"runner", Id},
            {"born_ms", std::to_string(BornMs)},
            {"source", Source}});
  if (Context.OnRunnerLeaving)
    Context.OnRunnerLeaving(Id, BornMs);
}

} // namespace lentilhoist
