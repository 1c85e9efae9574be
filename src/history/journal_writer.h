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

/// How a write to the journal ended.
struct write_result {
  bool Durable = false;
  segment_number Segment = 0; ///< That holds the bytes.
  std::uint64_t Offset = 0;   ///< Of the bytes in it.
};

/// The thread that writes a replica's journal. All that waits is written and
/// synced together; the results go back to the event loop.
class journal_writer {
public:
  /// \param Loop the event loop that receives the results.
  /// \param Log the journal; used by this thread only from now on.
  /// \param DiskBytes size of the disk; writes beyond a part of it fail.
  journal_writer(asio::io_context &Loop, segment_log &Log,
                 std::size_t DiskBytes);
  ~journal_writer();
  journal_writer(const journal_writer &) = delete;
  journal_writer &operator=(const journal_writer &) = delete;

  /// Queues records.
  /// \param Bytes encoded records.
  /// \param OnDone told on the event loop whether and where they are durable.
  void write(std::string Bytes, std::function<void(write_result)> OnDone);

  /// Queues the beginning of a segment.
  /// \param Number its number.
  /// \param Header encoded records that each segment begins with.
  void beginSegment(segment_number Number, std::string Header);

  /// Queues the index of a segment that will not grow any more.
  /// \param Number the segment.
  /// \param Bytes its encoded index.
  void writeIndex(segment_number Number, std::string Bytes);

  /// Queues the deletion of a segment.
  /// \param Number its number.
  void removeSegment(segment_number Number);

private:
  /// What the thread is to do.
  struct task {
    std::string Bytes;
    std::function<void(write_result)> OnDone;
    segment_number Begin = 0;  ///< Segment to begin; 0 for none.
    segment_number Index = 0;  ///< Segment whose index it is; 0 for none.
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
  bool Failed = false; ///< A sync has failed: the segment can't be trusted.
  std::thread Thread;
};

} // namespace lentilhoist
