#pragma once

#include "history/replica_state.h"

#include <string>
#include <vector>

namespace lentilhoist {

/// A record of a segment without the texts of its turn, and its place.
struct indexed_record {
  replica_change Change;
  record_place Place;
  MSGPACK_DEFINE(Change, Place)
};

/// What a replica needs of a whole segment when it starts. Texts are nearly all
/// of a segment's bytes, and only a chain that is continued needs them.
struct segment_index {
  std::vector<indexed_record> Records;
  MSGPACK_DEFINE(Records)
};

/// Adds a record.
/// \param Index the index.
/// \param Change the record; the texts of its turn are left out.
/// \param Place where the record is.
void addToIndex(segment_index &Index, const replica_change &Change,
                const record_place &Place);

/// Drops reservations that a later record of the index settles: half of all.
/// \param Index the index.
void dropSettledReservations(segment_index &Index);

/// \param Index the index.
/// \returns its file: a checksum (XXH64) and its bytes.
std::string encodeIndex(const segment_index &Index);

/// \param Bytes the content of a file.
/// \param Index receives the index.
/// \returns whether the file is whole.
bool decodeIndex(const std::string &Bytes, segment_index &Index);

} // namespace lentilhoist
