#pragma once

#include <cstdint>
#include <string>

namespace lentilhoist {

/// Registration of a runner in the registry.
struct runner_entry {
  std::string Id; ///< Stable identity; kept across restarts.
  std::string Service;
  std::string Address; ///< IP:PORT.
  std::string Domain;  ///< Failure domain.
  int Slots = 1;       ///< Requests that it processes concurrently.
  bool Draining = false;
  /// Unix time of the start in milliseconds; identifies the incarnation.
  std::int64_t BornMs = 0;

  bool operator==(const runner_entry &) const = default;
};

} // namespace lentilhoist
