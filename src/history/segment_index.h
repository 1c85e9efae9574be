#pragma once

#include "history/replica_state.h"

#include <string>
#include <vector>

namespace lentilhoist {

/// A record of a segment without the texts of its turn, and its location.
struct indexed_record {
  replica_change Change;
  record_location Location;
  MSGPACK_DEFINE(Change, Location)
};

/// The records that a replica loads at start in place of a closed segment. It
/// has no texts: these are nearly all of a segment's bytes and are needed only
/// when a chain is continued.
struct segment_index {
  std::vector<indexed_record> Records;
  MSGPACK_DEFINE(Records)
};

/// Appends a record.
/// \param Index the index.
/// \param Change the record; the texts of its turn are not copied.
/// \param Location location of the record.
void addToIndex(segment_index &Index, const replica_change &Change,
                const record_location &Location);

/// Removes reservations that a later record of the index settles. These are
/// about half of all records.
/// \param Index the index.
void dropSettledReservations(segment_index &Index);

/// \param Index the index.
/// \returns the content of its file: an XXH64 checksum in hexadecimal digits,
/// followed by the index in MessagePack.
std::string encodeIndex(const segment_index &Index);

/// \param Bytes the content of a file.
/// \param Index receives the index.
/// \returns whether the checksum matches; otherwise the index is unchanged.
bool decodeIndex(const std::string &Bytes, segment_index &Index);

} // namespace lentilhoist
