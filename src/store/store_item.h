#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace lentilhoist {

/// An object of the platform's store.
struct store_item {
  std::string Name;
  std::int64_t Revision = 0; ///< Of its last change.
  std::string Spec;          ///< JSON text.
  std::string Status;        ///< JSON text; "null" if there is none.
};

/// A change of an object.
struct store_event {
  store_item Item;
  bool Removed = false;
};

/// Part of a list of objects.
struct store_page {
  std::vector<store_item> Items;
  bool Truncated = false;    ///< More follow after the last item.
  std::int64_t Revision = 0; ///< Of the store, to watch from.
};

/// Changes since a revision.
struct store_events {
  std::vector<store_event> Events;
  std::int64_t Revision = 0; ///< Of the store, to watch on from.
};

/// How a call ended.
enum class store_status {
  Done,
  Conflict,    ///< Exists already, or has changed.
  NotFound,    ///< No such object.
  HistoryGone, ///< The watch must begin anew with a list.
  Refused,     ///< Nothing was done; try later.
  Unknown,     ///< No answer: it may have been done, or be done later.
};

/// \param Status the value to name.
/// \returns its stable text form.
const char *storeStatusName(store_status Status);

} // namespace lentilhoist
