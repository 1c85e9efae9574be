#include "explore/model_runners.h"

#include "core/hash.h"

#include <fmt/format.h>

namespace lentilhoist {

std::string modelAnswer(const std::string &History, const std::string &Body) {
  return fmt::format(R"(["{:016x}"])", stableHash(Body, stableHash(History)));
}

std::string runSideEffect(const start_attempt &Start, model_runners &Runners) {
  const program_id Program = Start.Call.Program;
  const std::uint32_t Call = Start.Call.Call;
  const int Count = ++Runners.Runs[{Program, Call}];
  if (Count > 1)
    Runners.Breaches.push_back(fmt::format("call {} of {} ran {} times", Call,
                                           formatProgramId(Program), Count));
  if (Runners.LastRun[Program] > Call)
    Runners.Breaches.push_back(fmt::format("call {} of {} ran after call {}",
                                           Call, formatProgramId(Program),
                                           Runners.LastRun[Program]));
  Runners.LastRun[Program] = Call;
  std::string Response =
      fmt::format(R"({{"receipt":"{}/{}"}})", formatProgramId(Program), Call);
  Runners.Outcomes[Start.RequestKey] = Response;
  return Response;
}

} // namespace lentilhoist
