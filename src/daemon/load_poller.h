#pragma once

#include "daemon/scheduler.h"

#include <atomic>
#include <thread>

namespace lentilhoist {

/// The thread that asks each runner for its load, in turn, and looks for caches
/// that engines hold for programs that have ended.
class load_poller {
public:
  /// \param Settings the daemon's settings, which name the runners.
  /// \param Decisions takes the reports.
  load_poller(const daemon_settings &Settings, scheduler &Decisions);
  ~load_poller() { stop(); }
  load_poller(const load_poller &) = delete;
  load_poller &operator=(const load_poller &) = delete;

  void start();
  void stop();

private:
  void run();
  void sweepCache(const runner_settings &Runner);

  const daemon_settings &Settings;
  scheduler &Decisions;
  std::atomic<bool> Stopping{false};
  std::thread Thread;
};

} // namespace lentilhoist
