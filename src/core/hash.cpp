#include "core/hash.h"

#include <xxhash.h>

namespace lentilhoist {

std::uint64_t stableHash(std::string_view Data, std::uint64_t Seed) {
  return XXH64(Data.data(), Data.size(), Seed);
}

} // namespace lentilhoist
