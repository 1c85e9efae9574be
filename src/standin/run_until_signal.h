#pragma once

#include "core/signal_wait.h"

#include <cstdio>
#include <exception>

namespace lentilhoist {

/// Serves until SIGTERM or SIGINT.
/// \param Server the stand-in. Its process called blockEndSignals() first.
/// \returns the process's exit code.
template <typename Standin> int runUntilSignal(Standin &Server) {
  try {
    Server.start();
  } catch (const std::exception &Error) {
    std::fprintf(stderr, "%s\n", Error.what());
    return 1;
  }
  waitForEndSignal();
  Server.stop();
  return 0;
}

} // namespace lentilhoist
