#pragma once

#include "settings/instance_settings.h"

#include <string>

namespace lentilhoist {

/// Runs an entry instance until it is asked to end: takes requests of callers,
/// and passes them on to runners.
/// \param Settings the instance's settings.
/// \param SettingsPath the file they came from, which is read again on SIGHUP.
/// \returns the exit code.
int runEdge(const instance_settings &Settings, const std::string &SettingsPath);

} // namespace lentilhoist
