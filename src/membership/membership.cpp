#include "membership/membership.h"

#include "core/unpack.h"

#include <algorithm>
#include <cmath>

namespace lentilhoist {

namespace {

constexpr std::uint32_t ProtocolVersion = 1;

/// A gap between ticks of more than this many periods means that this process
/// was paused, so missing answers do not indicate failures of other instances.
constexpr int PausePeriods = 3;

double log2GroupSize(const membership &Group) {
  return std::max(1.0,
                  std::log2(static_cast<double>(Group.Members.size() + 1)));
}

std::uint32_t retransmitLimit(const membership &Group) {
  return static_cast<std::uint32_t>(
      std::ceil(Group.Settings.RetransmitFactor * log2GroupSize(Group)));
}

microseconds suspicionTimeout(const membership &Group) {
  const double Periods = Group.Settings.SuspicionPeriods *
                         log2GroupSize(Group) * (1.0 + Group.HealthScore);
  return microseconds(static_cast<std::int64_t>(
      Periods * static_cast<double>(Group.Settings.Period.count())));
}

void increaseHealthScore(membership &Group) {
  if (Group.HealthScore < Group.Settings.MaxHealthScore)
    ++Group.HealthScore;
}

void decreaseHealthScore(membership &Group) {
  if (Group.HealthScore > 0)
    --Group.HealthScore;
}

member_update makeSelfUpdate(const membership &Group) {
  return {Group.Self, Group.Incarnation, member_status::Alive, Group.Leaving};
}

/// \returns whether an update replaces the known one: the higher incarnation
/// wins, then the worse status, then the one that is leaving.
bool supersedes(const member_update &Update, const member_update &Known) {
  if (Update.Incarnation != Known.Incarnation)
    return Update.Incarnation > Known.Incarnation;
  if (Update.Status != Known.Status)
    return static_cast<int>(Update.Status) > static_cast<int>(Known.Status);
  return Update.Leaving && !Known.Leaving;
}

void storeUpdate(const member_update &Update, instant Now, membership &Group) {
  member_record &Record = Group.Members[Update.Identity.Id];
  Record.Update = Update;
  Record.ChangedAt = Now.Steady;
  Record.Transmissions = 0;
  ++Group.Revision;
}

/// Raises the incarnation of this instance if an update reports it as suspect
/// or dead, or stems from an earlier process of the same name.
void refute(const member_update &Update, membership &Group) {
  const bool Consistent = Update.Status == member_status::Alive &&
                          (Update.Incarnation < Group.Incarnation ||
                           (Update.Incarnation == Group.Incarnation &&
                            Update.Leaving == Group.Leaving));
  if (Consistent || Update.Incarnation < Group.Incarnation)
    return;
  Group.Incarnation = Update.Incarnation + 1;
  if (Update.Status != member_status::Alive)
    increaseHealthScore(Group);
}

void applyUpdate(const member_update &Update, instant Now, membership &Group) {
  if (Update.Identity.Id == Group.Self.Id) {
    refute(Update, Group);
    return;
  }
  const auto Known = Group.Members.find(Update.Identity.Id);
  if (Known == Group.Members.end()) {
    storeUpdate(Update, Now, Group);
    return;
  }
  if (!supersedes(Update, Known->second.Update)) {
    // An outdated suspect or dead status is still circulating: send the newer
    // update that refutes it again.
    const bool Outdated = Update.Status != member_status::Alive &&
                          Update.Incarnation < Known->second.Update.Incarnation;
    if (Outdated)
      Known->second.Transmissions = 0;
    return;
  }
  const bool ConfirmsSeed = Known->second.Update.Incarnation == 0 &&
                            Update.Status == member_status::Alive &&
                            !Update.Leaving;
  storeUpdate(Update, Now, Group);
  if (ConfirmsSeed)
    Known->second.Transmissions = retransmitLimit(Group) + 1;
}

/// Selects the updates that have been sent least often. The update about this
/// instance is always included, as the first.
std::vector<member_update> selectUpdates(membership &Group) {
  std::vector<member_update> Updates{makeSelfUpdate(Group)};
  const std::uint32_t Limit = retransmitLimit(Group);
  std::vector<member_record *> Pending;
  for (auto &[Id, Record] : Group.Members) {
    if (Record.Transmissions < Limit)
      Pending.push_back(&Record);
  }
  std::sort(Pending.begin(), Pending.end(),
            [](const auto *Left, const auto *Right) {
              return Left->Transmissions < Right->Transmissions;
            });
  for (member_record *Record : Pending) {
    if (Updates.size() >= Group.Settings.MaxUpdates)
      break;
    Updates.push_back(Record->Update);
  }
  return Updates;
}

std::string encodeMessage(const probe_message &Message) {
  msgpack::sbuffer Buffer;
  msgpack::pack(Buffer, Message);
  return {Buffer.data(), Buffer.size()};
}

void send(probe_message Message, const member_identity &To, membership &Group,
          std::vector<outgoing_datagram> &Datagrams) {
  Message.From = Group.Self.Id;
  Message.Updates = selectUpdates(Group);
  std::string Bytes = encodeMessage(Message);
  while (Bytes.size() > Group.Settings.MaxDatagramBytes &&
         Message.Updates.size() > 1) {
    Message.Updates.pop_back();
    Bytes = encodeMessage(Message);
  }
  for (std::size_t Index = 1; Index < Message.Updates.size(); ++Index)
    ++Group.Members.at(Message.Updates[Index].Identity.Id).Transmissions;
  Datagrams.push_back({To.Address, To.Port, std::move(Bytes)});
}

void sendToMember(probe_message Message, const std::string &To,
                  membership &Group,
                  std::vector<outgoing_datagram> &Datagrams) {
  const auto Found = Group.Members.find(To);
  if (Found != Group.Members.end())
    send(std::move(Message), Found->second.Update.Identity, Group, Datagrams);
}

std::string nextProbeTarget(membership &Group) {
  for (int Pass = 0; Pass < 2; ++Pass) {
    while (!Group.ProbeOrder.empty()) {
      std::string Id = Group.ProbeOrder.back();
      Group.ProbeOrder.pop_back();
      const auto Found = Group.Members.find(Id);
      const bool Eligible = Found != Group.Members.end() &&
                            Found->second.Update.Status != member_status::Dead;
      if (Eligible)
        return Id;
    }
    for (const auto &[Id, Record] : Group.Members)
      Group.ProbeOrder.push_back(Id);
    std::shuffle(Group.ProbeOrder.begin(), Group.ProbeOrder.end(),
                 Group.Random);
  }
  return {};
}

void startProbe(instant Now, membership &Group,
                std::vector<outgoing_datagram> &Datagrams) {
  const std::string Target = nextProbeTarget(Group);
  if (Target.empty())
    return;
  Group.Probe = probe_state{Target, Group.NextSequence++, Now.Steady};
  probe_message Ping;
  Ping.Sequence = Group.Probe->Sequence;
  sendToMember(std::move(Ping), Target, Group, Datagrams);
}

void sendIndirectProbes(membership &Group,
                        std::vector<outgoing_datagram> &Datagrams) {
  // Repeat the direct ping as well: most missing acks are due to one lost
  // datagram.
  probe_message DirectPing;
  DirectPing.Sequence = Group.Probe->Sequence;
  sendToMember(std::move(DirectPing), Group.Probe->Target, Group, Datagrams);
  std::vector<std::string> Relays;
  for (const auto &[Id, Record] : Group.Members) {
    if (Id != Group.Probe->Target &&
        Record.Update.Status == member_status::Alive)
      Relays.push_back(Id);
  }
  std::shuffle(Relays.begin(), Relays.end(), Group.Random);
  if (Relays.size() > Group.Settings.IndirectProbes)
    Relays.resize(Group.Settings.IndirectProbes);
  for (const std::string &Relay : Relays) {
    probe_message Request;
    Request.Kind = probe_kind::IndirectPing;
    Request.Sequence = Group.Probe->Sequence;
    Request.Target = Group.Probe->Target;
    sendToMember(std::move(Request), Relay, Group, Datagrams);
  }
  Group.Probe->IndirectSent = true;
}

void markSuspect(const std::string &Id, instant Now, membership &Group) {
  const auto Found = Group.Members.find(Id);
  if (Found == Group.Members.end() ||
      Found->second.Update.Status != member_status::Alive)
    return;
  member_update Update = Found->second.Update;
  Update.Status = member_status::Suspect;
  storeUpdate(Update, Now, Group);
}

void finishProbe(instant Now, membership &Group) {
  if (!Group.Probe)
    return;
  if (Group.Probe->Acknowledged) {
    decreaseHealthScore(Group);
  } else {
    increaseHealthScore(Group);
    markSuspect(Group.Probe->Target, Now, Group);
  }
  Group.Probe.reset();
}

void expireSuspects(instant Now, membership &Group) {
  const microseconds Limit = suspicionTimeout(Group);
  for (auto &[Id, Record] : Group.Members) {
    const bool Expired = Record.Update.Status == member_status::Suspect &&
                         Now.Steady - Record.ChangedAt >= Limit;
    if (!Expired)
      continue;
    member_update Update = Record.Update;
    Update.Status = member_status::Dead;
    storeUpdate(Update, Now, Group);
  }
}

void removeExpiredDead(instant Now, membership &Group) {
  Group.Revision += std::erase_if(Group.Members, [&](const auto &Item) {
    return Item.second.Update.Status == member_status::Dead &&
           Now.Steady - Item.second.ChangedAt >= Group.Settings.DeadRetention;
  });
}

/// Discards outstanding probes and restarts all suspicion timeouts, because
/// answers may have been missed during the pause.
void resumeAfterPause(instant Now, membership &Group) {
  Group.Probe.reset();
  Group.Relayed.clear();
  increaseHealthScore(Group);
  for (auto &[Id, Record] : Group.Members) {
    if (Record.Update.Status == member_status::Suspect)
      Record.ChangedAt = Now.Steady;
  }
}

void relayAck(const probe_message &Ack, membership &Group,
              std::vector<outgoing_datagram> &Datagrams) {
  const auto Found = Group.Relayed.find(Ack.Sequence);
  if (Found == Group.Relayed.end())
    return;
  probe_message Relay;
  Relay.Kind = probe_kind::Ack;
  Relay.Sequence = Found->second.RequesterSequence;
  const std::string Requester = Found->second.Requester;
  Group.Relayed.erase(Found);
  sendToMember(std::move(Relay), Requester, Group, Datagrams);
}

/// Queues the status of a suspect or dead sender to be sent again, so that the
/// sender learns of it and can refute it.
void requeueSenderStatus(const std::string &Sender, membership &Group) {
  const auto Found = Group.Members.find(Sender);
  if (Found != Group.Members.end() &&
      Found->second.Update.Status != member_status::Alive)
    Found->second.Transmissions = 0;
}

void onPing(const probe_message &Message, membership &Group,
            std::vector<outgoing_datagram> &Datagrams) {
  probe_message Ack;
  Ack.Kind = probe_kind::Ack;
  Ack.Sequence = Message.Sequence;
  sendToMember(std::move(Ack), Message.From, Group, Datagrams);
}

void onIndirectPing(const probe_message &Message, instant Now,
                    membership &Group,
                    std::vector<outgoing_datagram> &Datagrams) {
  const std::uint64_t Sequence = Group.NextSequence++;
  Group.Relayed[Sequence] = {Message.From, Message.Sequence,
                             Now.Steady + Group.Settings.Period * 2};
  probe_message Ping;
  Ping.Sequence = Sequence;
  sendToMember(std::move(Ping), Message.Target, Group, Datagrams);
}

bool isKnown(probe_kind Kind) {
  return Kind >= probe_kind::Ping && Kind <= probe_kind::IndirectPing;
}

bool isKnown(member_status Status) {
  return Status >= member_status::Alive && Status <= member_status::Dead;
}

std::optional<probe_message> decodeMessage(std::string_view Bytes) {
  try {
    auto Message = unpackInPlace<probe_message>(Bytes);
    if (Message.Version != ProtocolVersion || Message.From.empty() ||
        !isKnown(Message.Kind))
      return std::nullopt;
    for (const member_update &Update : Message.Updates)
      if (!isKnown(Update.Status))
        return std::nullopt;
    return Message;
  } catch (const msgpack::unpack_error &) {
    return std::nullopt;
  } catch (const msgpack::type_error &) {
    return std::nullopt;
  }
}

} // namespace

void seedMember(const member_identity &Identity, instant Now,
                membership &Group) {
  if (Identity.Id == Group.Self.Id || Group.Members.count(Identity.Id) != 0)
    return;
  storeUpdate({Identity, 0, member_status::Alive, false}, Now, Group);
  // All instances read the same list, so there is no need to send this update.
  Group.Members[Identity.Id].Transmissions = retransmitLimit(Group) + 1;
}

void onMembershipTick(instant Now, membership &Group,
                      std::vector<outgoing_datagram> &Datagrams) {
  const bool Paused =
      Group.LastTick.count() != 0 &&
      Now.Steady - Group.LastTick > Group.Settings.Period * PausePeriods;
  Group.LastTick = Now.Steady;
  if (Paused)
    resumeAfterPause(Now, Group);
  if (Group.Probe && !Group.Probe->Acknowledged && !Group.Probe->IndirectSent) {
    const microseconds Limit =
        Group.Settings.AckTimeout * (1 + Group.HealthScore);
    if (Now.Steady - Group.Probe->StartedAt >= Limit)
      sendIndirectProbes(Group, Datagrams);
  }
  expireSuspects(Now, Group);
  if (Now.Steady < Group.NextPeriodAt)
    return;
  const microseconds Period = Group.Settings.Period * (1 + Group.HealthScore);
  Group.NextPeriodAt = Now.Steady + Period;
  finishProbe(Now, Group);
  removeExpiredDead(Now, Group);
  std::erase_if(Group.Relayed, [&](const auto &Item) {
    return Item.second.ExpiresAt <= Now.Steady;
  });
  startProbe(Now, Group, Datagrams);
}

void onDatagram(std::string_view Bytes, instant Now, membership &Group,
                std::vector<outgoing_datagram> &Datagrams) {
  const auto Message = decodeMessage(Bytes);
  if (!Message) {
    ++Group.RejectedDatagrams;
    return;
  }
  for (const member_update &Update : Message->Updates)
    applyUpdate(Update, Now, Group);
  requeueSenderStatus(Message->From, Group);
  switch (Message->Kind) {
  case probe_kind::Ping:
    onPing(*Message, Group, Datagrams);
    return;
  case probe_kind::IndirectPing:
    onIndirectPing(*Message, Now, Group, Datagrams);
    return;
  case probe_kind::Ack:
    if (Group.Probe && Group.Probe->Sequence == Message->Sequence)
      Group.Probe->Acknowledged = true;
    relayAck(*Message, Group, Datagrams);
    return;
  }
}

void announceLeaving(membership &Group) {
  Group.Leaving = true;
  ++Group.Incarnation;
  ++Group.Revision;
}

bool isAlive(const std::string &Id, const membership &Group) {
  if (Id == Group.Self.Id)
    return true;
  const auto Found = Group.Members.find(Id);
  return Found != Group.Members.end() &&
         Found->second.Update.Status != member_status::Dead;
}

bool isSuspect(const std::string &Id, const membership &Group) {
  const auto Found = Group.Members.find(Id);
  return Found != Group.Members.end() &&
         Found->second.Update.Status == member_status::Suspect;
}

std::vector<member_identity> ownerCandidates(const membership &Group) {
  std::map<std::string, member_identity> Candidates;
  if (!Group.Leaving)
    Candidates.emplace(Group.Self.Id, Group.Self);
  for (const auto &[Id, Record] : Group.Members) {
    if (Record.Update.Status != member_status::Dead && !Record.Update.Leaving)
      Candidates.emplace(Id, Record.Update.Identity);
  }
  std::vector<member_identity> Ordered;
  Ordered.reserve(Candidates.size());
  for (auto &[Id, Identity] : Candidates)
    Ordered.push_back(std::move(Identity));
  return Ordered;
}

std::optional<member_identity> findMember(const std::string &Id,
                                          const membership &Group) {
  if (Id == Group.Self.Id)
    return Group.Self;
  const auto Found = Group.Members.find(Id);
  if (Found == Group.Members.end())
    return std::nullopt;
  return Found->second.Update.Identity;
}

} // namespace lentilhoist
