#include "history/copy_progress.h"

#include <algorithm>

namespace lentilhoist {

bool restartIfSetChanged(copy_progress &Progress, const replica_set &Set) {
  if (Progress.Version == Set.Version)
    return false;
  Progress = {};
  Progress.Version = Set.Version;
  return true;
}

std::vector<std::string> claimCopySources(copy_progress &Progress,
                                          const replica_set &Set,
                                          const std::string &Address) {
  std::vector<std::string> Taken;
  for (const auto &Slot : copySources(Set, Address))
    for (const std::string &Source : Slot)
      if (!Progress.Copied.contains(Source) &&
          Progress.InProgress.insert(Source).second)
        Taken.push_back(Source);
  return Taken;
}

bool isCopyComplete(const copy_progress &Progress, const replica_set &Set,
                    const std::string &Address) {
  std::size_t Slots = 0;
  for (const auto &Slot : copySources(Set, Address))
    Slots += std::any_of(Slot.begin(), Slot.end(), [&](const auto &Source) {
      return Progress.Copied.contains(Source);
    });
  return Slots >= requiredSourceCount(Set, Address);
}

} // namespace lentilhoist
