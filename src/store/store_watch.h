#pragma once

#include "core/instant.h"
#include "store/store_client.h"

#include <functional>
#include <map>
#include <memory>
#include <string>

namespace lentilhoist {

/// Timing of a watch. Each call is priced, a waiting one as one. A connection
/// that goes silent without a reset is found by the probes of its socket, so
/// that waits may be long.
struct watch_settings {
  milliseconds Wait{10'000}; ///< How long the store may hold a call.
  /// The same after a failure: the store's return is noticed by the answer, so
  /// that a whole wait would date it seconds late.
  milliseconds RecoveryWait{50};
  milliseconds AnswerSlack{600};   ///< Longest delay beyond the wait.
  milliseconds ListTimeout{1'500}; ///< Longest wait for a list.
  bool AllowStale = false;         ///< Cheap reads that may lag by seconds.
  milliseconds BatchDelay{0};      ///< Least pause between calls, to batch.
  milliseconds MinRetryDelay{100}; ///< First pause after a failure.
  milliseconds MaxRetryDelay{800}; ///< Longest pause after failures.
};

/// Follows all objects of one kind: lists them, then watches, and lists anew
/// when the store has dropped the history.
class store_watch : public std::enable_shared_from_this<store_watch> {
public:
  /// What the owner is told.
  struct handlers {
    /// All objects, after a list.
    std::function<void(const std::vector<store_item> &)> OnList;
    /// A change, after the first list.
    std::function<void(const store_event &)> OnEvent;
    /// The store answers or answers no longer.
    std::function<void(bool)> OnAvailability;
  };

  /// \param Loop the event loop.
  /// \param Address the store as IP:PORT.
  /// \param Kind kind of the objects.
  /// \param Settings timing.
  store_watch(asio::io_context &Loop, const std::string &Address,
              std::string Kind, watch_settings Settings);

  /// Starts to follow.
  /// \param Given what the owner is told.
  void start(handlers Given);

  /// Ends for good.
  void stop();

  /// Lists anew soon, without waiting for the call under way.
  void refresh();

private:
  void listOrWatch();
  void list(const std::string &After);
  void watch();
  void onFailure(store_status Status);
  void onSuccess();
  void scheduleNext(milliseconds Delay);

  std::shared_ptr<store_client> Client;
  std::string Kind;
  watch_settings Settings;
  handlers Handlers;
  asio::steady_timer Timer;
  std::vector<store_item> Pages;
  std::int64_t FirstPageRevision = 0; ///< Of the first page.
  std::int64_t Revision = 0;
  milliseconds RetryDelay;
  bool Listed = false;
  bool Available = true;
  bool Stopped = false;
  std::uint64_t Failures = 0; ///< In a row; spreads the retries.
};

} // namespace lentilhoist
