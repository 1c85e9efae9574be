#pragma once

#include "settings/daemon_settings.h"

namespace lentilhoist {

/// Runs the daemon until SIGTERM or SIGINT, then hands its shards over and lets
/// requests under way finish. The calling process must have blocked the end
/// signals before it started any thread.
/// \param Settings the settings.
/// \returns the process's exit code.
int runDaemon(const daemon_settings &Settings);

} // namespace lentilhoist
