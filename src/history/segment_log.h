#pragma once

#include "history/replica_state.h"

#include <functional>
#include <string>
#include <vector>

namespace lentilhoist {

/// Largest segment; a new one begins behind it.
inline constexpr std::size_t MaxSegmentBytes = 8UL * 1024UL * 1024UL;

/// Encodes a record for a segment: its length, its checksum (XXH64) and its
/// bytes.
/// \param Change the record.
/// \returns the bytes to append.
std::string encodeRecord(const replica_change &Change);

/// Reads the records of a segment up to the first that is torn.
/// \param Bytes content of the segment.
/// \param OnRecord takes each record in order.
/// \returns bytes that held whole records.
std::size_t readRecords(std::string_view Bytes,
                        const std::function<void(replica_change)> &OnRecord);

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

  /// Reads all segments, oldest first.
  /// \param OnRecord takes each record with its segment.
  /// \returns the number for the next segment.
  segment_number
  load(const std::function<void(replica_change, segment_number)> &OnRecord);

  /// Begins a segment that survives a loss of power.
  /// \param Number its number.
  /// \throws std::system_error if the disk fails.
  void begin(segment_number Number);

  /// Appends to the newest segment and syncs it.
  /// \param Bytes encoded records.
  /// \throws std::system_error if the disk fails.
  void append(std::string_view Bytes);

  /// Deletes a segment.
  /// \param Number its number.
  void remove(segment_number Number);

  /// \returns bytes of the newest segment.
  std::size_t segmentBytes() const { return Written; }
  /// \returns bytes of all segments.
  std::size_t diskBytes() const { return Total; }

private:
  std::string pathOf(segment_number Number) const;
  void syncFolder() const;

  std::string Folder;
  int File = -1;
  std::size_t Written = 0;
  std::size_t Total = 0;
};

} // namespace lentilhoist
