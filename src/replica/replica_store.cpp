#include "replica/replica_store.h"

#include "log/log.h"

#include <algorithm>

namespace lentilhoist {

replica_store::replica_store(asio::io_context &Loop, const std::string &Folder,
                             std::size_t DiskBytes, replica_limits GivenLimits)
    : Limits(GivenLimits), Log(Folder),
      MaxSegments(std::max<std::size_t>(2, DiskBytes / 2 / MaxSegmentBytes)),
      Writer(Loop, Log, DiskBytes) {
  const instant Now = readClock();
  std::size_t Records = 0;
  // The writer's thread waits for its first task until this is done.
  Active = Log.load([&](replica_change Change, segment_number Segment) {
    ++Records;
    applyChange(State, std::move(Change), Segment, Limits, Now);
  });
  --Active;
  beginSegment();
  logEvent(
      log_level::Info, "journal_loaded",
      {{"records", std::to_string(Records)},
       {"turns", std::to_string(State.Turns.size())},
       {"programs", std::to_string(State.Ledgers.size())},
       {"replica_set", std::to_string(State.SetVersion)},
       {"complete", State.Complete ? "true" : "false"},
       {"milliseconds",
        std::to_string((readClock().Steady - Now.Steady).count() / 1000)}});
}

std::string replica_store::segmentHeader() const {
  // Earlier segments may be deleted: each one says what holds for all.
  replica_change Completeness;
  Completeness.Kind =
      State.Complete ? change_kind::Complete : change_kind::Incomplete;
  replica_change Set;
  Set.Kind = change_kind::Set;
  Set.Set = State.Set;
  Set.Set.Version = State.SetVersion;
  std::string Header = encodeRecord(Completeness) + encodeRecord(Set);
  for (const auto &[Kind, Backup] : State.Backups) {
    replica_change Change;
    Change.Kind = change_kind::Backup;
    Change.Backup = Backup;
    Header += encodeRecord(Change);
  }
  return Header;
}

void replica_store::beginSegment() {
  ++Active;
  State.Live.try_emplace(Active, 0);
  ActiveBytes = 0;
  Writer.beginSegment(Active, segmentHeader());
}

void replica_store::persist(const std::vector<replica_change> &Changes,
                            std::function<void(bool)> OnDone) {
  std::string Bytes;
  for (const replica_change &Change : Changes)
    Bytes += encodeRecord(Change);
  ActiveBytes += Bytes.size();
  Writer.write(std::move(Bytes), std::move(OnDone));
  if (ActiveBytes > MaxSegmentBytes)
    beginSegment();
}

void replica_store::handle(const replica_request &Request, on_reply OnReply) {
  replica_outcome Outcome =
      handleRequest(State, Request, Active, Limits, readClock());
  if (Outcome.Changes.empty()) {
    OnReply(Outcome.Reply);
    return;
  }
  persist(Outcome.Changes,
          [Reply = std::move(Outcome.Reply),
           OnReply = std::move(OnReply)](bool Durable) mutable {
            if (!Durable)
              Reply.Status = replica_status::Refused;
            OnReply(Reply);
          });
}

void replica_store::absorb(const replica_reply &Reply,
                           std::function<void(bool)> OnDone) {
  persist(absorbCopy(State, Reply, Active, Limits, readClock()),
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
    State.Live.erase(Segment);
    Writer.removeSegment(Segment);
  }
  if (State.Live.size() > MaxSegments && !Emptying)
    emptyOldestSegment();
}

void replica_store::emptyOldestSegment() {
  const segment_number Oldest = State.Live.begin()->first;
  if (Oldest == Active)
    return;
  Emptying = true;
  const auto Changes = relocateRecords(State, Oldest, Active);
  logEvent(log_level::Info, "segment_emptied",
           {{"segment", std::to_string(Oldest)},
            {"records", std::to_string(Changes.size())},
            {"segments", std::to_string(State.Live.size())}});
  persist(Changes, [this, Oldest](bool Durable) {
    Emptying = false;
    if (!Durable) {
      logEvent(log_level::Error, "segment_kept",
               {{"segment", std::to_string(Oldest)},
                {"reason", "its records could not be moved"}});
      return;
    }
    State.Live.erase(Oldest);
    Writer.removeSegment(Oldest);
  });
}

} // namespace lentilhoist
