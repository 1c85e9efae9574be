#pragma once

#include "settings/instance_settings.h"

#include <functional>

namespace lentilhoist {

/// Describes a daemon to daemonMain().
struct daemon_program {
  const char *Role;  ///< Role name in log events and error messages.
  const char *Usage; ///< Description printed by --help.
  /// Runs the daemon until it is told to stop, and returns the exit code. Takes
  /// the instance's settings and the function to call on SIGHUP.
  int (*Run)(const instance_settings &, const std::function<void()> &);
};

/// Parses the command line, reads the settings, starts the log and runs a
/// daemon. Errors are printed to stderr.
/// \param ArgCount the argument count from main().
/// \param Args the arguments from main().
/// \param Program the daemon to run.
/// \returns the exit code of the process: 2 if the settings are invalid, 1 on
/// any other error, 0 after --check, otherwise the result of the daemon.
int daemonMain(int ArgCount, char **Args, const daemon_program &Program);

} // namespace lentilhoist
