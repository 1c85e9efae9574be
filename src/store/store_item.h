#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace lentilhoist {

/// An object of the platform's store.
struct store_item {
  std::string Name;
  std::int64_t Revision = 0; ///< Store revision of the last change.
  std::string Spec;          ///< JSON text.
  std::string Status;        ///< JSON text; "null" if there is none.
};

/// Creation, update or removal of an object.
struct store_event {
  store_item Item;
  bool Removed = false;
};

/// One page of a list of objects.
struct store_page {
  std::vector<store_item> Items;
  bool Truncated = false;     ///< More objects follow the last item.
  std::size_t Unreadable = 0; ///< Items left out.
  std::int64_t Revision = 0;  ///< Store revision to start a watch at.
};

/// Changes after a given revision.
struct store_events {
  std::vector<store_event> Events;
  std::size_t Unreadable = 0; ///< Changes left out.
  std::int64_t Revision = 0;  ///< Store revision to continue the watch at.
};

/// Result of a call to the store.
enum class store_status {
  Done,
  Conflict,    ///< The object exists already or its revision has changed.
  NotFound,    ///< No such object.
  HistoryGone, ///< The revision is no longer kept; list again.
  Refused,     ///< Not executed; retry later.
  Unknown,     ///< No response; may have been executed or may be later.
};

/// \param Status the value to name.
/// \returns its stable text form.
const char *storeStatusName(store_status Status);

} // namespace lentilhoist
