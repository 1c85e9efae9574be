#pragma once

#include "core/instant.h"
#include "history/replica_message.h"

#include <limits>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace lentilhoist {

/// Kind of a record in a replica's journal.
enum class change_kind {
  Entry,      ///< A ledger entry of a program.
  Turn,       ///< A turn, which also settles the tokens of its attempt.
  Set,        ///< The replica adopted a newer replica set.
  Complete,   ///< The replica holds all records acknowledged so far.
  Incomplete, ///< The replica may lack acknowledged records.
  Backup,     ///< Last known objects of the platform's store.
};

/// A journal record. Kind decides which of the other fields are used.
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

/// Location of a record in the journal.
struct record_location {
  segment_number Segment = 0;
  std::uint64_t Offset = 0; ///< Byte offset in the segment.
  std::uint64_t Length = 0; ///< In bytes; 0 until known to be durable.
  MSGPACK_DEFINE(Segment, Offset, Length)
};

/// Names a record that takes up journal space: a turn's id and an empty string,
/// or a program and an attempt.
using record_key = std::pair<std::string, std::string>;

/// A turn as the replica holds it. Its input and output, which are most of its
/// size, may be only in the journal.
struct replica_turn {
  turn_record Record;
  bool TextsInMemory = true;
  record_location Location;   ///< Where to read the input and output.
  instant Expiry{};           ///< Deleted after this time.
  std::uint64_t Position = 0; ///< Sequence number on this replica.
  segment_number Segment = 0; ///< Journal segment of the record.
};

/// A ledger entry as the replica holds it.
struct replica_entry {
  ledger_entry Entry;
  std::uint64_t Position = 0;
  segment_number Segment = 0;
};

/// Ledger of a program as the replica holds it.
struct replica_ledger {
  std::unordered_map<std::string, replica_entry> Entries; ///< By attempt.
  instant Expiry{};
  std::uint64_t RetentionMs = 0;
};

