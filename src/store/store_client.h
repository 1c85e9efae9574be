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

/// Response of the store to one call.
struct store_answer {
  store_status Status = store_status::Unknown;
  std::string Body;
};

/// Largest response that is read, in bytes; far above that of a list. One that
/// goes on without end is given up.
inline constexpr std::size_t MaxStoreResponseBytes =
    std::size_t{16} * 1024 * 1024;

/// Client of the platform's store over one connection. Calls are queued and
/// sent one at a time. Each call has a timeout; a connection whose call times
/// out is closed, because no further response is expected on it.
class store_client : public std::enable_shared_from_this<store_client> {
public:
  using on_answer = std::function<void(store_answer)>;

  /// \param Loop the event loop.
  /// \param Address address of the store as IP:PORT.
  store_client(asio::io_context &Loop, std::string Address);

  /// Queues a call; calls are sent in order.
  /// \param Call the encoded request.
  /// \param Timeout limit on the time from sending to the complete response,
  /// including the time to connect.
  /// \param OnAnswer called once with the response, or with
  /// store_status::Unknown on a timeout or a connection error; not called after
  /// close().
  void call(const platform::store_request &Call,
            std::chrono::milliseconds Timeout, on_answer OnAnswer);

  /// Closes the connection and drops all calls without calling their handlers.
  void close();

private:
  /// A call that is queued or awaits its response.
  struct pending_call {
    std::string Bytes;
    std::chrono::milliseconds Timeout;
    on_answer OnAnswer;
  };

  void sendNext();
  void connect();
  void onBytes(std::string_view Bytes);
  void onEnd(stream_end End);
  void finishComplete(bool KeepConnection);
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
