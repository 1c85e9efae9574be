#pragma once

#include "settings/instance_settings.h"

#include <functional>

namespace lentilhoist {

/// Runs an entry instance, which accepts requests from callers and forwards
/// them to runners. Blocks until the instance has drained after SIGTERM or
/// SIGINT.
/// \param Settings the instance's settings.
/// \param OnHangup called on SIGHUP.
/// \returns the exit code of the process.
int runEdge(const instance_settings &Settings,
            const std::function<void()> &OnHangup);

} // namespace lentilhoist