/// Limits of a replica.
struct replica_limits {
  std::size_t MaxBytes = 0; ///< Reserve and Commit are refused above it.
  /// Added to the retention of a route. Covers the time between the end of an
  /// answer and the caller's next turn on a slow link.
  milliseconds RetentionSlack{5'000};
  /// Largest size of the turns in a reply, unless it has only one; the rest of
  /// a chain is read with further requests.
  std::size_t MaxReplyBytes = 2UL * 1024UL * 1024UL;
  /// Memory for inputs and outputs of turns; those of the oldest turns are
  /// evicted and read from the journal when needed.
  std::size_t MaxTextBytes = std::numeric_limits<std::size_t>::max();
};

/// State of one replica. Turns are immutable and entries only change from
/// reserved to settled, so changes may be applied in any order and repeatedly.
struct replica_state {
  bool Complete = false;
  replica_set Set; ///< Newest set known in full; Version 0 if none is.
  std::uint64_t SetVersion = 0;  ///< Newest version; Set may be older.
  std::uint64_t SetReplicas = 0; ///< hashReplicas() of Set.
  /// A set in conflict with Set that the store held before it. Records that
  /// were acknowledged by replicas of the one may be missing on those of the
  /// other, so that no answer is certain until there is a newer version.
  std::optional<replica_set> Conflicting;
  std::string Address; ///< Of this replica; empty if not known.
  std::unordered_map<std::string, replica_turn> Turns;
  std::unordered_map<std::string, replica_ledger> Ledgers;
  std::map<std::uint64_t, record_key> Order; ///< Records by position.
  std::uint64_t LastPosition = 0;
  std::uint64_t Run = 0; ///< Random; positions hold for one run of the process.
  /// Last positions at the last two calls of markListable(). Records up to the
  /// earlier one have had time to reach every replica and are listed.
  std::uint64_t ListablePosition = 0;
  std::uint64_t NextListablePosition = 0;
  /// Turns whose previous turn the replica lacks, by the id of that one.
  std::unordered_multimap<std::string, std::string> Orphans;
  std::map<segment_number, std::uint64_t> LiveRecords; ///< Count by segment.
  std::map<std::string, store_backup> Backups;         ///< By kind.
  std::size_t Bytes = 0;     ///< Estimated memory of all records.
  std::size_t TextBytes = 0; ///< Share of inputs and outputs.
  /// Position up to which inputs and outputs have been evicted.
  std::uint64_t TextsEvictedThrough = 0;
};

/// A turn whose input and output must be read from the journal.
struct unread_turn {
  std::size_t Index = 0; ///< In the accompanying list of turns or changes.
  record_location Location;
};

/// A part of a turn's text that must be read from the journal.
struct unread_text {
  std::size_t At = 0; ///< In the reply's text, which has room for it.
  text_part Part;
  record_location Location;
};

/// Reply to a request, and the changes to sync before it is sent.
struct replica_outcome {
  replica_reply Reply;
  std::vector<replica_change> Changes;
  std::vector<unread_turn> Unread; ///< Indices refer to Reply.Turns.
  /// Turns whose texts are left out and whose size must be read from the
  /// journal; indices refer to Reply.Turns.
  std::vector<unread_turn> Unsized;
  std::vector<unread_text> UnreadTexts;
};

/// Copies a part of a turn's text.
/// \param Turn the turn with its input and output.
/// \param Part the part, within the turn's text.
/// \param[out] To room for Part.Bytes bytes.
void copyText(const turn_record &Turn, const text_part &Part, char *To);

/// Live records to be written to another segment.
struct record_batch {
  std::vector<record_key> Keys; ///< In the order of Changes.
  std::vector<replica_change> Changes;
  std::vector<unread_turn> Unread; ///< Indices refer to Changes.
};

/// Applies a new record or one that was read from the journal.
/// \param State the replica's state.
/// \param Change the record.
/// \param Segment the journal segment that holds it.
/// \param Limits the replica's limits.
/// \param Now the current time.
void applyChange(replica_state &State, replica_change Change,
                 segment_number Segment, const replica_limits &Limits,
                 instant Now);

/// Handles one request. Changes are applied before they are durable: later
/// reservations must see them, and reading a turn early is safe because turns
/// are immutable.
/// \param State the replica's state.
/// \param Request the request.
/// \param Segment the journal segment that will hold its changes.
/// \param Limits the replica's limits.
/// \param Now the current time.
/// \returns the reply and the changes to sync before it is sent.
replica_outcome handleRequest(replica_state &State, replica_request Request,
                              segment_number Segment,
                              const replica_limits &Limits, instant Now);

/// Adds the records of a copy batch from another replica.
/// \param State the replica's state.
/// \param Reply the reply to a copy request.
/// \param Segment the journal segment that will hold the changes.
/// \param Limits the replica's limits.
/// \param Now the current time.
/// \returns the changes to sync.
std::vector<replica_change> applyCopyBatch(replica_state &State,
                                           const replica_reply &Reply,
                                           segment_number Segment,
                                           const replica_limits &Limits,
                                           instant Now);

/// Lets List return the records that were added before the last call.
/// \param State the replica's state.
void markListable(replica_state &State);

/// \param State the replica's state.
/// \param Listed records that another replica holds.
/// \returns those that this replica lacks, or holds in an earlier state.
std::vector<record_name> lackedRecords(const replica_state &State,
                                       const std::vector<record_name> &Listed);

/// \param State the replica's state.
/// \returns ids of turns that the replica lacks although it holds a turn that
/// continues them.
std::vector<std::string> lackedTurns(const replica_state &State);

/// Adds records fetched from another replica. They expire here when they do
/// there, so that replicas do not prolong expired records for each other; a
/// turn is kept at least as long as the turns that continue it.
/// \param State the replica's state.
/// \param Reply the reply to a fetch request.
/// \param Segment the journal segment that will hold the changes.
/// \param Limits the replica's limits.
/// \param Now the current time.
/// \returns the changes to sync.
std::vector<replica_change>
applyFetched(replica_state &State, const replica_reply &Reply,
             segment_number Segment, const replica_limits &Limits, instant Now);

/// \param State the replica's state.
/// \param Set a replica set; without slots if only its version is known.
/// \returns whether the replica learns something from the set: a newer version,
/// or the newest known text of a version.
bool isNews(const replica_state &State, const replica_set &Set);

/// Adopts a replica set if it is news. A newer text of the same version
/// replaces the known one, since it may have fewer predecessors. A set without
/// slots only raises the known version.
/// \param State the replica's state.
/// \param Set the set.
/// \returns whether it was news, so that the set must be synced.
bool adoptReplicaSet(replica_state &State, const replica_set &Set);

/// Deletes records whose retention has ended.
/// \param State the replica's state.
/// \param Now the current time.
void expireRecords(replica_state &State, instant Now);

/// \param Change a journal record.
/// \returns the keys of the records that it writes; none for markers that each
/// segment repeats.
std::vector<record_key> keysOf(const replica_change &Change);

/// \param State the replica's state.
/// \param Segment a segment.
/// \returns the keys of its live records.
std::vector<record_key> liveKeys(const replica_state &State,
                                 segment_number Segment);

/// \param State the replica's state.
/// \param Keys keys of records; those that are not live are left out.
/// \returns the records as they are to be written again.
record_batch collectRecords(const replica_state &State,
                            const std::vector<record_key> &Keys);

/// Assigns live records to another segment, which holds them once they are
/// written there.
/// \param State the replica's state.
/// \param Keys keys of the records.
/// \param To the segment.
void assignRecords(replica_state &State, const std::vector<record_key> &Keys,
                   segment_number To);

/// Sets the size of a turn's texts, which records of an older build lack.
/// \param State the replica's state.
/// \param Id id of the turn; ignored if the replica does not hold it.
/// \param Bytes size of its input and output together.
void setTextBytes(replica_state &State, const std::string &Id,
                  std::uint64_t Bytes);

/// Sets the location of a turn in the journal.
/// \param State the replica's state.
/// \param Id id of the turn; ignored if the replica does not hold the turn or
/// assigns it to another segment.
/// \param Location location of the durable record.
void setTurnLocation(replica_state &State, const std::string &Id,
                     const record_location &Location);

/// Applies a record from a segment's index, which omits inputs and outputs.
/// \param State the replica's state.
/// \param Change the record.
/// \param Location location of the full record.
/// \param Limits the replica's limits.
/// \param Now the current time.
void applyIndexedChange(replica_state &State, replica_change Change,
                        const record_location &Location,
                        const replica_limits &Limits, instant Now);

/// Evicts inputs and outputs from memory, oldest turns first, until the limit
/// MaxTextBytes is met. Stops at the first turn that is not known to be
/// durable.
/// \param State the replica's state.
/// \param Limits the replica's limits.
void evictTexts(replica_state &State, const replica_limits &Limits);

/// \param State the replica's state.
/// \param Active the segment that is being written.
/// \returns older segments without live records, which may be deleted.
std::vector<segment_number> emptySegments(const replica_state &State,
                                          segment_number Active);

/// \param Set the replica set.
/// \param Address address of the replica that copies.
/// \returns for each slot the addresses to copy from: its replica, unless it is
/// Address, and its predecessor, if any; slots without a source are left out.
std::vector<std::vector<std::string>> copySources(const replica_set &Set,
                                                  const std::string &Address);

/// \param Set the replica set.
/// \param Address address of the replica that copies.
/// \returns number of slots that must have been copied before the replica holds
/// every acknowledged record.
std::size_t requiredSourceCount(const replica_set &Set,
                                const std::string &Address);

} // namespace lentilhoist

MSGPACK_ADD_ENUM(lentilhoist::change_kind)
