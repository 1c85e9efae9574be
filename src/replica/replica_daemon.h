#pragma once

#include "settings/instance_settings.h"

#include <functional>

namespace lentilhoist {

/// Runs a replica of the history until it is asked to end.
/// \param Settings the instance's settings; they name a data folder.
/// \param OnHangup called on SIGHUP.
/// \returns the exit code.
int runReplica(const instance_settings &Settings,
               const std::function<void()> &OnHangup);

} // namespace lentilhoist
