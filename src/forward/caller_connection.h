#pragma once

#include "forward/exchange.h"
#include "net/tcp_stream.h"

#include <asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <string>

namespace lentilhoist {

/// A caller's connection: reads requests one after the other, each served by an
/// exchange of its own.
class caller_connection
    : public std::enable_shared_from_this<caller_connection> {
public:
  /// \param Context what requests share.
  /// \param Stream the connection.
  /// \param OnClosed called once when the connection has ended.
  caller_connection(exchange_context &Context,
                    std::shared_ptr<tcp_stream> Stream,
                    std::function<void(caller_connection *)> OnClosed);

  /// Starts to read.
  void start();

  /// \returns whether no part of a request has arrived that is not answered.
  bool idle() const { return !Current && !Reader.started() && Input.empty(); }

  /// Ends an idle connection in order; one that is in use ends behind its
  /// answer.
  void closeIfIdle();

  /// Breaks the connection off.
  void abort();

private:
  void onBytes(std::string_view Bytes);
  void readRequest();
  void startExchange();
  void finishExchange(bool Close);
  void reject(int Status, const char *Reason);
  void armTimer();
  void onTimer();
  void notifyClosed();
  const caller_limits &limits() const;

  exchange_context &Context;
  std::shared_ptr<tcp_stream> Stream;
  std::function<void(caller_connection *)> OnClosed;
  http_reader Reader{http_message::Request};
  std::string Input; ///< Arrived behind the request under way.
  std::string Body;
  std::shared_ptr<exchange> Current;
  asio::steady_timer Timer;
  instant RequestStart{}; ///< First byte of the request that is being read.
  instant LastReceived{};
  bool ContinueSent = false;
  bool Closing = false;
};

} // namespace lentilhoist
