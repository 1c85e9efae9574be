#pragma once

#include "journal/record.h"

#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

namespace lentilhoist {

/// Stored bytes that can't be decoded.
class corrupt_entry : public std::runtime_error {
public:
  using std::runtime_error::runtime_error;
};

/// One numbered object of a shard's journal: the records that were committed
/// together. The nonce identifies the writer when the answer to a create was
/// lost.
struct journal_entry {
  shard_index Shard = 0;
  entry_number Number = 0;
  std::string Writer;
  std::uint64_t Nonce = 0;
  std::vector<journal_record> Records;
};

/// \param Entry the entry to encode.
/// \returns its stored form.
std::string encodeEntry(const journal_entry &Entry);

/// \param Bytes a stored form.
/// \returns the entry.
/// \throws corrupt_entry if the bytes are malformed or of a newer format.
journal_entry decodeEntry(std::string_view Bytes);

/// \param Shard the shard.
/// \param Number the entry's number.
/// \returns the object key of an entry; keys sort by number.
std::string entryKey(shard_index Shard, entry_number Number);

/// \param Shard the shard.
/// \param Number the last entry that the snapshot covers.
/// \returns the object key of a snapshot; keys sort by number.
std::string snapshotKey(shard_index Shard, entry_number Number);

/// \param Shard the shard.
/// \returns the prefix of all snapshot keys of the shard.
std::string snapshotPrefix(shard_index Shard);

/// \param Shard the shard.
/// \returns the prefix of all entry keys of the shard.
std::string entryPrefix(shard_index Shard);

/// \param Key a key made by entryKey or snapshotKey.
/// \returns the number in it.
/// \throws corrupt_entry if the key has no number.
entry_number numberInKey(std::string_view Key);

} // namespace lentilhoist
