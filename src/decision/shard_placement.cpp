#include "decision/shard_placement.h"

#include "core/hash.h"

namespace lentilhoist {

std::string chooseOwner(shard_index Shard,
                        const std::vector<std::string> &Candidates) {
  std::string Best;
  std::uint64_t BestWeight = 0;
  for (const std::string &Candidate : Candidates) {
    const std::uint64_t Weight = stableHash(Candidate, Shard + 1U);
    const bool Better = Best.empty() || Weight > BestWeight ||
                        (Weight == BestWeight && Candidate < Best);
    if (!Better)
      continue;
    Best = Candidate;
    BestWeight = Weight;
  }
  return Best;
}

} // namespace lentilhoist
