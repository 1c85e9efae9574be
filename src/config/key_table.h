#pragma once

#include "config/route.h"

#include <cstddef>
#include <string>
#include <vector>

namespace lentilhoist {

/// Keys that are listed in several workspaces. They are valid for none, since
/// the configuration doesn't say whose they are.
struct key_conflicts {
  std::size_t Keys = 0;
  /// Names of workspaces that list such keys, at most MaxNamedWorkspaces.
  std::vector<std::string> Workspaces;
};

/// Finds workspaces by key. Refers to the configuration that it was built from.
class key_table {
public:
  key_table() = default;

  /// \param Config the configuration; must outlive the table.
  explicit key_table(const configuration &Config);

  /// \param Digest digest of a key.
  /// \returns the workspace that the key belongs to, or null.
  const workspace *find(const key_digest &Digest) const;

  /// \returns number of valid keys.
  std::size_t size() const { return Entries.size(); }
  const key_conflicts &conflicts() const { return Conflicts; }

private:
  struct entry {
    const key_digest *Digest;
    const workspace *Workspace; ///< Null for keys of entries left out.
  };

  void noteConflict(const workspace *Workspace);

  std::vector<entry> Entries; ///< Ordered by digest, each once.
  key_conflicts Conflicts;
};

/// Whether a request may be served.
enum class access_verdict {
  Granted,
  MissingKey,  ///< It carries no key and its route is not public.
  UnknownKey,  ///< Its key belongs to no workspace.
  ChangedOwner ///< Its key now belongs to another workspace than at its start.
};

/// \param Verdict the value to name.
/// \returns its stable text form.
const char *accessVerdictName(access_verdict Verdict);

/// Decision about a request.
struct access_decision {
  access_verdict Verdict = access_verdict::Granted;
  /// Workspace of the request; null for one without a key.
  const workspace *Workspace = nullptr;
};

/// \param Config the configuration in force.
/// \param Keys the key table of that configuration.
/// \param Public whether the request's route needs no key.
/// \param Key the request's key.
/// \returns the decision. Everything is granted where no workspaces are
/// configured.
access_decision decideAccess(const configuration &Config, const key_table &Keys,
                             bool Public, const sent_key &Key);

} // namespace lentilhoist
