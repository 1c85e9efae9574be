#pragma once

#include "forward/body_sender.h"
#include "forward/crash_watch.h"
#include "forward/exchange_context.h"
#include "forward/outlier_watch.h"
#include "forward/path_watch.h"
#include "forward/permit_client.h"
#include "forward/quota_client.h"
#include "forward/request_traits.h"
#include "forward/retry_policy.h"
#include "forward/send_timing.h"
#include "forward/transfer_gate.h"
#include "net/event_parser.h"
#include "net/http_reader.h"
#include "net/response_end.h"
#include "placement/placement.h"

#include <asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>

namespace lentilhoist {

/// Receives the response of an exchange.
struct caller_sink {
  std::function<void(std::string)> Write; ///< Sends bytes of the response.
  /// The response is complete; true requests that the connection be closed.
  std::function<void(bool)> Finish;
  /// Resets the connection without completing the response.
  std::function<void()> Abort;
  std::function<std::size_t()> PendingBytes; ///< Bytes not yet sent.
};

/// Forwards one request to a runner and relays the response. Calls exactly one
/// of caller_sink::Finish and caller_sink::Abort, unless the caller disconnects
/// first.
class exchange : public std::enable_shared_from_this<exchange> {
public:
  /// \param Context state shared by all requests; must outlive the exchange.
  /// \param Head request line and headers of the caller's request.
  /// \param Body the complete request body.
  /// \param Arrival when the first byte of the request arrived.
  /// \param KeepAlive whether the caller accepts a persistent connection.
  /// \param Sink receives the response.
  exchange(exchange_context &Context, http_request_head Head, std::string Body,
           instant Arrival, bool KeepAlive, caller_sink Sink);
  ~exchange();

  /// Starts processing the request.
  void begin();

  /// Handles the end of the connection to the caller. The request is cancelled,
  /// unless it is not idempotent and may be executing.
  void onCallerDisconnected();

  /// Resumes reading from the runner after the caller's send queue has drained.
  void onCallerDrained();

  /// Sends the request again through a relay, if it may run again and its
  /// response has not begun.
  void onCutOff();

private:
  /// Stage of processing.
  enum class stage {
    Deciding,   ///< Selecting the route and limits.
    Reserving,  ///< Reserving tokens and reading earlier turns.
    Holding,    ///< Waiting for a configuration, memory or a runner.
    Connecting, ///< Connecting to the runner.
    Awaiting,   ///< Request sent; the response is awaited or buffered.
    Relaying,   ///< Relaying the response to the caller.
    Committing, ///< Storing the turn before the response is completed.
    Done,
  };
  static const char *stageName(stage Stage);

  void awaitConfiguration();
  void scheduleRetry(void (exchange::*Step)());
  void scheduleStep(void (exchange::*Step)(), milliseconds Delay);
  void chooseRoute();
  bool checkKey();
  bool needsReservation() const;
  std::uint64_t ledgerRetentionMs() const;
  void reserve();
  void onReserved(reserve_result Result);
  bool rejectQuarantined(const quarantine_decision &Decision);
  void recordPreviousRunner(const runner_incarnation &Life, instant Now);
  void place();
  quota workspaceQuota() const;
  bool isOverWorkspaceShare(instant Now);
  bool takeQuota(instant Now);
  bool rejectLate(const placement_result &Placement, instant Now);
  permit_rank permitRank() const;
  void requestPermit(const std::string &Id, permit_rank Rank);
  void onPermit(permit_outcome Outcome);
  bool waitsForPermit(instant Now) const;
  bool isRateExhausted(const placement_result &Placement, instant Now) const;
  milliseconds holdTimeLeft(instant Now) const;
  void hold(const char *Reason);
  bool selectWay(instant Now);
  bool openWindow(instant Now);
  void onWindow(transfer_window_ptr Opened);
  void refuseForWindow();
  void closeWindow();
  void send(const std::string &RunnerId);
  void writeRequest();
  void writeBody(const http_request_head &RunnerHead);
  bool isSent() const { return !Sender || Sender->done(); }
  void onRunnerBytes(std::string_view Bytes);
  void onRunnerEnd(stream_end End);
  void onConnectFailed();
  void onResponseHead();
  void observeSpeed(bool Complete);
  void recordRateLimit(runner_view &View, instant Now);
  void onResponseBody();
  bool isResponseTooLarge() const;
  void onResponseComplete();
  void startRelaying();
  bool isWhole() const;
  void relayBody();
  void commit();
  void onSendFailed(send_outcome Outcome, const char *Reason,
                    bool RunnerFailed = true);
  void respondWithError(proxy_error Reason,
                        std::optional<milliseconds> RoomIn = std::nullopt);
  work_size workSize() const;
  void reportRunnerOutcome(outcome_kind Kind, double Slowness = 0);
  void reportHang();
  void onTimeout();
  bool promiseClose();
  bool rejectIfStopping(instant Now);
  void finishRelayed();
  void finishResponse(std::string Tail);
  void abortResponse(const char *Reason);
  void releaseRunner(bool Reusable);
  void settleReservation();
  const char *responseFraming() const;
  void finalize(const char *Result, int Status);
  runner_view *currentRunner();
  milliseconds timeLeft(instant Now) const;

