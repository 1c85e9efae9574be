/// Measures the slopes of the platform's daemons for docs/CAPACITY.md.
#include "bench/measure.h"
#include "history/permit_service.h"
#include "history/quorum.h"
#include "history/segment_log.h"
#include "limit/quota_issuer.h"
#include "limit/quota_stock.h"
#include "placement/placement.h"

#include <algorithm>
#include <fmt/format.h>

namespace {

using namespace lentilhoist;

/// A turn of the deployments' sheets: 4.3 kB in, seven events out.
constexpr std::size_t InputBytes = 4'300;
constexpr std::size_t OutputBytes = 560;
constexpr std::size_t TurnsPerProgram = 8;

const instant Now{seconds(1'000), milliseconds(0)};
const replica_limits Limits{4'000'000'000, milliseconds(5'000)};

replica_request reserveOf(std::size_t Index) {
  replica_request Request;
  Request.Operation = replica_operation::Reserve;
  Request.SetVersion = 1;
  Request.Program = fmt::format("program-{:08d}", Index / TurnsPerProgram);
  Request.Entry = {fmt::format("attempt-{:08d}", Index), 290, false};
  Request.RetentionMs = 60'000;
  if (Index % TurnsPerProgram != 0)
    Request.Previous = fmt::format("attempt-{:08d}", Index - 1);
  return Request;
}

replica_request commitOf(const replica_request &Reserve) {
  replica_request Request;
  Request.Operation = replica_operation::Commit;
  Request.SetVersion = 1;
  Request.Turn = {Reserve.Entry.Attempt,
                  Reserve.Previous,
                  Reserve.Program,
                  std::string(InputBytes, 'i'),
                  std::string(OutputBytes, 'o'),
                  70,
                  60'000};
  return Request;
}

/// What filling a replica cost.
struct fill_cost {
  double ReserveUs = 0; ///< Each.
  double CommitUs = 0;  ///< Each.
};

/// Fills a replica.
/// \param Turns how many turns.
/// \param[out] State the replica.
/// \param[out] Journal gains the records; null for none.
/// \returns the processor time, encoding of the records included.
fill_cost fillReplica(std::size_t Turns, replica_state &State,
                      std::string *Journal) {
  fill_cost Cost;
  State.Complete = true;
  for (std::size_t Index = 0; Index < Turns; ++Index) {
    const replica_request Reserve = reserveOf(Index);
    const replica_request Commit = commitOf(Reserve);
    const double Start = cpuSeconds();
    const auto First = handleRequest(State, Reserve, 1, Limits, Now);
    std::string Bytes = encodeRecord(First.Changes.back());
    const double Middle = cpuSeconds();
    const auto Second = handleRequest(State, Commit, 1, Limits, Now);
    Bytes += encodeRecord(Second.Changes.back());
    Cost.CommitUs += cpuSeconds() - Middle;
    Cost.ReserveUs += Middle - Start;
    if (Journal != nullptr)
      *Journal += Bytes;
  }
  Cost.ReserveUs *= 1e6 / static_cast<double>(Turns);
  Cost.CommitUs *= 1e6 / static_cast<double>(Turns);
  return Cost;
}

/// Processor time and memory of a replica by the turns that it holds.
void replicaSection() {
  fmt::print("replica: turns, MB, MB without texts, us a reservation, us a "
             "commit\n");
  std::vector<std::pair<double, double>> Memory;
  std::vector<std::pair<double, double>> Without;
  for (const std::size_t Turns : {2'000UL, 8'000UL, 32'000UL}) {
    replica_state State;
    const double Before = heapMegabytes();
    const fill_cost Cost = fillReplica(Turns, State, nullptr);
    const double Used = heapMegabytes() - Before;
    Memory.emplace_back(static_cast<double>(Turns), Used);
    for (auto &[Id, Turn] : State.Turns)
      setTurnLocation(State, Id, {Turn.Segment, 0, 1});
    replica_limits OnDisk = Limits;
    OnDisk.MaxTextBytes = 0;
    evictTexts(State, OnDisk);
    const double Rest = heapMegabytes() - Before;
    Without.emplace_back(static_cast<double>(Turns), Rest);
    fmt::print("  {:6} {:8.1f} {:8.1f} {:8.1f} {:8.1f}\n", Turns, Used, Rest,
               Cost.ReserveUs, Cost.CommitUs);
  }
  printFit("memory", "MB", Memory);
  printFit("memory without texts", "MB", Without);
}

/// Processor time to read a journal back after a restart.
void journalSection() {
  fmt::print("journal: records, ms\n");
  std::vector<std::pair<double, double>> Points;
  for (const std::size_t Turns : {1'000UL, 4'000UL, 16'000UL}) {
    std::string Journal;
    {
      replica_state State;
      fillReplica(Turns, State, &Journal);
    }
    replica_state Loaded;
    const double Start = cpuSeconds();
    readRecords(Journal, [&](replica_change Change, std::size_t, std::size_t) {
      applyChange(Loaded, std::move(Change), 1, Limits, Now);
    });
    const double Spent = (cpuSeconds() - Start) * 1e3;
    Points.emplace_back(static_cast<double>(2 * Turns), Spent);
    fmt::print("  {:6} {:8.1f}\n", 2 * Turns, Spent);
  }
  printFit("journal", "ms", Points);
}

/// Processor time of a placement by the runners of all services.
void placementSection() {
  fmt::print("placement: runners, us a request\n");
  std::vector<std::pair<double, double>> Points;
  for (const int Count : {14, 100, 1'000, 12'000}) {
    runner_directory Directory;
    for (int Index = 0; Index < Count; ++Index) {
      runner_entry Entry;
      Entry.Id = fmt::format("runner-{:06d}", Index);
      Entry.Service = Index % 3 == 0 ? "plain" : "engine";
      Entry.Address = "10.0.0.1:80";
      Entry.Domain = Index % 2 == 0 ? "here" : "there";
      Entry.Slots = 12;
      upsertRunner(Directory, Entry);
    }
    request_traits Request;
    Request.PromptTokens = 1'400;
    Request.Prompt = {{"shared", 512}, {"session", 654}};
    placement_query Question;
    Question.Service = "engine";
    Question.Domain = "here";
    Question.Request = &Request;
    Question.Engine = engine_traits{12, 107'036, 10};
    const int Rounds = 2'000'000 / Count / 10 + 10;
    const double Start = cpuSeconds();
    std::size_t Chosen = 0;
    for (int Round = 0; Round < Rounds; ++Round)
      Chosen += placeRequest(Directory, Question, Now).Candidates;
    const double Each = (cpuSeconds() - Start) * 1e6 / Rounds;
    Points.emplace_back(Count, Each);
    fmt::print("  {:6} {:8.2f} ({} candidates)\n", Count, Each,
               Chosen / static_cast<std::size_t>(Rounds));
  }
  printFit("placement", "us", Points);
}

replica_set makeSet() {
  replica_set Set{1, 2, true, {}};
  for (int Index = 0; Index < 5; ++Index)
    Set.Slots.push_back(
        {"n", fmt::format("10.0.0.{}:7379", Index + 1), "d", ""});
  return Set;
}

/// Processor time and memory of quotas by the number of workspaces: of the
/// instance, messages included, and of the issuer.
void quotaSection() {
  fmt::print("quotas: workspaces, B a workspace at the instance, B at the "
             "issuer, us a request with a message at the instance, us at the "
             "issuer, us without a message (median of batches of 500)\n");
  const replica_set Set = makeSet();
  for (const std::size_t Count : {100UL, 1'000UL, 10'000UL}) {
    std::vector<std::string> Names;
    for (std::size_t Index = 0; Index < Count; ++Index)
      Names.push_back(fmt::format("workspace-{:06d}", Index));
    const quota Quota{1, 1'000, 1'000};
    double Before = heapMegabytes();
    quota_table Table;
    for (const std::string &Name : Names)
      findStock(Table, Name, Now).Issuer = Set.Slots[0].Address;
    const double AtInstance = heapMegabytes() - Before;
    Before = heapMegabytes();
    quota_issuer Issuer;
    for (const std::string &Name : Names) {
      quota_stock Empty;
      issueQuota(Issuer, makeQuotaRequest(Empty, Name, Quota, false, Now), Now);
    }
    const double AtIssuer = heapMegabytes() - Before;
    std::vector<double> WithMessage;
    std::vector<double> Issuing;
    std::vector<double> Alone;
    constexpr std::size_t Batch = 500;
    for (std::size_t Round = 0; Round < 200; ++Round) {
      const instant Time = later(Now, milliseconds(Round));
      std::vector<std::string> Requests;
      double Start = cpuSeconds();
      for (std::size_t Index = 0; Index < Batch; ++Index) {
        const std::string &Name = Names[(Round * Batch + Index * 7) % Count];
        quota_stock &Stock = findStock(Table, Name, Time);
        noteRequest(Stock, Time);
        takePermit(Stock, Time);
        refuseKnown(Stock, Quota, Time);
        issuerOrder(Set, Name);
        replica_request Message;
        Message.Quotas.push_back(
            makeQuotaRequest(Stock, Name, Quota, false, Time));
        Requests.push_back(encodeMessage(Message));
      }
      double Spent = cpuSeconds() - Start;
      Start = cpuSeconds();
      std::vector<std::string> Replies;
      for (const std::string &Bytes : Requests) {
        const replica_request Request = decodeReplicaRequest(Bytes.substr(4));
        replica_reply Reply;
        answerQuotaRequests(Issuer, Request, Reply, Time);
        Replies.push_back(encodeMessage(Reply));
      }
      Issuing.push_back((cpuSeconds() - Start) * 1e6 / Batch);
      Start = cpuSeconds();
      for (std::size_t Index = 0; Index < Batch; ++Index) {
        const std::string &Name = Names[(Round * Batch + Index * 7) % Count];
        const replica_reply Reply =
            decodeReplicaReply(Replies[Index].substr(4));
        quota_stock &Stock = findStock(Table, Name, Time);
        applyQuotaReply(Stock, Reply.Quotas.front(), Time, Time);
        takePermit(Stock, Time);
      }
      Spent += cpuSeconds() - Start;
      WithMessage.push_back(Spent * 1e6 / Batch);
      Start = cpuSeconds();
      for (std::size_t Index = 0; Index < Batch; ++Index) {
        quota_stock &Stock =
            findStock(Table, Names[(Round * Batch + Index * 7) % Count], Time);
        noteRequest(Stock, Time);
        takePermit(Stock, Time);
        refuseKnown(Stock, Quota, Time);
      }
      Alone.push_back((cpuSeconds() - Start) * 1e6 / Batch);
    }
    const auto median = [](std::vector<double> &Values) {
      std::sort(Values.begin(), Values.end());
      return Values[Values.size() / 2];
    };
    const double PerWorkspace = 1e6 / static_cast<double>(Count);
    fmt::print("  {:6} {:6.0f} {:6.0f} {:8.2f} {:8.2f} {:8.2f}\n", Count,
               AtInstance * PerWorkspace, AtIssuer * PerWorkspace,
               median(WithMessage), median(Issuing), median(Alone));
  }
}

} // namespace

int main() {
  replicaSection();
  journalSection();
  placementSection();
  quotaSection();
  return 0;
}
