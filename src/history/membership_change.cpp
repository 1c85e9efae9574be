#include "history/membership_change.h"

#include <cassert>

namespace lentilhoist {

void membership_change::begin(const membership_decision &Decision) {
  if (Decision.Step == membership_step::None)
    return;
  assert(!Busy);
  Busy = true;
  // Must be durable before the set names this instance, as others rely on it
  // from then on. A founding or joining replica is complete, since no set is
  // established yet; a successor lacks the records of its predecessor.
  replica_change Marker;
  Marker.Kind = Decision.Step == membership_step::TakeOver
                    ? change_kind::Incomplete
                    : change_kind::Complete;
  Environment.Persist(Marker, [this, Decision](bool Durable) {
    Busy = false;
    if (!Durable)
      return;
    if (!isCurrent(Decision.Set)) {
      Environment.OnDropped(Decision.Set);
      return;
    }
    write(Decision.Set, Decision.Step == membership_step::CreateSet);
  });
}

/// \returns whether the set that a change was derived from is still the newest
/// that is known. Otherwise the write would be refused.
bool membership_change::isCurrent(const replica_set &Next) const {
  const std::optional<replica_set> &Known = Environment.Known();
  return Next.Revision == (Known ? Known->Revision : 0);
}

void membership_change::write(const replica_set &Next, bool Create) {
  assert(!Busy);
  Busy = true;
  Environment.Write(Next, Create, [this] { Busy = false; });
}

} // namespace lentilhoist
