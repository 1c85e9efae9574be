#pragma once

#include <cstdint>
#include <msgpack.hpp>
#include <optional>
#include <string>
#include <vector>

namespace lentilhoist {

/// One place among the replicas of the history.
struct replica_slot {
  std::string Node;    ///< Name of the instance.
  std::string Address; ///< IP:PORT; the identity of the replica.
  std::string Domain;  ///< Failure domain.
  /// Replica that had this slot before and may hold records that its successor
  /// has not copied yet; empty once the copy is complete.
  std::string Predecessor;
  MSGPACK_DEFINE(Node, Address, Domain, Predecessor)
};

/// The replicas of the history, as agreed in the platform's store. Versions
/// fence: a replica that has met a version refuses requests of older ones.
struct replica_set {
  std::uint64_t Version = 0;
  std::uint32_t DisksLost = 1; ///< Disks that may be lost at the same time.
  /// Whether all slots were filled once; nothing is acknowledged before.
  bool Established = false;
  std::vector<replica_slot> Slots;
  MSGPACK_DEFINE(Version, DisksLost, Established, Slots)

  /// \returns replicas that must have synced a record before it counts.
  std::size_t writeQuorum() const { return DisksLost + 1; }
  /// \returns complete replicas that must answer before a miss is certain.
  std::size_t readQuorum() const {
    return Slots.size() > DisksLost ? Slots.size() - DisksLost : 1;
  }
  /// \returns slots that a full set has.
  std::size_t fullSize() const { return 2 * DisksLost + 1; }
  /// \param Address a replica's address.
  /// \returns its slot's index, or nothing.
  std::optional<std::size_t> find(const std::string &Address) const;
};

/// \param Set the set.
/// \returns its stored text form (JSON).
std::string encodeReplicaSet(const replica_set &Set);

/// \param Text the stored text form.
/// \returns the set, or nothing if the text is malformed.
std::optional<replica_set> decodeReplicaSet(const std::string &Text);

/// What an instance with a disk knows when it decides about its membership.
struct membership_view {
  std::string Node;
  std::string Address;
  std::string Domain;
  std::optional<replica_set> Set; ///< Absent if the store holds none.
  bool FirstStart = false;        ///< The whole system starts with empty disks.
  std::uint32_t DisksLost = 1;
  /// For each slot, whether this instance has failed to reach its replica for
  /// longer than the takeover delay.
  std::vector<bool> Unreachable;
  /// Names of instances that are to be emptied.
  std::vector<std::string> Retiring;
};

/// What an instance does about the replica set.
enum class membership_step {
  None,
  CreateSet, ///< Create the set with this instance as its first replica.
  Join,      ///< Fill a slot of a set that is not established yet.
  TakeOver,  ///< Replace a replica that is lost or is to be emptied.
};

/// A step with the set that it writes, under the condition that the stored
/// set is still the one seen.
struct membership_decision {
  membership_step Step = membership_step::None;
  replica_set Set;
};

/// Decides what an instance with a disk does about the replica set.
/// \param View what the instance knows.
/// \returns the step and the set to write.
membership_decision decideMembership(const membership_view &View);

/// \param Set the set.
/// \param Address the replica that has copied all.
/// \returns the set without the predecessor in that replica's slot; nothing
/// if there is none.
std::optional<replica_set> withoutPredecessor(const replica_set &Set,
                                              const std::string &Address);

/// \param Set the set.
/// \param Node name of an instance.
/// \param Address its address.
/// \returns whether records may lie on that instance that no other holds.
bool isReferenced(const replica_set &Set, const std::string &Node,
                  const std::string &Address);

} // namespace lentilhoist
