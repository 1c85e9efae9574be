#include "admission/memory_account.h"

#include <numeric>
#include <utility>

#ifdef __GLIBC__
#include <malloc.h>
#endif

namespace lentilhoist {

namespace {

constexpr std::array<std::pair<memory_purpose, const char *>, MemoryPurposes>
    PurposeNames{{{memory_purpose::Heads, "heads"},
                  {memory_purpose::ReceivingBodies, "receiving_bodies"},
                  {memory_purpose::WaitingBodies, "waiting_bodies"},
                  {memory_purpose::Responses, "responses"},
                  {memory_purpose::Tunnels, "tunnels"},
                  {memory_purpose::Chains, "chains"},
                  {memory_purpose::Outputs, "outputs"}}};

/// Blocks from this size on are mapped by themselves: the initial value of
/// glibc, which stays fixed once it is set.
[[maybe_unused]] constexpr int MapThresholdBytes = 128 * 1024;
/// Free memory at the end of the heap that is kept.
[[maybe_unused]] constexpr int TrimThresholdBytes = 256 * 1024;

} // namespace

const char *memoryPurposeName(memory_purpose Purpose) {
  for (const auto &[Value, Name] : PurposeNames)
    if (Value == Purpose)
      return Name;
  return "unknown";
}

std::size_t chargedBytes(const memory_account &Account) {
  return std::accumulate(Account.Bytes.begin(), Account.Bytes.end(),
                         std::size_t{0});
}

bool hasRoom(const memory_account &Account, std::size_t Bytes, bool Large) {
  if (Account.Limit == 0)
    return true;
  const auto Of = [&](memory_purpose Purpose) {
    return Account.Bytes[static_cast<std::size_t>(Purpose)];
  };
  const bool OnlyBody = Of(memory_purpose::ReceivingBodies) == 0 &&
                        Of(memory_purpose::WaitingBodies) == 0;
  const std::size_t Usable =
      Large && !OnlyBody ? Account.Limit - Account.Limit / SmallReserveDivisor
                         : Account.Limit;
  const std::size_t Charged = chargedBytes(Account);
  return Charged <= Usable && Bytes <= Usable - Charged;
}

void memory_charge::set(std::size_t Now) {
  std::size_t &Total = Account.Bytes[static_cast<std::size_t>(Purpose)];
  Total = Total - Charged + Now;
  Charged = Now;
}

bool memory_charge::raise(std::size_t Least, bool Large) {
  if (Least <= Charged)
    return true;
  if (!hasRoom(Account, Least - Charged, Large))
    return false;
  set(Least);
  return true;
}

void returnFreedMemory() {
#ifdef __GLIBC__
  ::mallopt(M_MMAP_THRESHOLD, MapThresholdBytes);
  ::mallopt(M_TRIM_THRESHOLD, TrimThresholdBytes);
#endif
}

} // namespace lentilhoist
