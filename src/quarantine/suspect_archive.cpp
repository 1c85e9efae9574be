#include "quarantine/suspect_archive.h"

#include "core/unpack.h"

#include <algorithm>

namespace lentilhoist {

namespace {

/// Signatures that are saved; far more than are under suspicion at a time.
constexpr std::size_t MaxArchivedSuspects = 512;

struct suspect_archive {
  std::int64_t UnixMs = 0; ///< When the ages were taken.
  std::vector<suspect_notice> Notices;
  MSGPACK_DEFINE(UnixMs, Notices)
};

} // namespace

std::string packSuspects(const suspect_table &Table, instant Now) {
  if (Table.Suspects.empty())
    return {};
  msgpack::sbuffer Buffer;
  msgpack::pack(Buffer, suspect_archive{
                            Now.Unix.count(),
                            listSuspects(Table, MaxArchivedSuspects, 0, Now)});
  return {Buffer.data(), Buffer.size()};
}

void unpackSuspects(suspect_table &Table, const std::string &Bytes,
                    instant Now) {
  if (Bytes.empty())
    return;
  auto Archive = unpackInPlace<suspect_archive>(Bytes);
  // The wall clock may have been set back meanwhile.
  const std::int64_t MaxAge = milliseconds(SuspectLifetime).count();
  const std::int64_t Elapsed =
      std::clamp<std::int64_t>(Now.Unix.count() - Archive.UnixMs, 0, MaxAge);
  for (suspect_notice &Notice : Archive.Notices) {
    for (crash_notice &Crash : Notice.Crashes)
      Crash.AgeMs = std::min<std::uint64_t>(
                        Crash.AgeMs, static_cast<std::uint64_t>(MaxAge)) +
                    static_cast<std::uint64_t>(Elapsed);
    for (std::int64_t *Age : {&Notice.CompletedAgeMs, &Notice.TrialAgeMs})
      if (*Age >= 0)
        *Age = std::min(*Age, MaxAge) + Elapsed;
  }
  mergeSuspects(Table, Archive.Notices, Now);
}

} // namespace lentilhoist
