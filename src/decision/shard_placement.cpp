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

const std::string &currentOwner(const shard_state &State) {
  return State.HandedTo.empty() ? State.Owner : State.HandedTo;
}

claim_decision
decideClaim(const shard_owner &Owner, const std::string &Desired,
            const std::function<bool(const std::string &)> &IsAlive) {
  const std::string &Holder = currentOwner(Owner.State);
  if (Holder == Owner.Self)
    return claim_decision::Claim;
  if (Desired != Owner.Self)
    return claim_decision::Skip;
  const bool Free = Holder.empty() || !IsAlive(Holder);
  return Free ? claim_decision::Claim : claim_decision::RequestHandover;
}

} // namespace lentilhoist
