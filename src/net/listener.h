#pragma once

#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>
#include <functional>
#include <string>

namespace lentilhoist {

/// Accepts TCP connections on an event loop. After an error, such as a lack of
/// file descriptors, it pauses: the connection that waits would otherwise fail
/// again at once, which takes up the processor and fills the log.
class listener {
public:
  using on_connection = std::function<void(asio::ip::tcp::socket)>;

  /// Starts to accept.
  /// \param Loop the event loop; must outlive the listener.
  /// \param Address where to listen.
  /// \param Name what is served there, for the log.
  /// \param OnConnection takes each connection.
  /// \throws std::system_error if the address can't be used.
  listener(asio::io_context &Loop, const asio::ip::tcp::endpoint &Address,
           std::string Name, on_connection OnConnection);

  /// Called after each error, so that the owner can free descriptors.
  std::function<void()> OnError;

  /// Takes the connections that callers have established already, then closes
  /// the socket. Those that come later are refused.
  void stop();

  /// \returns the port.
  std::uint16_t port() const { return Port; }

private:
  void accept();
  void onError(const asio::error_code &Error);

  std::string Name;
  on_connection OnConnection;
  asio::ip::tcp::acceptor Acceptor;
  asio::steady_timer PauseTimer;
  std::uint16_t Port;
  std::uint64_t Failures = 0; ///< Since the last connection.
};

} // namespace lentilhoist
