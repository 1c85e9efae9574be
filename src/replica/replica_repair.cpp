#include "replica/replica_repair.h"

#include "log/log.h"

#include <algorithm>
#include <set>

namespace lentilhoist {

namespace {

/// A replica that does not list its records, as one of an older build, is not
/// asked again for this long.
constexpr milliseconds UnsupportedDelay{3'000};
/// A step without a reply is begun again after this time. The link repeats
/// requests by itself; replies are lost only with requests that it drops.
constexpr milliseconds StepTimeout{10'000};
/// A turn that another replica did not have is asked for again there after a
/// time that doubles: that replica may be repaired meanwhile.
constexpr milliseconds MinAbsentDelay{1'000};
constexpr milliseconds MaxAbsentDelay{30'000};
/// Most names in one fetch request.
constexpr std::size_t MaxFetchedNames = 500;

} // namespace

void replica_repair::run(const replica_set &Set, const std::string &Address,
                         instant Now) {
  Store.markListable();
  SetVersion = Set.Version;
  std::erase_if(Sources,
                [&](const auto &Item) { return !Set.find(Item.first); });
  if (!Store.state().Complete || !Store.hasRoom())
    return;
  for (const replica_slot &Slot : Set.Slots) {
    if (Slot.Address == Address)
      continue;
    source &Source = Sources[Slot.Address];
    const bool Idle =
        !Source.Busy || Now.Steady - Source.AskedAt.Steady > StepTimeout;
    if (Idle && Source.NotBefore.Steady <= Now.Steady)
      list(Slot.Address);
  }
}

replica_request replica_repair::request(replica_operation Operation) const {
  replica_request Request;
  Request.Operation = Operation;
  Request.SetVersion = SetVersion;
  return Request;
}

void replica_repair::send(const std::string &Address, replica_request Request,
                          std::function<void(const replica_reply &)> OnReply) {
  source &Source = Sources[Address];
  Source.Busy = true;
  Source.Fetches = Request.Operation == replica_operation::Fetch;
  Source.AskedAt = readClock();
  const std::uint64_t Step = ++Source.Steps;
  LinkTo(Address).send(
      std::move(Request), [this, Address, Step, OnReply = std::move(OnReply)](
                              const replica_reply &Reply) {
        const auto Found = Sources.find(Address);
        if (Found == Sources.end() || Found->second.Steps != Step)
          return;
        Found->second.Busy = false;
        if (Reply.Status == replica_status::Refused)
          Found->second.NotBefore = later(readClock(), UnsupportedDelay);
        // An incomplete replica lists its records once it is complete.
        if (Reply.Status == replica_status::Done)
          OnReply(Reply);
      });
}

void replica_repair::list(const std::string &Address) {
  replica_request Request = request(replica_operation::List);
  Request.Run = Sources[Address].Run;
  Request.Cursor = Sources[Address].Cursor;
  send(Address, std::move(Request),
       [this, Address](const replica_reply &Reply) {
         fetchListed(Address, Reply);
       });
}

bool replica_repair::claimFetching(const std::string &Address, instant Now) {
  const auto Current = Sources.find(Fetching);
  const bool Taken = Fetching != Address && Current != Sources.end() &&
                     Current->second.Busy && Current->second.Fetches &&
                     Now.Steady - Current->second.AskedAt.Steady < StepTimeout;
  if (!Taken)
    Fetching = Address;
  return !Taken;
}

void replica_repair::fetchListed(const std::string &Address,
                                 replica_reply List) {
  std::vector<record_name> Lacked = lackedRecords(Store.state(), List.Records);
  if (Lacked.empty()) {
    source &Source = Sources[Address];
    Source.Run = List.Run;
    Source.Cursor = List.Cursor;
    if (List.Cursor < List.Head)
      list(Address);
    else
      fetchLackedTurns(Address);
    return;
  }
  if (!claimFetching(Address, readClock()))
    return;
  // The names that remain to be fetched from this list.
  List.Records = Lacked;
  Lacked.resize(std::min(Lacked.size(), MaxFetchedNames));
  replica_request Request = request(replica_operation::Fetch);
  Request.Records = Lacked;
  send(Address, std::move(Request),
       [this, Address, List = std::move(List),
        Asked = Lacked.size()](const replica_reply &Reply) mutable {
         std::set<record_key> Received;
         for (const turn_record &Turn : Reply.Turns)
           Received.emplace(Turn.Id, "");
         for (const program_ledger &Ledger : Reply.Ledgers)
           for (const ledger_entry &Entry : Ledger.Entries)
             Received.emplace(Ledger.Program, Entry.Attempt);
         // A reply without records: all that were asked for have expired there.
         if (Received.empty())
           List.Records.erase(List.Records.begin(),
                              List.Records.begin() +
                                  static_cast<std::ptrdiff_t>(Asked));
         std::erase_if(List.Records, [&](const record_name &Name) {
           return Received.contains({Name.Id, Name.Attempt});
         });
         addFetched(Address, Reply, [this, Address, List = std::move(List)] {
           fetchListed(Address, List);
         });
       });
}

void replica_repair::fetchLackedTurns(const std::string &Address) {
  if (Store.state().Orphans.empty())
    return;
  source &Source = Sources[Address];
  const instant Now = readClock();
  replica_request Request = request(replica_operation::Fetch);
  Request.WantChain = true;
  std::map<std::string, absent_turn> Absent;
  for (const std::string &Id : lackedTurns(Store.state())) {
    const auto Known = Source.Absent.find(Id);
    if (Known != Source.Absent.end())
      Absent.insert(*Known);
    const bool Due = Known == Source.Absent.end() ||
                     Known->second.NotBefore.Steady <= Now.Steady;
    if (Due && Request.Records.size() < MaxFetchedNames)
      Request.Records.push_back({Id, "", true});
  }
  Source.Absent = std::move(Absent);
  if (Request.Records.empty() || !claimFetching(Address, Now))
    return;
  send(Address, Request,
       [this, Address, Names = Request.Records](const replica_reply &Reply) {
         source &Asked = Sources[Address];
         for (const record_name &Name : Names) {
           absent_turn &Turn = Asked.Absent[Name.Id];
           Turn.Delay =
               std::clamp(Turn.Delay * 2, MinAbsentDelay, MaxAbsentDelay);
           Turn.NotBefore = later(readClock(), Turn.Delay);
         }
         if (!Reply.Turns.empty())
           addFetched(Address, Reply,
                      [this, Address] { fetchLackedTurns(Address); });
       });
}

void replica_repair::addFetched(const std::string &Address,
                                const replica_reply &Reply,
                                std::function<void()> OnDurable) {
  const std::size_t Count = Reply.Turns.size() + Reply.Ledgers.size();
  if (Count != 0)
    logEvent(log_level::Info, "records_repaired",
             {{"source", Address},
              {"turns", std::to_string(Reply.Turns.size())},
              {"entries", std::to_string(Reply.Ledgers.size())}});
  Repaired += Count;
  source &Source = Sources[Address];
  Source.Busy = true;
  const std::uint64_t Step = ++Source.Steps;
  Store.addFetched(Reply, [this, Address, Step,
                           OnDurable = std::move(OnDurable)](bool Durable) {
    const auto Found = Sources.find(Address);
    if (Found == Sources.end() || Found->second.Steps != Step)
      return;
    Found->second.Busy = false;
    if (Durable)
      OnDurable();
  });
}

} // namespace lentilhoist
