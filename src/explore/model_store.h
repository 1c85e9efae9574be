#pragma once

#include "decision/shard_owner.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace lentilhoist {

/// The platform as a struct: objects by key, and an auditor that has seen every
/// entry that was ever created and keeps the true state.
struct model_store {
  std::map<std::string, std::string> Objects;
  shard_state Truth;                    ///< All entries applied, in order.
  std::vector<std::string> Corruptions; ///< Entries that contradict the truth.
  std::uint64_t Takeovers = 0;
};

/// Creates an entry if it is absent, and shows it to the auditor.
/// \param Write the entry.
/// \param[in,out] Store the store.
/// \returns whether it was created.
bool createEntry(const write_entry &Write, model_store &Store);

/// \param Shard the shard.
/// \param Number the entry.
/// \param Store the store.
/// \returns the entry, or nothing if it is absent.
std::optional<journal_entry> findEntry(shard_index Shard, entry_number Number,
                                       const model_store &Store);

/// \param Shard the shard.
/// \param Store the store.
/// \returns the number of the latest snapshot, 0 if there is none.
entry_number latestSnapshot(shard_index Shard, const model_store &Store);

/// \param Shard the shard.
/// \param Store the store.
/// \param[out] Snapshot entry that the snapshot covers.
/// \returns the shard as its journal tells.
shard_state loadShard(shard_index Shard, const model_store &Store,
                      entry_number &Snapshot);

} // namespace lentilhoist
