#pragma once

#include "core/instant.h"
#include "membership/member.h"

#include <map>
#include <optional>
#include <random>
#include <string>
#include <string_view>
#include <vector>

namespace lentilhoist {

/// Failure detection settings.
struct membership_settings {
  microseconds Period{milliseconds(300)};     ///< One probe per period.
  microseconds AckTimeout{milliseconds(100)}; ///< Before indirect probes.
  std::uint32_t IndirectProbes = 3; ///< Relays asked per failed probe.
  double SuspicionPeriods = 2.0;    ///< Times log2 of the group size.
  std::uint32_t MaxUpdates = 20;    ///< Piggybacked on one message, at most.
  double RetransmitFactor = 2.0;    ///< Times log2 of the group size.
  std::uint32_t MaxHealthScore = 4; ///< Upper bound of the local health score.
  microseconds DeadRetention{seconds(30)}; ///< Of dead instances' records.
  std::size_t MaxDatagramBytes = 1'400;
};

/// Message kinds of the membership protocol.
enum class probe_kind { Ping, Ack, IndirectPing };

/// A message of the membership protocol.
struct probe_message {
  std::uint32_t Version = 1;
  probe_kind Kind = probe_kind::Ping;
  std::uint64_t Sequence = 0;
  std::string From;
  std::string Target; ///< Instance to probe, for IndirectPing.
  std::vector<member_update> Updates;

  MSGPACK_DEFINE(Version, Kind, Sequence, From, Target, Updates)
};

/// A datagram to send.
struct outgoing_datagram {
  std::string Address;
  std::uint16_t Port = 0;
  std::string Bytes;
};

/// Local record of another instance.
struct member_record {
  member_update Update;
  microseconds ChangedAt{0};
  std::uint32_t Transmissions = 0; ///< How often the update has been sent.
};

/// An outstanding probe.
struct probe_state {
  std::string Target;
  std::uint64_t Sequence = 0;
  microseconds StartedAt{0};
  bool IndirectSent = false;
  bool Acknowledged = false;
};

/// A probe sent on behalf of another instance.
struct relayed_probe {
  std::string Requester;
  std::uint64_t RequesterSequence = 0;
  microseconds ExpiresAt{0};
};

/// Membership view of one instance (SWIM: Das, Gupta and Motivala, 2002,
/// with the local health score of Lifeguard: Dadgar, Phillips and Currey,
/// 2018). The load per instance does not depend on the group size.
struct membership {
  member_identity Self;
  membership_settings Settings;
  std::uint64_t Incarnation = 1;
  bool Leaving = false;
  std::map<std::string, member_record> Members; ///< Others, including dead.
  std::vector<std::string> ProbeOrder; ///< Targets left, in random order.
  std::optional<probe_state> Probe;
  std::map<std::uint64_t, relayed_probe> Relayed;
  std::uint64_t NextSequence = 1;
  std::uint32_t HealthScore = 0; ///< Raised by missed acks, lengthens timeouts.
  microseconds NextPeriodAt{0};
  microseconds LastTick{0};
  std::uint64_t RejectedDatagrams = 0;
  std::uint64_t Revision = 0; ///< Increases with each visible change.
  std::mt19937_64 Random;
};

/// Adds an instance listed by the platform. Does nothing if the instance is
/// already known, because the list lags behind updates from the group.
/// \param Identity the instance to add.
/// \param Now the current time.
/// \param[in,out] Group the membership view.
void seedMember(const member_identity &Identity, instant Now,
                membership &Group);

/// Runs the timers of the protocol: sends probes, marks instances that do not
/// answer as suspect and declares suspects dead when their timeout expires.
/// \param Now the current time.
/// \param[in,out] Group the membership view.
/// \param[out] Datagrams the datagrams to send are appended to it.
void onMembershipTick(instant Now, membership &Group,
                      std::vector<outgoing_datagram> &Datagrams);

/// Processes a received datagram. Datagrams that cannot be decoded or have an
/// unsupported protocol version are counted in RejectedDatagrams and dropped.
/// \param Bytes the payload of the datagram.
/// \param Now the current time.
/// \param[in,out] Group the membership view.
/// \param[out] Datagrams the replies to send are appended to it.
void onDatagram(std::string_view Bytes, instant Now, membership &Group,
                std::vector<outgoing_datagram> &Datagrams);

/// Marks this instance as leaving, which its next messages announce.
/// \param[in,out] Group the membership view.
void announceLeaving(membership &Group);

/// \param Id the name of an instance.
/// \param Group the membership view.
/// \returns whether the instance is known and not declared dead, so also true
/// for suspects; always true for Self.
bool isAlive(const std::string &Id, const membership &Group);

/// \param Id the name of an instance.
/// \param Group the membership view.
/// \returns whether the instance is suspected to have failed.
bool isSuspect(const std::string &Id, const membership &Group);

/// \param Group the membership view.
/// \returns the instances that may own shards, sorted by name: those neither
/// dead nor leaving, including Self unless it is leaving.
std::vector<member_identity> ownerCandidates(const membership &Group);

/// \param Id the name of an instance.
/// \param Group the membership view.
/// \returns the identity of the instance, or std::nullopt if it is unknown.
std::optional<member_identity> findMember(const std::string &Id,
                                          const membership &Group);

} // namespace lentilhoist

MSGPACK_ADD_ENUM(lentilhoist::probe_kind)
