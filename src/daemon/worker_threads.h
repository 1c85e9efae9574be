#pragma once

#include "core/bounded_ring.h"

#include <atomic>
#include <functional>
#include <thread>
#include <vector>

namespace lentilhoist {

/// Threads that share one duty made of blocking work.
class worker_threads {
public:
  /// \param Count number of threads.
  /// \param Capacity jobs that may wait.
  worker_threads(std::size_t Count, std::size_t Capacity) : Jobs(Capacity) {
    for (std::size_t Index = 0; Index < Count; ++Index)
      Threads.emplace_back([this] { run(); });
  }

  ~worker_threads() { stop(); }
  worker_threads(const worker_threads &) = delete;
  worker_threads &operator=(const worker_threads &) = delete;

  /// \param Job the job.
  /// \returns whether there was room.
  bool submit(std::function<void()> Job) { return Jobs.push(std::move(Job)); }

  /// Finishes the jobs under way and joins the threads.
  void stop() {
    Stopping = true;
    // One empty job for each thread wakes them all; threads that find the ring
    // full are awake anyway.
    for (std::size_t Index = 0; Index < Threads.size(); ++Index)
      Jobs.push(std::function<void()>());
    for (std::thread &Thread : Threads) {
      if (Thread.joinable())
        Thread.join();
    }
  }

private:
  static constexpr std::chrono::seconds IdleWait{5};

  void run() {
    while (!Stopping) {
      const auto Job = Jobs.pop(IdleWait);
      if (Job && *Job)
        (*Job)();
    }
  }

  bounded_ring<std::function<void()>> Jobs;
  std::atomic<bool> Stopping{false};
  std::vector<std::thread> Threads;
};

} // namespace lentilhoist
