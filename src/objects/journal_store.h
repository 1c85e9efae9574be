#pragma once

#include "decision/shard_owner.h"
#include "objects/object_store.h"

#include <optional>
#include <string>

namespace lentilhoist {

/// A shard as the platform holds it.
struct stored_shard {
  shard_state State;               ///< Snapshot with later entries applied.
  entry_number SnapshotNumber = 0; ///< Entry that the snapshot covers.
};

/// Creates an entry.
/// \param Write the entry.
/// \param Store the platform.
/// \returns the outcome; Indeterminate if the platform did not answer.
write_status writeEntry(const write_entry &Write, object_store &Store);

/// \param Shard the shard.
/// \param Number the entry's number.
/// \param Store the platform.
/// \returns the entry, or why there is none.
entry_read_result readEntry(shard_index Shard, entry_number Number,
                            object_store &Store);

/// Checks whether an entry exists or, if CheckSnapshots is set, has existed.
/// \param Check the entry.
/// \param Store the platform.
/// \returns the entry; Found without a writer if a snapshot covers it.
entry_read_result checkNextEntry(const check_next_entry &Check,
                                 object_store &Store);

/// Stores a snapshot, in parts of at most the platform's value limit.
/// \param Snapshot the snapshot.
/// \param Store the platform.
/// \returns whether the platform confirmed it.
bool writeSnapshot(const write_snapshot &Snapshot, object_store &Store);

/// Deletes an entry, or a snapshot with its parts.
/// \param Delete what to delete.
/// \param Store the platform.
void deleteJournalObject(const delete_object &Delete, object_store &Store);

/// Reads the latest snapshot and all entries after it.
/// \param Shard the shard.
/// \param Store the platform.
/// \returns the shard.
/// \throws platform_error if the platform does not answer.
/// \throws corrupt_entry if what it holds can't be decoded.
stored_shard readShard(shard_index Shard, object_store &Store);

/// \param Shard the shard.
/// \param Store the platform.
/// \returns the number of the latest snapshot, 0 if there is none; nothing if
/// the platform does not answer.
std::optional<entry_number> readSnapshotNumber(shard_index Shard,
                                               object_store &Store);

} // namespace lentilhoist
