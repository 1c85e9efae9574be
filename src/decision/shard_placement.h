#pragma once

#include "core/program_id.h"

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

} // namespace lentilhoist
