#include "history/journal_writer.h"

#include "log/log.h"

#include <asio/post.hpp>
#include <system_error>

namespace lentilhoist {

namespace {
/// Fraction of the disk that writes for requests may fill. The rest is a
/// reserve for records that expire later than expected, and for maintenance.
constexpr double MaxDiskFraction = 0.9;
} // namespace

journal_writer::journal_writer(asio::io_context &GivenLoop,
                               segment_log &GivenLog,
                               std::size_t GivenDiskBytes)
    : Loop(GivenLoop), Log(GivenLog), DiskBytes(GivenDiskBytes),
      Thread([this] { run(); }) {}

journal_writer::~journal_writer() {
  {
    const std::lock_guard Lock(Mutex);
    Stopping = true;
  }
  TasksAvailable.notify_one();
  Thread.join();
}

void journal_writer::write(std::string Bytes, write_purpose Purpose,
                           std::function<void(write_result)> OnDone) {
  push({std::move(Bytes), std::move(OnDone), 0, 0, 0, Purpose});
}

void journal_writer::beginSegment(segment_number Number, std::string Header,
                                  std::function<void(write_result)> OnDone) {
  push({std::move(Header), std::move(OnDone), Number, 0, 0,
        write_purpose::Maintenance});
}

void journal_writer::writeIndex(segment_number Number, std::string Bytes) {
  push({std::move(Bytes), nullptr, 0, Number, 0, write_purpose::Maintenance});
}

void journal_writer::removeSegment(segment_number Number) {
  push({{}, nullptr, 0, 0, Number, write_purpose::Maintenance});
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

bool journal_writer::fits(const task &Task, std::size_t QueuedBytes) const {
  const std::size_t MaxBytes =
      Task.Purpose == write_purpose::Maintenance
          ? DiskBytes
          : static_cast<std::size_t>(static_cast<double>(DiskBytes) *
                                     MaxDiskFraction);
  return Log.diskBytes() + QueuedBytes + Task.Bytes.size() <= MaxBytes;
}

bool journal_writer::flush(const std::string &Bytes, std::uint64_t &Offset) {
  try {
    if (Failed)
      Log.repair();
    Offset = Log.append(Bytes);
  } catch (const std::system_error &Error) {
    if (!Failed)
      logEvent(log_level::Error, "journal_failed", {{"reason", Error.what()}});
    Failed = true;
    return false;
  }
  if (Failed)
    logEvent(log_level::Info, "journal_recovered",
             {{"segment", std::to_string(Log.newestSegment())}});
  Failed = false;
  return true;
}

void journal_writer::storeIndex(const task &Task) {
  try {
    Log.writeIndex(Task.Index, Task.Bytes);
  } catch (const std::system_error &Error) {
    // Without an index, the next start reads the whole segment.
    logEvent(
        log_level::Warning, "index_not_written",
        {{"segment", std::to_string(Task.Index)}, {"reason", Error.what()}});
  }
}

void journal_writer::execute(std::vector<task> &Batch) {
  /// Callback of a write in the batch, and the offset of its bytes there.
  struct waiter {
    std::function<void(write_result)> OnDone;
    std::uint64_t Offset;
    bool Accepted; ///< The bytes are part of the batch.
  };
  std::string Bytes;
  std::vector<waiter> PendingWaiters;
  const auto FlushPending = [&] {
    std::uint64_t Start = 0;
    const bool Durable = Bytes.empty() || flush(Bytes, Start);
    Bytes.clear();
    if (PendingWaiters.empty())
      return;
    asio::post(Loop, [Durable, Start, Segment = Log.newestSegment(),
                      Waiters = std::move(PendingWaiters)] {
      for (const waiter &Waiter : Waiters)
        Waiter.OnDone(
            {Durable && Waiter.Accepted, Segment, Start + Waiter.Offset});
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
    const bool Accepted = fits(Task, Bytes.size());
    PendingWaiters.push_back({std::move(Task.OnDone), Bytes.size(), Accepted});
    if (Accepted && Bytes.empty())
      Bytes = std::move(Task.Bytes);
    else if (Accepted)
      Bytes += Task.Bytes;
    std::string().swap(Task.Bytes);
  }
  FlushPending();
}

} // namespace lentilhoist
