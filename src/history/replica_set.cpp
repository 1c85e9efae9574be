#include "history/replica_set.h"

#include "core/hash.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace lentilhoist {

std::optional<std::size_t> replica_set::find(const std::string &Address) const {
  for (std::size_t Index = 0; Index < Slots.size(); ++Index)
    if (Slots[Index].Address == Address)
      return Index;
  return std::nullopt;
}

bool hasSameReplicas(const replica_set &Left, const replica_set &Right) {
  return Left.Slots.size() == Right.Slots.size() &&
         std::all_of(Left.Slots.begin(), Left.Slots.end(),
                     [&](const replica_slot &Slot) {
                       return Right.find(Slot.Address).has_value();
                     });
}

std::uint64_t hashReplicas(const replica_set &Set) {
  std::uint64_t Sum = 0;
  for (const replica_slot &Slot : Set.Slots)
    Sum += stableHash(Slot.Address);
  return Sum == 0 ? 1 : Sum;
}

bool isLaterSet(const replica_set &Set, const replica_set &Known) {
  return Set.Version != Known.Version ? Set.Version > Known.Version
                                      : Set.Revision > Known.Revision;
}

bool areInConflict(const replica_set &Set, const replica_set &Known) {
  return Set.Version == Known.Version && Set.Established && Known.Established &&
         !hasSameReplicas(Set, Known);
}

std::string encodeReplicaSet(const replica_set &Set) {
  nlohmann::json Json{{"version", Set.Version},
                      {"disks_lost", Set.DisksLost},
                      {"established", Set.Established}};
  auto &Slots = Json["slots"] = nlohmann::json::array();
  for (const replica_slot &Slot : Set.Slots)
    Slots.push_back({{"node", Slot.Node},
                     {"address", Slot.Address},
                     {"domain", Slot.Domain},
                     {"former", Slot.Predecessor}});
  return Json.dump();
}

std::optional<replica_set> decodeReplicaSet(const std::string &Text) {
  const auto Json = nlohmann::json::parse(Text, nullptr, false);
  try {
    replica_set Set;
    Set.Version = Json.at("version").get<std::uint64_t>();
    Set.DisksLost = Json.at("disks_lost").get<std::uint32_t>();
    Set.Established = Json.at("established").get<bool>();
    for (const auto &Slot : Json.at("slots"))
      Set.Slots.push_back({Slot.at("node").get<std::string>(),
                           Slot.at("address").get<std::string>(),
                           Slot.at("domain").get<std::string>(),
                           Slot.at("former").get<std::string>()});
    return Set;
  } catch (const nlohmann::json::exception &) {
    return std::nullopt;
  }
}

namespace {

bool isRetiring(const membership_view &View, const std::string &Node) {
  return std::find(View.Retiring.begin(), View.Retiring.end(), Node) !=
         View.Retiring.end();
}

/// An instance that reaches fewer replicas than a read quorum may be
/// partitioned itself, so it must not judge the other replicas.
bool reachesQuorum(const membership_view &View) {
  const auto Reached = static_cast<std::size_t>(
      std::count(View.Unreachable.begin(), View.Unreachable.end(), false));
  return Reached >= View.Set->readQuorum();
}

std::optional<std::size_t> slotToTakeOver(const membership_view &View) {
  const replica_set &Set = *View.Set;
  for (std::size_t Index = 0; Index < Set.Slots.size(); ++Index)
    if (Set.Slots[Index].Predecessor.empty() &&
        isRetiring(View, Set.Slots[Index].Node))
      return Index;
  if (View.Unreachable.size() != Set.Slots.size() || !reachesQuorum(View))
    return std::nullopt;
  // Taking over a second slot while a successor is still copying could leave
  // records only on replicas that are no longer queried.
  for (const replica_slot &Slot : Set.Slots)
    if (!Slot.Predecessor.empty())
      return std::nullopt;
  for (std::size_t Index = 0; Index < Set.Slots.size(); ++Index)
    if (View.Unreachable[Index])
      return Index;
  return std::nullopt;
}

/// \returns the slot that another replica took from this one without a new
/// version, so that both may have been used as replicas of that version.
std::optional<std::size_t> slotToTakeBack(const membership_view &View) {
  if (!View.Conflicting || !areInConflict(*View.Conflicting, *View.Set) ||
      !View.Conflicting->find(View.Address))
    return std::nullopt;
  for (std::size_t Index = 0; Index < View.Set->Slots.size(); ++Index)
    if (!View.Conflicting->find(View.Set->Slots[Index].Address))
      return Index;
  return std::nullopt;
}

} // namespace

membership_decision decideMembership(const membership_view &View) {
  const replica_slot Self{View.Node, View.Address, View.Domain, ""};
  if (isRetiring(View, View.Node))
    return {};
  if (!View.Set) {
    if (!View.FirstStart)
      return {};
    replica_set Set;
    Set.Version = 1;
    Set.DisksLost = View.DisksLost;
    Set.Slots.push_back(Self);
    Set.Established = Set.Slots.size() >= Set.fullSize();
    return {membership_step::CreateSet, Set};
  }
  if (View.Set->find(View.Address))
    return {};
  replica_set Set = *View.Set;
  ++Set.Version;
  if (!Set.Established) {
    Set.Slots.push_back(Self);
    Set.Established = Set.Slots.size() >= Set.fullSize();
    return {membership_step::Join, Set};
  }
  auto Index = slotToTakeBack(View);
  if (!Index)
    Index = slotToTakeOver(View);
  if (!Index)
    return {};
  replica_slot Successor = Self;
  Successor.Predecessor = Set.Slots[*Index].Address;
  Set.Slots[*Index] = Successor;
  return {membership_step::TakeOver, Set};
}

std::optional<replica_set> withoutPredecessor(const replica_set &Set,
                                              const std::string &Address) {
  const auto Index = Set.find(Address);
  if (!Index || Set.Slots[*Index].Predecessor.empty())
    return std::nullopt;
  replica_set Result = Set;
  Result.Slots[*Index].Predecessor.clear();
  return Result;
}

replica_set withNewVersion(const replica_set &Set) {
  replica_set Result = Set;
  ++Result.Version;
  return Result;
}

bool isReferenced(const replica_set &Set, const std::string &Node,
                  const std::string &Address) {
  return std::any_of(Set.Slots.begin(), Set.Slots.end(),
                     [&](const replica_slot &Slot) {
                       return Slot.Node == Node || Slot.Address == Address ||
                              Slot.Predecessor == Address;
                     });
}

} // namespace lentilhoist
