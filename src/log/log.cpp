#include "log/log.h"

#include "core/bounded_ring.h"
#include "core/instant.h"

#include <algorithm>
#include <array>
#include <atomic>
#include <cerrno>
#include <fmt/chrono.h>
#include <fmt/format.h>
#include <memory>
#include <nlohmann/json.hpp>
#include <poll.h>
#include <span>
#include <thread>
#include <unistd.h>

namespace lentilhoist {

namespace {

constexpr std::size_t RingCapacity = 4'096;
constexpr milliseconds DrainWait{500};
constexpr milliseconds BatchTime{50};
/// Writes up to this size reach a pipe whole (POSIX, PIPE_BUF).
constexpr std::size_t MaxWriteBytes = 4'096;
constexpr std::array<std::string_view, 4> LevelNames{"debug", "info", "warning",
                                                     "error"};

/// The process's writer thread and its ring.
struct log_state {
  std::string Instance;
  std::atomic<log_level> Level{log_level::Info};
  std::unique_ptr<bounded_ring<std::string>> Ring;
  std::atomic<bool> Running{false};
  std::atomic<std::uint64_t> Dropped{0};
  std::thread Thread;
};

log_state &state() {
  static log_state State;
  return State;
}

/// Writes all of the text, also to a pipe whose reader is slow: only this
/// thread waits, and the ring drops what comes meanwhile.
void writeText(std::string_view Text) {
  while (!Text.empty()) {
    const ssize_t Length = ::write(STDOUT_FILENO, Text.data(),
                                   std::min(Text.size(), MaxWriteBytes));
    if (Length > 0) {
      Text.remove_prefix(static_cast<std::size_t>(Length));
      continue;
    }
    if (errno == EINTR)
      continue;
    if (errno != EAGAIN && errno != EWOULDBLOCK)
      return; // A reader that is gone leaves nobody to tell.
    pollfd Output{STDOUT_FILENO, POLLOUT, 0};
    ::poll(&Output, 1, static_cast<int>(DrainWait.count()));
  }
}

void runWriter(log_state &State) {
  for (;;) {
    std::string Batch;
    for (auto Line = State.Ring->pop(DrainWait); Line;
         Line = State.Ring->pop(microseconds(0))) {
      Batch += *Line;
      Batch += '\n';
    }
    if (!Batch.empty())
      writeText(Batch);
    else if (!State.Running)
      return;
    // Lines of some time are written together: a wake-up costs more than one.
    if (State.Running)
      std::this_thread::sleep_for(BatchTime);
  }
}

std::string formatLine(log_level Level, std::string_view Event,
                       std::span<const log_field> Fields) {
  nlohmann::ordered_json Line;
  Line["time_ms"] = readClock().Unix.count();
  Line["level"] = LevelNames[static_cast<std::size_t>(Level)];
  Line["instance"] = state().Instance;
  Line["event"] = Event;
  for (const log_field &Field : Fields)
    Line[std::string(Field.Name)] = Field.Value;
  return Line.dump(-1, ' ', false,
                   nlohmann::ordered_json::error_handler_t::replace);
}

} // namespace

log_writer::log_writer(std::string Instance, log_level Level) {
  log_state &State = state();
  State.Instance = std::move(Instance);
  State.Level = Level;
  State.Ring = std::make_unique<bounded_ring<std::string>>(RingCapacity);
  State.Running = true;
  State.Thread = std::thread([&State] { runWriter(State); });
}

log_writer::~log_writer() {
  log_state &State = state();
  State.Running = false;
  State.Thread.join();
  const std::uint64_t Dropped = State.Dropped;
  if (Dropped != 0)
    writeText(fmt::format("{{\"event\":\"log_lines_dropped\",\"count\":{}}}\n",
                          Dropped));
}

namespace {

void writeEvent(log_level Level, std::string_view Event,
                std::span<const log_field> Fields) {
  log_state &State = state();
  if (Level < State.Level)
    return;
  std::string Line = formatLine(Level, Event, Fields);
  if (!State.Running)
    writeText(Line + '\n');
  else if (!State.Ring->push(std::move(Line)))
    ++State.Dropped;
}

} // namespace

void logEvent(log_level Level, std::string_view Event,
              std::initializer_list<log_field> Fields) {
  writeEvent(Level, Event, {Fields.begin(), Fields.size()});
}

void logFields(log_level Level, std::string_view Event,
               const std::vector<log_field> &Fields) {
  writeEvent(Level, Event, Fields);
}

} // namespace lentilhoist
