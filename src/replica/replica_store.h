#pragma once

#include "history/journal_writer.h"
#include "history/replica_state.h"

#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace lentilhoist {

/// A replica's state together with its journal: answers leave only when what
/// they rest on is durable.
class replica_store {
public:
  using on_reply = std::function<void(const replica_reply &)>;

  /// Reads the journal.
  /// \param Loop the event loop.
  /// \param Folder folder of the journal.
  /// \param DiskBytes size of the disk.
  /// \param Limits limits of the replica.
  /// \throws std::system_error if the folder can't be used.
  replica_store(asio::io_context &Loop, const std::string &Folder,
                std::size_t DiskBytes, replica_limits Limits);

  /// Handles a request.
  /// \param Request the request.
  /// \param OnReply takes the answer, now or once it is durable.
  void handle(const replica_request &Request, on_reply OnReply);

  /// Adds what another replica holds.
  /// \param Reply its answer to a copy request.
  /// \param OnDone told whether it is durable.
  void addCopyBatch(const replica_reply &Reply,
                    std::function<void(bool)> OnDone);

  /// Makes a change durable.
  /// \param Change the change.
  /// \param OnDone told whether it is durable.
  void apply(const replica_change &Change, std::function<void(bool)> OnDone);

  /// Drops what has outlived its retention, with the segments that held it. A
  /// segment that a few long-lived records keep is emptied once the disk is
  /// half full.
  void expire();

  const replica_state &state() const { return State; }

private:
  void persist(std::vector<replica_change> Changes,
               std::function<void(bool)> OnDone);
  void recordDurableChanges(const std::vector<replica_change> &Changes,
                            const std::vector<std::size_t> &Lengths,
                            const write_result &Result);
  bool readTexts(const record_place &Place, turn_record &Turn) const;
  void beginSegment();
  void writeIndexes(segment_number Before);
  void relocateOldestSegment();
  void logKeptSegment(segment_number Segment, const char *Reason);
  std::vector<replica_change> segmentHeader() const;

  replica_limits Limits;
  replica_state State;
  std::string Folder;
  segment_log Log;
  /// Of the newest segment and of those whose writes have not all ended.
  std::map<segment_number, segment_index> Indexes;
  segment_number ActiveSegment = 0;
  std::size_t ActiveSegmentBytes = 0;
  std::size_t MaxSegments; ///< More are emptied, oldest first.
  bool Relocating = false;
  /// Segments that stay although nothing live is counted there: what moved out
  /// of them is not durable elsewhere.
  std::set<segment_number> UnrelocatedSegments;
  journal_writer Writer; ///< Last: its thread ends first.
};

} // namespace lentilhoist
