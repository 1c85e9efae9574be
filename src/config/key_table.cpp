#include "config/key_table.h"

#include <algorithm>

namespace lentilhoist {

key_table::key_table(const configuration &Config) {
  if (!Config.Workspaces)
    return;
  std::size_t Count = Config.ClaimedKeys.size();
  for (const workspace &Workspace : *Config.Workspaces)
    Count += Workspace.Keys.size();
  Entries.reserve(Count);
  for (const workspace &Workspace : *Config.Workspaces)
    for (const key_digest &Digest : Workspace.Keys)
      Entries.push_back({&Digest, &Workspace});
  for (const key_digest &Digest : Config.ClaimedKeys)
    Entries.push_back({&Digest, nullptr});
  std::sort(Entries.begin(), Entries.end(),
            [](const entry &Left, const entry &Right) {
              return *Left.Digest < *Right.Digest;
            });
  auto Kept = Entries.begin();
  for (auto First = Entries.begin(); First != Entries.end();) {
    const auto Last =
        std::find_if(First, Entries.end(), [&](const entry &Entry) {
          return *Entry.Digest != *First->Digest;
        });
    const bool Shared = std::any_of(First, Last, [&](const entry &Entry) {
      return Entry.Workspace != First->Workspace;
    });
    if (Shared) {
      ++Conflicts.Keys;
      for (auto Entry = First; Entry != Last; ++Entry)
        noteConflict(Entry->Workspace);
    } else if (First->Workspace) {
      *Kept++ = *First;
    }
    First = Last;
  }
  Entries.erase(Kept, Entries.end());
}

void key_table::noteConflict(const workspace *Workspace) {
  std::vector<std::string> &Names = Conflicts.Workspaces;
  if (Workspace && Names.size() < MaxNamedWorkspaces &&
      std::find(Names.begin(), Names.end(), Workspace->Name) == Names.end())
    Names.push_back(Workspace->Name);
}

const workspace *key_table::find(const key_digest &Digest) const {
  const auto Found =
      std::lower_bound(Entries.begin(), Entries.end(), Digest,
                       [](const entry &Entry, const key_digest &Sought) {
                         return *Entry.Digest < Sought;
                       });
  if (Found == Entries.end() || !sameDigest(*Found->Digest, Digest))
    return nullptr;
  return Found->Workspace;
}

const char *accessVerdictName(access_verdict Verdict) {
  switch (Verdict) {
  case access_verdict::Granted:
    return "granted";
  case access_verdict::MissingKey:
    return "missing_key";
  case access_verdict::UnknownKey:
    return "unknown_key";
  case access_verdict::ChangedOwner:
    return "changed_owner";
  }
  return "unknown";
}

access_decision decideAccess(const configuration &Config, const key_table &Keys,
                             bool Public, const sent_key &Key) {
  if (!Config.Workspaces)
    return {};
  if (!Key.Sent)
    return {Public ? access_verdict::Granted : access_verdict::MissingKey,
            nullptr};
  const workspace *Found = Key.Digest ? Keys.find(*Key.Digest) : nullptr;
  return {Found ? access_verdict::Granted : access_verdict::UnknownKey, Found};
}

} // namespace lentilhoist
