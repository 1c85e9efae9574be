#pragma once

#include "decision/program_state.h"
#include "journal/journal_entry.h"

#include <map>
#include <string>
#include <string_view>

namespace lentilhoist {

/// State of one shard: what replaying its journal yields.
struct shard_state {
  shard_index Shard = 0;
  entry_number LastEntry = 0;    ///< Last entry that has been applied.
  std::string Owner;             ///< Instance that took the shard last.
  std::string HandedTo;          ///< Successor named by a handover.
  std::set<program_id> InFlight; ///< Calls left running by a handover.
  std::map<program_id, program_state> Programs;
  std::map<entry_number, std::uint32_t> LiveTurns; ///< Turns held per entry.

  MSGPACK_DEFINE(Shard, LastEntry, Owner, HandedTo, InFlight, Programs,
                 LiveTurns)
};

/// Applies one record. Deterministic: equal journals give equal states.
/// \param Record the record.
/// \param Entry number of the entry that holds the record.
/// \param[in,out] State the state to change.
/// \throws corrupt_entry if the record contradicts the state.
void applyRecord(const journal_record &Record, entry_number Entry,
                 shard_state &State);

/// Applies a whole entry, which must follow the last one applied.
/// \param Entry the entry.
/// \param[in,out] State the state to change.
/// \throws corrupt_entry if the entry is out of sequence.
void applyEntry(const journal_entry &Entry, shard_state &State);

/// \param State the state to store.
/// \returns the bytes of a snapshot: the index without the texts of turns.
std::string encodeSnapshot(const shard_state &State);

/// \param Bytes a stored snapshot.
/// \returns the state, its texts not loaded.
/// \throws corrupt_entry if the bytes are malformed.
shard_state decodeSnapshot(std::string_view Bytes);

/// Copies the texts that an entry holds into the turns that lack them.
/// \param Entry the entry that was read back.
/// \param[in,out] State the state that lacks the texts.
void loadTexts(const journal_entry &Entry, shard_state &State);

/// Drops the texts of a program's committed turns from memory.
/// \param Committed last entry that the platform is known to hold.
/// \param[in,out] Program the program.
/// \returns the bytes freed.
std::size_t dropTexts(entry_number Committed, program_state &Program);

/// \param Program the program.
/// \returns the bytes of its texts in memory.
std::size_t textBytes(const program_state &Program);

/// \param Program the program.
/// \returns the first entry whose texts are not in memory, or 0 if none.
entry_number firstUnloadedEntry(const program_state &Program);

} // namespace lentilhoist
