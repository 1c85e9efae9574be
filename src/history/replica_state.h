#pragma once

#include "core/instant.h"
#include "history/replica_message.h"

#include <limits>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

namespace lentilhoist {

/// What a journal record of a replica says.
enum class change_kind {
  Entry,      ///< An entry of a program's ledger.
  Turn,       ///< A turn with the tokens of its attempt.
  Set,        ///< The replica met a newer replica set.
  Complete,   ///< The replica holds all that was acknowledged before.
  Incomplete, ///< The replica may lack acknowledged records.
  Backup,     ///< Objects of the platform's store, as last seen.
};

/// One journal record.
struct replica_change {
  change_kind Kind = change_kind::Entry;
  std::string Program;
  ledger_entry Entry;
  std::uint64_t RetentionMs = 0;
  turn_record Turn;
  replica_set Set;
  store_backup Backup;
  MSGPACK_DEFINE(Kind, Program, Entry, RetentionMs, Turn, Set, Backup)
};

/// Number of the journal segment that holds a record.
using segment_number = std::uint64_t;

/// Where the journal holds a record.
struct record_place {
  segment_number Segment = 0;
  std::uint64_t Offset = 0; ///< Of the record in its segment.
  std::uint64_t Length = 0; ///< 0 while the record is not known to be durable.
  MSGPACK_DEFINE(Segment, Offset, Length)
};

/// A turn in memory. Its texts, most of its size, may be in the journal only.
struct replica_turn {
  turn_record Record;
  bool TextsInMemory = true;
  record_place Place;
  instant Expiry{};           ///< Dropped after this.
  std::uint64_t Position = 0; ///< Order in which the replica learned of it.
  segment_number Segment = 0; ///< Journal segment that holds it.
};

/// An entry of a ledger in memory.
struct replica_entry {
  ledger_entry Entry;
  std::uint64_t Position = 0;
  segment_number Segment = 0;
};

/// The ledger of a program in memory.
struct replica_ledger {
  std::unordered_map<std::string, replica_entry> Entries; ///< By attempt.
  instant Expiry{};
  std::uint64_t RetentionMs = 0;
};

/// Limits of a replica.
struct replica_limits {
  std::size_t MaxBytes = 0; ///< Records in memory; more are refused.
  /// Kept longer than a route's retention: covers the time between the end of
  /// an answer and its caller's next turn on a slow link.
  milliseconds RetentionSlack{5'000};
  /// Texts of turns in memory; older ones are read from the journal.
  std::size_t MaxTextBytes = std::numeric_limits<std::size_t>::max();
};

/// All that one replica knows. Turns never change and entries only grow from
/// reserved to settled, so that changes may arrive in any order and twice.
struct replica_state {
  bool Complete = false;
  replica_set Set; ///< Newest that it has met; Version 0 before the first.
  std::uint64_t SetVersion = 0; ///< Newest version, also where Set is older.
  std::unordered_map<std::string, replica_turn> Turns;
  std::unordered_map<std::string, replica_ledger> Ledgers;
  /// Positions in order: a turn's id, or a program and an attempt.
  std::map<std::uint64_t, std::pair<std::string, std::string>> Order;
  std::uint64_t LastPosition = 0;
  std::map<segment_number, std::uint64_t> LiveRecords; ///< Records by segment.
  std::map<std::string, store_backup> Backups;         ///< By kind.
  std::size_t Bytes = 0;     ///< In memory, texts included.
  std::size_t TextBytes = 0; ///< Of these, texts of turns.
  /// Turns up to this position have no texts in memory, or no place yet.
  std::uint64_t TextsEvictedThrough = 0;
};

/// A turn whose texts have to be read from the journal.
struct unread_turn {
  std::size_t Index = 0; ///< Among the turns or changes that it belongs to.
  record_place Place;
};

/// Answer to a request, and what must be synced before it may be sent.
struct replica_outcome {
  replica_reply Reply;
  std::vector<replica_change> Changes;
  std::vector<unread_turn> Unread; ///< Of the turns of the reply.
};

/// Records that move to another segment.
struct relocation {
  std::vector<replica_change> Changes;
  std::vector<unread_turn> Unread; ///< Of the changes.
};

/// Applies a record, new or read back from the journal.
/// \param State the replica.
/// \param Change the record.
/// \param Segment the journal segment that holds it.
/// \param Limits its limits.
/// \param Now the present time.
void applyChange(replica_state &State, replica_change Change,
                 segment_number Segment, const replica_limits &Limits,
                 instant Now);

/// Handles one request. Changes are applied at once, before they are durable:
/// a later reservation must see them, and a turn that is read early never
/// changes.
/// \param State the replica.
/// \param Request the request.
/// \param Segment the journal segment that will hold its changes.
/// \param Limits its limits.
/// \param Now the present time.
/// \returns the answer and the changes to sync before it is sent.
replica_outcome handleRequest(replica_state &State,
                              const replica_request &Request,
                              segment_number Segment,
                              const replica_limits &Limits, instant Now);

/// Adds what another replica holds.
/// \param State the replica.
/// \param Reply an answer to a copy request.
/// \param Segment the journal segment that will hold the changes.
/// \param Limits its limits.
/// \param Now the present time.
/// \returns the changes to sync.
std::vector<replica_change> applyCopyBatch(replica_state &State,
                                           const replica_reply &Reply,
                                           segment_number Segment,
                                           const replica_limits &Limits,
                                           instant Now);

/// Meets a replica set.
/// \param State the replica.
/// \param Set the set.
/// \returns whether it is newer than the one known, and is to be synced.
bool adoptReplicaSet(replica_state &State, const replica_set &Set);

/// Drops what has outlived its retention.
/// \param State the replica.
/// \param Now the present time.
void expireRecords(replica_state &State, instant Now);

/// Moves the records of a segment that are still needed.
/// \param State the replica.
/// \param From the segment to empty.
/// \param To the segment that will hold them.
/// \returns the records to sync there before the other one is deleted.
relocation relocateRecords(replica_state &State, segment_number From,
                           segment_number To);

/// Notes where the journal holds a turn.
/// \param State the replica.
/// \param Id the turn; one that is held from elsewhere is left alone.
/// \param Place the place, whose record is durable.
void setTurnPlace(replica_state &State, const std::string &Id,
                  const record_place &Place);

/// Adds a record of a segment's index, which has no texts.
/// \param State the replica.
/// \param Change the record.
/// \param Place where the whole record is.
/// \param Limits its limits.
/// \param Now the present time.
void applyIndexedChange(replica_state &State, replica_change Change,
                        const record_place &Place, const replica_limits &Limits,
                        instant Now);

/// Drops the texts of the oldest turns that the journal holds.
/// \param State the replica.
/// \param Limits its limits.
void evictTexts(replica_state &State, const replica_limits &Limits);

/// \param State the replica.
/// \param Active the segment that is being written.
/// \returns segments that hold nothing any more, which may be deleted.
std::vector<segment_number> emptySegments(const replica_state &State,
                                          segment_number Active);

/// \param Address the replica that copies.
/// \param Set the set that it belongs to.
/// \returns for each other slot the addresses that can serve as its source:
/// the replica and, if there is one, its predecessor.
std::vector<std::vector<std::string>> copySources(const replica_set &Set,
                                                  const std::string &Address);

/// \param Set the set.
/// \param Address the replica that copies.
/// \returns how many sources, in different slots, it must have copied from
/// before it knows all that was acknowledged.
std::size_t requiredSourceCount(const replica_set &Set,
                                const std::string &Address);

} // namespace lentilhoist

MSGPACK_ADD_ENUM(lentilhoist::change_kind)
