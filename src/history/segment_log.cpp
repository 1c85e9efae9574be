#include "history/segment_log.h"

#include "core/hash.h"
#include "core/unpack.h"

#include <algorithm>
#include <cerrno>
#include <cstring>
#include <fcntl.h>
#include <filesystem>
#include <fmt/format.h>
#include <fstream>
#include <optional>
#include <stdexcept>
#include <sys/stat.h>
#include <system_error>
#include <unistd.h>

namespace lentilhoist {

namespace {

constexpr std::size_t HeaderBytes = 12; ///< Length and checksum.
constexpr std::size_t LengthBytes = 4;
constexpr const char *SegmentExtension = ".segment";
constexpr const char *IndexExtension = ".index";

void appendBigEndian(std::string &Out, std::uint64_t Value, std::size_t Bytes) {
  for (std::size_t Index = Bytes; Index-- > 0;)
    Out += static_cast<char>((Value >> (8 * Index)) & 0xff);
}

std::uint64_t decodeBigEndian(std::string_view Bytes) {
  std::uint64_t Value = 0;
  for (const char Byte : Bytes)
    Value = Value << 8 | static_cast<unsigned char>(Byte);
  return Value;
}

/// \param[in,out] BytesWritten incremented by the bytes that were written, also
/// on a failure.
/// \returns whether all bytes were written; errno has the cause if not.
bool writeAll(int File, std::string_view Bytes, std::size_t &BytesWritten) {
  while (!Bytes.empty()) {
    const ssize_t Length = ::write(File, Bytes.data(), Bytes.size());
    if (Length < 0 && errno == EINTR)
      continue;
    if (Length < 0)
      return false;
    Bytes.remove_prefix(static_cast<std::size_t>(Length));
    BytesWritten += static_cast<std::size_t>(Length);
  }
  return true;
}

[[noreturn]] void throwDiskError(const std::string &What) {
  throw std::system_error(errno, std::generic_category(), What);
}

std::string readFile(const std::string &Path) {
  std::ifstream File(Path, std::ios::binary);
  std::string Bytes(std::filesystem::file_size(Path), '\0');
  File.read(Bytes.data(), static_cast<std::streamsize>(Bytes.size()));
  Bytes.resize(static_cast<std::size_t>(File.gcount()));
  return Bytes;
}

} // namespace

std::string encodeRecord(const replica_change &Change) {
  msgpack::sbuffer Buffer;
  msgpack::pack(Buffer, Change);
  const std::string_view Payload(Buffer.data(), Buffer.size());
  std::string Out;
  Out.reserve(HeaderBytes + Payload.size());
  appendBigEndian(Out, Payload.size(), LengthBytes);
  appendBigEndian(Out, stableHash(Payload), HeaderBytes - LengthBytes);
  Out += Payload;
  return Out;
}

std::size_t readRecords(std::string_view Bytes,
                        const std::function<void(replica_change, std::size_t,
                                                 std::size_t)> &OnRecord) {
  std::size_t Position = 0;
  while (Bytes.size() - Position >= HeaderBytes) {
    const std::size_t Length =
        decodeBigEndian(Bytes.substr(Position, LengthBytes));
    const std::uint64_t Checksum = decodeBigEndian(
        Bytes.substr(Position + LengthBytes, HeaderBytes - LengthBytes));
    if (Length == 0 || Length > Bytes.size() - Position - HeaderBytes)
      break;
    const std::string_view Payload =
        Bytes.substr(Position + HeaderBytes, Length);
    if (stableHash(Payload) != Checksum)
      break;
    OnRecord(unpackInPlace<replica_change>(Payload), Position,
             HeaderBytes + Length);
    Position += HeaderBytes + Length;
  }
  return Position;
}

segment_log::segment_log(std::string GivenFolder)
    : Folder(std::move(GivenFolder)) {
  std::filesystem::create_directories(Folder);
}

segment_log::~segment_log() {
  if (File >= 0)
    ::close(File);
}

std::string segmentPath(const std::string &Folder, segment_number Number) {
  return fmt::format("{}/{:012d}{}", Folder, Number, SegmentExtension);
}

replica_change readRecord(const std::string &Folder,
                          const record_location &Location) {
  const std::string Path = segmentPath(Folder, Location.Segment);
  const int File = ::open(Path.c_str(), O_RDONLY | O_CLOEXEC);
  if (File < 0)
    throwDiskError("open " + Path);
  std::string Bytes(Location.Length, '\0');
  std::size_t BytesRead = 0;
  ssize_t Length = 1;
  while (BytesRead < Bytes.size() && Length > 0) {
    Length = ::pread(File, Bytes.data() + BytesRead, Bytes.size() - BytesRead,
                     static_cast<off_t>(Location.Offset + BytesRead));
    BytesRead += Length > 0 ? static_cast<std::size_t>(Length) : 0;
  }
  ::close(File);
  std::optional<replica_change> Read;
  if (BytesRead == Bytes.size())
    readRecords(Bytes, [&](replica_change Change, std::size_t, std::size_t) {
      Read = std::move(Change);
    });
  if (!Read)
    throw std::runtime_error(
        fmt::format("{}: record of {} bytes at offset {} is damaged", Path,
                    Location.Length, Location.Offset));
  return std::move(*Read);
}

std::string segment_log::indexPath(segment_number Number) const {
  return fmt::format("{}/{:012d}{}", Folder, Number, IndexExtension);
}

segment_number segment_log::load(
    const std::function<void(replica_change, record_location, bool)>
        &OnRecord) {
  std::vector<segment_number> Numbers;
  for (const auto &Entry : std::filesystem::directory_iterator(Folder))
    if (Entry.path().extension() == SegmentExtension)
      Numbers.push_back(std::stoull(Entry.path().stem().string()));
  std::sort(Numbers.begin(), Numbers.end());
  for (const segment_number Number : Numbers) {
    segment_index Index;
    if (std::filesystem::exists(indexPath(Number)) &&
        decodeIndex(readFile(indexPath(Number)), Index)) {
      TotalBytes += std::filesystem::file_size(segmentPath(Folder, Number));
      for (indexed_record &Record : Index.Records)
        OnRecord(std::move(Record.Change), Record.Location, false);
      continue;
    }
    const std::string Bytes = readFile(segmentPath(Folder, Number));
    TotalBytes += Bytes.size();
    readRecords(Bytes, [&](replica_change Change, std::size_t Offset,
                           std::size_t Length) {
      OnRecord(std::move(Change), {Number, Offset, Length}, true);
    });
  }
  return Numbers.empty() ? 1 : Numbers.back() + 1;
}

void segment_log::writeIndex(segment_number Number, std::string_view Bytes) {
  const std::string Path = indexPath(Number);
  const int Index =
      ::open(Path.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, 0600);
  if (Index < 0)
    throwDiskError("open " + Path);
  std::size_t BytesWritten = 0;
  const bool Written =
      writeAll(Index, Bytes, BytesWritten) && ::fdatasync(Index) == 0;
  const int SavedErrno = errno;
  ::close(Index);
  if (!Written) {
    errno = SavedErrno;
    throwDiskError("write " + Path);
  }
}

void segment_log::begin(segment_number Number) {
  if (File >= 0)
    ::close(File);
  NewestSegment = Number;
  SyncedBytes = 0;
  FolderSynced = false;
  // An earlier segment of this number may have left an index.
  std::error_code Error;
  std::filesystem::remove(indexPath(Number), Error);
  const std::string Path = segmentPath(Folder, Number);
  File = ::open(Path.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, 0600);
  if (File < 0)
    throwDiskError("open " + Path);
  syncFolder();
  FolderSynced = true;
}

void segment_log::repair() {
  if (File < 0) {
    begin(NewestSegment);
    return;
  }
  const auto Length = static_cast<off_t>(SyncedBytes);
  if (::ftruncate(File, Length) != 0 || ::lseek(File, Length, SEEK_SET) < 0)
    throwDiskError("truncate a segment in " + Folder);
  if (FolderSynced)
    return;
  syncFolder();
  FolderSynced = true;
}

void segment_log::syncFolder() const {
  const int Directory =
      ::open(Folder.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC);
  if (Directory < 0)
    throwDiskError("open " + Folder);
  const int Result = ::fsync(Directory);
  const int SavedErrno = errno;
  ::close(Directory);
  if (Result != 0) {
    errno = SavedErrno;
    throwDiskError("sync " + Folder);
  }
}

std::uint64_t segment_log::append(std::string_view Bytes) {
  std::size_t BytesWritten = 0;
  if (!writeAll(File, Bytes, BytesWritten))
    throwDiskError("write to " + Folder);
  if (::fdatasync(File) != 0)
    throwDiskError("sync " + Folder);
  const std::uint64_t Offset = SyncedBytes;
  SyncedBytes += BytesWritten;
  TotalBytes += BytesWritten;
  return Offset;
}

void segment_log::remove(segment_number Number) {
  // A segment that cannot be deleted only takes up disk space.
  std::error_code Error;
  std::filesystem::remove(indexPath(Number), Error);
  const std::string Path = segmentPath(Folder, Number);
  const auto Size = std::filesystem::file_size(Path, Error);
  if (std::filesystem::remove(Path, Error) && !Error)
    TotalBytes -= std::min<std::size_t>(TotalBytes, Size);
}

} // namespace lentilhoist
