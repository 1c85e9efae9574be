/// Measures the slopes behind docs/CAPACITY.md and docs/MEASUREMENTS.md.
#include "bench/measure.h"
#include "decision/call_flow.h"
#include "decision/runner_table.h"
#include "explore/virtual_clock.h"
#include "membership/membership.h"

#include <algorithm>
#include <fmt/format.h>
#include <gflags/gflags.h>

DEFINE_string(section, "all",
              "commit, membership, detection, calls, takeover, placement");

namespace {

using namespace lentilhoist;

double quantile(std::vector<double> Values, double Share) {
  if (Values.empty())
    return 0;
  std::sort(Values.begin(), Values.end());
  return Values[static_cast<std::size_t>(
      Share * static_cast<double>(Values.size() - 1))];
}

program_id programOf(std::uint64_t Key) { return {0, Key}; }

/// An owner whose platform answers after a fixed round trip of virtual time.
class timed_owner {
public:
  timed_owner(owner_settings Settings, microseconds GivenRoundTrip)
      : RoundTrip(GivenRoundTrip) {
    Owner.Self = "a";
    Owner.Settings = Settings;
    action_list Actions;
    beginRecovery(Clock.now(), Owner, Actions);
    onJournalRead(shard_state(), 0, Clock.now(), Owner, Actions);
    claimShard(Clock.now(), Owner, Actions);
    perform(Actions);
    runUntil(seconds(2));
  }

  void perform(const action_list &Actions) {
    for (const action &Action : Actions) {
      if (const auto *Write = std::get_if<write_entry>(&Action)) {
        ++Writes;
        WrittenBytes += Write->Bytes.size();
        Clock.after(RoundTrip, [this, Number = Write->Number] {
          apply([&](action_list &Next) {
            onWriteResult(Number, write_status::Created, Clock.now(), Owner,
                          Next);
          });
        });
      } else if (std::holds_alternative<read_snapshot_number>(Action)) {
        Clock.after(RoundTrip, [this] {
          apply([&](action_list &Next) {
            onSnapshotNumberRead(0, Clock.now(), Owner, Next);
          });
        });
      } else if (const auto *Snapshot = std::get_if<write_snapshot>(&Action)) {
        SnapshotBytes = Snapshot->Bytes.size();
        onSnapshotWritten(Snapshot->Number, Owner);
      } else if (const auto *Start = std::get_if<start_attempt>(&Action)) {
        Started = *Start;
      } else if (const auto *Answer = std::get_if<answer_caller>(&Action)) {
        if (OnAnswer)
          OnAnswer(Answer->Ticket);
      }
    }
  }

  template <typename Step> void apply(Step Run) {
    action_list Actions;
    Run(Actions);
    perform(Actions);
  }

  void runUntil(microseconds End) {
    Clock.after(End - Clock.now().Steady, [] {});
    while (Clock.now().Steady < End && Clock.step()) {
    }
  }

  void tickEvery(microseconds Interval) {
    Clock.after(Interval, [this, Interval] {
      apply([&](action_list &Next) { onOwnerTick(Clock.now(), Owner, Next); });
      tickEvery(Interval);
    });
  }

