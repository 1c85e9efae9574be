#pragma once

#include "instance/peer_message.h"

#include <array>
#include <asio.hpp>
#include <deque>
#include <functional>
#include <memory>
#include <string>

namespace lentilhoist {

/// One TCP connection between two instances. All members run on the link's
/// thread.
class peer_connection : public std::enable_shared_from_this<peer_connection> {
public:
  using message_handler = std::function<void(const peer_message &)>;
  using close_handler = std::function<void()>;

  /// \param Socket the socket, connected or about to be.
  explicit peer_connection(asio::ip::tcp::socket Socket);

  /// Sets what happens with messages and with the end of the connection.
  /// \param OnMessage takes each message.
  /// \param OnClose called once.
  void setHandlers(message_handler OnMessage, close_handler OnClose);

  /// Connects, then reads.
  /// \param Target the other instance's link.
  void connect(const asio::ip::tcp::endpoint &Target);

  /// Starts to read from a connected socket.
  void start();

  /// Queues a message.
  /// \param Message the message.
  void send(const peer_message &Message);

  /// Closes the connection.
  void close();

  /// \returns when bytes last arrived, on the monotonic clock.
  std::chrono::steady_clock::time_point lastReceived() const {
    return LastReceived;
  }

  /// \returns the underlying socket.
  asio::ip::tcp::socket &socket() { return Socket; }

private:
  void readHeader();
  void readBody(std::size_t Length);
  void writeNext();

  asio::ip::tcp::socket Socket;
  message_handler OnMessage;
  close_handler OnClose;
  std::array<char, FrameHeaderBytes> Header{};
  std::string Body;
  std::deque<std::string> Outgoing;
  bool Connected = false;
  bool Writing = false;
  bool Closed = false;
  std::chrono::steady_clock::time_point LastReceived;
};

} // namespace lentilhoist
