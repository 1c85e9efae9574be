#include "history/copy_progress.h"

#include <algorithm>

namespace lentilhoist {

bool restartIfSetChanged(copy_progress &Progress, const replica_set &Set) {
  const std::uint64_t SetReplicas = hashReplicas(Set);
  if (Progress.Version == Set.Version && Progress.SetReplicas == SetReplicas)
    return false;
  Progress = {Set.Version, SetReplicas, Progress.Restarts + 1, {}, {}};
  return true;
}

std::vector<std::string> claimCopySources(copy_progress &Progress,
                                          const replica_set &Set,
                                          const std::string &Address) {
  std::vector<std::string> Claimed;
  for (const auto &Slot : copySources(Set, Address))
    for (const std::string &Source : Slot)
      if (!Progress.Copied.contains(Source) &&
          Progress.InProgress.insert(Source).second)
        Claimed.push_back(Source);
  return Claimed;
}

bool isCopyComplete(const copy_progress &Progress, const replica_set &Set,
                    const std::string &Address) {
  if (!Set.find(Address))
    return false;
  std::size_t CopiedSlots = 0;
  for (const auto &Slot : copySources(Set, Address))
    CopiedSlots +=
        std::any_of(Slot.begin(), Slot.end(), [&](const auto &Source) {
          return Progress.Copied.contains(Source);
        });
  return CopiedSlots >= requiredSourceCount(Set, Address);
}

} // namespace lentilhoist
