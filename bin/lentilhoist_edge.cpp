#include "edge/edge.h"
#include "log/log.h"
#include "platform/machine_settings.h"
#include "settings/settings_error.h"

#include <csignal>
#include <cstdlib>
#include <exception>
#include <fmt/format.h>
#include <gflags/gflags.h>

DEFINE_string(settings, "",
              "settings file of the machine; LENTILHOIST_BOOT names it if this "
              "is empty");
DEFINE_bool(check, false, "check the settings, print them and exit");

namespace {

constexpr int ExitFailed = 1;
constexpr int ExitBadSettings = 2;

std::string settingsPath() {
  if (!FLAGS_settings.empty())
    return FLAGS_settings;
  const char *Path = std::getenv(lentilhoist::platform::SettingsVariable);
  return Path ? Path : "";
}

} // namespace

int main(int ArgCount, char **Args) {
  gflags::SetVersionString(LENTILHOIST_VERSION);
  gflags::SetUsageMessage("runs an entry instance: takes requests of callers "
                          "and passes them on to runners");
  gflags::ParseCommandLineFlags(&ArgCount, &Args, true);
  std::signal(SIGPIPE, SIG_IGN);
  try {
    const std::string Path = settingsPath();
    const auto Settings = lentilhoist::platform::readMachineSettings(Path);
    if (FLAGS_check) {
      fmt::print("{}", lentilhoist::describeInstanceSettings(Settings));
      return 0;
    }
    const lentilhoist::log_writer Writer(Settings.Name,
                                         lentilhoist::log_level::Info);
    lentilhoist::logEvent(lentilhoist::log_level::Info, "process_started",
                          {{"version", LENTILHOIST_VERSION},
                           {"role", "edge"},
                           {"domain", Settings.Domain},
                           {"address", Settings.Address}});
    return lentilhoist::runEdge(Settings, Path);
  } catch (const lentilhoist::settings_error &Error) {
    fmt::print(stderr, "lentilhoist-edge: {}\n", Error.what());
    return ExitBadSettings;
  } catch (const std::exception &Error) {
    fmt::print(stderr, "lentilhoist-edge: {}\n", Error.what());
    return ExitFailed;
  }
}
