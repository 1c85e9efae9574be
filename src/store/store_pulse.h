#pragma once

#include "store/store_watch.h"

#include <memory>
#include <string>
#include <vector>

namespace lentilhoist {

/// Timing of a pulse. Together with a watch's settings it bounds how long a
/// silence of the store goes unnoticed: Interval + Timeout until the watches
/// are checked, then RecoveryWait + AnswerSlack.
struct pulse_settings {
  milliseconds Interval{500}; ///< Pause between two calls.
  /// Timeout of a call. A store that is only slow should stay below it: each
  /// timeout costs every watch a call.
  milliseconds Timeout{700};
};

/// What a pulse compares of a watch.
enum class pulse_scope {
  Silence, ///< Nothing; the watch is checked when a call of the pulse fails.
  Changes, ///< Also whether the watch has missed a change.
};

/// Notices that a store has fallen silent while watches wait for it. A watch
/// can't: a store without changes and a store that will never answer look the
/// same to a long poll. One short, stale read in each interval, which costs a
/// tenth of a current one, stands for all watches of a process; long polls may
/// therefore be long.
///
/// A call that fails has each watch check the calls that it sent earlier. A
/// change that a watch should have reported has this watch do so, whatever
/// became of its call. Beliefs change through the watches alone: stale reads
/// may be seconds old.
class store_pulse : public std::enable_shared_from_this<store_pulse> {
public:
  /// \param Loop the event loop.
  /// \param Address address of the store as IP:PORT.
  /// \param Settings timing of the calls.
  store_pulse(asio::io_context &Loop, const std::string &Address,
              pulse_settings Settings);

  /// Adds a watch; call it before start().
  /// \param Watch a watch of the same store.
  /// \param Scope what to compare.
  void follow(std::shared_ptr<store_watch> Watch, pulse_scope Scope);

  /// Starts to call the store.
  void start();

private:
  void schedule();
  void beat();
  /// A watch whose changes are compared.
  struct compared_watch {
    std::shared_ptr<store_watch> Watch;
    /// No change up to here is unknown to the watch, as stale reads show it. A
    /// long poll may hold its own revision for longer than the store keeps its
    /// history.
    std::int64_t Seen = 0;
  };

  void onAnswer(compared_watch &Compared, instant SentAt,
                const store_answer &Answer);
  compared_watch *nextWatch();

  std::shared_ptr<store_client> Client;
  pulse_settings Settings;
  asio::steady_timer Timer;
  std::vector<std::shared_ptr<store_watch>> Watches;
  std::vector<compared_watch> ComparedWatches; ///< Fixed after start().
  std::size_t Turn = 0; ///< Index into ComparedWatches of the next call.
};

} // namespace lentilhoist
