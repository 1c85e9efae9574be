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

/// What a write to the journal is for.
enum class write_purpose {
  Request, ///< Records of a request; refused once the disk is nearly full.
  /// Records that must be written before older segments can be deleted. They
  /// may use the reserve of the disk, because deleting frees more than that.
  Maintenance,
};

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
  /// \param DiskBytes size of the disk. Writes for requests fail once the
  /// journal fills a fixed fraction of it.
  journal_writer(asio::io_context &Loop, segment_log &Log,
                 std::size_t DiskBytes);
  ~journal_writer();
  journal_writer(const journal_writer &) = delete;
  journal_writer &operator=(const journal_writer &) = delete;

  /// Queues records.
  /// \param Bytes encoded records.
  /// \param Purpose what they are for.
  /// \param OnDone called on the event loop with the result, in the order of
  /// the writes and segments.
  void write(std::string Bytes, write_purpose Purpose,
             std::function<void(write_result)> OnDone);

  /// Queues the creation of a segment, which becomes the one written to.
  /// \param Number number of the segment.
  /// \param Header encoded records at the start of each segment.
  /// \param OnDone called on the event loop with the result of writing Header.
  void beginSegment(segment_number Number, std::string Header,
                    std::function<void(write_result)> OnDone);

  /// Queues the index of a closed segment.
  /// \param Number number of the segment.
  /// \param Bytes its encoded index.
  void writeIndex(segment_number Number, std::string Bytes);

  /// Queues the deletion of a segment. The caller knows from the results of
  /// earlier writes that no record in it is needed any more.
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
    write_purpose Purpose = write_purpose::Request;
  };

  void push(task Task);
  void run();
  void execute(std::vector<task> &Tasks);
  bool flush(const std::string &Bytes, std::uint64_t &Offset);
  bool fits(const task &Task, std::size_t QueuedBytes) const;
  void storeIndex(const task &Task);

  asio::io_context &Loop;
  segment_log &Log;
  std::size_t DiskBytes;
  std::mutex Mutex;
  std::condition_variable TasksAvailable;
  std::vector<task> Tasks;
  bool Stopping = false;
  /// Set when a write or sync has failed, which leaves the end of the segment
  /// undefined. The next write repairs the segment first.
  bool Failed = false;
  std::thread Thread;
};

} // namespace lentilhoist
