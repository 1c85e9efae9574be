#include "daemon_main.h"

#include "log/log.h"
#include "platform/machine_settings.h"
#include "settings/settings_error.h"

#include <csignal>
#include <cstdlib>
#include <exception>
#include <fmt/format.h>
#include <gflags/gflags.h>

DEFINE_string(settings, "",
              "path of the machine's settings file; if empty, taken from "
              "LENTILHOIST_BOOT");
DEFINE_bool(check, false, "check the settings, print them and exit");

namespace lentilhoist {

namespace {

constexpr int ExitFailed = 1;
constexpr int ExitBadSettings = 2;

std::string settingsPath() {
  if (!FLAGS_settings.empty())
    return FLAGS_settings;
  const char *Path = std::getenv(platform::SettingsVariable);
  return Path ? Path : "";
}

/// Reads the settings file again and logs whether it changed. The new settings
/// are not applied: addresses are fixed for the lifetime of the process, and
/// the platform restarts the process when they change.
void reloadSettings(const instance_settings &Settings,
                    const std::string &Path) {
  try {
    const instance_settings Reloaded = platform::readMachineSettings(Path);
    logEvent(log_level::Info, "settings_reloaded",
             {{"changed", Reloaded == Settings ? "false" : "true"}});
  } catch (const std::runtime_error &Error) {
    logEvent(log_level::Error, "settings_unreadable",
             {{"reason", Error.what()}});
  }
}

} // namespace

int daemonMain(int ArgCount, char **Args, const daemon_program &Program) {
  gflags::SetVersionString(LENTILHOIST_VERSION);
  gflags::SetUsageMessage(Program.Usage);
  gflags::ParseCommandLineFlags(&ArgCount, &Args, true);
  std::signal(SIGPIPE, SIG_IGN);
  try {
    const std::string Path = settingsPath();
    const instance_settings Settings = platform::readMachineSettings(Path);
    if (FLAGS_check) {
      fmt::print("{}", describeInstanceSettings(Settings));
      return 0;
    }
    const log_writer Writer(Settings.Name, log_level::Info);
    logEvent(log_level::Info, "process_started",
             {{"version", LENTILHOIST_VERSION},
              {"role", Program.Role},
              {"domain", Settings.Domain},
              {"address", Settings.Address}});
    return Program.Run(Settings, [&] { reloadSettings(Settings, Path); });
  } catch (const settings_error &Error) {
    fmt::print(stderr, "lentilhoist-{}: {}\n", Program.Role, Error.what());
    return ExitBadSettings;
  } catch (const std::exception &Error) {
    fmt::print(stderr, "lentilhoist-{}: {}\n", Program.Role, Error.what());
    return ExitFailed;
  }
}

} // namespace lentilhoist
