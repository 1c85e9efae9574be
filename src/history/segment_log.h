#pragma once

#include "history/segment_index.h"

#include <functional>
#include <string>
#include <vector>

namespace lentilhoist {

/// Largest segment; a new one begins behind it. At a start the newest is read
/// as a whole, in some 20 ms from a small disk.
inline constexpr std::size_t MaxSegmentBytes = 2UL * 1024UL * 1024UL;

/// Encodes a record for a segment: its length, its checksum (XXH64) and its
/// bytes.
/// \param Change the record.
/// \returns the bytes to append.
std::string encodeRecord(const replica_change &Change);

/// Reads the records of a segment up to the first that is torn.
/// \param Bytes content of the segment.
/// \param OnRecord takes each record in order, with its offset and length.
/// \returns bytes that held whole records.
std::size_t readRecords(std::string_view Bytes,
                        const std::function<void(replica_change, std::size_t,
                                                 std::size_t)> &OnRecord);

/// \param Folder folder of a journal.
/// \param Number a segment of it.
/// \returns path of the segment.
std::string segmentPath(const std::string &Folder, segment_number Number);

/// Reads one record of a segment. Used by any thread.
/// \param Folder folder of the journal.
/// \param Place where the record is.
/// \returns the record.
/// \throws std::runtime_error if it can't be read or is damaged.
replica_change readRecord(const std::string &Folder, const record_place &Place);

/// The journal of a replica: append-only segments in one folder. Used by one
/// thread at a time. Errors of the disk are exceptions.
class segment_log {
public:
  /// \param Folder the folder; created if it is missing.
  /// \throws std::system_error if it can't be used.
  explicit segment_log(std::string Folder);
  ~segment_log();
  segment_log(const segment_log &) = delete;
  segment_log &operator=(const segment_log &) = delete;

  /// Reads all segments, oldest first: their index, or if it has none that is
  /// whole, the segment itself.
  /// \param OnRecord takes each record with its place, and whether it is whole.
  /// \returns the number for the next segment.
  segment_number
  load(const std::function<void(replica_change, record_place, bool)> &OnRecord);

  /// Begins a segment that survives a loss of power.
  /// \param Number its number.
  /// \throws std::system_error if the disk fails.
  void begin(segment_number Number);

  /// Appends to the newest segment and syncs it.
  /// \param Bytes encoded records.
  /// \throws std::system_error if the disk fails.
  void append(std::string_view Bytes);

  /// Writes the index of a segment that will not grow any more, and syncs it.
  /// \param Number the segment.
  /// \param Bytes its encoded index.
  /// \throws std::system_error if the disk fails.
  void writeIndex(segment_number Number, std::string_view Bytes);

  /// Deletes a segment.
  /// \param Number its number.
  void remove(segment_number Number);

  /// \returns number of the newest segment.
  segment_number newestSegment() const { return NewestSegment; }
  /// \returns bytes of the newest segment.
  std::size_t segmentBytes() const { return Written; }
  /// \returns bytes of all segments.
  std::size_t diskBytes() const { return TotalBytes; }

private:
  std::string indexPath(segment_number Number) const;
  void syncFolder() const;

  std::string Folder;
  int File = -1;
  segment_number NewestSegment = 0;
  std::size_t Written = 0;
  std::size_t TotalBytes = 0;
};

} // namespace lentilhoist
