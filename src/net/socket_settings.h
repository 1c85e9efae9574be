#pragma once

#include <chrono>

namespace lentilhoist {

/// Options of TCP connections.
struct socket_settings {
  /// Unacknowledged bytes and unanswered probes end the connection after this
  /// long; the platform's pages warn that connections to a dark peer hang.
  std::chrono::milliseconds UserTimeout{3'000};
  /// Idle time before the first keep-alive probe, and between probes.
  std::chrono::seconds ProbeInterval{1};
};

} // namespace lentilhoist
