#pragma once

#include "forward/exchange.h"
#include "net/tcp_stream.h"

#include <asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <string>

namespace lentilhoist {

/// Server side of a caller's HTTP connection. Reads requests in sequence and
/// serves each with its own exchange.
class caller_connection
    : public std::enable_shared_from_this<caller_connection> {
public:
  /// \param Context state shared by all requests; must outlive the connection.
  /// \param Stream the accepted connection.
  /// \param OnClosed called once when the connection has closed.
  caller_connection(exchange_context &Context,
                    std::shared_ptr<tcp_stream> Stream,
                    std::function<void(caller_connection *)> OnClosed);

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

  exchange_context &Context;
  std::shared_ptr<tcp_stream> Stream;
  std::function<void(caller_connection *)> OnClosed;
  http_reader Reader{http_message::Request};
  std::string Input; ///< Received but not yet parsed.
  std::string Body;
  std::shared_ptr<exchange> Current;
  asio::steady_timer Timer;
  instant RequestStart{};   ///< First byte of the current request.
  milliseconds BodyTime{0}; ///< From RequestStart to the end of the body.
  instant LastReceived{};   ///< Or when the connection was accepted.
  bool Served = false;      ///< A response has been sent.
  bool ReadingBody = false; ///< The head is complete.
  bool ContinueSent = false;
  bool Closing = false;
};

} // namespace lentilhoist
