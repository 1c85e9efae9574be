#pragma once

#include "decision/shard_owner.h"

#include <functional>
#include <string>
#include <vector>

namespace lentilhoist {

/// Chooses the instance that should own a shard. Instances with equal views
/// choose alike; a change of one instance moves only the shards that it gains
/// or loses (highest random weight: Thaler and Ravishankar, 1998).
/// \param Shard the shard.
/// \param Candidates names of the instances that may own shards.
/// \returns the chosen name, or an empty string if there is no candidate.
std::string chooseOwner(shard_index Shard,
                        const std::vector<std::string> &Candidates);

/// What to do with a shard whose journal has been read.
enum class claim_decision {
  Claim,           ///< Take it.
  RequestHandover, ///< Ask the instance that holds it to hand it over.
  Skip             ///< It is another instance's business.
};

/// Decides whether to claim a shard.
/// \param Owner the hold, in phase Recovered.
/// \param Desired the instance that should own the shard.
/// \param IsAlive whether an instance is believed to run.
/// \returns the decision.
claim_decision
decideClaim(const shard_owner &Owner, const std::string &Desired,
            const std::function<bool(const std::string &)> &IsAlive);

/// \param State a shard's state.
/// \returns the instance that owns it or was handed it last, or nothing.
const std::string &currentOwner(const shard_state &State);

} // namespace lentilhoist
