#pragma once

namespace lentilhoist {

/// Blocks the signals that end a process, in this thread and those it starts.
/// Call it before any thread is started.
void blockEndSignals();

/// Waits for SIGTERM or SIGINT.
/// \returns the signal's number.
int waitForEndSignal();

} // namespace lentilhoist
