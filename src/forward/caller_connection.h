#pragma once

#include "admission/connection_limit.h"
#include "admission/memory_account.h"
#include "forward/exchange.h"
#include "forward/receive_gate.h"
#include "net/tcp_stream.h"

#include <asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <string>

namespace lentilhoist {

/// Server side of a caller's HTTP connection. Reads requests in sequence and
/// serves each with its own exchange.
class caller_connection
    : public std::enable_shared_from_this<caller_connection>,
      private gated_receiver {
public:
  /// \param Context state shared by all requests; must outlive the connection.
  /// \param Stream the accepted connection.
  /// \param OnClosed called once when the connection has closed.
  caller_connection(exchange_context &Context,
                    std::shared_ptr<tcp_stream> Stream,
                    std::function<void(caller_connection *)> OnClosed);
  ~caller_connection() override;
  caller_connection(const caller_connection &) = delete;
  caller_connection &operator=(const caller_connection &) = delete;

  /// Starts reading requests.
  void start();

  /// \returns whether no request is in progress and no unprocessed input is
  /// buffered.
  bool idle() const { return !Current && !Reader.started() && Input.empty(); }

  /// Closes the connection gracefully if its caller has nothing under way. A
  /// caller that has just connected is about to send its first request, which
  /// is still served. While draining, a connection in use closes after its
  /// response.
  /// \param Now the current time.
  void closeIfUnused(instant Now);

  /// Resets the connection.
  void abort();

  /// \returns how long the connection has been without a request, and whether
  /// it has carried one; valid if idle().
  idle_connection idleState() const { return {Served, LastReceived}; }

  /// Closes a connection that is idle(), so that another one has its
  /// descriptor. One that never carried a request is reset.
  void giveUpDescriptor();

  /// Answers with an error in place of reading a request and closes.
  /// \param Reason why, for the log.
  void refuse(const char *Reason);

private:
  void onBytes(std::string_view Bytes);
  void readRequest();
  void startExchange();
  void finishExchange(bool Close);
  void reject(int Status, const char *Reason);
  void armTimer();
  void onTimer();
  void closeIdle();
  instant readDeadline() const;
  void notifyClosed();
  const caller_limits &limits() const;

  receiver describe() const override;
  void resume() override;
  void giveWay(give_way Reason) override;
  bool allowRead();
  bool admit(bool Queued);
  bool needsLargeBody() const;
  std::size_t neededBody() const;
  bool waitForMemory(std::size_t Wanted, bool Large, bool Optional);
  void noteProgress(std::size_t Bytes);
  void sendContinue();
  void chargeHead();

  exchange_context &Context;
  std::shared_ptr<tcp_stream> Stream;
  std::function<void(caller_connection *)> OnClosed;
  http_reader Reader{http_message::Request};
  std::string Input; ///< Received but not yet parsed.
  std::string Body;
  memory_charge HeadCharge{Context.Memory, memory_purpose::Heads};
  memory_charge BodyCharge{Context.Memory, memory_purpose::ReceivingBodies};
  memory_charge ResponseCharge{Context.Memory, memory_purpose::Responses};
  /// Bytes that it waits for; zero if it may read.
  std::size_t Wanted = 0;
  bool WantsLarge = false;
  bool WantsLater = false; ///< Its request is in progress.
  instant WaitingSince{};
  instant LastProgress{};
  std::size_t ProgressBytes = 0; ///< Since LastProgress.
  std::shared_ptr<exchange> Current;
  asio::steady_timer Timer;
  instant RequestStart{};   ///< First byte of the current request.
  milliseconds BodyTime{0}; ///< From RequestStart to the end of the body.
  instant LastReceived{};   ///< Or when the connection was accepted.
  bool Served = false;      ///< A response has been sent.
  bool ReadingBody = false; ///< The head is complete.
  bool ContinueSent = false;
  bool AwaitsDrain = false; ///< The next request waits for earlier responses.
  bool Closing = false;
};

} // namespace lentilhoist
