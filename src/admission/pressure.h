#pragma once

#include "admission/memory_account.h"
#include "core/instant.h"

#include <cstddef>
#include <vector>

namespace lentilhoist {

/// Decides which clients give way when the memory for them is used up. The
/// load is many clients that send requests at the same time, among them some
/// that never complete theirs.

/// Limits on clients while memory is short. No client meets them otherwise.
struct pressure_limits {
  /// A client that has sent less than MinProgressBytes for so long may be
  /// dropped in favour of one that waits. Twenty round trips of 25 ms.
  milliseconds StallTime{500};
  /// A client that has waited for so long is rejected: an error leaves it time
  /// for another instance within the seconds that clients allow.
  milliseconds MaxWait{1'200};

  bool operator==(const pressure_limits &) const = default;
};

/// Bytes that count as progress. At least 32 KiB/s with StallTime; a body of 4
/// MiB within its 30 s takes four times that.
inline constexpr std::size_t MinProgressBytes = 16UL * 1024UL;

/// A client whose request is being received.
struct receiver {
  std::size_t Charged = 0; ///< Bytes held for it.
  std::size_t Wanted = 0;  ///< Further bytes that it waits for; 0: it may send.
  bool Large = false;      ///< What it waits for is a large body.
  /// What it waits for is not needed now: its request is in progress.
  bool Optional = false;
  instant LastProgress{}; ///< When MinProgressBytes had arrived since the last.
  instant WaitingSince{}; ///< Valid if Wanted is not zero.
};

/// What to do with clients, as indices of the list that was decided on.
struct pressure_decision {
  std::vector<std::size_t> Admit;  ///< There is room for what they wait for.
  std::vector<std::size_t> Drop;   ///< They make the least progress.
  std::vector<std::size_t> Reject; ///< They have waited too long.
};

/// \param Receivers the clients whose requests are being received.
/// \param StallTime least time since their last progress.
/// \param Now the current time.
/// \returns the indices of the clients that may be dropped, least progress
/// first. A client that waits is held back by this process and is not listed.
std::vector<std::size_t> stalledOrder(const std::vector<receiver> &Receivers,
                                      milliseconds StallTime, instant Now);

/// Admits clients in the order in which they began to wait. For the first one
/// that does not fit, those that have stalled longest are dropped until it
/// will. Requests in progress are not in the list and are never dropped.
/// \param Account the memory in use.
/// \param Receivers the clients whose requests are being received.
/// \param Limits the limits.
/// \param Now the current time.
/// \returns the decision.
pressure_decision decidePressure(const memory_account &Account,
                                 const std::vector<receiver> &Receivers,
                                 const pressure_limits &Limits, instant Now);

} // namespace lentilhoist
