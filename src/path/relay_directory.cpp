#include "path/relay_directory.h"

#include "core/hash.h"

#include <algorithm>
#include <utility>

namespace lentilhoist {

namespace {

bool isBackingOff(const relay_view &Relay, instant Now) {
  return Relay.FailedUntil.Steady > Now.Steady;
}

} // namespace

void listRelays(relay_directory &Directory,
                const std::vector<std::string> &Addresses,
                const std::string &Own, instant Now) {
  for (const std::string &Address : Addresses)
    if (Address != Own)
      Directory.Relays[Address].ListedAt = Now;
  std::erase_if(Directory.Relays, [&](const auto &Item) {
    return Now.Steady - Item.second.ListedAt.Steady > RelayListTime;
  });
}

std::string chooseRelay(const relay_directory &Directory, instant Now) {
  std::string Best;
  int Fewest = 0;
  for (const auto &[Address, Relay] : Directory.Relays) {
    if (!Relay.Usable || isBackingOff(Relay, Now))
      continue;
    if (!Best.empty() && Relay.Requests >= Fewest)
      continue;
    Best = Address;
    Fewest = Relay.Requests;
  }
  return Best;
}

bool mayFindRelay(const relay_directory &Directory, instant Now) {
  return std::any_of(Directory.Relays.begin(), Directory.Relays.end(),
                     [&](const auto &Item) {
                       const relay_view &Relay = Item.second;
                       return Relay.Checking || !isBackingOff(Relay, Now);
                     });
}

std::vector<std::string> startRelayChecks(relay_directory &Directory,
                                          const std::string &Own, instant Now) {
  std::vector<std::string> Checks;
  std::vector<std::pair<std::uint64_t, std::string>> Others;
  std::size_t Usable = 0;
  std::size_t UnderWay = 0;
  for (const auto &[Address, Relay] : Directory.Relays) {
    UnderWay += Relay.Checking ? 1 : 0;
    if (Relay.Usable) {
      ++Usable;
      if (!Relay.Checking &&
          Now.Steady - Relay.CheckedAt.Steady >= RelayCheckInterval)
        Checks.push_back(Address);
    } else if (!Relay.Checking && !isBackingOff(Relay, Now)) {
      Others.emplace_back(stableHash(Own + Address), Address);
    }
  }
  std::sort(Others.begin(), Others.end());
  if (Usable < RelaysInUse)
    for (const auto &[Rank, Address] : Others)
      if (UnderWay + Checks.size() < MaxRelayChecks)
        Checks.push_back(Address);
  for (const std::string &Address : Checks) {
    relay_view &Relay = Directory.Relays.at(Address);
    Relay.Checking = true;
    Relay.CheckedAt = Now;
  }
  return Checks;
}

bool recordRelay(relay_directory &Directory, const std::string &Address,
                 relay_result Result, instant Now) {
  const auto Found = Directory.Relays.find(Address);
  if (Found == Directory.Relays.end())
    return false;
  relay_view &Relay = Found->second;
  Relay.Checking = false;
  Relay.SilentResults =
      Result == relay_result::Silent ? Relay.SilentResults + 1 : 0;
  bool Usable = Result == relay_result::Works;
  if (Relay.Usable && Result == relay_result::Silent &&
      Relay.SilentResults < MaxSilentResults) {
    Usable = true;
    Relay.CheckedAt = {};
  }
  if (!Usable)
    Relay.FailedUntil = later(Now, RelayBackoff);
  return std::exchange(Relay.Usable, Usable) != Usable;
}

void forgetRelays(relay_directory &Directory) {
  for (auto &[Address, Relay] : Directory.Relays) {
    Relay.Usable = false;
    Relay.SilentResults = 0;
    Relay.FailedUntil = {};
  }
}

} // namespace lentilhoist
