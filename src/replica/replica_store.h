#pragma once

#include "history/journal_writer.h"
#include "history/replica_state.h"

#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace lentilhoist {

/// The state of a history replica and the journal that persists it. A reply is
/// sent only after all changes that it depends on are durable.
class replica_store {
public:
  using on_reply = std::function<void(replica_reply)>;

  /// Loads the state from the journal and begins a new segment.
  /// \param Loop event loop on which the callbacks run; must outlive the store.
  /// \param Folder folder of the journal.
  /// \param DiskBytes disk space available to the journal, in bytes.
  /// \param Limits memory and retention limits of the replica.
  /// \throws std::system_error if the folder can't be used.
  replica_store(asio::io_context &Loop, const std::string &Folder,
                std::size_t DiskBytes, replica_limits Limits);

  /// \param Address address of this replica. Requests that count on a slot are
  /// not answered as complete while the known set has none of this address.
  void setAddress(std::string Address) { State.Address = std::move(Address); }

  /// Handles a request.
  /// \param Request the request.
  /// \param OnReply receives the reply: before this function returns if the
  /// request changes nothing, otherwise once the write of the changes has
  /// ended. The status is Refused if they could not be made durable.
  void handle(replica_request Request, on_reply OnReply);

  /// Adds a batch of records copied from another replica.
  /// \param Reply the other replica's reply to a copy request.
  /// \param OnDone called with whether the records are durable.
  void addCopyBatch(const replica_reply &Reply,
                    std::function<void(bool)> OnDone);

  /// Adds records fetched from another replica, see applyFetched().
  /// \param Reply the other replica's reply to a fetch request.
  /// \param OnDone called with whether the records are durable.
  void addFetched(const replica_reply &Reply, std::function<void(bool)> OnDone);

  /// Lets the replica list the records that were added before the last call.
  void markListable() { lentilhoist::markListable(State); }

  /// \returns whether the replica has memory for further records.
  bool hasRoom() const { return State.Bytes <= Limits.MaxBytes; }

  /// Applies a change at once and writes it to the journal.
  /// \param Change the change.
  /// \param OnDone called with whether the change is durable.
  void apply(const replica_change &Change, std::function<void(bool)> OnDone);

  /// Deletes records whose retention period has ended, and segments without
  /// live records. Once segments take up half of the disk, the live records of
  /// the oldest one are moved to the active segment so that it can be deleted.
  /// Writes again what the disk has refused; until that is durable, no segment
  /// is deleted.
  void expire();

  const replica_state &state() const { return State; }

private:
  void persist(std::vector<replica_change> Changes,
               std::function<void(bool)> OnDone) {
    write(std::move(Changes), write_purpose::Request, std::move(OnDone));
  }
  void recordDurableChanges(const std::vector<replica_change> &Changes,
                            const std::vector<std::size_t> &Lengths,
                            const write_result &Result);
  bool readTexts(const record_location &Location, turn_record &Turn) const;
  void readTexts(replica_operation Operation, replica_outcome &Outcome) const;
  void readTextSizes(replica_outcome &Outcome);
  void readTextParts(replica_outcome &Outcome) const;
  void beginSegment();
  void writeIndexes(segment_number Before);
  void relocateOldestSegment();
  void rewriteUnsaved();
  void rewrite(const std::vector<record_key> &Keys,
               std::vector<replica_change> Changes);
  void removeEmptySegments();
  void write(std::vector<replica_change> Changes, write_purpose Purpose,
             std::function<void(bool)> OnDone);
  void recordFailedWrite(const std::vector<replica_change> &Changes);
  std::vector<replica_change> segmentHeader() const;

  replica_limits Limits;
  replica_state State;
  std::string Folder;
  segment_log Log;
  /// Indexes of the active segment and of earlier segments with writes that
  /// have not ended.
  std::map<segment_number, segment_index> Indexes;
  segment_number ActiveSegment = 0;
  std::size_t ActiveSegmentBytes = 0;
  std::size_t MaxSegments; ///< Above this, the oldest segment is relocated.
  std::uint64_t WritesQueued = 0;
  std::uint64_t WritesEnded = 0;
  /// Live records whose newest state could not be written. An older state may
  /// be in a segment that has no live records left.
  std::set<record_key> UnsavedRecords;
  /// The markers that each segment repeats may be missing in the active one.
  bool HeaderUnsaved = false;
  bool Rewriting = false; ///< Records are being written to another segment.
  /// Segments without live records. Each may be deleted once as many writes
  /// have ended as had been queued when it was found: one of them may replace
  /// its last record.
  std::map<segment_number, std::uint64_t> EmptySegments;
  /// Segments with live records that can't be read and thus not be moved.
  std::set<segment_number> UnreadableSegments;
  journal_writer Writer; ///< Last member: its thread must stop first.
};

} // namespace lentilhoist
