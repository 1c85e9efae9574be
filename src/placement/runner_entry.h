#pragma once

#include <cstdint>
#include <string>

namespace lentilhoist {

/// What a runner says of itself in the registry.
struct runner_entry {
  std::string Id; ///< Its identity; it may start again under it.
  std::string Service;
  std::string Address; ///< IP:PORT.
  std::string Domain;  ///< Failure domain.
  int Slots = 1;       ///< Requests it processes at once.
  bool Draining = false;
  std::int64_t BornMs = 0; ///< Unix time of its start; a new one is a new life.

  bool operator==(const runner_entry &) const = default;
};

} // namespace lentilhoist
