#pragma once

#include "forward/exchange_context.h"
#include "forward/request_traits.h"
#include "forward/retry_policy.h"
#include "net/event_parser.h"
#include "net/http_reader.h"
#include "placement/placement.h"

#include <asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <set>
#include <string>

namespace lentilhoist {

/// What an exchange does with its caller's connection.
struct caller_sink {
  std::function<void(std::string)> Write; ///< Sends bytes of the answer.
  /// The answer is complete; the flag asks to close the connection.
  std::function<void(bool)> Finish;
  std::function<void()> Abort;               ///< Breaks off the answer.
  std::function<std::size_t()> PendingBytes; ///< Not yet taken by the caller.
};

/// One request's way from the caller to a runner and back. It ends with exactly
/// one of Finish and Abort, unless the caller has left before.
class exchange : public std::enable_shared_from_this<exchange> {
public:
  /// \param Context what requests share.
  /// \param Head head of the caller's request.
  /// \param Body its body.
  /// \param Arrival when its first byte came.
  /// \param KeepAlive whether the caller keeps the connection.
  /// \param Sink the caller's connection.
  exchange(exchange_context &Context, http_request_head Head, std::string Body,
           instant Arrival, bool KeepAlive, caller_sink Sink);
  ~exchange();

  /// Starts to serve the request.
  void begin();

  /// The caller has closed its connection.
  void onCallerDisconnected();

  /// The caller takes bytes again.
  void onCallerDrained();

private:
  /// Where the request is.
  enum class stage {
    Deciding,   ///< Route and limits.
    Reserving,  ///< Budget and chain are asked for.
    Holding,    ///< No runner has room; waits to be placed again.
    Connecting, ///< To the runner.
    Awaiting,   ///< The head of the runner's answer.
    Relaying,   ///< The answer passes through.
    Committing, ///< The turn is made durable before the answer ends.
    Done,
  };
  static const char *stageName(stage Stage);

  void awaitConfiguration();
  void scheduleRetry(void (exchange::*Step)());
  void chooseRoute();
  void reserve();
  void onReserved(reserve_result Result);
  void recordPreviousRunner(const runner_incarnation &Life, instant Now);
  void place();
  void hold(const char *Reason);
  void send(const std::string &RunnerId);
  void writeRequest();
  void onRunnerBytes(std::string_view Bytes);
  void onRunnerEnd(stream_end End);
  void onResponseHead();
  void onResponseBody();
  void onResponseComplete();
  void startRelaying();
  void relayEvents(bool Last);
  void commit();
  void onSendFailed(send_outcome Outcome, const char *Reason);
  void respondWithError(proxy_error Reason);
  void onTimeout();
  void finishResponse(std::string Tail);
  void abortResponse(const char *Reason);
  void releaseRunner(bool Reusable);
  void settle();
  void finalize(const char *Result, int Status);
  runner_view *runner();
  milliseconds timeLeft(instant Now) const;

  exchange_context &Context;
  http_request_head Head;
  std::string Body;
  instant Arrival;
  bool KeepAlive;
  caller_sink Sink;

  stage Stage = stage::Deciding;
  request_traits Traits;
  route_table_ptr Routes; ///< The configuration that the request began with.
  const route *Route = nullptr;
  std::string Service;
  std::optional<engine_traits> Engine;
  instant Deadline{};
  asio::steady_timer DeadlineTimer;
  asio::steady_timer StepTimer;

  bool Reserved = false; ///< Tokens are reserved and not settled yet.
  std::string Chain;     ///< Turns before this one.
  history_client::operation_ptr History;

  send_counts Sends;
  std::set<std::string> TriedRunners;
  std::string RunnerId;
  std::int64_t RunnerBornMs = 0;
  std::string RunnerAddress;
  std::shared_ptr<tcp_stream> Stream;
  bool ReusedConnection =
      false; ///< The runner's connection was kept from before.
  http_reader Reader{http_message::Response};
  response_traits RunnerResponse;
  std::string ResponseBody; ///< Bytes that are not passed on yet.
  event_parser Events;
  std::string Output; ///< Data of the events passed on.
  std::uint64_t EventCount = 0;
  bool Buffered = true; ///< The whole answer is read before it is passed on.
  bool ResponseStarted = false;
  std::size_t ResponseBytes = 0;
  instant FirstByte{};
  instant ReservedAt{};
  instant ResponseCompletedAt{};
};

} // namespace lentilhoist