  exchange_context &Context;
  http_request_head Head;
  std::shared_ptr<std::string> Body; ///< Taken by the commit of its turn.
  memory_charge BodyCharge;
  /// Of Chain, and of what a reservation may bring of it.
  memory_charge ChainCharge;
  memory_charge OutputCharge;
  instant Arrival;
  bool KeepAlive;
  caller_sink Sink;

  stage Stage = stage::Deciding;
  request_traits Traits;
  route_table_ptr Routes; ///< Configuration at the start of the request.
  const route *Route = nullptr;
  /// Configuration by which the key was last checked.
  route_table_ptr KeyRoutes;
  /// The caller's key, taken out of Head once workspaces are configured.
  std::optional<sent_key> Key;
  /// The caller's workspace, part of KeyRoutes; null without one.
  const workspace *Workspace = nullptr;
  /// Owner of what the request stores, see ownership.h. Stays as it was when
  /// the request reserved.
  std::string Owner;
  std::string Service;
  std::optional<engine_traits> Engine;
  request_signature Signature = 0;
  quarantine_verdict Quarantine = quarantine_verdict::Send;
  instant Deadline{};
  asio::steady_timer DeadlineTimer;
  asio::steady_timer StepTimer;

  bool Reserved = false; ///< Tokens are reserved and not yet settled.
  std::string Chain;     ///< Text of all turns before this one.
  /// Texts of all turns before this one, if they are not held; otherwise null.
  std::shared_ptr<const std::vector<text_part>> ChainParts;
  history_client::operation_ptr History;
  transfer_window_ptr Window; ///< While ChainParts are sent.
  /// Waits for a window.
  std::optional<transfer_gate::ticket> WindowTicket;

  /// Tokens that the program's other attempts have reserved or used.
  std::uint64_t OtherAttemptTokens = 0;
  instant PermitRequestedAt{}; ///< Zero if no permit is requested.
  instant PermitUntil{};       ///< A permit granted to it lapses then.
  int PermitRefusals = 0;
  quota_progress QuotaProgress; ///< Towards a permit of its workspace.
  milliseconds QuotaRetry{0};   ///< When its quota allows a refused request.
  bool RateLimited = false; ///< Runners limited their rate when it was held.

  send_counts Sends;
  std::set<std::string> TriedRunners;
  std::string RunnerId;
  std::int64_t RunnerBornMs = 0;
  std::string RunnerAddress;
  /// The runner had a free slot when the request was sent, as far as known.
  bool SlotFreeAtSend = false;
  std::int64_t UncachedTokens = 0; ///< Of the prompt, at that runner.
  std::string Relay;               ///< Of the last send; empty if it had none.
  std::shared_ptr<runner_connection> Stream;
  std::shared_ptr<body_sender> Sender; ///< Null if the body is sent at once.
  bool ReusedConnection = false;       ///< The connection came from the pool.
  http_reader Reader{http_message::Response};
  response_traits RunnerResponse;
  /// How the connection of the last send ended, for the log; "open" if it
  /// hasn't.
  const char *RunnerEnd = "open";
  bool EventStream = false; ///< A success whose body is events.
  std::string ResponseBody; ///< Bytes not yet relayed.
  event_parser Events;
  std::string Output; ///< Data of the relayed events.
  std::uint64_t EventCount = 0;
  bool CallerLeft = false; ///< Nobody receives the response.
  bool Buffered = true;    ///< The whole response is read before it is relayed.
  bool ResponseStarted = false;
  /// What the head of the response said of the connection; it holds whatever
  /// happens until the response ends.
  bool ClosePromised = false;
  std::size_t ResponseBytes = 0;
  instant SentAt{}; ///< When the runner was selected.
  send_timing Timing;
  instant FirstByte{};
  instant ReservedAt{};
  instant ResponseCompletedAt{};
};

} // namespace lentilhoist
