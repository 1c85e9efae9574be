#pragma once

#include <cstdint>
#include <msgpack.hpp>
#include <optional>
#include <string>
#include <vector>

namespace lentilhoist {

/// A slot of the history's replica set.
struct replica_slot {
  std::string Node;    ///< Name of the instance.
  std::string Address; ///< IP:PORT; identifies the replica.
  std::string Domain;  ///< Failure domain.
  /// Address of the replica that held this slot before. It may have records
  /// that its successor has not copied; empty once the copy is complete.
  std::string Predecessor;
  MSGPACK_DEFINE(Node, Address, Domain, Predecessor)
};

/// The replicas of the history, as stored in the platform's store. The version
/// is a fencing token: a replica that knows a version refuses requests that
/// name an older one.
struct replica_set {
  std::uint64_t Version = 0;
  std::uint32_t DisksLost = 1; ///< Simultaneous disk losses to tolerate.
  /// Whether all slots have been filled once. Nothing is acknowledged before.
  bool Established = false;
  std::vector<replica_slot> Slots;
  /// Revision of the stored object that this set was read from; 0 if it was not
  /// read from the store, or by an older build. A change of the set is written
  /// on condition of the revision of the set that it was derived from.
  std::uint64_t Revision = 0;
  MSGPACK_DEFINE(Version, DisksLost, Established, Slots, Revision)

  /// \returns number of replicas that must sync a record before it is
  /// acknowledged.
  std::size_t writeQuorum() const { return DisksLost + 1; }
  /// \returns number of complete replicas that must answer before a record is
  /// known not to exist.
  std::size_t readQuorum() const {
    return Slots.size() > DisksLost ? Slots.size() - DisksLost : 1;
  }
  /// \returns number of slots in a full set.
  std::size_t fullSize() const { return 2 * DisksLost + 1; }
  /// \param Address a replica's address.
  /// \returns index of its slot, or nothing if it has none.
  std::optional<std::size_t> find(const std::string &Address) const;
};

/// \param Left a set.
/// \param Right another set.
/// \returns whether both have the same replicas, whatever else differs.
bool hasSameReplicas(const replica_set &Left, const replica_set &Right);

/// Names the replicas of a set. Sets of one version have the same replicas,
/// unless an older build has written one of them.
/// \param Set the set.
/// \returns a hash of the replicas' addresses in any order; never 0.
std::uint64_t hashReplicas(const replica_set &Set);

/// \param Set a set.
/// \param Known the set that is known.
/// \returns whether Set is the later one in the store: by its version, then by
/// its revision.
bool isLaterSet(const replica_set &Set, const replica_set &Known);

/// \param Set a set.
/// \param Known the set that is known.
/// \returns whether both are established sets of one version with other
/// replicas. Quorums of the two need not overlap.
bool areInConflict(const replica_set &Set, const replica_set &Known);

/// \param Set the set.
/// \returns its stored text form (JSON), without the revision.
std::string encodeReplicaSet(const replica_set &Set);

/// \param Text the stored text form.
/// \returns the set, or nothing if the text is malformed.
std::optional<replica_set> decodeReplicaSet(const std::string &Text);

/// State from which an instance with a disk decides about its membership in the
/// replica set.
struct membership_view {
  std::string Node;
  std::string Address;
  std::string Domain;
  std::optional<replica_set> Set; ///< Empty if none is stored.
  bool FirstStart = false;        ///< The system starts with empty disks.
  std::uint32_t DisksLost = 1;
  /// For each slot, whether its replica has been unreachable from this instance
  /// for longer than the takeover delay.
  std::vector<bool> Unreachable;
  /// Names of instances that are being retired.
  std::vector<std::string> Retiring;
  /// A set in conflict with Set that was in force before it.
  std::optional<replica_set> Conflicting;
};

/// Change that an instance makes to the replica set.
enum class membership_step {
  None,
  CreateSet, ///< Create the set with this instance as its first replica.
  Join,      ///< Add a slot to a set that is not established yet.
  TakeOver,  ///< Replace a replica that is lost or retiring, or that has
             ///< replaced this one without a new version.
};

/// A step and the set to write. The set keeps the revision of the one that it
/// was derived from: the write is conditional on the stored set being unchanged
/// since.
struct membership_decision {
  membership_step Step = membership_step::None;
  replica_set Set;
};

/// Decides how an instance with a disk changes the replica set.
/// \param View the state known to the instance.
/// \returns the step and the set to write.
membership_decision decideMembership(const membership_view &View);

/// \param Set the set.
/// \param Address address of a replica that is complete.
/// \returns the set without the predecessor in that replica's slot; nothing if
/// the slot has none.
std::optional<replica_set> withoutPredecessor(const replica_set &Set,
                                              const std::string &Address);

/// \param Set the set, whose version another set has, too.
/// \returns the set under a new version, which ends the use of the other one.
replica_set withNewVersion(const replica_set &Set);

/// \param Set the set.
/// \param Node name of an instance.
/// \param Address address of its replica.
/// \returns whether the set names the instance as a replica or a predecessor,
/// so that it may hold records that no other replica has.
bool isReferenced(const replica_set &Set, const std::string &Node,
                  const std::string &Address);

} // namespace lentilhoist
