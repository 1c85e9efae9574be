#pragma once

#include <string>
#include <string_view>

namespace lentilhoist {

/// Separates an owner from a name. Neither names of workspaces nor plain names
/// of owners contain it.
inline constexpr char OwnerSeparator = '\x1f';

/// Owner of what requests without a key store where workspaces are configured,
/// so that it is neither read nor drawn from by workspaces. No workspace has
/// this name.
inline constexpr std::string_view AnonymousOwner = "\x1f";

/// Name of a program's ledger, or key of a turn, that is kept apart by owner.
/// Replicas of any build treat it as a plain name.
/// \param Owner a workspace's name, AnonymousOwner, or empty where no
/// workspaces are configured. \param Name a program or a turn. \returns the
/// name itself if there is no owner.
std::string ownedName(std::string_view Owner, std::string_view Name);

/// \param Owner the owner that the name was made with.
/// \param Owned what ownedName() has returned.
/// \returns the plain name; Owned itself if it isn't the owner's.
std::string_view plainName(std::string_view Owner, std::string_view Owned);

/// Records without an owner were written by an older build or while no
/// workspaces were configured, and are readable by all.
/// \param RecordOwner owner of a record.
/// \param Owner owner of what a request stores; empty where no workspaces are
/// configured.
/// \returns whether the request may read the record.
bool mayRead(std::string_view RecordOwner, std::string_view Owner);

} // namespace lentilhoist
