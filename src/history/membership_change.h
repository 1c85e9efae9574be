#pragma once

#include "history/replica_set.h"
#include "history/replica_state.h"

#include <functional>
#include <optional>

namespace lentilhoist {

/// Carries out the changes that this instance makes to the replica set, one at
/// a time: makes durable what the change relies on, then writes the set. The
/// write is conditional on the revision of the set that the change was derived
/// from, however long the disk or the store takes.
///
/// Not thread-safe: all calls and callbacks run on one event loop.
class membership_change {
public:
  using on_durable = std::function<void(bool Durable)>;

  /// What a change needs from its process.
  struct environment {
    /// Writes a record to the journal; the callback receives whether it is
    /// durable.
    std::function<void(const replica_change &Marker, on_durable OnDone)>
        Persist;
    /// Writes a set to the store, on condition of its revision, or creates it.
    /// The callback is called once, whatever became of the write.
    std::function<void(const replica_set &Next, bool Create,
                       std::function<void()> OnDone)>
        Write;
    /// \returns the newest set that was read from the store, if any.
    std::function<const std::optional<replica_set> &()> Known;
    /// Called with a set that is not written, as a newer one than that which it
    /// was derived from has become known.
    std::function<void(const replica_set &Next)> OnDropped;
  };

  explicit membership_change(environment GivenEnvironment)
      : Environment(std::move(GivenEnvironment)) {}

  /// \returns whether a change is in progress. No other may be started then.
  bool busy() const { return Busy; }

  /// Starts a change that gives this instance a slot.
  /// \param Decision the change; nothing happens if its step is None.
  void begin(const membership_decision &Decision);

  /// Starts a change that needs nothing durable.
  /// \param Next the set to write.
  void write(const replica_set &Next) { write(Next, false); }

private:
  bool isCurrent(const replica_set &Next) const;
  void write(const replica_set &Next, bool Create);

  environment Environment;
  bool Busy = false;
};

} // namespace lentilhoist
