#include "objects/journal_store.h"

#include "log/log.h"

#include <algorithm>
#include <fmt/format.h>

namespace lentilhoist {

namespace {

/// Below the platform's limit of a megabyte for one value.
constexpr std::size_t MaxPartBytes = 900'000;

std::string partKey(shard_index Shard, entry_number Number, std::size_t Part) {
  return fmt::format("snapshot-part/{:03d}/{:012d}/{:06d}", Shard, Number,
                     Part);
}

/// The head object of a snapshot holds the number of its parts.
std::string readParts(shard_index Shard, entry_number Number,
                      const std::string &Head, object_store &Store) {
  const std::size_t Parts = std::stoul(Head);
  std::string Bytes;
  for (std::size_t Part = 0; Part < Parts; ++Part) {
    const auto Object = Store.read(partKey(Shard, Number, Part));
    if (!Object)
      throw platform_error("a part of a snapshot is missing");
    Bytes += Object->Value;
  }
  return Bytes;
}

} // namespace

write_status writeEntry(const write_entry &Write, object_store &Store) {
  try {
    const auto Status =
        Store.create(entryKey(Write.Shard, Write.Number), Write.Bytes);
    return Status == update_status::Done ? write_status::Created
                                         : write_status::Exists;
  } catch (const platform_error &Error) {
    logEvent(log_level::Warning, "journal_write_unclear",
             {{"shard", std::to_string(Write.Shard)},
              {"entry", std::to_string(Write.Number)},
              {"reason", Error.what()}});
    return write_status::Indeterminate;
  }
}

entry_read_result readEntry(shard_index Shard, entry_number Number,
                            object_store &Store) {
  try {
    const auto Object = Store.read(entryKey(Shard, Number));
    if (!Object)
      return {read_status::Absent, {}};
    return {read_status::Found, decodeEntry(Object->Value)};
  } catch (const std::runtime_error &Error) {
    logEvent(log_level::Warning, "journal_read_failed",
             {{"shard", std::to_string(Shard)},
              {"entry", std::to_string(Number)},
              {"reason", Error.what()}});
    return {};
  }
}

bool writeSnapshot(const write_snapshot &Snapshot, object_store &Store) {
  try {
    std::size_t Parts = 0;
    for (std::size_t From = 0; From < Snapshot.Bytes.size();
         From += MaxPartBytes) {
      Store.create(partKey(Snapshot.Shard, Snapshot.Number, Parts),
                   Snapshot.Bytes.substr(From, MaxPartBytes));
      ++Parts;
    }
    Store.create(snapshotKey(Snapshot.Shard, Snapshot.Number),
                 std::to_string(Parts));
    return true;
  } catch (const platform_error &Error) {
    logEvent(
        log_level::Warning, "snapshot_write_failed",
        {{"shard", std::to_string(Snapshot.Shard)}, {"reason", Error.what()}});
    return false;
  }
}

void deleteJournalObject(const delete_object &Delete, object_store &Store) {
  try {
    Store.remove(Delete.Key);
    if (Delete.Key.rfind(snapshotPrefix(Delete.Shard), 0) != 0)
      return;
    const std::string Parts = partKey(Delete.Shard, numberInKey(Delete.Key), 0);
    const std::string Prefix = Parts.substr(0, Parts.rfind('/') + 1);
    for (const std::string &Key : Store.listKeys(Prefix))
      Store.remove(Key);
  } catch (const std::runtime_error &Error) {
    logEvent(log_level::Warning, "journal_delete_failed",
             {{"key", Delete.Key}, {"reason", Error.what()}});
  }
}

stored_shard readShard(shard_index Shard, object_store &Store) {
  stored_shard Stored;
  Stored.State.Shard = Shard;
  const auto Keys = Store.listKeys(snapshotPrefix(Shard));
  if (!Keys.empty()) {
    const entry_number Number = numberInKey(Keys.back());
    const auto Head = Store.read(Keys.back());
    if (!Head)
      throw platform_error("the latest snapshot has just been replaced");
    Stored.State = decodeSnapshot(readParts(Shard, Number, Head->Value, Store));
    Stored.SnapshotNumber = Number;
  }
  for (;;) {
    const auto Object = Store.read(entryKey(Shard, Stored.State.LastEntry + 1));
    if (!Object)
      return Stored;
    applyEntry(decodeEntry(Object->Value), Stored.State);
  }
}

entry_read_result checkNextEntry(const check_next_entry &Check,
                                 object_store &Store) {
  entry_read_result Read = readEntry(Check.Shard, Check.Number, Store);
  if (Read.Status != read_status::Absent || !Check.CheckSnapshots)
    return Read;
  const auto LatestSnapshot = readSnapshotNumber(Check.Shard, Store);
  if (!LatestSnapshot)
    Read.Status = read_status::Failed;
  else if (*LatestSnapshot >= Check.Number)
    Read.Status = read_status::Found;
  return Read;
}

std::optional<entry_number> readSnapshotNumber(shard_index Shard,
                                               object_store &Store) {
  try {
    const auto Keys = Store.listKeys(snapshotPrefix(Shard));
    return Keys.empty() ? 0 : numberInKey(Keys.back());
  } catch (const std::runtime_error &) {
    return std::nullopt;
  }
}

} // namespace lentilhoist
