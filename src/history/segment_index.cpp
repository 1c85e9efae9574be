#include "history/segment_index.h"

#include "core/hash.h"
#include "core/unpack.h"

#include <algorithm>
#include <fmt/format.h>
#include <unordered_set>

namespace lentilhoist {

namespace {

/// Hexadecimal digits of a checksum.
constexpr std::size_t ChecksumLength = 16;

std::string checksumOf(std::string_view Bytes) {
  return fmt::format("{:016x}", stableHash(Bytes));
}

} // namespace

void addToIndex(segment_index &Index, const replica_change &Change,
                const record_location &Location) {
  indexed_record Record;
  Record.Location = Location;
  Record.Change.Kind = Change.Kind;
  Record.Change.Program = Change.Program;
  Record.Change.Entry = Change.Entry;
  Record.Change.RetentionMs = Change.RetentionMs;
  Record.Change.Set = Change.Set;
  Record.Change.Backup = Change.Backup;
  Record.Change.Turn = withoutTexts(Change.Turn);
  Index.Records.push_back(std::move(Record));
}

void dropSettledReservations(segment_index &Index) {
  std::unordered_set<std::string> Settled;
  const auto First = std::remove_if(
      Index.Records.rbegin(), Index.Records.rend(),
      [&](const indexed_record &Record) {
        const replica_change &Change = Record.Change;
        if (Change.Kind == change_kind::Turn)
          Settled.insert(Change.Turn.Program + "/" + Change.Turn.Id);
        if (Change.Kind != change_kind::Entry)
          return false;
        const std::string Key = Change.Program + "/" + Change.Entry.Attempt;
        if (Change.Entry.Settled) {
          Settled.insert(Key);
          return false;
        }
        return Settled.contains(Key);
      });
  Index.Records.erase(Index.Records.begin(), First.base());
}

std::string encodeIndex(const segment_index &Index) {
  msgpack::sbuffer Buffer;
  msgpack::pack(Buffer, Index);
  const std::string_view Payload(Buffer.data(), Buffer.size());
  return checksumOf(Payload) + std::string(Payload);
}

bool decodeIndex(const std::string &Bytes, segment_index &Index) {
  if (Bytes.size() <= ChecksumLength)
    return false;
  const std::string_view Payload =
      std::string_view(Bytes).substr(ChecksumLength);
  if (Bytes.substr(0, ChecksumLength) != checksumOf(Payload))
    return false;
  Index = unpackInPlace<segment_index>(Payload);
  return true;
}

} // namespace lentilhoist
