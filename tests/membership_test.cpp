#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include "fuzz.h"
#include "membership/membership.h"

#include <doctest/doctest.h>
#include <fmt/format.h>
#include <map>

using namespace lentilhoist;

namespace {

/// A group of instances in virtual time with simulated datagram loss.
class simulated_group {
public:
  simulated_group(std::size_t Size, unsigned GivenLossPercent)
      : LossPercent(GivenLossPercent), Random(7) {
    for (std::size_t Index = 0; Index < Size; ++Index) {
      membership Member;
      Member.Self = {fmt::format("n{}", Index), "127.0.0.1",
                     static_cast<std::uint16_t>(Index + 1), "d", "r"};
      Member.Random.seed(Index + 1);
      Members.push_back(Member);
      Running.push_back(true);
    }
    for (membership &Member : Members) {
      for (const membership &Other : Members)
        seedMember(Other.Self, Now, Member);
    }
  }

  void runFor(milliseconds Duration) {
    const microseconds End = Now.Steady + Duration;
    while (Now.Steady < End) {
      for (std::size_t Index = 0; Index < Members.size(); ++Index) {
        if (!Running[Index])
          continue;
        std::vector<outgoing_datagram> Datagrams;
        onMembershipTick(Now, Members[Index], Datagrams);
        deliver(Datagrams);
      }
      Now = later(Now, milliseconds(10));
    }
  }

  std::size_t countAlive(std::size_t Observer, const std::string &Id) const {
    return isAlive(Id, Members[Observer]) ? 1 : 0;
  }

  std::size_t countObserversSeeingAlive(const std::string &Id) const {
    std::size_t Count = 0;
    for (std::size_t Index = 0; Index < Members.size(); ++Index) {
      if (Running[Index] && Members[Index].Self.Id != Id)
        Count += countAlive(Index, Id);
    }
    return Count;
  }

