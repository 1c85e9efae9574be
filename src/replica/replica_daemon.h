#pragma once

#include "settings/instance_settings.h"

#include <functional>

namespace lentilhoist {

/// Runs a history replica until SIGTERM or SIGINT.
/// \param Settings settings of the instance, with a data folder.
/// \param OnHangup called on each SIGHUP.
/// \returns the exit code of the process.
int runReplica(const instance_settings &Settings,
               const std::function<void()> &OnHangup);

} // namespace lentilhoist
