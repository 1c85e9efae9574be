#pragma once

#include "settings/instance_settings.h"

#include <functional>

namespace lentilhoist {

/// What a daemon of the platform's machines is started by.
struct daemon_program {
  const char *Role;  ///< Name of the role, for the log and messages.
  const char *Usage; ///< What it does, for --help.
  /// Runs the daemon until it is asked to end. It is given its settings and
  /// what it is to do on SIGHUP, and returns the exit code.
  int (*Run)(const instance_settings &, const std::function<void()> &);
};

/// Reads flags and settings, starts the log and runs a daemon.
/// \param ArgCount as of main.
/// \param Args as of main.
/// \param Program the daemon.
/// \returns the exit code of the process.
int daemonMain(int ArgCount, char **Args, const daemon_program &Program);

} // namespace lentilhoist
