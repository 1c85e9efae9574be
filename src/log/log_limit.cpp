#include "log/log_limit.h"

#include <mutex>
#include <utility>

namespace lentilhoist {

namespace {

/// Kind of the lines above MaxLogKinds.
constexpr std::string_view OtherKinds = "other";

log_kind &findKind(log_limit &Limit, std::string_view Kind) {
  const auto Found = Limit.Kinds.find(Kind);
  if (Found != Limit.Kinds.end())
    return Found->second;
  const bool Room = Limit.Kinds.size() + 1 < MaxLogKinds;
  return Limit.Kinds[std::string(Room ? Kind : OtherKinds)];
}

bool isOver(const log_kind &Kind, instant Now) {
  return Now.Steady - Kind.WindowStart.Steady >= LogWindow;
}

/// The limit of this process.
struct shared_limit {
  std::mutex Mutex;
  log_limit Limit;
};

shared_limit &sharedLimit() {
  static shared_limit Shared;
  return Shared;
}

} // namespace

std::optional<std::uint64_t> admitLine(log_limit &Limit, std::string_view Kind,
                                       instant Now) {
  log_kind &Lines = findKind(Limit, Kind);
  if (Lines.Written == 0 || isOver(Lines, Now)) {
    Lines.WindowStart = Now;
    Lines.Written = 0;
  }
  if (Lines.Written == MaxLinesPerWindow) {
    ++Lines.Suppressed;
    return std::nullopt;
  }
  ++Lines.Written;
  return std::exchange(Lines.Suppressed, 0);
}

std::vector<suppressed_lines> takeSuppressed(log_limit &Limit, instant Now) {
  std::vector<suppressed_lines> Taken;
  for (auto &[Name, Lines] : Limit.Kinds)
    if (Lines.Suppressed > 0 && isOver(Lines, Now))
      Taken.push_back({Name, std::exchange(Lines.Suppressed, 0)});
  return Taken;
}

void logLimited(log_level Level, std::string_view Event,
                std::vector<log_field> Fields) {
  std::optional<std::uint64_t> Suppressed;
  {
    shared_limit &Shared = sharedLimit();
    const std::scoped_lock Lock(Shared.Mutex);
    Suppressed = admitLine(Shared.Limit, Event, readClock());
  }
  if (!Suppressed)
    return;
  if (*Suppressed > 0)
    Fields.push_back({"suppressed", std::to_string(*Suppressed)});
  logFields(Level, Event, Fields);
}

void logSuppressed() {
  std::vector<suppressed_lines> Taken;
  {
    shared_limit &Shared = sharedLimit();
    const std::scoped_lock Lock(Shared.Mutex);
    Taken = takeSuppressed(Shared.Limit, readClock());
  }
  for (const suppressed_lines &Lines : Taken)
    logEvent(log_level::Warning, "log_lines_suppressed",
             {{"kind", Lines.Kind}, {"count", std::to_string(Lines.Count)}});
}

} // namespace lentilhoist
