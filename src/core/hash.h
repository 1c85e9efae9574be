#pragma once

#include <cstdint>
#include <string_view>

namespace lentilhoist {

/// Computes a 64-bit hash that is equal on every instance and release.
/// \param Data the bytes to hash.
/// \param Seed separates independent uses of the same bytes.
/// \returns the XXH64 value (https://github.com/Cyan4973/xxHash spec).
std::uint64_t stableHash(std::string_view Data, std::uint64_t Seed = 0);

} // namespace lentilhoist
