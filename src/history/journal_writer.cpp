#include "history/journal_writer.h"

#include "log/log.h"

#include <asio/post.hpp>
#include <system_error>

namespace lentilhoist {

namespace {
/// Part of the disk that is filled; the rest is for what expires later than
/// expected.
constexpr double MaxDiskFraction = 0.9;
} // namespace

journal_writer::journal_writer(asio::io_context &GivenLoop,
                               segment_log &GivenLog, std::size_t DiskBytes)
    : Loop(GivenLoop), Log(GivenLog),
      MaxBytes(static_cast<std::size_t>(static_cast<double>(DiskBytes) *
                                        MaxDiskFraction)),
      Thread([this] { run(); }) {}

journal_writer::~journal_writer() {
  {
    const std::lock_guard Lock(Mutex);
    Stopping = true;
  }
  TasksAvailable.notify_one();
  Thread.join();
}

void journal_writer::write(std::string Bytes,
                           std::function<void(write_result)> OnDone) {
  push({std::move(Bytes), std::move(OnDone), 0, 0, 0});
}

void journal_writer::beginSegment(segment_number Number, std::string Header) {
  push({std::move(Header), nullptr, Number, 0, 0});
}

void journal_writer::writeIndex(segment_number Number, std::string Bytes) {
  push({std::move(Bytes), nullptr, 0, Number, 0});
}

void journal_writer::removeSegment(segment_number Number) {
  push({{}, nullptr, 0, 0, Number});
}

void journal_writer::push(task Task) {
  {
    const std::lock_guard Lock(Mutex);
    Tasks.push_back(std::move(Task));
  }
  TasksAvailable.notify_one();
}

void journal_writer::run() {
  for (;;) {
    std::vector<task> Batch;
    {
      std::unique_lock Lock(Mutex);
      TasksAvailable.wait(Lock, [this] { return Stopping || !Tasks.empty(); });
      if (Tasks.empty())
        return;
      Batch.swap(Tasks);
    }
    execute(Batch);
  }
}

bool journal_writer::flush(const std::string &Bytes) {
  if (Bytes.empty())
    return !Failed;
  if (Failed || Log.diskBytes() + Bytes.size() > MaxBytes)
    return false;
  try {
    Log.append(Bytes);
    return true;
  } catch (const std::system_error &Error) {
    Failed = true;
    logEvent(log_level::Error, "journal_failed", {{"reason", Error.what()}});
    return false;
  }
}

void journal_writer::storeIndex(const task &Task) {
  try {
    Log.writeIndex(Task.Index, Task.Bytes);
  } catch (const std::system_error &Error) {
    // Without it, the next start reads the segment itself.
    logEvent(
        log_level::Warning, "index_not_written",
        {{"segment", std::to_string(Task.Index)}, {"reason", Error.what()}});
  }
}

void journal_writer::execute(std::vector<task> &Batch) {
  /// Who waits for bytes of the batch, and where these are.
  struct waiter {
    std::function<void(write_result)> OnDone;
    std::uint64_t Offset;
  };
  std::string Bytes;
  std::vector<waiter> PendingWaiters;
  const auto FlushPending = [&] {
    const std::uint64_t Start = Log.segmentBytes();
    const bool Durable = flush(Bytes);
    Bytes.clear();
    if (PendingWaiters.empty())
      return;
    asio::post(Loop, [Durable, Start, Segment = Log.newestSegment(),
                      Waiters = std::move(PendingWaiters)] {
      for (const waiter &Waiter : Waiters)
        Waiter.OnDone({Durable, Segment, Start + Waiter.Offset});
    });
    PendingWaiters.clear();
  };
  for (task &Task : Batch) {
    if (Task.Remove != 0) {
      Log.remove(Task.Remove);
      continue;
    }
    if (Task.Index != 0) {
      storeIndex(Task);
      continue;
    }
    if (Task.Begin != 0) {
      FlushPending();
      try {
        Log.begin(Task.Begin);
        Failed = false;
      } catch (const std::system_error &Error) {
        Failed = true;
        logEvent(log_level::Error, "journal_failed",
                 {{"reason", Error.what()}});
      }
    }
    if (Task.OnDone)
      PendingWaiters.push_back({std::move(Task.OnDone), Bytes.size()});
    Bytes += Task.Bytes;
  }
  FlushPending();
}

} // namespace lentilhoist
