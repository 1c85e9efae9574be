#include "load/load_run.h"
#include "load/overhead_probe.h"

#include <fmt/format.h>
#include <gflags/gflags.h>
#include <sstream>

DEFINE_string(platform, "127.0.0.1:7000", "platform whose list is read");
DEFINE_string(engines, "", "engines whose records are checked, with commas");
DEFINE_string(services, "", "services whose records are checked, with commas");
DEFINE_string(service, "shop-app", "service that side effects go to");
DEFINE_string(tenant, "gaisa-loki", "tenant of the programs");
DEFINE_string(classes, "customer,planner", "classes, the first the shorter");
DEFINE_int32(programs, 50, "programs to run");
DEFINE_int32(concurrency, 50, "programs under way at once");
DEFINE_double(ramp_s, 1.0, "time over which the first programs start, seconds");
DEFINE_int32(max_tokens, 24, "tokens that each model call generates");
DEFINE_int32(killed_port, 0, "caller port of an instance killed on purpose");
DEFINE_string(trace, "", "file for one JSON line a program");
DEFINE_int32(overhead, 0,
             "compare so many calls through --instance with "
             "calls straight to the first engine, and exit");
DEFINE_string(instance, "", "caller address of an instance, for --overhead");
DEFINE_uint64(seed, 1, "seed of everything that is random");

namespace {

constexpr int ExitBreach = 1;
constexpr int ExitUsage = 2;

std::vector<std::string> split(const std::string &Text) {
  std::vector<std::string> Parts;
  std::stringstream Stream(Text);
  for (std::string Part; std::getline(Stream, Part, ',');)
    Parts.push_back(Part);
  return Parts;
}

std::vector<lentilhoist::endpoint> parseEndpoints(const std::string &Text) {
  std::vector<lentilhoist::endpoint> Endpoints;
  for (const std::string &Part : split(Text))
    Endpoints.push_back(lentilhoist::parseEndpoint(Part));
  return Endpoints;
}

lentilhoist::load_settings readFlags() {
  lentilhoist::load_settings Settings;
  Settings.Platform = lentilhoist::parseEndpoint(FLAGS_platform);
  Settings.Engines = parseEndpoints(FLAGS_engines);
  Settings.Services = parseEndpoints(FLAGS_services);
  Settings.Service = FLAGS_service;
  Settings.Programs = FLAGS_programs;
  Settings.Concurrency = FLAGS_concurrency;
  Settings.RampSeconds = FLAGS_ramp_s;
  Settings.Seed = FLAGS_seed;
  Settings.KilledPort = FLAGS_killed_port;
  Settings.TraceFile = FLAGS_trace;
  Settings.Classes.clear();
  int Factor = 1;
  for (const std::string &Name : split(FLAGS_classes)) {
    lentilhoist::load_class Class;
    Class.Tenant = FLAGS_tenant;
    Class.Class = Name;
    Class.MaxTokens = FLAGS_max_tokens;
    Class.MinTurns *= Factor;
    Class.MaxTurns *= Factor;
    Settings.Classes.push_back(Class);
    Factor *= 3;
  }
  return Settings;
}

void printOverhead() {
  const auto Result = lentilhoist::probeOverhead(
      parseEndpoints(FLAGS_engines).at(0),
      lentilhoist::parseEndpoint(FLAGS_instance), FLAGS_overhead);
  const char *Line = "{:<11} direct p50 {:.3f} p99 {:.3f} ms; through p50 "
                     "{:.3f} p99 {:.3f} ms; added p50 {:.3f} p99 {:.3f} ms\n";
  fmt::print(fmt::runtime(Line), "first byte", Result.DirectFirstP50,
             Result.DirectFirstP99, Result.ThroughFirstP50,
             Result.ThroughFirstP99,
             Result.ThroughFirstP50 - Result.DirectFirstP50,
             Result.ThroughFirstP99 - Result.DirectFirstP99);
  fmt::print(fmt::runtime(Line), "last byte", Result.DirectP50,
             Result.DirectP99, Result.ThroughP50, Result.ThroughP99,
             Result.ThroughP50 - Result.DirectP50,
             Result.ThroughP99 - Result.DirectP99);
}

} // namespace

int main(int ArgumentCount, char **Arguments) {
  gflags::SetUsageMessage(
      "Runs many programs against the instances and checks the promises.");
  gflags::ParseCommandLineFlags(&ArgumentCount, &Arguments, true);
  try {
    if (FLAGS_overhead > 0) {
      printOverhead();
      return 0;
    }
    const auto Result = lentilhoist::runLoad(readFlags());
    fmt::print("{}", lentilhoist::describeLoad(Result));
    return lentilhoist::countBreaches(Result) == 0 ? 0 : ExitBreach;
  } catch (const std::exception &Error) {
    fmt::print(stderr, "lentilhoist-load: {}\n", Error.what());
    return ExitUsage;
  }
}
