#pragma once

#include "core/instant.h"
#include "net/frame.h"
#include "net/tcp_stream.h"
#include "tunnel/tunnel_message.h"

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace lentilhoist {

/// Where a connection to a runner leads and which way it takes.
struct runner_target {
  std::string Address;     ///< The runner as IP:PORT.
  std::string Relay;       ///< The relay as IP:PORT; empty for none.
  std::string Runner;      ///< The runner's ID, for the relay.
  std::int64_t BornMs = 0; ///< The runner's incarnation, for the relay.
};

/// A connection to a runner, through a relay if this instance has no path of
/// its own. Both ways have the same interface and tell the same ends. Through a
/// relay, nothing reaches the runner before the connection is established, so
/// one that fails before has run nothing.
class runner_connection
    : public std::enable_shared_from_this<runner_connection> {
public:
  /// \param Loop the event loop.
  /// \param Target the runner.
  runner_connection(asio::io_context &Loop, runner_target Target);
  ~runner_connection() { close(); }

  /// Sets what the owner is told.
  void setHandlers(tcp_stream::handlers Given) {
    Handlers = std::make_shared<tcp_stream::handlers>(std::move(Given));
  }

  /// Connects. If that takes too long, the connection has failed.
  void connect();

  /// Sends bytes in order; only once the connection is established.
  /// \param Bytes the bytes.
  void write(std::string Bytes);

  /// Sends bytes in order, to a runner without a copy of its own.
  /// \param Bytes the bytes.
  void write(shared_bytes Bytes);

  /// Stops or goes on reading.
  /// \param Paused whether to stop.
  void pauseReading(bool Paused) { Stream->pauseReading(Paused); }

  /// Tells the relay, if there is one, that the runner leaves: a relay doesn't
  /// read the responses that it passes on.
  void announceLeaving();

  /// Ends the connection at once; the handlers are not called any more.
  void close();

  bool closed() const { return Stream->closed(); }
  std::size_t pendingBytes() const { return Stream->pendingBytes(); }
  const runner_target &target() const { return Target; }
  bool relayed() const { return !Target.Relay.empty(); }
  /// \returns whether another request may be sent on it.
  bool reusable() const {
    return Stream->open() && !RelayClosing &&
           RefusedAttempts.size() < MaxRefusedAttempts;
  }

  /// Notes that a request was refused on this connection. A second copy of that
  /// refusal could not be told from the refusal of a later try.
  /// \param Attempt the request's ID.
  void recordRefusal(std::string_view Attempt);
  /// \param Attempt a request's ID.
  /// \returns whether the request was refused on this connection.
  bool hasRefused(std::string_view Attempt) const;

  /// \returns why the relay opened no tunnel; None if it gave no reason.
  tunnel_refusal refusal() const { return Refusal; }
  /// \returns whether an established connection ended because of the relay, not
  /// of the runner.
  bool relayBroke() const { return RelayBroke; }

private:
  /// Refusals that one connection may carry.
  static constexpr std::size_t MaxRefusedAttempts = 256;

  void onRelayBytes(std::string_view Bytes);
  void onMessage(const tunnel_message &Message);
  void onRelayBroke();
  bool tookAllBytes(const tunnel_message &End) const;
  void end(stream_end How);

  runner_target Target;
  std::shared_ptr<tcp_stream> Stream;
  /// Shared, so that a handler may close the connection that runs it.
  std::shared_ptr<tcp_stream::handlers> Handlers =
      std::make_shared<tcp_stream::handlers>();
  asio::steady_timer OpenTimer;
  frame_reader Frames{MaxTunnelMessageBytes};
  std::int64_t WrittenBytes = 0;
  bool Opened = false;
  bool RelayClosing = false; ///< The relay stops.
  bool RelayBroke = false;
  tunnel_refusal Refusal = tunnel_refusal::None;
  std::vector<std::uint64_t> RefusedAttempts; ///< Hashes of their IDs.
};

} // namespace lentilhoist
