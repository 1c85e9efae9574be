#include "core/signal_wait.h"
#include "daemon/daemon.h"
#include "settings/daemon_settings.h"

#include <fmt/format.h>
#include <gflags/gflags.h>

DEFINE_string(config, "", "settings file (TOML)");
DEFINE_bool(check, false, "print the effective settings and exit");

namespace {

constexpr int ExitBadSettings = 2;

} // namespace

int main(int ArgumentCount, char **Arguments) {
  gflags::SetUsageMessage(
      "The scheduler's daemon.\n  lentilhoistd --config=FILE [--check]");
  gflags::SetVersionString(LENTILHOIST_VERSION);
  gflags::ParseCommandLineFlags(&ArgumentCount, &Arguments, true);
  lentilhoist::blockEndSignals();
  try {
    const auto Settings = lentilhoist::readDaemonSettings(FLAGS_config);
    if (FLAGS_check) {
      fmt::print("{}", lentilhoist::describeDaemonSettings(Settings));
      return 0;
    }
    return lentilhoist::runDaemon(Settings);
  } catch (const lentilhoist::settings_error &Error) {
    fmt::print(stderr, "lentilhoistd: {}\n", Error.what());
    return ExitBadSettings;
  }
}
