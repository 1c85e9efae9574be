#pragma once

#include "net/shared_bytes.h"
#include "net/socket_settings.h"

#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>
#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace lentilhoist {

/// How a connection ended.
enum class stream_end {
  Finished,      ///< The peer ended it in order.
  Reset,         ///< The peer or the network broke it, whether reading or
                 ///< writing met that first.
  ConnectFailed, ///< It was never established.
};

/// \param End the value to name.
/// \returns its stable text form.
const char *streamEndName(stream_end End);

/// A TCP connection on an event loop: reads all the time, writes from a queue.
/// Lives until it is closed; callbacks hold no reference to it. After close()
/// no callback is made any more.
class tcp_stream : public std::enable_shared_from_this<tcp_stream> {
public:
  /// What the owner is told.
  struct handlers {
    std::function<void()> OnConnected;             ///< connect() succeeded.
    std::function<void(std::string_view)> OnBytes; ///< Bytes arrived.
    std::function<void(stream_end)> OnEnd;         ///< Nothing more follows.
    std::function<void()> OnDrained;               ///< All is written.
    /// Asked before bytes that have arrived are read: whether they may be. If
    /// not, reading is paused. May be empty.
    std::function<bool()> AllowRead;
  };

  /// \param Socket a connected socket, or a closed one for connect().
  /// \param Settings options of the connection.
  tcp_stream(asio::ip::tcp::socket Socket, const socket_settings &Settings);

  /// Sets what the owner is told; call it before any other member.
  void setHandlers(handlers Given) {
    Handlers = std::make_shared<handlers>(std::move(Given));
  }

  /// Connects within the settings' time, then reads.
  /// \param Target the peer.
  void connect(const asio::ip::tcp::endpoint &Target);

  /// Starts to read on a socket that is connected already.
  void start();

  /// Sends bytes in order; before the connection stands they wait.
  /// \param Bytes the bytes.
  void write(std::string Bytes);

  /// Sends bytes in order without a copy of its own.
  /// \param Bytes the bytes; held until the system has accepted them.
  void write(shared_bytes Bytes);

  /// Stops or goes on reading, so that a slow consumer holds back its peer.
  /// \param Paused whether to stop.
  void pauseReading(bool Paused);

  /// Sends what is queued, then ends our side in order. What the peer still
  /// sends is read and dropped until it ends too or LingerTime is over.
  void finish();

  /// Like finish(), for a connection on which nothing is under way: what the
  /// peer still sends is met by a reset at once, so that it need not wait.
  void finishIdle();

  /// Ends the connection at once; the peer sees a reset if data were unread.
  void close();

  /// Ends the connection so that the peer sees a reset.
  void abort();

  bool connected() const { return Connected; }
  bool closed() const { return Closed; }
  /// \returns whether neither side has ended, as far as is known.
  bool open() const { return !Closed && !PeerEnded && !WriteFailed; }
  /// \returns bytes that the system has not accepted yet, or never will.
  std::size_t pendingBytes() const { return Pending; }

  static constexpr std::size_t ReadSize =
      16UL * 1024UL; ///< Most bytes that a read takes.

private:
  /// How long finish() waits for the peer's end; a peer that keeps the
  /// connection open sees a reset after that.
  static constexpr std::chrono::milliseconds LingerTime{1'000};

  /// Bytes that are to be sent: Own, unless Shared is set.
  struct outgoing {
    std::string Own;
    shared_bytes Shared{};
    std::string_view bytes() const {
      return Shared.Owner ? Shared.Bytes : std::string_view(Own);
    }
  };

  void enqueue(outgoing Bytes);
  void setOptions();
  void readSome();
  void writeSome();
  void onWritten(const asio::error_code &Error, std::size_t Length);
  void onPeerEnd();
  void awaitDelivery();
  void end(stream_end How);
  void shutdownAfterWrites();

  asio::ip::tcp::socket Socket;
  asio::steady_timer Timer; ///< Of connect(), later of awaitDelivery().
  socket_settings Settings;
  /// Shared, so that a handler may close the connection that runs it.
  std::shared_ptr<handlers> Handlers = std::make_shared<handlers>();
  std::vector<char> ReadBuffer;
  std::deque<outgoing> Queue;
  std::vector<outgoing> Sending; ///< Owned by the write under way.
  std::size_t Pending = 0;
  bool Connected = false;
  bool Reading = false;
  bool Paused = false;
  bool Writing = false;
  bool WriteFailed = false; ///< The system has reported a broken connection.
  bool PeerEnded = false;   ///< All that the peer sent has been read.
  bool Finishing = false;
  bool Closed = false;
};

} // namespace lentilhoist
