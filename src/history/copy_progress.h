#pragma once

#include "history/replica_state.h"

#include <set>
#include <string>
#include <vector>

namespace lentilhoist {

/// How far a replica that may lack records has copied from the others.
struct copy_progress {
  std::uint64_t Version = 0;        ///< Replica set that the copy is for.
  std::set<std::string> InProgress; ///< Sources that are being copied.
  std::set<std::string> Copied;     ///< Sources that were copied to their end.
};

/// Begins anew if the replica set has changed.
/// \param Progress the progress.
/// \param Set the set.
/// \returns whether it begins anew.
bool restartIfSetChanged(copy_progress &Progress, const replica_set &Set);

/// Takes the sources that are not being copied yet.
/// \param Progress the progress; gains them as under way.
/// \param Set the set.
/// \param Address the replica that copies.
/// \returns the sources to ask.
std::vector<std::string> claimCopySources(copy_progress &Progress,
                                          const replica_set &Set,
                                          const std::string &Address);

/// \param Progress the progress.
/// \param Set the set.
/// \param Address the replica that copies.
/// \returns whether it now holds all that was acknowledged.
bool isCopyComplete(const copy_progress &Progress, const replica_set &Set,
                    const std::string &Address);

} // namespace lentilhoist
