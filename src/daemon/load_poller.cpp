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

void load_poller::run() {
  while (!Stopping) {
    for (const runner_settings &Runner : Settings.Runners) {
      if (Stopping)
        return;
      Decisions.reportLoad(
          Runner.Name, readLoad({Runner.Address, Runner.Port}, readClock()));
    }
    std::this_thread::sleep_for(PollInterval);
  }
}

} // namespace lentilhoist
