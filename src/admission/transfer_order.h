#pragma once

#include "core/instant.h"

#include <cstddef>
#include <vector>

namespace lentilhoist {

/// Decides which requests may send the texts of earlier turns now. The load is
/// many long conversations that go on at the same time: each needs a window of
/// memory while its texts pass through this process, and their texts together
/// exceed the memory.

/// Windows of one process.
struct transfer_windows {
  std::size_t Limit = 0; ///< Windows open at a time; 0: no limit.
  std::size_t Open = 0;
  /// Mean time that a window is open, as observed; zero before the first.
  milliseconds MeanTime{0};
};

/// A request that waits for a window.
struct waiting_transfer {
  instant Arrival{};  ///< Of the request at this instance.
  instant GiveUpAt{}; ///< It is rejected then.
};

/// What to do with requests, as indices of the list that was decided on.
struct transfer_decision {
  std::vector<std::size_t> Open;   ///< They get a window.
  std::vector<std::size_t> Reject; ///< They have waited for too long.
};

/// \param Windows the windows.
/// \returns whether one more may be opened.
bool mayOpen(const transfer_windows &Windows);

/// Opens windows in the order in which the requests arrived, so that one that
/// has to wait again keeps its place.
/// \param Windows the windows.
/// \param Waiting the requests that wait.
/// \param Now the current time.
/// \returns the decision.
transfer_decision decideTransfers(const transfer_windows &Windows,
                                  const std::vector<waiting_transfer> &Waiting,
                                  instant Now);

/// \param Windows the windows.
/// \param Ahead requests that get a window before the one in question.
/// \returns how long it is expected to wait for one; zero if nothing has been
/// observed.
milliseconds expectedWait(const transfer_windows &Windows, std::size_t Ahead);

/// Takes note of a window that was closed.
/// \param Windows the windows; updated.
/// \param OpenTime how long it was open.
void recordTransfer(transfer_windows &Windows, milliseconds OpenTime);

} // namespace lentilhoist
