#include "replica/replica_store.h"

#include "log/log.h"

#include <algorithm>
#include <random>
#include <utility>

namespace lentilhoist {

namespace {

/// Number of refused records that are written again at a time, so that requests
/// of callers are not delayed for longer than by a copy batch.
constexpr std::size_t MaxRewrittenRecords = 500;

/// \returns whether a record of the journal has the slots of the known set
/// under a newer version, as headers that older builds wrote before they had
/// read the set of that version. No set has the replicas of the one before it,
/// unless it was read from the store by this build.
bool repeatsOlderSet(const replica_change &Change, const replica_set &Known) {
  return Change.Kind == change_kind::Set && Change.Set.Revision == 0 &&
         Known.Version != 0 && Change.Set.Version > Known.Version &&
         hasSameReplicas(Change.Set, Known);
}

} // namespace

replica_store::replica_store(asio::io_context &Loop,
                             const std::string &GivenFolder,
                             std::size_t DiskBytes, replica_limits GivenLimits)
    : Limits(GivenLimits), Folder(GivenFolder), Log(GivenFolder),
      MaxSegments(std::max<std::size_t>(2, DiskBytes / 2 / MaxSegmentBytes)),
      Writer(Loop, Log, DiskBytes) {
  State.Run = std::random_device{}() + 1ULL;
  const instant Now = readClock();
  std::size_t Records = 0;
  std::size_t Indexed = 0;
  // Log may be used here: the writer's thread is idle until its first task.
  ActiveSegment = Log.load(
      [&](replica_change Change, record_location Location, bool FullRecord) {
        ++Records;
        if (repeatsOlderSet(Change, State.Set))
          Change.Set.Slots.clear();
        if (!FullRecord) {
          ++Indexed;
          applyIndexedChange(State, std::move(Change), Location, Limits, Now);
          return;
        }
        addToIndex(Indexes[Location.Segment], Change, Location);
        const std::string Id = Change.Turn.Id;
        applyChange(State, std::move(Change), Location.Segment, Limits, Now);
        setTurnLocation(State, Id, Location);
      });
  evictTexts(State, Limits);
  --ActiveSegment;
  beginSegment();
  writeIndexes(ActiveSegment);
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
  // Earlier segments may be deleted, so each segment repeats the state that
  // is not tied to a single segment.
  replica_change Completeness;
  Completeness.Kind =
      State.Complete ? change_kind::Complete : change_kind::Incomplete;
  replica_change Set;
  Set.Kind = change_kind::Set;
  Set.Set = State.Set;
  std::vector<replica_change> Header{Completeness, Set};
  if (State.SetVersion != State.Set.Version) {
    replica_change Newest;
    Newest.Kind = change_kind::Set;
    Newest.Set.Version = State.SetVersion;
    Header.push_back(Newest);
  }
  for (const auto &[Kind, Backup] : State.Backups) {
    replica_change Change;
    Change.Kind = change_kind::Backup;
    Change.Backup = Backup;
    Header.push_back(Change);
  }
  return Header;
}

void replica_store::beginSegment() {
  ++ActiveSegment;
  State.LiveRecords.try_emplace(ActiveSegment, 0);
  ActiveSegmentBytes = 0;
  std::string Header;
  for (const replica_change &Change : segmentHeader()) {
    Header += encodeRecord(Change);
    addToIndex(Indexes[ActiveSegment], Change, {ActiveSegment, 0, 0});
  }
  ++WritesQueued;
  Writer.beginSegment(ActiveSegment, std::move(Header),
                      [this](const write_result &Result) {
                        ++WritesEnded;
                        HeaderUnsaved = HeaderUnsaved || !Result.Durable;
                      });
}

void replica_store::writeIndexes(segment_number Before) {
  while (!Indexes.empty() && Indexes.begin()->first < Before) {
    auto &[Segment, Index] = *Indexes.begin();
    dropSettledReservations(Index);
    Writer.writeIndex(Segment, encodeIndex(Index));
    Indexes.erase(Indexes.begin());
  }
}

void replica_store::write(std::vector<replica_change> Changes,
                          write_purpose Purpose,
                          std::function<void(bool)> OnDone) {
  std::string Bytes;
  std::vector<std::size_t> Lengths;
  for (replica_change &Change : Changes) {
    std::string Record = encodeRecord(Change);
    // What follows the write needs the names of records only.
    std::string().swap(Change.Turn.Input);
    std::string().swap(Change.Turn.Output);
    Lengths.push_back(Record.size());
    if (Bytes.empty())
      Bytes = std::move(Record);
    else
      Bytes += Record;
  }
  ActiveSegmentBytes += Bytes.size();
  ++WritesQueued;
  Writer.write(std::move(Bytes), Purpose,
               [this, Changes = std::move(Changes),
                Lengths = std::move(Lengths),
                OnDone = std::move(OnDone)](const write_result &Result) {
                 ++WritesEnded;
                 if (Result.Durable)
                   recordDurableChanges(Changes, Lengths, Result);
                 else
                   recordFailedWrite(Changes);
                 OnDone(Result.Durable);
               });
  if (ActiveSegmentBytes > MaxSegmentBytes)
    beginSegment();
}

void replica_store::recordFailedWrite(
    const std::vector<replica_change> &Changes) {
  for (const replica_change &Change : Changes) {
    const std::vector<record_key> Keys = keysOf(Change);
    UnsavedRecords.insert(Keys.begin(), Keys.end());
    HeaderUnsaved = HeaderUnsaved || Keys.empty();
  }
}

void replica_store::recordDurableChanges(
    const std::vector<replica_change> &Changes,
    const std::vector<std::size_t> &Lengths, const write_result &Result) {
  record_location Location{Result.Segment, Result.Offset, 0};
  for (std::size_t Index = 0; Index < Changes.size(); ++Index) {
    Location.Length = Lengths[Index];
    addToIndex(Indexes[Location.Segment], Changes[Index], Location);
    setTurnLocation(State, Changes[Index].Turn.Id, Location);
    Location.Offset += Location.Length;
  }
  evictTexts(State, Limits);
  // Results arrive in order: all writes to earlier segments have ended.
  writeIndexes(Result.Segment);
}

bool replica_store::readTexts(const record_location &Location,
                              turn_record &Turn) const {
  try {
    replica_change Read = readRecord(Folder, Location);
    if (Read.Turn.Id != Turn.Id)
      throw std::runtime_error("the record belongs to another turn");
    Turn = std::move(Read.Turn);
    Turn.TextBytes = Turn.Input.size() + Turn.Output.size();
    return true;
  } catch (const std::runtime_error &Error) {
    logEvent(log_level::Error, "turn_unreadable",
             {{"turn", Turn.Id},
              {"segment", std::to_string(Location.Segment)},
              {"reason", Error.what()}});
    return false;
  }
}

/// Reads the texts of a reply's turns. Turns that can't be read are left out:
/// whoever gets one without its texts would take it for the turn. The reply is
/// then refused, unless another replica fetches what there is.
void replica_store::readTexts(replica_operation Operation,
                              replica_outcome &Outcome) const {
  replica_reply &Reply = Outcome.Reply;
  std::set<std::size_t> Unreadable;
  for (const unread_turn &Unread : Outcome.Unread)
    if (!readTexts(Unread.Location, Reply.Turns[Unread.Index]))
      Unreadable.insert(Unread.Index);
  if (Unreadable.empty())
    return;
  if (Operation != replica_operation::Fetch)
    Reply.Status = replica_status::Refused;
  for (auto Index = Unreadable.rbegin(); Index != Unreadable.rend(); ++Index) {
    const auto Offset = static_cast<std::ptrdiff_t>(*Index);
    Reply.Turns.erase(Reply.Turns.begin() + Offset);
    if (!Reply.TurnsLeftMs.empty())
      Reply.TurnsLeftMs.erase(Reply.TurnsLeftMs.begin() + Offset);
  }
}

/// Reads the size of texts that are left out, once for each turn. Turns that
/// can't be read are left out, and the reply is refused.
void replica_store::readTextSizes(replica_outcome &Outcome) {
  replica_reply &Reply = Outcome.Reply;
  for (const unread_turn &Unsized : Outcome.Unsized) {
    turn_record Turn = Reply.Turns[Unsized.Index];
    if (!readTexts(Unsized.Location, Turn)) {
      Reply.Status = replica_status::Refused;
      Reply.Turns.clear();
      return;
    }
    Reply.Turns[Unsized.Index].TextBytes = Turn.TextBytes;
    setTextBytes(State, Turn.Id, Turn.TextBytes);
  }
}

/// Reads the parts of a reply's text that are not in memory. The reply is
/// refused if one can't be read.
void replica_store::readTextParts(replica_outcome &Outcome) const {
  replica_reply &Reply = Outcome.Reply;
  for (const unread_text &Unread : Outcome.UnreadTexts) {
    turn_record Turn;
    Turn.Id = Unread.Part.Turn;
    const bool Read = readTexts(Unread.Location, Turn) &&
                      Unread.Part.Offset + Unread.Part.Bytes <= Turn.TextBytes;
    if (!Read) {
      Reply.Status = replica_status::Refused;
      Reply.Text.clear();
      return;
    }
    copyText(Turn, Unread.Part, Reply.Text.data() + Unread.At);
  }
}

void replica_store::handle(replica_request Request, on_reply OnReply) {
  const replica_operation Operation = Request.Operation;
  replica_outcome Outcome = handleRequest(State, std::move(Request),
                                          ActiveSegment, Limits, readClock());
  readTexts(Operation, Outcome);
  readTextSizes(Outcome);
  readTextParts(Outcome);
  if (Outcome.Changes.empty()) {
    OnReply(std::move(Outcome.Reply));
    return;
  }
  persist(std::move(Outcome.Changes),
          [Reply = std::move(Outcome.Reply),
           OnReply = std::move(OnReply)](bool Durable) mutable {
            if (!Durable)
              Reply.Status = replica_status::Refused;
            OnReply(std::move(Reply));
          });
}

void replica_store::addCopyBatch(const replica_reply &Reply,
                                 std::function<void(bool)> OnDone) {
  persist(applyCopyBatch(State, Reply, ActiveSegment, Limits, readClock()),
          std::move(OnDone));
}

void replica_store::addFetched(const replica_reply &Reply,
                               std::function<void(bool)> OnDone) {
  persist(applyFetched(State, Reply, ActiveSegment, Limits, readClock()),
          std::move(OnDone));
}

void replica_store::apply(const replica_change &Change,
                          std::function<void(bool)> OnDone) {
  applyChange(State, Change, ActiveSegment, Limits, readClock());
  persist({Change}, std::move(OnDone));
}

void replica_store::expire() {
  expireRecords(State, readClock());
  rewriteUnsaved();
  removeEmptySegments();
  const bool Saved = UnsavedRecords.empty() && !HeaderUnsaved && !Rewriting;
  if (Saved && State.LiveRecords.size() > MaxSegments)
    relocateOldestSegment();
}

void replica_store::removeEmptySegments() {
  for (const segment_number Segment : emptySegments(State, ActiveSegment))
    EmptySegments.try_emplace(Segment, WritesQueued);
  if (!UnsavedRecords.empty() || HeaderUnsaved || Rewriting)
    return;
  std::erase_if(EmptySegments, [this](const auto &Item) {
    const auto &[Segment, RequiredWrites] = Item;
    if (WritesEnded < RequiredWrites)
      return false;
    State.LiveRecords.erase(Segment);
    UnreadableSegments.erase(Segment);
    Indexes.erase(Segment);
    Writer.removeSegment(Segment);
    return true;
  });
}

void replica_store::rewriteUnsaved() {
  if (Rewriting || (UnsavedRecords.empty() && !HeaderUnsaved))
    return;
  std::vector<record_key> Keys;
  while (!UnsavedRecords.empty() && Keys.size() < MaxRewrittenRecords)
    Keys.push_back(
        std::move(UnsavedRecords.extract(UnsavedRecords.begin()).value()));
  record_batch Batch = collectRecords(State, Keys);
  for (const unread_turn &Unread : Batch.Unread)
    if (!readTexts(Unread.Location, Batch.Changes[Unread.Index].Turn)) {
      // The record stays unsaved, and the segment that holds it is kept.
      UnsavedRecords.insert(Keys.begin(), Keys.end());
      return;
    }
  if (std::exchange(HeaderUnsaved, false))
    for (replica_change &Change : segmentHeader())
      Batch.Changes.push_back(std::move(Change));
  if (!Batch.Changes.empty())
    rewrite(Batch.Keys, std::move(Batch.Changes));
}

void replica_store::relocateOldestSegment() {
  const auto Found = std::find_if(
      State.LiveRecords.begin(), State.LiveRecords.end(),
      [&](const auto &Item) {
        return Item.second != 0 && !UnreadableSegments.contains(Item.first);
      });
  if (Found == State.LiveRecords.end() || Found->first == ActiveSegment)
    return;
  const segment_number Oldest = Found->first;
  record_batch Batch = collectRecords(State, liveKeys(State, Oldest));
  for (const unread_turn &Unread : Batch.Unread)
    if (!readTexts(Unread.Location, Batch.Changes[Unread.Index].Turn)) {
      UnreadableSegments.insert(Oldest);
      logEvent(log_level::Error, "segment_kept",
               {{"segment", std::to_string(Oldest)},
                {"reason", "a live record can't be read"}});
      return;
    }
  logEvent(log_level::Info, "segment_relocation_started",
           {{"segment", std::to_string(Oldest)},
            {"records", std::to_string(Batch.Changes.size())},
            {"segments", std::to_string(State.LiveRecords.size())}});
  rewrite(Batch.Keys, std::move(Batch.Changes));
}

void replica_store::rewrite(const std::vector<record_key> &Keys,
                            std::vector<replica_change> Changes) {
  assignRecords(State, Keys, ActiveSegment);
  Rewriting = true;
  const std::size_t Count = Changes.size();
  write(std::move(Changes), write_purpose::Maintenance,
        [this, Count](bool Durable) {
          Rewriting = false;
          if (!Durable)
            logEvent(log_level::Error, "segments_kept",
                     {{"records", std::to_string(Count)},
                      {"reason", "live records could not be written to "
                                 "another segment"}});
          removeEmptySegments();
        });
  removeEmptySegments();
}

} // namespace lentilhoist
