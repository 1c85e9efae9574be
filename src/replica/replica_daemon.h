#pragma once

#include "settings/instance_settings.h"

#include <string>

namespace lentilhoist {

/// Runs a replica of the history until it is asked to end.
/// \param Settings the instance's settings; they name a data folder.
/// \param SettingsPath the file they came from, which is read again on SIGHUP.
/// \returns the exit code.
int runReplica(const instance_settings &Settings,
               const std::string &SettingsPath);

} // namespace lentilhoist