  instant Now{seconds(1), seconds(1'000)};
  std::vector<membership> Members;
  std::vector<bool> Running;
  std::size_t SentBytes = 0;
  unsigned LossPercent;

private:
  void deliver(const std::vector<outgoing_datagram> &Datagrams) {
    for (const outgoing_datagram &Datagram : Datagrams) {
      SentBytes += Datagram.Bytes.size();
      const std::size_t To = Datagram.Port - 1U;
      const bool Lost = Random() % 100 < LossPercent;
      if (Lost || !Running[To])
        continue;
      std::vector<outgoing_datagram> Answers;
      onDatagram(Datagram.Bytes, Now, Members[To], Answers);
      deliver(Answers);
    }
  }

  std::mt19937_64 Random;
};

} // namespace

TEST_CASE("a stopped instance is declared dead by all other instances") {
  simulated_group Group(8, 0);
  Group.runFor(seconds(3));
  CHECK(Group.countObserversSeeingAlive("n3") == 7);
  Group.Running[3] = false;
  Group.runFor(seconds(6));
  CHECK(Group.countObserversSeeingAlive("n3") == 0);
}

TEST_CASE("datagram loss alone causes no instance to be declared dead") {
  simulated_group Group(12, 10);
  Group.runFor(seconds(60));
  for (std::size_t Index = 0; Index < 12; ++Index)
    CHECK(Group.countObserversSeeingAlive(fmt::format("n{}", Index)) == 11);
}

TEST_CASE("all instances of a large group stay alive under datagram loss") {
  simulated_group Group(120, 10);
  Group.runFor(seconds(30));
  std::size_t AliveViews = 0;
  for (std::size_t Index = 0; Index < 120; ++Index)
    AliveViews += Group.countObserversSeeingAlive(fmt::format("n{}", Index));
  CHECK(AliveViews == 120U * 119U);
}

TEST_CASE("a paused instance rejoins with a higher incarnation") {
  simulated_group Group(6, 0);
  Group.runFor(seconds(2));
  const std::uint64_t Before = Group.Members[2].Incarnation;
  Group.Running[2] = false;
  Group.runFor(seconds(8));
  CHECK(Group.countObserversSeeingAlive("n2") == 0);
  Group.Running[2] = true;
  Group.runFor(seconds(5));
  CHECK(Group.countObserversSeeingAlive("n2") == 5);
  CHECK(Group.Members[2].Incarnation > Before);
  // The instance must not mistake its own pause for failures of the others.
  for (std::size_t Index = 0; Index < 6; ++Index)
    CHECK(Group.countAlive(2, fmt::format("n{}", Index)) == 1);
}

TEST_CASE("a leaving instance is not an owner candidate") {
  simulated_group Group(4, 0);
  Group.runFor(seconds(2));
  announceLeaving(Group.Members[1]);
  Group.runFor(seconds(3));
  for (std::size_t Index = 0; Index < 4; ++Index) {
    const auto Candidates = ownerCandidates(Group.Members[Index]);
    CHECK(Candidates.size() == 3);
    for (const member_identity &Candidate : Candidates)
      CHECK(Candidate.Id != "n1");
  }
}

TEST_CASE("a group recovers after half of its instances were paused") {
  simulated_group Group(6, 0);
  Group.runFor(seconds(2));
  for (std::size_t Index = 0; Index < 3; ++Index)
    Group.Running[Index] = false;
  Group.runFor(seconds(10));
  CHECK(Group.countObserversSeeingAlive("n0") == 0);
  for (std::size_t Index = 0; Index < 3; ++Index)
    Group.Running[Index] = true;
  Group.runFor(seconds(20));
  for (std::size_t Index = 0; Index < 6; ++Index)
    CHECK(Group.countObserversSeeingAlive(fmt::format("n{}", Index)) == 5);
}

TEST_CASE(
    "malformed datagrams and unsupported versions are counted and dropped") {
  simulated_group Group(2, 0);
  std::vector<outgoing_datagram> Answers;
  membership &Member = Group.Members[0];
  onDatagram("", Group.Now, Member, Answers);
  onDatagram("\xc1garbage", Group.Now, Member, Answers);
  probe_message UnsupportedVersion;
  UnsupportedVersion.Version = 99;
  UnsupportedVersion.From = "n1";
  msgpack::sbuffer Buffer;
  msgpack::pack(Buffer, UnsupportedVersion);
  onDatagram({Buffer.data(), Buffer.size()}, Group.Now, Member, Answers);
  CHECK(Member.RejectedDatagrams == 3);
  CHECK(Answers.empty());
}

TEST_CASE("bytes sent per instance less than double from 8 to 64 instances") {
  simulated_group Small(8, 0);
  Small.runFor(seconds(30));
  simulated_group Large(64, 0);
  Large.runFor(seconds(30));
  const double BytesPerInstanceSmall = static_cast<double>(Small.SentBytes) / 8;
  const double BytesPerInstanceLarge =
      static_cast<double>(Large.SentBytes) / 64;
  // The bound is the growth of log2 of the size: from 3 to 6.
  CHECK(BytesPerInstanceLarge < 2 * BytesPerInstanceSmall);
}

TEST_CASE("datagrams with unknown numbers or sizes beyond their length are "
          "rejected") {
  membership Group;
  Group.Self = {"a", "127.0.0.1", 1, "d", "r"};
  std::vector<outgoing_datagram> Datagrams;
  const instant Now{seconds(1), seconds(1'000)};
  const auto Receive = [&](const probe_message &Message) {
    msgpack::sbuffer Buffer;
    msgpack::pack(Buffer, Message);
    onDatagram({Buffer.data(), Buffer.size()}, Now, Group, Datagrams);
  };
  probe_message Message;
  Message.From = "b";
  Message.Updates = {{{"b", "127.0.0.1", 2, "d", "r"},
                      1,
                      static_cast<member_status>(7),
                      false}};
  Receive(Message);
  CHECK(Group.RejectedDatagrams == 1);
  CHECK(Group.Members.empty());
  Message.Updates.front().Status = member_status::Suspect;
  Message.Kind = static_cast<probe_kind>(9);
  Receive(Message);
  CHECK(Group.RejectedDatagrams == 2);
  CHECK(Group.Members.empty());
  // Arrays and maps of 2^32 - 1 elements that do not follow.
  for (const char *Bytes : {"\xdd\xff\xff\xff\xff", "\xdf\xff\xff\xff\xff"})
    onDatagram({Bytes, 5}, Now, Group, Datagrams);
  CHECK(Group.RejectedDatagrams == 4);
  Message.Kind = probe_kind::Ping;
  Receive(Message);
  CHECK(Group.RejectedDatagrams == 4);
  CHECK(isSuspect("b", Group));
}

TEST_CASE(
    "an update that does not fit into a datagram is not counted as sent") {
  membership Group;
  Group.Self = {"a", "127.0.0.1", 1, "d", "r"};
  Group.Settings.MaxDatagramBytes = 300;
  const instant Now{seconds(1), seconds(1'000)};
  for (int Index = 0; Index < 30; ++Index) {
    const std::string Id = fmt::format("instance-with-a-long-name-{}", Index);
    member_record &Record = Group.Members[Id];
    Record.Update = {{Id, "127.0.0.1", 9, "domain", "region"},
                     1,
                     member_status::Alive,
                     false};
  }
  std::vector<outgoing_datagram> Datagrams;
  onMembershipTick(Now, Group, Datagrams);
  REQUIRE_FALSE(Datagrams.empty());
  std::map<std::string, std::uint32_t> Sent;
  for (const outgoing_datagram &Datagram : Datagrams) {
    const auto Handle =
        msgpack::unpack(Datagram.Bytes.data(), Datagram.Bytes.size());
    for (const member_update &Update : Handle.get().as<probe_message>().Updates)
      ++Sent[Update.Identity.Id];
  }
  for (const auto &[Id, Record] : Group.Members)
    CHECK(Record.Transmissions == Sent[Id]);
}

TEST_CASE("damaged datagrams are rejected or handled") {
  std::vector<std::string> Inputs;
  for (const probe_kind Kind :
       {probe_kind::Ping, probe_kind::Ack, probe_kind::IndirectPing}) {
    probe_message Message;
    Message.Kind = Kind;
    Message.From = "b";
    Message.Target = "c";
    for (const char *Id : {"a", "b", "c"})
      Message.Updates.push_back(
          {{Id, "127.0.0.1", 2, "d", "r"}, 1, member_status::Suspect, false});
    msgpack::sbuffer Buffer;
    msgpack::pack(Buffer, Message);
    Inputs.emplace_back(Buffer.data(), Buffer.size());
  }
  membership Group;
  Group.Self = {"a", "127.0.0.1", 1, "d", "r"};
  instant Now{seconds(1), seconds(1'000)};
  fuzz(Inputs, [&](const std::string &Bytes) {
    std::vector<outgoing_datagram> Datagrams;
    onDatagram(Bytes, Now, Group, Datagrams);
    onMembershipTick(Now, Group, Datagrams);
    Now = later(Now, milliseconds(10));
  });
  for (const auto &[Id, Record] : Group.Members)
    CHECK(Record.Update.Status <= member_status::Dead);
}
