#include "replica/replica_store.h"

#include "log/log.h"

#include <algorithm>

namespace lentilhoist {

replica_store::replica_store(asio::io_context &Loop,
                             const std::string &GivenFolder,
                             std::size_t DiskBytes, replica_limits GivenLimits)
    : Limits(GivenLimits), Folder(GivenFolder), Log(GivenFolder),
      MaxSegments(std::max<std::size_t>(2, DiskBytes / 2 / MaxSegmentBytes)),
      Writer(Loop, Log, DiskBytes) {
  const instant Now = readClock();
  std::size_t Records = 0;
  std::size_t Indexed = 0;
  // The writer's thread waits for its first task until this is done.
  Active = Log.load([&](replica_change Change, record_place Place, bool Whole) {
    ++Records;
    if (!Whole) {
      ++Indexed;
      applyIndexedChange(State, std::move(Change), Place, Limits, Now);
      return;
    }
    addToIndex(Indexes[Place.Segment], Change, Place);
    const std::string Id = Change.Turn.Id;
    applyChange(State, std::move(Change), Place.Segment, Limits, Now);
    setTurnPlace(State, Id, Place);
  });
  evictTexts(State, Limits);
  --Active;
  beginSegment();
  writeIndexes(Active);
  logEvent(
      log_level::Info, "journal_loaded",
      {{"records", std::to_string(Records)},
       {"indexed", std::to_string(Indexed)},
       {"turns", std::to_string(State.Turns.size())},
       {"programs", std::to_string(State.Ledgers.size())},
       {"replica_set", std::to_string(State.SetVersion)},
       {"complete", State.Complete ? "true" : "false"},
       {"milliseconds",
        std::to_string((readClock().Steady - Now.Steady).count() / 1000)}});
}

std::vector<replica_change> replica_store::segmentHeader() const {
  // Earlier segments may be deleted: each one says what holds for all.
  replica_change Completeness;
  Completeness.Kind =
      State.Complete ? change_kind::Complete : change_kind::Incomplete;
  replica_change Set;
  Set.Kind = change_kind::Set;
  Set.Set = State.Set;
  Set.Set.Version = State.SetVersion;
  std::vector<replica_change> Header{Completeness, Set};
  for (const auto &[Kind, Backup] : State.Backups) {
    replica_change Change;
    Change.Kind = change_kind::Backup;
    Change.Backup = Backup;
    Header.push_back(Change);
  }
  return Header;
}

void replica_store::beginSegment() {
  ++Active;
  State.LiveRecords.try_emplace(Active, 0);
  ActiveBytes = 0;
  std::string Header;
  for (const replica_change &Change : segmentHeader()) {
    Header += encodeRecord(Change);
    addToIndex(Indexes[Active], Change, {Active, 0, 0});
  }
  Writer.beginSegment(Active, std::move(Header));
}

void replica_store::writeIndexes(segment_number Before) {
  while (!Indexes.empty() && Indexes.begin()->first < Before) {
    auto &[Segment, Index] = *Indexes.begin();
    dropSettledReservations(Index);
    Writer.writeIndex(Segment, encodeIndex(Index));
    Indexes.erase(Indexes.begin());
  }
}

void replica_store::persist(std::vector<replica_change> Changes,
                            std::function<void(bool)> OnDone) {
  std::string Bytes;
  std::vector<std::size_t> Lengths;
  for (const replica_change &Change : Changes) {
    const std::string Record = encodeRecord(Change);
    Lengths.push_back(Record.size());
    Bytes += Record;
  }
  ActiveBytes += Bytes.size();
  Writer.write(std::move(Bytes),
               [this, Changes = std::move(Changes),
                Lengths = std::move(Lengths),
                OnDone = std::move(OnDone)](const write_result &Result) {
                 if (Result.Durable)
                   noteDurable(Changes, Lengths, Result);
                 OnDone(Result.Durable);
               });
  if (ActiveBytes > MaxSegmentBytes)
    beginSegment();
}

void replica_store::noteDurable(const std::vector<replica_change> &Changes,
                                const std::vector<std::size_t> &Lengths,
                                const write_result &Result) {
  record_place Place{Result.Segment, Result.Offset, 0};
  for (std::size_t Index = 0; Index < Changes.size(); ++Index) {
    Place.Length = Lengths[Index];
    addToIndex(Indexes[Place.Segment], Changes[Index], Place);
    setTurnPlace(State, Changes[Index].Turn.Id, Place);
    Place.Offset += Place.Length;
  }
  evictTexts(State, Limits);
  // Results come in order: all writes to earlier segments have ended.
  writeIndexes(Result.Segment);
}

bool replica_store::readTexts(const record_place &Place,
                              turn_record &Turn) const {
  try {
    replica_change Read = readRecord(Folder, Place);
    if (Read.Turn.Id != Turn.Id)
      throw std::runtime_error("the record is another turn's");
    Turn = std::move(Read.Turn);
    return true;
  } catch (const std::runtime_error &Error) {
    logEvent(log_level::Error, "turn_unreadable",
             {{"turn", Turn.Id},
              {"segment", std::to_string(Place.Segment)},
              {"reason", Error.what()}});
    return false;
  }
}

void replica_store::handle(const replica_request &Request, on_reply OnReply) {
  replica_outcome Outcome =
      handleRequest(State, Request, Active, Limits, readClock());
  for (const unread_turn &Unread : Outcome.Unread)
    if (!readTexts(Unread.Place, Outcome.Reply.Turns[Unread.Index]))
      Outcome.Reply.Status = replica_status::Refused;
  if (Outcome.Changes.empty()) {
    OnReply(Outcome.Reply);
    return;
  }
  persist(std::move(Outcome.Changes),
          [Reply = std::move(Outcome.Reply),
           OnReply = std::move(OnReply)](bool Durable) mutable {
            if (!Durable)
              Reply.Status = replica_status::Refused;
            OnReply(Reply);
          });
}

void replica_store::absorb(const replica_reply &Reply,
                           std::function<void(bool)> OnDone) {
  persist(applyCopyBatch(State, Reply, Active, Limits, readClock()),
          std::move(OnDone));
}

void replica_store::apply(const replica_change &Change,
                          std::function<void(bool)> OnDone) {
  applyChange(State, Change, Active, Limits, readClock());
  persist({Change}, std::move(OnDone));
}

void replica_store::expire() {
  expireRecords(State, readClock());
  for (const segment_number Segment : emptySegments(State, Active)) {
    if (Unmoved.contains(Segment))
      continue;
    State.LiveRecords.erase(Segment);
    Writer.removeSegment(Segment);
  }
  if (State.LiveRecords.size() > MaxSegments && !Emptying)
    emptyOldestSegment();
}

void replica_store::emptyOldestSegment() {
  const auto Found = std::find_if(
      State.LiveRecords.begin(), State.LiveRecords.end(),
      [&](const auto &Item) { return !Unmoved.contains(Item.first); });
  if (Found == State.LiveRecords.end() || Found->first == Active)
    return;
  const segment_number Oldest = Found->first;
  Unmoved.insert(Oldest);
  relocation Moved = relocateRecords(State, Oldest, Active);
  for (const unread_turn &Unread : Moved.Unread)
    if (!readTexts(Unread.Place, Moved.Changes[Unread.Index].Turn)) {
      keepSegment(Oldest, "a record can't be read");
      return;
    }
  Emptying = true;
  logEvent(log_level::Info, "segment_emptied",
           {{"segment", std::to_string(Oldest)},
            {"records", std::to_string(Moved.Changes.size())},
            {"segments", std::to_string(State.LiveRecords.size())}});
  persist(std::move(Moved.Changes), [this, Oldest](bool Durable) {
    Emptying = false;
    if (!Durable) {
      keepSegment(Oldest, "its records could not be moved");
      return;
    }
    Unmoved.erase(Oldest);
    State.LiveRecords.erase(Oldest);
    Writer.removeSegment(Oldest);
  });
}

void replica_store::keepSegment(segment_number Segment, const char *Reason) {
  logEvent(log_level::Error, "segment_kept",
           {{"segment", std::to_string(Segment)}, {"reason", Reason}});
}

} // namespace lentilhoist
