#pragma once

#include "net/http_reader.h"
#include "net/tcp_stream.h"
#include "platform/store_protocol.h"

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <deque>
#include <functional>
#include <memory>
#include <string>

namespace lentilhoist {

/// Answer of the store to one call.
struct store_answer {
  store_status Status = store_status::Unknown;
  std::string Body;
};

/// One connection to the platform's store, with one call under way at a time.
/// Each wait is bounded; a connection on which an answer is overdue is given
/// up, as nothing further would come on it.
class store_client : public std::enable_shared_from_this<store_client> {
public:
  using on_answer = std::function<void(store_answer)>;

  /// \param Loop the event loop.
  /// \param Address the store as IP:PORT.
  store_client(asio::io_context &Loop, std::string Address);

  /// Makes a call; calls wait for those before them.
  /// \param Call the call.
  /// \param Limit longest wait for its answer, connecting included.
  /// \param OnAnswer called once, unless close() comes first.
  void call(const platform::store_request &Call,
            std::chrono::milliseconds Timeout, on_answer OnAnswer);

  /// Ends the connection and forgets all calls.
  void close();

private:
  /// A call that is not answered.
  struct pending_call {
    std::string Bytes;
    std::chrono::milliseconds Timeout;
    on_answer OnAnswer;
  };

  void sendNext();
  void connect();
  void onBytes(std::string_view Bytes);
  void finish(store_answer Answer, bool KeepConnection);

  asio::io_context &Loop;
  std::string Address;
  std::shared_ptr<tcp_stream> Stream;
  http_reader Reader{http_message::Response};
  std::string Body;
  asio::steady_timer Timer;
  std::deque<pending_call> Calls;
  bool Busy = false;
};

} // namespace lentilhoist
