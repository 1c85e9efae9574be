#pragma once

#include "history/replica_state.h"

#include <set>
#include <string>
#include <vector>

namespace lentilhoist {

/// Progress of an incomplete replica that copies records from other replicas.
struct copy_progress {
  std::uint64_t Version = 0;        ///< Version of the replica set.
  std::uint64_t SetReplicas = 0;    ///< hashReplicas() of the replica set.
  std::uint64_t Restarts = 0;       ///< Tells batches of former copies.
  std::set<std::string> InProgress; ///< Addresses of sources being copied.
  std::set<std::string> Copied;     ///< Addresses of fully copied sources.
};

/// Discards the progress if the version or the replicas of the set have
/// changed.
/// \param Progress the progress.
/// \param Set the current set.
/// \returns whether the copy starts again.
bool restartIfSetChanged(copy_progress &Progress, const replica_set &Set);

/// Marks all sources that are neither copied nor being copied as in progress.
/// \param Progress the progress.
/// \param Set the current set.
/// \param Address address of the replica that copies.
/// \returns addresses of the sources to start copying from.
std::vector<std::string> claimCopySources(copy_progress &Progress,
                                          const replica_set &Set,
                                          const std::string &Address);

/// \param Progress the progress.
/// \param Set the current set.
/// \param Address address of the replica that copies.
/// \returns whether sources of enough slots were copied for the replica to hold
/// every acknowledged record.
bool isCopyComplete(const copy_progress &Progress, const replica_set &Set,
                    const std::string &Address);

} // namespace lentilhoist
