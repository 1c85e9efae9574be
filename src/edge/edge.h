#pragma once

#include "settings/instance_settings.h"

#include <functional>

namespace lentilhoist {

/// Runs an entry instance until it is asked to end: takes requests of callers,
/// and passes them on to runners.
/// \param Settings the instance's settings.
/// \param OnHangup called on SIGHUP.
/// \returns the exit code.
int runEdge(const instance_settings &Settings,
            const std::function<void()> &OnHangup);

} // namespace lentilhoist
