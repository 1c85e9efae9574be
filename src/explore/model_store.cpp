#include "explore/model_store.h"

#include <fmt/format.h>

namespace lentilhoist {

namespace {

/// Applies an entry that was created for the first time. One with a number
/// that the truth has passed was deleted before and must not count.
void audit(const journal_entry &Entry, model_store &Store) {
  if (Entry.Number <= Store.Truth.LastEntry)
    return;
  try {
    applyEntry(Entry, Store.Truth);
  } catch (const corrupt_entry &Error) {
    Store.Corruptions.push_back(fmt::format("entry {} by {}: {}", Entry.Number,
                                            Entry.Writer, Error.what()));
  }
  for (const journal_record &Record : Entry.Records)
    Store.Takeovers += std::holds_alternative<shard_taken>(Record) ? 1U : 0U;
}

} // namespace

bool createEntry(const write_entry &Write, model_store &Store) {
  const std::string Key = entryKey(Write.Shard, Write.Number);
  if (!Store.Objects.emplace(Key, Write.Bytes).second)
    return false;
  audit(decodeEntry(Write.Bytes), Store);
  return true;
}

std::optional<journal_entry> findEntry(shard_index Shard, entry_number Number,
                                       const model_store &Store) {
  const auto Found = Store.Objects.find(entryKey(Shard, Number));
  if (Found == Store.Objects.end())
    return std::nullopt;
  return decodeEntry(Found->second);
}

entry_number latestSnapshot(shard_index Shard, const model_store &Store) {
  const std::string Prefix = snapshotPrefix(Shard);
  auto Next = Store.Objects.upper_bound(Prefix + "~");
  if (Next == Store.Objects.begin())
    return 0;
  --Next;
  return Next->first.compare(0, Prefix.size(), Prefix) == 0
             ? numberInKey(Next->first)
             : 0;
}

shard_state loadShard(shard_index Shard, const model_store &Store,
                      entry_number &Snapshot) {
  shard_state State;
  State.Shard = Shard;
  Snapshot = latestSnapshot(Shard, Store);
  if (Snapshot != 0)
    State = decodeSnapshot(Store.Objects.at(snapshotKey(Shard, Snapshot)));
  for (auto Entry = findEntry(Shard, State.LastEntry + 1, Store); Entry;
       Entry = findEntry(Shard, State.LastEntry + 1, Store))
    applyEntry(*Entry, State);
  return State;
}

} // namespace lentilhoist