  void create(std::uint64_t Key, call_ticket Ticket) {
    create_request Request;
    Request.Program = programOf(Key);
    Request.Tenant = "tenant";
    Request.Class = "class";
    Request.Budget = {10'000'000, 1'000, 86'400'000};
    apply([&](action_list &Next) {
      onCreate(Request, Ticket, Clock.now(), Owner, Next);
    });
  }

  void call(std::uint64_t Key, std::uint32_t Number, const std::string &Body) {
    call_request Request;
    Request.Program = programOf(Key);
    Request.Call = Number;
    Request.Body = Body;
    apply([&](action_list &Next) {
      onCall(Request, 1, Clock.now(), Owner, Next);
    });
    attempt_result Result;
    Result.Response = Body;
    Result.PromptTokens = 100;
    Result.GeneratedTokens = 20;
    Result.UsageKnown = true;
    Result.Runner = "engine-0";
    apply([&](action_list &Next) {
      onAttemptResult(Request.Program, Started.AttemptId, Result, Clock.now(),
                      Owner, Next);
    });
  }

  virtual_clock Clock;
  shard_owner Owner;
  microseconds RoundTrip;
  std::uint64_t Writes = 0;
  std::uint64_t WrittenBytes = 0;
  std::size_t SnapshotBytes = 0;
  start_attempt Started;
  std::function<void(call_ticket)> OnAnswer;
};

void measureCommit(double Rate, milliseconds RoundTrip, bool Grouped) {
  owner_settings Settings;
  Settings.WritesPerSecond = 1e9;
  Settings.WriteBurst = 1e9;
  Settings.SnapshotInterval = 1'000'000'000;
  if (!Grouped)
    Settings.MaxBatchBytes = 1;
  timed_owner Timed(Settings, RoundTrip);
  std::map<call_ticket, microseconds> Since;
  std::vector<double> Latencies;
  Timed.OnAnswer = [&](call_ticket Ticket) {
    Latencies.push_back(std::chrono::duration<double, std::milli>(
                            Timed.Clock.now().Steady - Since[Ticket])
                            .count());
  };
  constexpr double Seconds = 20;
  const std::uint64_t Before = Timed.Writes;
  chooser Choice(1);
  const auto Count = static_cast<std::uint64_t>(Rate * Seconds);
  for (std::uint64_t Index = 1; Index <= Count; ++Index)
    Timed.Clock.after(Choice.between(microseconds(0), seconds(20)),
                      [&Timed, &Since, Index] {
                        Since[Index] = Timed.Clock.now().Steady;
                        Timed.create(Index, Index);
                      });
  Timed.runUntil(Timed.Clock.now().Steady + seconds(25));
  fmt::print("  {:>5.0f} records/s, round trip {:>2} ms, {:<18} p50 {:>8.1f} "
             "p99 {:>8.1f} ms, answered {:>5.1f}%, writes/s {:>6.1f}\n",
             Rate, RoundTrip.count(),
             Grouped ? "group commit" : "one write a record",
             quantile(Latencies, 0.5), quantile(Latencies, 0.99),
             100.0 * static_cast<double>(Latencies.size()) /
                 static_cast<double>(Count),
             static_cast<double>(Timed.Writes - Before) / 25);
}

void commitSection() {
  fmt::print("commit of one shard, virtual time, 20 s of arrivals, 25 s run\n");
  for (const int RoundTrip : {2, 10}) {
    for (const double Rate : {10.0, 100.0, 1'000.0}) {
      for (const bool Grouped : {false, true})
        measureCommit(Rate, milliseconds(RoundTrip), Grouped);
    }
  }
}

/// A whole group in one process and virtual time.
class group {
public:
  group(std::size_t Size, unsigned GivenLossPercent)
      : LossPercent(GivenLossPercent) {
    for (std::size_t Index = 0; Index < Size; ++Index) {
      membership Member;
      Member.Self = {fmt::format("entry-{}", Index), "127.0.0.1",
                     static_cast<std::uint16_t>(Index + 1), "domain-a",
                     "region-a"};
      Member.Random.seed(Index + 1);
      Members.push_back(std::move(Member));
    }
    Running.assign(Size, true);
    for (membership &Member : Members) {
      for (const membership &Other : Members)
        seedMember(Other.Self, Now, Member);
    }
  }

  void runFor(microseconds Time) {
    const microseconds End = Now.Steady + Time;
    for (; Now.Steady < End; Now = later(Now, milliseconds(20))) {
      for (std::size_t Index = 0; Index < Members.size(); ++Index) {
        if (!Running[Index])
          continue;
        std::vector<outgoing_datagram> Datagrams;
        onMembershipTick(Now, Members[Index], Datagrams);
        deliver(Datagrams);
      }
    }
  }

  void deliver(const std::vector<outgoing_datagram> &Datagrams) {
    for (const outgoing_datagram &Datagram : Datagrams) {
      Bytes += static_cast<double>(Datagram.Bytes.size());
      ++Messages;
      const std::size_t To = Datagram.Port - 1U;
      if (!Running[To] || Random() % 100 < LossPercent)
        continue;
      std::vector<outgoing_datagram> Answers;
      onDatagram(Datagram.Bytes, Now, Members[To], Answers);
      deliver(Answers);
    }
  }

  std::size_t countDead() const {
    std::size_t Dead = 0;
    for (std::size_t Index = 0; Index < Members.size(); ++Index) {
      for (const auto &[Id, Record] : Members[Index].Members) {
        if (Running[Index] && Record.Update.Status == member_status::Dead)
          ++Dead;
      }
    }
    return Dead;
  }

  instant Now{seconds(1), seconds(1'000)};
  std::vector<membership> Members;
  std::vector<bool> Running;
  unsigned LossPercent;
  double Bytes = 0;
  double Messages = 0;

private:
  std::mt19937_64 Random{9};
};

void membershipSection() {
  constexpr double Seconds = 20;
  fmt::print("membership, virtual time; one instance replaced each 21 s in the "
             "last column's load\n");
  std::vector<std::pair<double, double>> Cpu;
  std::vector<std::pair<double, double>> Sent;
  for (const std::size_t Size : {7U, 30U, 60U, 120U, 240U, 380U}) {
    group Group(Size, 1);
    Group.runFor(seconds(10));
    Group.Bytes = 0;
    Group.Messages = 0;
    const double Start = cpuSeconds();
    Group.runFor(microseconds(static_cast<std::int64_t>(Seconds * 1e6)));
    const double PerNode = static_cast<double>(Size) * Seconds;
    const double Share = (cpuSeconds() - Start) / PerNode;
    const double QuietBytes = Group.Bytes / PerNode;
    Group.Bytes = 0;
    announceLeaving(Group.Members[0]);
    Group.runFor(microseconds(static_cast<std::int64_t>(Seconds * 1e6)));
    fmt::print("  size {:>3}: sent {:>6.0f} B/s, {:>5.1f} messages/s, cpu "
               "{:>6.3f}% of a core; with a change {:>6.0f} B/s\n",
               Size, QuietBytes, Group.Messages / PerNode / 2, Share * 100,
               Group.Bytes / PerNode);
    Cpu.emplace_back(static_cast<double>(Size), Share * 100);
    Sent.emplace_back(static_cast<double>(Size), QuietBytes);
  }
  printFit("cpu", "% of a core", Cpu);
  printFit("sent", "B/s", Sent);
}

void detectionSection() {
  fmt::print("detection of a dead instance, virtual time, default settings\n");
  for (const unsigned Loss : {0U, 1U, 10U}) {
    for (const std::size_t Size : {7U, 60U, 380U}) {
      group Group(Size, Loss);
      Group.runFor(seconds(30));
      const std::size_t False = Group.countDead();
      Group.Running[Size - 1] = false;
      const microseconds Start = Group.Now.Steady;
      const std::string Id = Group.Members[Size - 1].Self.Id;
      microseconds First{0};
      while (Group.Now.Steady - Start < seconds(60)) {
        Group.runFor(milliseconds(100));
        std::size_t Believers = 0;
        for (std::size_t Index = 0; Index + 1 < Size; ++Index)
          Believers += isAlive(Id, Group.Members[Index]) ? 1U : 0U;
        if (Believers + 1 < Size && First.count() == 0)
          First = Group.Now.Steady - Start;
        if (Believers == 0)
          break;
      }
      fmt::print(
          "  size {:>3} loss {:>2}%: first {:>5.1f} s, all {:>5.1f} s, "
          "falsely dead in the 30 s before: {}\n",
          Size, Loss, std::chrono::duration<double>(First).count(),
          std::chrono::duration<double>(Group.Now.Steady - Start).count(),
          False);
    }
  }
}

void callsSection() {
  fmt::print("one shard: cost of a call and memory of programs, 8 turns of 2.4 "
             "KB each\n");
  std::vector<std::pair<double, double>> Memory;
  std::vector<std::pair<double, double>> Bare;
  std::vector<std::pair<double, double>> Sweep;
  const std::string Body = "[\"" + std::string(1'200, 'x') + "\"]";
  for (const std::uint64_t Count : {1'000ULL, 4'000ULL, 10'000ULL}) {
    owner_settings Settings;
    Settings.WritesPerSecond = 1e9;
    Settings.WriteBurst = 1e9;
    const double Before = heapMegabytes();
    timed_owner Timed(Settings, milliseconds(2));
    for (std::uint64_t Key = 1; Key <= Count; ++Key)
      Timed.create(Key, 0);
    Timed.runUntil(Timed.Clock.now().Steady + seconds(1));
    const double Start = cpuSeconds();
    for (std::uint32_t Turn = 1; Turn <= 8; ++Turn) {
      for (std::uint64_t Key = 1; Key <= Count; ++Key) {
        Timed.call(Key, Turn, Body);
        if (Key % 100 == 0)
          Timed.runUntil(Timed.Clock.now().Steady + milliseconds(20));
      }
    }
    const double PerCall =
        (cpuSeconds() - Start) / (8 * static_cast<double>(Count));
    const double Full = heapMegabytes() - Before;
    std::size_t Dropped = 0;
    for (auto &[Id, Program] : Timed.Owner.State.Programs)
      Dropped += dropTexts(Timed.Owner.Committed, Program);
    const double SweepStart = cpuSeconds();
    for (int Round = 0; Round < 20; ++Round) {
      Timed.Owner.NextSweepAt = microseconds(0);
      Timed.apply([&](action_list &Next) {
        onOwnerTick(Timed.Clock.now(), Timed.Owner, Next);
      });
    }
    const double SweepMs = (cpuSeconds() - SweepStart) / 20 * 1e3;
    const std::string Snapshot = encodeSnapshot(Timed.Owner.State);
    fmt::print("  programs {:>6}: {:>5.1f} us a call, {:>6.1f} MB with texts "
               "({:.1f} MB of text), snapshot {:.2f} MB, sweep {:.2f} ms\n",
               Count, PerCall * 1e6, Full, static_cast<double>(Dropped) / 1e6,
               static_cast<double>(Snapshot.size()) / 1e6, SweepMs);
    Memory.emplace_back(static_cast<double>(Count), Full * 1e3);
    Bare.emplace_back(static_cast<double>(Count),
                      static_cast<double>(Snapshot.size()) / 1e3);
    Sweep.emplace_back(static_cast<double>(Count), SweepMs);
  }
  printFit("memory with texts", "kB", Memory);
  printFit("snapshot", "kB", Bare);
  printFit("sweep", "ms", Sweep);
}

void takeoverSection() {
  fmt::print("takeover: decode of a snapshot and of a tail of 64 entries\n");
  std::vector<std::pair<double, double>> Points;
  for (const std::uint64_t Count : {100ULL, 1'000ULL, 6'328ULL, 20'000ULL}) {
    shard_state State;
    for (std::uint64_t Key = 1; Key <= Count; ++Key) {
      program_created Created;
      Created.Program = programOf(Key);
      Created.Tenant = "tenant";
      Created.Budget = {1'000'000, 100, 1'000'000};
      applyRecord(Created, 1, State);
      for (std::uint32_t Turn = 1; Turn <= 20; ++Turn) {
        call_completed Done;
        Done.Program = Created.Program;
        Done.Call = Turn;
        applyRecord(Done, Turn, State);
      }
    }
    const std::string Bytes = encodeSnapshot(State);
    const double Start = cpuSeconds();
    const shard_state Read = decodeSnapshot(Bytes);
    const double Milliseconds = (cpuSeconds() - Start) * 1e3;
    fmt::print("  programs {:>6} of 20 turns: snapshot {:>7.2f} MB, decode "
               "{:>7.2f} ms\n",
               Read.Programs.size(), static_cast<double>(Bytes.size()) / 1e6,
               Milliseconds);
    Points.emplace_back(static_cast<double>(Count), Milliseconds);
  }
  printFit("decode", "ms", Points);
}

void placementSection() {
  fmt::print("placement of one attempt, queue of one\n");
  std::vector<std::pair<double, double>> Points;
  for (const std::size_t Count : {10U, 100U, 400U, 1'000U}) {
    runner_table Table;
    for (std::size_t Index = 0; Index < Count; ++Index) {
      runner_state Runner;
      Runner.Settings.Name = fmt::format("runner-{}", Index);
      Runner.Settings.Pool = "model";
      Table.Runners[Runner.Settings.Name] = Runner;
    }
    const instant Now{seconds(1), seconds(1)};
    constexpr int Rounds = 2'000;
    const double Start = cpuSeconds();
    for (int Round = 0; Round < Rounds; ++Round) {
      start_attempt Attempt;
      Attempt.AttemptId = "x";
      Attempt.Timeout = seconds(10);
      (void)queueAttempt(std::move(Attempt), Now, Table);
      std::vector<refused_attempt> Refused;
      for (const placed_attempt &Placed : placeAttempts(Now, Table, Refused))
        onAttemptEnded(Placed.Runner.Name, {}, Now, Table);
    }
    const double Microseconds = (cpuSeconds() - Start) / Rounds * 1e6;
    fmt::print("  runners {:>5}: {:>7.2f} us\n", Count, Microseconds);
    Points.emplace_back(static_cast<double>(Count), Microseconds);
  }
  printFit("placement", "us", Points);
}

} // namespace

int main(int ArgumentCount, char **Arguments) {
  gflags::SetUsageMessage("Measures the slopes behind docs/CAPACITY.md.");
  gflags::ParseCommandLineFlags(&ArgumentCount, &Arguments, true);
  const std::vector<std::pair<std::string, void (*)()>> Sections{
      {"commit", commitSection},       {"membership", membershipSection},
      {"detection", detectionSection}, {"calls", callsSection},
      {"takeover", takeoverSection},   {"placement", placementSection}};
  for (const auto &[Name, Run] : Sections) {
    if (FLAGS_section == "all" || FLAGS_section == Name)
      Run();
  }
  return 0;
}
