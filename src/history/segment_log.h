#pragma once

#include "history/segment_index.h"

#include <functional>
#include <string>
#include <vector>

namespace lentilhoist {

/// Size beyond which a new segment begins. The newest segment has no index and
/// is read whole at start, which takes some 20 ms from a small disk.
inline constexpr std::size_t MaxSegmentBytes = 2UL * 1024UL * 1024UL;

/// Encodes a record for a segment: its length, its XXH64 checksum and its
/// content in MessagePack.
/// \param Change the record.
/// \returns the bytes to append.
std::string encodeRecord(const replica_change &Change);

/// Reads the records of a segment up to the first that is truncated or corrupt.
/// \param Bytes content of the segment.
/// \param OnRecord receives each record in order, with its offset and length in
/// bytes.
/// \returns length of the valid prefix in bytes.
std::size_t readRecords(std::string_view Bytes,
                        const std::function<void(replica_change, std::size_t,
                                                 std::size_t)> &OnRecord);

/// \param Folder folder of a journal.
/// \param Number number of a segment.
/// \returns path of the segment.
std::string segmentPath(const std::string &Folder, segment_number Number);

/// Reads one record of a segment. Thread-safe.
/// \param Folder folder of the journal.
/// \param Location location of the record.
/// \returns the record.
/// \throws std::runtime_error if it cannot be read or is corrupt.
replica_change readRecord(const std::string &Folder,
                          const record_location &Location);

/// The journal of a replica: append-only segments in one folder. Not
/// thread-safe. Disk errors are thrown as exceptions.
class segment_log {
public:
  /// \param Folder the folder; created if it is missing.
  /// \throws std::system_error if it cannot be created.
  explicit segment_log(std::string Folder);
  ~segment_log();
  segment_log(const segment_log &) = delete;
  segment_log &operator=(const segment_log &) = delete;

  /// Reads all segments, oldest first. A segment without a valid index is read
  /// itself.
  /// \param OnRecord receives each record with its location, and whether it
  /// includes texts: records from an index do not.
  /// \returns the number of the next segment to begin.
  segment_number load(const std::function<void(replica_change, record_location,
                                               bool)> &OnRecord);

  /// Creates a segment and syncs its directory entry, so that the segment
  /// survives a power failure.
  /// \param Number number of the segment.
  /// \throws std::system_error if the disk fails.
  void begin(segment_number Number);

  /// Appends to the newest segment and syncs it.
  /// \param Bytes encoded records.
  /// \returns the offset of Bytes in the segment.
  /// \throws std::system_error if the disk fails; call repair() before the
  /// next append then.
  std::uint64_t append(std::string_view Bytes);

  /// Makes the newest segment usable again after begin() or append() has
  /// failed: creates it if it does not exist, and cuts off what a failed
  /// append has left behind the last synced record.
  /// \throws std::system_error if the disk still fails.
  void repair();

  /// Writes and syncs the index of a closed segment.
  /// \param Number number of the segment.
  /// \param Bytes its encoded index.
  /// \throws std::system_error if the disk fails.
  void writeIndex(segment_number Number, std::string_view Bytes);

  /// Deletes a segment and its index. Errors are ignored.
  /// \param Number number of the segment.
  void remove(segment_number Number);

  /// \returns number of the newest segment.
  segment_number newestSegment() const { return NewestSegment; }
  /// \returns total size of all segments in bytes, without indexes.
  std::size_t diskBytes() const { return TotalBytes; }

private:
  std::string indexPath(segment_number Number) const;
  void syncFolder() const;

  std::string Folder;
  int File = -1;
  segment_number NewestSegment = 0;
  std::size_t SyncedBytes = 0; ///< Of the newest segment.
  bool FolderSynced = true;    ///< Its directory entry survives a power loss.
  std::size_t TotalBytes = 0;
};

} // namespace lentilhoist
