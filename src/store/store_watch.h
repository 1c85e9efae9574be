#pragma once

#include "core/instant.h"
#include "store/store_client.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace lentilhoist {

/// Timing of a watch. The platform charges for each call; a long poll counts as
/// one call. TCP keep-alive probes detect a connection that is lost without a
/// reset, and a store_pulse a store that never answers, so long polls may be
/// long.
struct watch_settings {
  milliseconds Wait{30'000}; ///< Long-poll time of a watch call.
  /// Long-poll time while the store is unavailable. Its recovery is detected by
  /// the response, so a full wait would report it seconds late.
  milliseconds RecoveryWait{50};
  milliseconds AnswerSlack{600};   ///< Timeout beyond the long-poll time.
  milliseconds ListTimeout{1'500}; ///< Timeout of a list call.
  bool AllowStale = false;    ///< Use cheaper reads that may lag by seconds.
  milliseconds BatchDelay{0}; ///< Pause after changes, to batch further ones.
  milliseconds MinRetryDelay{100}; ///< Retry delay after the first failure.
  /// Upper bound of the exponential backoff. With the timeout of a short call
  /// it bounds how late the return of the store is noticed.
  milliseconds MaxRetryDelay{400};
};

/// Watches all objects of one kind: lists them, then long-polls for changes,
/// and lists again when the store no longer keeps the watched revision.
class store_watch : public std::enable_shared_from_this<store_watch> {
public:
  /// Callbacks of the owner.
  struct handlers {
    /// Receives all objects after each complete list.
    std::function<void(const std::vector<store_item> &)> OnList;
    /// Receives each change after the first list.
    std::function<void(const store_event &)> OnEvent;
    /// Called when the store becomes available (true) or unavailable (false).
    std::function<void(bool)> OnAvailability;
    /// Called after each successful response, also one without a change. May
    /// be empty.
    std::function<void()> OnConfirmed;
  };

  /// \param Loop the event loop.
  /// \param Address address of the store as IP:PORT.
  /// \param Kind kind of the objects to watch.
  /// \param Settings timing of the calls.
  store_watch(asio::io_context &Loop, const std::string &Address,
              std::string Kind, watch_settings Settings);

  /// Starts with a list.
  /// \param Given callbacks; called on the event loop.
  void start(handlers Given);

  /// Stops permanently and closes the connection.
  void stop();

  /// Cancels the pending call and lists again after the minimum retry delay.
  void refresh();

  /// Replaces a long poll by a short one whose outcome shows at once whether
  /// the store answers. Does nothing if no long poll waits that was sent
  /// before.
  /// \param SentBefore only a call that was sent earlier is replaced.
  /// \param Reason why, for the log.
  void check(instant SentBefore, const char *Reason);

  const std::string &kind() const { return Kind; }
  /// \returns the revision up to which changes are known; none before the
  /// first list.
  std::optional<std::int64_t> revision() const {
    return Listed ? std::optional(Revision) : std::nullopt;
  }

private:
  void listOrWatch();
  void list(const std::string &After);
  void watch();
  void sendWatch(milliseconds Wait);
  void onFailure(store_status Status);
  void reportUnreadable(std::size_t Count) const;
  void onSuccess();
  void scheduleNext(milliseconds Delay);
  void send(const platform::store_request &Call, milliseconds Timeout,
            store_client::on_answer OnAnswer);

  std::shared_ptr<store_client> Client;
  std::string Kind;
  watch_settings Settings;
  handlers Handlers;
  asio::steady_timer Timer;
  std::vector<store_item> Pages;
  std::int64_t FirstPageRevision = 0; ///< The watch starts here.
  std::int64_t Revision = 0;
  milliseconds RetryDelay;
  bool Listed = false;
  bool LongPolling = false; ///< A long poll waits for its response.
  bool Available = true;
  bool Stopped = false;
  std::uint64_t Failures = 0; ///< Consecutive; seeds the retry jitter.
  instant CallSentAt{};       ///< Of the last call.
  instant ConfirmedAt{};      ///< Last successful response; zero if none.
  instant LostAt{};           ///< When Available last became false.
};

} // namespace lentilhoist
