#include "journal/journal_entry.h"

#include "core/unpack.h"

#include <array>
#include <charconv>
#include <fmt/format.h>
#include <utility>

namespace lentilhoist {

namespace {

constexpr std::uint32_t FormatVersion = 1;
constexpr std::uint32_t HeaderFields = 6;

using packer = msgpack::packer<msgpack::sbuffer>;
using record_reader = journal_record (*)(const msgpack::object &);

template <std::size_t Index>
journal_record readAlternative(const msgpack::object &Object) {
  return Object.as<std::variant_alternative_t<Index, journal_record>>();
}

template <std::size_t... Indexes>
constexpr auto makeReaders(std::index_sequence<Indexes...>) {
  return std::array<record_reader, sizeof...(Indexes)>{
      &readAlternative<Indexes>...};
}

constexpr auto Readers = makeReaders(
    std::make_index_sequence<std::variant_size_v<journal_record>>());

void packRecord(packer &Packer, const journal_record &Record) {
  Packer.pack_array(2);
  Packer.pack(static_cast<std::uint32_t>(Record.index()));
  std::visit([&](const auto &Value) { Packer.pack(Value); }, Record);
}

journal_record unpackRecord(const msgpack::object &Object) {
  const auto Pair = Object.as<std::vector<msgpack::object>>();
  if (Pair.size() != 2)
    throw corrupt_entry("a record is not a pair of kind and value");
  const auto Kind = Pair[0].as<std::uint32_t>();
  if (Kind >= Readers.size())
    throw corrupt_entry(fmt::format("unknown record kind {}", Kind));
  return Readers[Kind](Pair[1]);
}

journal_entry readFields(const std::vector<msgpack::object> &Fields) {
  if (Fields.size() < HeaderFields)
    throw corrupt_entry("an entry has too few fields");
  const auto Version = Fields[0].as<std::uint32_t>();
  if (Version != FormatVersion)
    throw corrupt_entry(fmt::format("unknown entry format {}", Version));
  journal_entry Entry;
  Entry.Shard = Fields[1].as<shard_index>();
  Entry.Number = Fields[2].as<entry_number>();
  Entry.Writer = Fields[3].as<std::string>();
  Entry.Nonce = Fields[4].as<std::uint64_t>();
  for (const auto &Object : Fields[5].as<std::vector<msgpack::object>>())
    Entry.Records.push_back(unpackRecord(Object));
  return Entry;
}

} // namespace

std::string encodeEntry(const journal_entry &Entry) {
  msgpack::sbuffer Buffer;
  packer Packer(Buffer);
  Packer.pack_array(HeaderFields);
  Packer.pack(FormatVersion);
  Packer.pack(Entry.Shard);
  Packer.pack(Entry.Number);
  Packer.pack(Entry.Writer);
  Packer.pack(Entry.Nonce);
  Packer.pack_array(static_cast<std::uint32_t>(Entry.Records.size()));
  for (const auto &Record : Entry.Records)
    packRecord(Packer, Record);
  return {Buffer.data(), Buffer.size()};
}

journal_entry decodeEntry(std::string_view Bytes) {
  try {
    const auto Handle = unpackBounded(Bytes);
    return readFields(Handle.get().as<std::vector<msgpack::object>>());
  } catch (const msgpack::unpack_error &Error) {
    throw corrupt_entry(fmt::format("malformed entry: {}", Error.what()));
  } catch (const msgpack::type_error &) {
    throw corrupt_entry("an entry has a field of the wrong type");
  }
}

std::string entryPrefix(shard_index Shard) {
  return fmt::format("journal/{:03d}/", Shard);
}

std::string entryKey(shard_index Shard, entry_number Number) {
  return fmt::format("{}{:012d}", entryPrefix(Shard), Number);
}

std::string snapshotPrefix(shard_index Shard) {
  return fmt::format("snapshot/{:03d}/", Shard);
}

std::string snapshotKey(shard_index Shard, entry_number Number) {
  return fmt::format("{}{:012d}", snapshotPrefix(Shard), Number);
}

entry_number numberInKey(std::string_view Key) {
  const auto Slash = Key.rfind('/');
  if (Slash == std::string_view::npos)
    throw corrupt_entry(fmt::format("no number in key {}", Key));
  const auto Digits = Key.substr(Slash + 1);
  entry_number Number = 0;
  const char *End = Digits.data() + Digits.size();
  const auto Result = std::from_chars(Digits.data(), End, Number);
  if (Result.ec != std::errc() || Result.ptr != End)
    throw corrupt_entry(fmt::format("no number in key {}", Key));
  return Number;
}

} // namespace lentilhoist
