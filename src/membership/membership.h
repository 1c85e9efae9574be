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

/// Settings of failure detection.
struct membership_settings {
  microseconds Period{milliseconds(300)};     ///< One probe in each.
  microseconds AckTimeout{milliseconds(100)}; ///< Before indirect probes.
  std::uint32_t IndirectProbes = 3;
  double SuspicionPeriods = 2.0;           ///< Times log2 of the group's size.
  std::uint32_t MaxUpdates = 20;           ///< Piggybacked on one message.
  double RetransmitFactor = 2.0;           ///< Times log2 of the group's size.
  std::uint32_t MaxHealthScore = 4;        ///< Bound of the local slow-down.
  microseconds DeadRetention{seconds(30)}; ///< Keeps news of the dead.
  std::size_t MaxDatagramBytes = 1'400;
};

/// Kinds of message between instances.
enum class probe_kind { Ping, Ack, IndirectPing };

/// A message of the membership protocol.
struct probe_message {
  std::uint32_t Version = 1;
  probe_kind Kind = probe_kind::Ping;
  std::uint64_t Sequence = 0;
  std::string From;
  std::string Target; ///< Whom an indirect probe asks about.
  std::vector<member_update> Updates;

  MSGPACK_DEFINE(Version, Kind, Sequence, From, Target, Updates)
};

/// A datagram to send.
struct outgoing_datagram {
  std::string Address;
  std::uint16_t Port = 0;
  std::string Bytes;
};

/// What this instance knows of another.
struct member_record {
  member_update Update;
  microseconds ChangedAt{0};
  std::uint32_t Transmissions = 0; ///< Times that the news was passed on.
};

/// An outstanding probe.
struct probe_state {
  std::string Target;
  std::uint64_t Sequence = 0;
  microseconds StartedAt{0};
  bool IndirectSent = false;
  bool Acknowledged = false;
};

/// A probe made on behalf of another instance.
struct relayed_probe {
  std::string Requester;
  std::uint64_t RequesterSequence = 0;
  microseconds ExpiresAt{0};
};

/// Membership as one instance sees it (SWIM: Das, Gupta and Motivala, 2002,
/// with the local health score of Lifeguard: Dadgar, Phillips and Currey,
/// 2018). Its cost per instance does not depend on the group's size.
struct membership {
  member_identity Self;
  membership_settings Settings;
  std::uint64_t Incarnation = 1;
  bool Leaving = false;
  std::map<std::string, member_record> Members; ///< Others, dead ones too.
  std::vector<std::string> ProbeOrder;          ///< Shuffled, consumed.
  std::optional<probe_state> Probe;
  std::map<std::uint64_t, relayed_probe> Relayed;
  std::uint64_t NextSequence = 1;
  std::uint32_t HealthScore = 0; ///< Missed answers lately; slows accusations.
  microseconds NextPeriodAt{0};
  microseconds LastTick{0};
  std::uint64_t RejectedDatagrams = 0;
  std::uint64_t Revision = 0; ///< Grows with each change that a reader can see.
  std::mt19937_64 Random;
};

/// Makes an instance known that the platform lists. News from the group goes
/// before the list, which lags.
/// \param Identity the instance.
/// \param Now the present time.
/// \param[in,out] Group the view.
void seedMember(const member_identity &Identity, instant Now,
                membership &Group);

/// Lets time pass: probes, suspects, declares dead.
/// \param Now the present time.
/// \param[in,out] Group the view.
/// \param[out] Datagrams gains what to send.
void onMembershipTick(instant Now, membership &Group,
                      std::vector<outgoing_datagram> &Datagrams);

/// Takes a datagram; one that can't be decoded is counted and dropped.
/// \param Bytes the datagram.
/// \param Now the present time.
/// \param[in,out] Group the view.
/// \param[out] Datagrams gains the answers.
void onDatagram(std::string_view Bytes, instant Now, membership &Group,
                std::vector<outgoing_datagram> &Datagrams);

/// Announces that this instance will go.
/// \param[in,out] Group the view.
void announceLeaving(membership &Group);

/// \param Id an instance.
/// \param Group the view.
/// \returns whether the instance is believed to run; true for Self.
bool isAlive(const std::string &Id, const membership &Group);

/// \param Id an instance.
/// \param Group the view.
/// \returns whether the instance may be about to be declared dead.
bool isSuspect(const std::string &Id, const membership &Group);

/// \param Group the view.
/// \returns the instances that may own shards: alive and not leaving, Self
/// included unless it leaves; in order of their names.
std::vector<member_identity> ownerCandidates(const membership &Group);

/// \param Id an instance.
/// \param Group the view.
/// \returns its identity, or nothing if it is unknown.
std::optional<member_identity> findMember(const std::string &Id,
                                          const membership &Group);

} // namespace lentilhoist

MSGPACK_ADD_ENUM(lentilhoist::probe_kind)
