#pragma once

#include "history/segment_log.h"

#include <asio/io_context.hpp>
#include <condition_variable>
#include <functional>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace lentilhoist {

/// Result of a write to the journal.
struct write_result {
  bool Durable = false;
  segment_number Segment = 0; ///< Segment that holds the bytes.
  std::uint64_t Offset = 0;   ///< Offset of the bytes in the segment.
};

/// Writes the journal of a replica on a thread of its own. Queued writes are
/// appended and synced as one batch (group commit); the results are posted to
/// the event loop.
class journal_writer {
public:
  /// \param Loop the event loop that receives the results.
  /// \param Log the journal; must outlive the writer, whose thread has
  /// exclusive use of it.
  /// \param DiskBytes size of the disk. Writes fail once the journal fills a
  /// fixed fraction of it.
  journal_writer(asio::io_context &Loop, segment_log &Log,
                 std::size_t DiskBytes);
  ~journal_writer();
  journal_writer(const journal_writer &) = delete;
  journal_writer &operator=(const journal_writer &) = delete;

  /// Queues records.
  /// \param Bytes encoded records.
  /// \param OnDone called on the event loop with the result.
  void write(std::string Bytes, std::function<void(write_result)> OnDone);

  /// Queues the creation of a segment, which becomes the one written to.
  /// \param Number number of the segment.
  /// \param Header encoded records at the start of each segment.
  void beginSegment(segment_number Number, std::string Header);

  /// Queues the index of a closed segment.
  /// \param Number number of the segment.
  /// \param Bytes its encoded index.
  void writeIndex(segment_number Number, std::string Bytes);

  /// Queues the deletion of a segment.
  /// \param Number number of the segment.
  void removeSegment(segment_number Number);

private:
  /// An item of the writer thread's queue.
  struct task {
    std::string Bytes;
    std::function<void(write_result)> OnDone;
    segment_number Begin = 0;  ///< Segment to create; 0 for none.
    segment_number Index = 0;  ///< Segment to index; 0 for none.
    segment_number Remove = 0; ///< Segment to delete; 0 for none.
  };

  void push(task Task);
  void run();
  void execute(std::vector<task> &Tasks);
  bool flush(const std::string &Bytes);
  void storeIndex(const task &Task);

  asio::io_context &Loop;
  segment_log &Log;
  std::size_t MaxBytes;
  std::mutex Mutex;
  std::condition_variable TasksAvailable;
  std::vector<task> Tasks;
  bool Stopping = false;
  /// Set when a write or sync has failed, which leaves the end of the segment
  /// undefined. Writes fail until the next segment begins.
  bool Failed = false;
  std::thread Thread;
};

} // namespace lentilhoist
