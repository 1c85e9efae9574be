#include "daemon/load_poller.h"

namespace lentilhoist {

namespace {

constexpr milliseconds PollInterval{250};

} // namespace

load_poller::load_poller(const daemon_settings &GivenSettings,
                         scheduler &GivenDecisions)
    : Settings(GivenSettings), Decisions(GivenDecisions) {}

void load_poller::start() {
  Thread = std::thread([this] { run(); });
}

void load_poller::stop() {
  Stopping = true;
  if (Thread.joinable())
    Thread.join();
}

void load_poller::sweepCache(const runner_settings &Runner) {
  if (Runner.Kind != runner_kind::Engine)
    return;
  const auto Sessions = listSessions({Runner.Address, Runner.Port});
  if (Sessions)
    Decisions.reportCache(Runner.Name, *Sessions);
}

void load_poller::run() {
  std::size_t Round = 0;
  while (!Stopping) {
    for (const runner_settings &Runner : Settings.Runners) {
      if (Stopping)
        return;
      Decisions.reportLoad(
          Runner.Name, readLoad({Runner.Address, Runner.Port}, readClock()));
    }
    // One engine a round, so that the sweep costs little.
    if (!Settings.Runners.empty())
      sweepCache(Settings.Runners[Round++ % Settings.Runners.size()]);
    std::this_thread::sleep_for(PollInterval);
  }
}

} // namespace lentilhoist
