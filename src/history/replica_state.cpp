#include "history/replica_state.h"

#include "history/ownership.h"

#include <algorithm>
#include <cassert>
#include <string_view>
#include <unordered_set>

namespace lentilhoist {

namespace {

/// Size of a copy batch. A slow link sends it in about 100 ms, so that requests
/// of callers are not delayed for longer.
constexpr std::size_t CopyBatchBytes = 512UL * 1024UL;

/// Estimated memory of a record without its input and output.
constexpr std::size_t RecordOverhead = 400;

/// Number of names in one reply to List, about 200 kB.
constexpr std::size_t MaxListedRecords = 4'096;

/// Records that expire sooner than this are not listed: another replica may
/// have deleted them already.
constexpr milliseconds MinListedTime{3'000};

/// Most turns that one reply lists without their texts, about 60 kB.
constexpr std::size_t MaxListedTurns = 512;

std::size_t textBytesOf(const turn_record &Turn) {
  return Turn.Input.size() + Turn.Output.size();
}

std::size_t memoryBytesOf(const turn_record &Turn) {
  return RecordOverhead + textBytesOf(Turn);
}

instant expiryOf(std::uint64_t RetentionMs, const replica_limits &Limits,
                 instant Now) {
  return later(Now, milliseconds(RetentionMs) + Limits.RetentionSlack);
}

/// \returns the time until an expiry; 0 if it has passed.
milliseconds timeUntil(instant Expiry, instant Now) {
  return std::chrono::duration_cast<milliseconds>(
      std::max(Expiry.Steady - Now.Steady, microseconds(0)));
}

/// Extends the expiry of a turn and of the chain that leads to it, since a turn
/// must be kept as long as a later turn continues it.
void extendChainExpiry(replica_state &State, std::string Id, instant Expiry) {
  for (auto Found = State.Turns.find(Id);
       Found != State.Turns.end() &&
       Found->second.Expiry.Steady < Expiry.Steady;
       Found = State.Turns.find(Id)) {
    Found->second.Expiry = Expiry;
    Id = Found->second.Record.Previous;
  }
}

void erasePosition(replica_state &State, std::uint64_t Position,
                   segment_number Segment) {
  State.Order.erase(Position);
  const auto LiveRecords = State.LiveRecords.find(Segment);
  assert(LiveRecords != State.LiveRecords.end() && LiveRecords->second > 0);
  --LiveRecords->second;
}

std::uint64_t appendPosition(replica_state &State, std::string First,
                             std::string Second, segment_number Segment) {
  const std::uint64_t Position = ++State.LastPosition;
  State.Order.emplace_hint(State.Order.end(), Position,
                           std::make_pair(std::move(First), std::move(Second)));
  ++State.LiveRecords[Segment];
  return Position;
}

void extendExpiry(instant &Expiry, instant To) {
  if (Expiry.Steady < To.Steady)
    Expiry = To;
}

void applyEntry(replica_state &State, const replica_change &Change,
                segment_number Segment, instant Expiry) {
  replica_ledger &Ledger = State.Ledgers[Change.Program];
  Ledger.RetentionMs = std::max(Ledger.RetentionMs, Change.RetentionMs);
  extendExpiry(Ledger.Expiry, Expiry);
  const auto [Found, Added] = Ledger.Entries.try_emplace(Change.Entry.Attempt);
  replica_entry &Held = Found->second;
  if (Added)
    State.Bytes += RecordOverhead;
  else if (Held.Entry.Settled || !Change.Entry.Settled)
    return;
  else
    erasePosition(State, Held.Position, Held.Segment);
  Held.Entry = Change.Entry;
  Held.Segment = Segment;
  Held.Position =
      appendPosition(State, Change.Program, Change.Entry.Attempt, Segment);
}

/// Links a turn that has just been added to the turns around it.
/// \returns the latest expiry of the turns that continue it.
instant linkTurn(replica_state &State, const turn_record &Turn) {
  instant Latest{};
  const auto [Begin, End] = State.Orphans.equal_range(Turn.Id);
  for (auto Next = Begin; Next != End; ++Next)
    extendExpiry(Latest, State.Turns.at(Next->second).Expiry);
  State.Orphans.erase(Begin, End);
  if (!Turn.Previous.empty() && !State.Turns.contains(Turn.Previous))
    State.Orphans.emplace(Turn.Previous, Turn.Id);
  return Latest;
}

void eraseOrphan(replica_state &State, const turn_record &Turn) {
  const auto [Begin, End] = State.Orphans.equal_range(Turn.Previous);
  for (auto Orphan = Begin; Orphan != End; ++Orphan)
    if (Orphan->second == Turn.Id) {
      State.Orphans.erase(Orphan);
      return;
    }
}

void applyTurn(replica_state &State, turn_record Turn, segment_number Segment,
               instant Expiry) {
  const std::string Id = Turn.Id;
  const auto [Found, Added] = State.Turns.try_emplace(Id);
  if (Added) {
    replica_turn &Held = Found->second;
    State.Bytes += memoryBytesOf(Turn);
    State.TextBytes += textBytesOf(Turn);
    if (Turn.TextBytes == 0)
      Turn.TextBytes = textBytesOf(Turn);
    Held.Record = std::move(Turn);
    Held.Segment = Segment;
    Held.Position = appendPosition(State, Id, "", Segment);
    extendExpiry(Expiry, linkTurn(State, Held.Record));
  }
  extendChainExpiry(State, Id, Expiry);
}

/// \returns when a ledger expires that is used now.
instant ledgerExpiry(const replica_state &State, const std::string &Program,
                     std::uint64_t RetentionMs, const replica_limits &Limits,
                     instant Now) {
  const auto Ledger = State.Ledgers.find(Program);
  if (Ledger != State.Ledgers.end())
    RetentionMs = std::max(RetentionMs, Ledger->second.RetentionMs);
  return expiryOf(RetentionMs, Limits, Now);
}

replica_change entryChange(const std::string &Program,
                           const ledger_entry &Entry,
                           std::uint64_t RetentionMs) {
  replica_change Change;
  Change.Kind = change_kind::Entry;
  Change.Program = Program;
  Change.Entry = Entry;
  Change.RetentionMs = RetentionMs;
  return Change;
}

/// Applies a turn and the settlement of its tokens.
void applyTurnChange(replica_state &State, turn_record Turn,
                     segment_number Segment, instant Expiry,
                     instant LedgerExpiry) {
  const ledger_entry Settled{Turn.Id, Turn.Tokens, true};
  applyEntry(State, entryChange(Turn.Program, Settled, Turn.RetentionMs),
             Segment, LedgerExpiry);
  applyTurn(State, std::move(Turn), Segment, Expiry);
}

/// \returns whether another workspace has stored a turn of the same ID.
bool isHeldByOther(const replica_state &State, const turn_record &Turn) {
  const auto Held = State.Turns.find(Turn.Id);
  return Held != State.Turns.end() && !Held->second.Record.Workspace.empty() &&
         Held->second.Record.Workspace != Turn.Workspace;
}

replica_change turnChange(turn_record Turn) {
  replica_change Change;
  Change.Kind = change_kind::Turn;
  Change.Turn = std::move(Turn);
  if (const std::size_t Bytes = textBytesOf(Change.Turn); Bytes != 0)
    Change.Turn.TextBytes = Bytes;
  return Change;
}

/// \returns the approximate size of a turn in a message, with its texts.
std::size_t sizeOnWire(const replica_turn &Held) {
  return Held.TextsInMemory ? memoryBytesOf(Held.Record)
                            : RecordOverhead + Held.Location.Length;
}

void appendTurn(const replica_turn &Held, replica_outcome &Outcome) {
  if (!Held.TextsInMemory)
    Outcome.Unread.push_back({Outcome.Reply.Turns.size(), Held.Location});
  Outcome.Reply.Turns.push_back(Held.Record);
}

/// Turns that have been added to a reply.
struct appended_turns {
  std::unordered_set<std::string_view> Ids;
  std::size_t Bytes = 0; ///< Approximate size.
};

/// Appends a turn and those before it, up to the first that is in Appended or
/// of another owner, or until the reply is large enough. Damaged records may
/// form a cycle.
void appendChain(const replica_state &State, const std::string &Last,
                 const std::string &Owner, const replica_limits &Limits,
                 appended_turns &Appended, replica_outcome &Outcome) {
  for (auto Found = State.Turns.find(Last);
       Found != State.Turns.end() &&
       mayRead(Found->second.Record.Workspace, Owner) &&
       Appended.Ids.insert(Found->first).second;
       Found = State.Turns.find(Found->second.Record.Previous)) {
    Appended.Bytes += sizeOnWire(Found->second);
    if (Appended.Bytes > Limits.MaxReplyBytes && !Outcome.Reply.Turns.empty())
      return;
    appendTurn(Found->second, Outcome);
  }
}

/// \returns the size of a turn's texts, or an upper bound if it is not known.
std::size_t textSizeOf(const replica_turn &Held) {
  if (Held.TextsInMemory)
    return textBytesOf(Held.Record);
  return Held.Record.TextBytes != 0 ? Held.Record.TextBytes
                                    : Held.Location.Length;
}

/// Appends a turn and those before it as appendChain() does, without their
/// texts if those are larger than the request's limit.
void appendOrListChain(const replica_state &State, const std::string &Last,
                       const replica_request &Request,
                       const replica_limits &Limits, appended_turns &Appended,
                       replica_outcome &Outcome) {
  if (Request.TextLimit == 0) {
    appendChain(State, Last, Request.Workspace, Limits, Appended, Outcome);
    return;
  }
  std::vector<const replica_turn *> Chain;
  std::size_t Bytes = 0;
  for (auto Found = State.Turns.find(Last);
       Found != State.Turns.end() && Chain.size() < MaxListedTurns &&
       mayRead(Found->second.Record.Workspace, Request.Workspace) &&
       Appended.Ids.insert(Found->first).second;
       Found = State.Turns.find(Found->second.Record.Previous)) {
    Chain.push_back(&Found->second);
    Bytes += textSizeOf(Found->second);
  }
  const bool Listed = Bytes > Request.TextLimit;
  for (const replica_turn *Held : Chain) {
    if (!Listed) {
      appendTurn(*Held, Outcome);
      continue;
    }
    if (Held->Record.TextBytes == 0 && !Held->TextsInMemory)
      Outcome.Unsized.push_back({Outcome.Reply.Turns.size(), Held->Location});
    Outcome.Reply.Turns.push_back(withoutTexts(Held->Record));
  }
}

/// \returns whether a part lies within a text.
bool isWithin(const text_part &Part, std::size_t TextBytes) {
  return Part.Offset <= TextBytes && Part.Bytes <= TextBytes - Part.Offset;
}

void answerTexts(const replica_state &State, const replica_request &Request,
                 replica_outcome &Outcome) {
  std::string &Text = Outcome.Reply.Text;
  const std::uint64_t Bytes = requestedBytes(Request);
  if (Bytes > MaxTextReplyBytes)
    return;
  Text.reserve(Bytes);
  for (const text_part &Part : Request.Parts) {
    const auto Found = State.Turns.find(Part.Turn);
    const bool Readable =
        Found != State.Turns.end() &&
        mayRead(Found->second.Record.Workspace, Request.Workspace) &&
        isWithin(Part, textSizeOf(Found->second));
    if (!Readable) {
      Text.clear();
      Outcome.UnreadTexts.clear();
      return;
    }
    const replica_turn &Held = Found->second;
    const std::size_t At = Text.size();
    Text.resize(At + Part.Bytes);
    if (Held.TextsInMemory)
      copyText(Held.Record, Part, Text.data() + At);
    else
      Outcome.UnreadTexts.push_back({At, Part, Held.Location});
  }
}

void answerReserve(const replica_state &State, const replica_request &Request,
                   const replica_limits &Limits, replica_outcome &Outcome) {
  replica_reply &Reply = Outcome.Reply;
  const auto AppendLedger = [&](const std::string &Program) {
    const auto Ledger = State.Ledgers.find(Program);
    if (Ledger != State.Ledgers.end())
      for (const auto &[Attempt, Held] : Ledger->second.Entries)
        Reply.Ledger.push_back(Held.Entry);
  };
  AppendLedger(Request.Program);
  // A program that is under way when workspaces come into use has drawn tokens
  // from a ledger without an owner.
  const std::string_view Plain = plainName(Request.Workspace, Request.Program);
  if (Plain.size() != Request.Program.size())
    AppendLedger(std::string(Plain));
  const auto Previous = State.Turns.find(Request.Previous);
  if (Previous != State.Turns.end()) {
    const turn_record &Turn = Previous->second.Record;
    Reply.PreviousWorkspace = Turn.Workspace;
    Reply.PreviousFound = mayRead(Turn.Workspace, Request.Workspace);
    if (Reply.PreviousFound)
      Reply.PreviousRunner = Turn.Runner;
  }
  if (!Request.WantChain)
    return;
  appended_turns Appended;
  appendOrListChain(State, Request.Previous, Request, Limits, Appended,
                    Outcome);
}

void answerCopy(const replica_state &State, const replica_request &Request,
                replica_outcome &Outcome) {
  replica_reply &Reply = Outcome.Reply;
  Reply.Head = State.LastPosition;
  Reply.Cursor = Request.Cursor;
  std::map<std::string, program_ledger> Ledgers;
  std::size_t Bytes = 0;
  auto Next = State.Order.upper_bound(Request.Cursor);
  for (; Next != State.Order.end() && Bytes < CopyBatchBytes; ++Next) {
    const auto &[Id, Attempt] = Next->second;
    Reply.Cursor = Next->first;
    if (Attempt.empty()) {
      const replica_turn &Held = State.Turns.at(Id);
      Bytes += sizeOnWire(Held);
      appendTurn(Held, Outcome);
      continue;
    }
    const replica_ledger &Ledger = State.Ledgers.at(Id);
    program_ledger &Copied = Ledgers[Id];
    Copied.Program = Id;
    Copied.RetentionMs = Ledger.RetentionMs;
    Copied.Entries.push_back(Ledger.Entries.at(Attempt).Entry);
    Bytes += RecordOverhead;
  }
  if (Next == State.Order.end())
    Reply.Cursor = State.LastPosition;
  for (auto &[Program, Ledger] : Ledgers)
    Reply.Ledgers.push_back(std::move(Ledger));
}

bool isListable(const replica_state &State, const record_key &Key,
                instant Now) {
  const auto &[Id, Attempt] = Key;
  if (Attempt.empty())
    return timeUntil(State.Turns.at(Id).Expiry, Now) >= MinListedTime;
  // A turn settles the entry of its attempt.
  return !State.Turns.contains(Attempt) &&
         timeUntil(State.Ledgers.at(Id).Expiry, Now) >= MinListedTime;
}

void answerList(const replica_state &State, const replica_request &Request,
                instant Now, replica_reply &Reply) {
  Reply.Run = State.Run;
  Reply.Head = State.ListablePosition;
  Reply.Cursor = Request.Run == State.Run ? Request.Cursor : 0;
  auto Next = State.Order.upper_bound(Reply.Cursor);
  for (; Next != State.Order.end() && Next->first <= Reply.Head &&
         Reply.Records.size() < MaxListedRecords;
       ++Next) {
    const auto &[Id, Attempt] = Next->second;
    Reply.Cursor = Next->first;
    if (!isListable(State, Next->second, Now))
      continue;
    const bool Settled = Attempt.empty() ||
                         State.Ledgers.at(Id).Entries.at(Attempt).Entry.Settled;
    Reply.Records.push_back({Id, Attempt, Settled});
  }
  if (Next == State.Order.end() || Next->first > Reply.Head)
    Reply.Cursor = Reply.Head;
}

void answerFetch(const replica_state &State, const replica_request &Request,
                 instant Now, replica_outcome &Outcome) {
  replica_reply &Reply = Outcome.Reply;
  std::unordered_set<std::string_view> Appended;
  std::size_t Bytes = 0;
  for (const record_name &Name : Request.Records) {
    if (Bytes >= CopyBatchBytes)
      return;
    if (!Name.Attempt.empty()) {
      const auto Ledger = State.Ledgers.find(Name.Id);
      if (Ledger == State.Ledgers.end())
        continue;
      const auto Held = Ledger->second.Entries.find(Name.Attempt);
      if (Held == Ledger->second.Entries.end())
        continue;
      const auto Left = timeUntil(Ledger->second.Expiry, Now).count();
      Reply.Ledgers.push_back({Name.Id,
                               Ledger->second.RetentionMs,
                               {Held->second.Entry},
                               static_cast<std::uint64_t>(Left)});
      Bytes += RecordOverhead;
      continue;
    }
    auto Found = State.Turns.find(Name.Id);
    while (Found != State.Turns.end() && Bytes < CopyBatchBytes &&
           Appended.insert(Found->first).second) {
      const replica_turn &Held = Found->second;
      Bytes += sizeOnWire(Held);
      appendTurn(Held, Outcome);
      Reply.TurnsLeftMs.push_back(
          static_cast<std::uint64_t>(timeUntil(Held.Expiry, Now).count()));
      Found = Request.WantChain ? State.Turns.find(Held.Record.Previous)
                                : State.Turns.end();
    }
  }
}

} // namespace

void applyChange(replica_state &State, replica_change Change,
                 segment_number Segment, const replica_limits &Limits,
                 instant Now) {
  switch (Change.Kind) {
  case change_kind::Entry:
    applyEntry(
        State, Change, Segment,
        ledgerExpiry(State, Change.Program, Change.RetentionMs, Limits, Now));
    return;
  case change_kind::Turn: {
    const turn_record &Turn = Change.Turn;
    const instant Expiry = expiryOf(Turn.RetentionMs, Limits, Now);
    const instant LedgerExpiry =
        ledgerExpiry(State, Turn.Program, Turn.RetentionMs, Limits, Now);
    applyTurnChange(State, std::move(Change.Turn), Segment, Expiry,
                    LedgerExpiry);
    return;
  }
  case change_kind::Set:
    adoptReplicaSet(State, Change.Set);
    return;
  case change_kind::Complete:
    State.Complete = true;
    return;
  case change_kind::Incomplete:
    State.Complete = false;
    return;
  case change_kind::Backup:
    State.Backups[Change.Backup.Kind] = std::move(Change.Backup);
    return;
  }
}

namespace {

/// \returns whether a set replaces the one that is known. Predecessors are
/// removed from a set without a new version. Sets without a revision were
/// passed on by an older build; the later one is taken for the newer.
bool replacesSet(const replica_state &State, const replica_set &Set) {
  const replica_set &Known = State.Set;
  if (Set.Slots.empty() || Set.Version != Known.Version)
    return !Set.Slots.empty() && Set.Version > Known.Version;
  if (Set.Revision != 0 || Known.Revision != 0)
    return Set.Revision > Known.Revision;
  return encodeReplicaSet(Set) != encodeReplicaSet(Known);
}

} // namespace

bool isNews(const replica_state &State, const replica_set &Set) {
  return Set.Version > State.SetVersion || replacesSet(State, Set);
}

bool adoptReplicaSet(replica_state &State, const replica_set &Set) {
  const bool News = isNews(State, Set);
  if (Set.Version > State.SetVersion) {
    State.SetVersion = Set.Version;
    State.Conflicting.reset();
  }
  if (replacesSet(State, Set)) {
    if (Set.Revision != 0 && areInConflict(Set, State.Set))
      State.Conflicting = State.Set;
    State.Set = Set;
    State.SetReplicas = hashReplicas(Set);
  }
  return News;
}

void copyText(const turn_record &Turn, const text_part &Part, char *To) {
  const std::size_t Offset = Part.Offset;
  std::size_t FromInput = 0;
  if (Offset < Turn.Input.size())
    FromInput = Turn.Input.copy(To, Part.Bytes, Offset);
  if (FromInput < Part.Bytes)
    Turn.Output.copy(To + FromInput, Part.Bytes - FromInput,
                     Offset + FromInput - Turn.Input.size());
}

namespace {

/// \returns whether an operation is one of entry instances, which count the
/// replies of a set's replicas. The others are between replicas.
bool isCounted(replica_operation Operation) {
  switch (Operation) {
  case replica_operation::Ping:
  case replica_operation::Reserve:
  case replica_operation::Commit:
  case replica_operation::Settle:
  case replica_operation::Read:
  case replica_operation::Texts:
    return true;
  case replica_operation::Copy:
  case replica_operation::Backups:
  case replica_operation::List:
  case replica_operation::Fetch:
    break;
  }
  return false;
}

/// \returns whether a request of the newest version comes from a sender whose
/// set has other replicas than the set that is known, or was sent to an
/// instance that has no slot in it.
bool isOfOtherReplicas(const replica_state &State,
                       const replica_request &Request) {
  if (!isCounted(Request.Operation) || !State.Set.Established ||
      State.Set.Version != State.SetVersion)
    return false;
  const bool Named =
      Request.SetReplicas != 0 && Request.SetReplicas != State.SetReplicas;
  return Named || (!State.Address.empty() && !State.Set.find(State.Address));
}

} // namespace

replica_outcome handleRequest(replica_state &State, replica_request Request,
                              segment_number Segment,
                              const replica_limits &Limits, instant Now) {
  replica_outcome Outcome;
  replica_reply &Reply = Outcome.Reply;
  Reply.Sequence = Request.Sequence;
  const auto Record = [&](replica_change Change) {
    applyChange(State, Change, Segment, Limits, Now);
    Outcome.Changes.push_back(std::move(Change));
  };
  const auto RecordSet = [&](const replica_set &Set) {
    replica_change Change;
    Change.Kind = change_kind::Set;
    Change.Set = Set;
    Record(std::move(Change));
  };
  for (const replica_set &Set : Request.Set)
    if (adoptReplicaSet(State, Set))
      RecordSet(Set);
  if (Request.SetVersion > State.SetVersion) {
    replica_set Unknown;
    Unknown.Version = Request.SetVersion;
    RecordSet(Unknown);
  }
  Reply.SetVersion = State.SetVersion;
  if (Request.Operation == replica_operation::Backups) {
    for (const auto &[Kind, Backup] : State.Backups)
      Reply.Backups.push_back(Backup);
    if (State.Set.Version == State.SetVersion)
      Reply.Set.push_back(State.Set);
    return Outcome;
  }
  if (Request.SetVersion < State.SetVersion) {
    Reply.Status = replica_status::OldSet;
    if (State.Set.Version == State.SetVersion)
      Reply.Set.push_back(State.Set);
    return Outcome;
  }
  if (State.Set.Version == State.SetVersion)
    Reply.SetReplicas = State.SetReplicas;
  const bool OtherReplicas = isOfOtherReplicas(State, Request);
  if (OtherReplicas) {
    Reply.Set.push_back(State.Set);
    if (Request.Operation == replica_operation::Ping) {
      Reply.Status = replica_status::OldSet;
      return Outcome;
    }
  }
  const bool Certain = State.Complete && !OtherReplicas &&
                       !(State.Conflicting && isCounted(Request.Operation));
  Reply.Status = Certain ? replica_status::Done : replica_status::Incomplete;
  const bool Writes = Request.Operation == replica_operation::Reserve ||
                      Request.Operation == replica_operation::Commit;
  if (Writes && State.Bytes > Limits.MaxBytes) {
    Reply.Status = replica_status::Refused;
    return Outcome;
  }
  switch (Request.Operation) {
  case replica_operation::Ping:
  case replica_operation::Backups:
    break;
  case replica_operation::Reserve:
    answerReserve(State, Request, Limits, Outcome);
    Record(entryChange(Request.Program, Request.Entry, Request.RetentionMs));
    break;
  case replica_operation::Commit:
    // Acknowledged, the turn would be lost: the first record of an ID stays.
    if (isHeldByOther(State, Request.Turn))
      Reply.Status = replica_status::Refused;
    else
      Record(turnChange(std::move(Request.Turn)));
    break;
  case replica_operation::Settle:
    Record(entryChange(Request.Program, Request.Entry, Request.RetentionMs));
    break;
  case replica_operation::Read: {
    appended_turns Appended;
    for (const std::string &Id : Request.Turns)
      appendOrListChain(State, Id, Request, Limits, Appended, Outcome);
    break;
  }
  case replica_operation::Texts:
    answerTexts(State, Request, Outcome);
    break;
  case replica_operation::Copy:
    answerCopy(State, Request, Outcome);
    break;
  case replica_operation::List:
    answerList(State, Request, Now, Reply);
    break;
  case replica_operation::Fetch:
    answerFetch(State, Request, Now, Outcome);
    break;
  default: // Sent by a newer version.
    Reply.Status = replica_status::Refused;
    break;
  }
  return Outcome;
}

std::vector<replica_change> applyCopyBatch(replica_state &State,
                                           const replica_reply &Reply,
                                           segment_number Segment,
                                           const replica_limits &Limits,
                                           instant Now) {
  std::vector<replica_change> Changes;
  for (const program_ledger &Ledger : Reply.Ledgers)
    for (const ledger_entry &Entry : Ledger.Entries)
      Changes.push_back(entryChange(Ledger.Program, Entry, Ledger.RetentionMs));
  for (const turn_record &Turn : Reply.Turns)
    if (!State.Turns.contains(Turn.Id))
      Changes.push_back(turnChange(Turn));
  for (const replica_change &Change : Changes)
    applyChange(State, Change, Segment, Limits, Now);
  return Changes;
}

void markListable(replica_state &State) {
  State.ListablePosition = State.NextListablePosition;
  State.NextListablePosition = State.LastPosition;
}

std::vector<record_name> lackedRecords(const replica_state &State,
                                       const std::vector<record_name> &Listed) {
  const auto IsLacked = [&](const record_name &Name) {
    if (Name.Attempt.empty())
      return !State.Turns.contains(Name.Id);
    const auto Ledger = State.Ledgers.find(Name.Id);
    if (Ledger == State.Ledgers.end())
      return true;
    const auto Held = Ledger->second.Entries.find(Name.Attempt);
    return Held == Ledger->second.Entries.end() ||
           (Name.Settled && !Held->second.Entry.Settled);
  };
  std::vector<record_name> Lacked;
  std::copy_if(Listed.begin(), Listed.end(), std::back_inserter(Lacked),
               IsLacked);
  return Lacked;
}

std::vector<std::string> lackedTurns(const replica_state &State) {
  std::vector<std::string> Lacked;
  for (auto Orphan = State.Orphans.begin(); Orphan != State.Orphans.end();
       Orphan = State.Orphans.equal_range(Orphan->first).second)
    Lacked.push_back(Orphan->first);
  return Lacked;
}

std::vector<replica_change> applyFetched(replica_state &State,
                                         const replica_reply &Reply,
                                         segment_number Segment,
                                         const replica_limits &Limits,
                                         instant Now) {
  const auto ExpiryIn = [&](std::uint64_t LeftMs, std::uint64_t RetentionMs) {
    const instant Latest = expiryOf(RetentionMs, Limits, Now);
    const instant Expiry = later(Now, milliseconds(LeftMs));
    return Expiry.Steady < Latest.Steady ? Expiry : Latest;
  };
  std::vector<replica_change> Changes;
  for (const program_ledger &Ledger : Reply.Ledgers)
    for (const ledger_entry &Entry : Ledger.Entries) {
      Changes.push_back(entryChange(Ledger.Program, Entry, Ledger.RetentionMs));
      applyEntry(State, Changes.back(), Segment,
                 ExpiryIn(Ledger.LeftMs, Ledger.RetentionMs));
    }
  for (std::size_t Index = 0; Index < Reply.TurnsLeftMs.size(); ++Index) {
    const turn_record &Turn = Reply.Turns[Index];
    if (State.Turns.contains(Turn.Id))
      continue;
    Changes.push_back(turnChange(Turn));
    const instant Expiry = ExpiryIn(Reply.TurnsLeftMs[Index], Turn.RetentionMs);
    applyTurnChange(State, Turn, Segment, Expiry, Expiry);
  }
  return Changes;
}

void expireRecords(replica_state &State, instant Now) {
  for (auto Turn = State.Turns.begin(); Turn != State.Turns.end();) {
    if (Turn->second.Expiry.Steady > Now.Steady) {
      ++Turn;
      continue;
    }
    State.Bytes -= memoryBytesOf(Turn->second.Record);
    State.TextBytes -= textBytesOf(Turn->second.Record);
    erasePosition(State, Turn->second.Position, Turn->second.Segment);
    eraseOrphan(State, Turn->second.Record);
    Turn = State.Turns.erase(Turn);
  }
  for (auto Ledger = State.Ledgers.begin(); Ledger != State.Ledgers.end();) {
    if (Ledger->second.Expiry.Steady > Now.Steady) {
      ++Ledger;
      continue;
    }
    for (const auto &[Attempt, Held] : Ledger->second.Entries) {
      State.Bytes -= RecordOverhead;
      erasePosition(State, Held.Position, Held.Segment);
    }
    Ledger = State.Ledgers.erase(Ledger);
  }
}

std::vector<record_key> keysOf(const replica_change &Change) {
  switch (Change.Kind) {
  case change_kind::Entry:
    return {{Change.Program, Change.Entry.Attempt}};
  case change_kind::Turn:
    return {{Change.Turn.Program, Change.Turn.Id}, {Change.Turn.Id, ""}};
  case change_kind::Set:
  case change_kind::Complete:
  case change_kind::Incomplete:
  case change_kind::Backup:
    break;
  }
  return {};
}

std::vector<record_key> liveKeys(const replica_state &State,
                                 segment_number Segment) {
  std::vector<record_key> Keys;
  for (const auto &[Id, Turn] : State.Turns)
    if (Turn.Segment == Segment)
      Keys.emplace_back(Id, "");
  for (const auto &[Program, Ledger] : State.Ledgers)
    for (const auto &[Attempt, Held] : Ledger.Entries)
      if (Held.Segment == Segment)
        Keys.emplace_back(Program, Attempt);
  return Keys;
}

record_batch collectRecords(const replica_state &State,
                            const std::vector<record_key> &Keys) {
  record_batch Batch;
  for (const auto &[Id, Attempt] : Keys) {
    if (Attempt.empty()) {
      const auto Turn = State.Turns.find(Id);
      if (Turn == State.Turns.end())
        continue;
      if (!Turn->second.TextsInMemory)
        Batch.Unread.push_back({Batch.Changes.size(), Turn->second.Location});
      Batch.Changes.push_back(turnChange(Turn->second.Record));
    } else {
      const auto Ledger = State.Ledgers.find(Id);
      if (Ledger == State.Ledgers.end())
        continue;
      const auto Held = Ledger->second.Entries.find(Attempt);
      if (Held == Ledger->second.Entries.end())
        continue;
      Batch.Changes.push_back(
          entryChange(Id, Held->second.Entry, Ledger->second.RetentionMs));
    }
    Batch.Keys.emplace_back(Id, Attempt);
  }
  return Batch;
}

void assignRecords(replica_state &State, const std::vector<record_key> &Keys,
                   segment_number To) {
  const auto Assign = [&](segment_number &Segment) {
    --State.LiveRecords[Segment];
    Segment = To;
    ++State.LiveRecords[To];
  };
  for (const auto &[Id, Attempt] : Keys)
    if (Attempt.empty())
      Assign(State.Turns.at(Id).Segment);
    else
      Assign(State.Ledgers.at(Id).Entries.at(Attempt).Segment);
}

void setTextBytes(replica_state &State, const std::string &Id,
                  std::uint64_t Bytes) {
  if (const auto Found = State.Turns.find(Id); Found != State.Turns.end())
    Found->second.Record.TextBytes = Bytes;
}

void setTurnLocation(replica_state &State, const std::string &Id,
                     const record_location &Location) {
  const auto Found = State.Turns.find(Id);
  if (Found != State.Turns.end() && Found->second.Segment == Location.Segment)
    Found->second.Location = Location;
}

void applyIndexedChange(replica_state &State, replica_change Change,
                        const record_location &Location,
                        const replica_limits &Limits, instant Now) {
  const std::string Id = Change.Turn.Id;
  const bool NewTurn =
      Change.Kind == change_kind::Turn && !State.Turns.contains(Id);
  applyChange(State, std::move(Change), Location.Segment, Limits, Now);
  if (!NewTurn)
    return;
  replica_turn &Turn = State.Turns.at(Id);
  Turn.Location = Location;
  Turn.TextsInMemory = false;
}

void evictTexts(replica_state &State, const replica_limits &Limits) {
  while (State.TextBytes > Limits.MaxTextBytes) {
    const auto Next = State.Order.upper_bound(State.TextsEvictedThrough);
    if (Next == State.Order.end())
      return;
    const auto &[Id, Attempt] = Next->second;
    if (Attempt.empty()) {
      replica_turn &Turn = State.Turns.at(Id);
      if (Turn.Location.Length == 0)
        return; // Not durable yet; neither are later turns.
      const std::size_t Texts = textBytesOf(Turn.Record);
      // swap frees the memory; an assignment would keep the capacity.
      std::string().swap(Turn.Record.Input);
      std::string().swap(Turn.Record.Output);
      Turn.TextsInMemory = false;
      State.Bytes -= Texts;
      State.TextBytes -= Texts;
    }
    State.TextsEvictedThrough = Next->first;
  }
}

std::vector<segment_number> emptySegments(const replica_state &State,
                                          segment_number Active) {
  std::vector<segment_number> Empty;
  for (const auto &[Segment, Count] : State.LiveRecords)
    if (Count == 0 && Segment < Active)
      Empty.push_back(Segment);
  return Empty;
}

std::vector<std::vector<std::string>> copySources(const replica_set &Set,
                                                  const std::string &Address) {
  std::vector<std::vector<std::string>> Sources;
  for (const replica_slot &Slot : Set.Slots) {
    std::vector<std::string> Source;
    if (Slot.Address != Address)
      Source.push_back(Slot.Address);
    // The predecessor in the copying replica's own slot is a source too: it may
    // hold records that the other slots lack.
    if (!Slot.Predecessor.empty())
      Source.push_back(Slot.Predecessor);
    if (!Source.empty())
      Sources.push_back(std::move(Source));
  }
  return Sources;
}

std::size_t requiredSourceCount(const replica_set &Set,
                                const std::string &Address) {
  const std::size_t Others = copySources(Set, Address).size();
  return std::min(Others, Set.writeQuorum());
}

} // namespace lentilhoist
