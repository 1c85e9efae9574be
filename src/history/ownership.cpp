#include "history/ownership.h"

namespace lentilhoist {

std::string ownedName(std::string_view Owner, std::string_view Name) {
  std::string Owned(Owner);
  if (!Owner.empty())
    Owned += OwnerSeparator;
  Owned += Name;
  return Owned;
}

std::string_view plainName(std::string_view Owner, std::string_view Owned) {
  const bool IsOwned = !Owner.empty() && Owned.starts_with(Owner) &&
                       Owned.substr(Owner.size()).starts_with(OwnerSeparator);
  return IsOwned ? Owned.substr(Owner.size() + 1) : Owned;
}

bool mayRead(std::string_view RecordOwner, std::string_view Owner) {
  return RecordOwner.empty() || Owner.empty() || RecordOwner == Owner;
}

} // namespace lentilhoist
