#pragma once

#include "decision/program_state.h"
#include "journal/journal_entry.h"

#include <map>
#include <string>
#include <string_view>

namespace lentilhoist {

/// State of one shard, as replayed from its journal.
struct shard_state {
  shard_index Shard = 0;
  entry_number LastEntry = 0;    ///< Last applied entry.
  std::string Owner;             ///< Instance that claimed the shard last.
  std::string HandedTo;          ///< Target of the last handover until a claim.
  std::set<program_id> InFlight; ///< Programs with a call at a former owner.
  std::map<program_id, program_state> Programs;
  /// Calls whose texts are stored in an entry, counted per entry. An entry
  /// without any can be deleted once a snapshot covers it.
  std::map<entry_number, std::uint32_t> LiveTurns;

  MSGPACK_DEFINE(Shard, LastEntry, Owner, HandedTo, InFlight, Programs,
                 LiveTurns)
};

/// Applies one record. Deterministic: equal journals yield equal states.
/// \param Record the record.
/// \param Entry number of the entry that contains the record.
/// \param[in,out] State the state to change.
/// \throws corrupt_entry if the record contradicts the state.
void applyRecord(const journal_record &Record, entry_number Entry,
                 shard_state &State);

/// Applies all records of an entry, which must be the successor of the last
/// applied one.
/// \param Entry the entry.
/// \param[in,out] State the state to change.
/// \throws corrupt_entry if the entry is out of sequence, belongs to another
/// shard or contradicts the state.
void applyEntry(const journal_entry &Entry, shard_state &State);

/// \param State the state to store.
/// \returns the serialized snapshot, which omits the texts of the calls.
std::string encodeSnapshot(const shard_state &State);

/// \param Bytes a serialized snapshot.
/// \returns the state, without texts.
/// \throws corrupt_entry if the bytes are malformed.
shard_state decodeSnapshot(std::string_view Bytes);

/// Restores evicted texts from the entry that stores them. Calls with texts in
/// memory or in another entry stay unchanged.
/// \param Entry the entry, read from the platform.
/// \param[in,out] State the state to complete.
void loadTexts(const journal_entry &Entry, shard_state &State);

/// Evicts the texts of a program's durable calls from memory.
/// \param Committed last durable entry.
/// \param[in,out] Program the program.
/// \returns the number of bytes freed.
std::size_t dropTexts(entry_number Committed, program_state &Program);

/// \param Program the program.
/// \returns the size of its texts in memory, in bytes.
std::size_t textBytes(const program_state &Program);

/// \param Program the program.
/// \returns the entry of the first call whose texts are not in memory, or 0 if
/// all are.
entry_number firstUnloadedEntry(const program_state &Program);

} // namespace lentilhoist
