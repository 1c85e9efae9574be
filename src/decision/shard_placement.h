#pragma once

#include "decision/shard_owner.h"

#include <functional>
#include <string>
#include <vector>

namespace lentilhoist {

/// Chooses the instance that should own a shard by rendezvous (highest random
/// weight) hashing: Thaler and Ravishankar, 1998. Instances with the same
/// membership view make the same choice, and an instance that joins or leaves
/// moves only the shards that it gains or loses.
/// \param Shard the shard.
/// \param Candidates names of the instances that may own shards, in any order.
/// \returns the chosen name, or an empty string if there is no candidate.
std::string chooseOwner(shard_index Shard,
                        const std::vector<std::string> &Candidates);

/// What an instance does with a shard whose journal it has read.
enum class claim_decision {
  Claim,           ///< Write the takeover record.
  RequestHandover, ///< Ask the current owner to hand it over.
  Skip             ///< Another instance should own it.
};

/// Decides whether to claim a shard.
/// \param Owner the shard's owner, in phase Recovered.
/// \param Desired the instance that should own the shard.
/// \param IsAlive returns whether membership regards an instance as alive.
/// \returns the decision.
claim_decision
decideClaim(const shard_owner &Owner, const std::string &Desired,
            const std::function<bool(const std::string &)> &IsAlive);

/// \param State a shard's state; the result refers to one of its members.
/// \returns the target of the last handover if it has not claimed the shard
/// yet, otherwise the instance that claimed the shard last; empty if none did.
const std::string &currentOwner(const shard_state &State);

} // namespace lentilhoist
