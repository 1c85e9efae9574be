#pragma once

#include "net/frame.h"
#include "net/listener.h"
#include "net/tcp_stream.h"
#include "tunnel/tunnel_message.h"

#include <asio/io_context.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>

namespace lentilhoist {

/// Tunnels of other instances that an instance opens at most at a time. Each
/// takes two descriptors and up to two times MaxTunnelBacklogBytes.
inline constexpr std::size_t MaxTunnels = 256;
/// Reading from one side of a tunnel pauses when more than this many bytes wait
/// for the other side.
inline constexpr std::size_t MaxTunnelBacklogBytes = 64UL * 1024UL;

/// What a tunnel server asks of its instance.
struct tunnel_host {
  /// \returns why no tunnel is opened now; None if one may be.
  std::function<tunnel_refusal()> CheckOpen;
  /// \returns the address of an incarnation of a runner, if it is known.
  std::function<std::optional<std::string>(const std::string &Runner,
                                           std::int64_t BornMs)>
      FindRunner;
  /// \returns whether an incarnation of a runner leaves, by its registration or
  /// its responses; may be empty.
  std::function<bool(const std::string &Runner, std::int64_t BornMs)> IsLeaving;
  /// Told that an incarnation of a runner has said so to another instance; may
  /// be empty.
  std::function<void(const std::string &Runner, std::int64_t BornMs)> OnLeaving;
  /// Told whether a runner accepted a connection.
  std::function<void(const std::string &Runner, bool Accepted)> OnConnect;
  std::function<void()> OnClosed;       ///< Told when a tunnel has ended.
  std::size_t TunnelLimit = MaxTunnels; ///< Tunnels that are open at a time.
};

/// Connects other instances, which have lost their path to the runners, to
/// runners that this instance knows. Passes on bytes and ends; requests are
/// neither read nor repeated.
class tunnel_server {
public:
  /// \param Loop the event loop.
  /// \param Address where to listen.
  /// \param Host the instance.
  /// \throws std::system_error if the address can't be used.
  tunnel_server(asio::io_context &Loop, const asio::ip::tcp::endpoint &Address,
                tunnel_host Host);
  ~tunnel_server();

  /// Tells the other instances that this one stops: their idle tunnels end, and
  /// no further request is sent on the others.
  void announceStop();

  /// Tells the other instances to send no further request on their tunnels to a
  /// runner that leaves; requests in progress end.
  /// \param Runner ID of the runner.
  /// \param BornMs its incarnation.
  void announceLeaving(const std::string &Runner, std::int64_t BornMs);

  std::size_t tunnels() const { return Tunnels.size(); }
  std::uint16_t port() const { return Listener.port(); }

private:
  struct tunnel;
  using tunnel_ptr = std::shared_ptr<tunnel>;

  void add(asio::ip::tcp::socket Socket);
  void onOriginBytes(const tunnel_ptr &Tunnel, std::string_view Bytes);
  void onMessage(const tunnel_ptr &Tunnel, const tunnel_message &Message);
  void open(const tunnel_ptr &Tunnel, const tunnel_message &Message);
  void connectRunner(const tunnel_ptr &Tunnel, const std::string &Address);
  void onRunnerEnd(const tunnel_ptr &Tunnel, stream_end End);
  void refuse(const tunnel_ptr &Tunnel, tunnel_refusal Refusal);
  void finish(const tunnel_ptr &Tunnel, const tunnel_message &Last);
  void remove(const tunnel_ptr &Tunnel);
  void forget(const tunnel_ptr &Tunnel);

  asio::io_context &Loop;
  tunnel_host Host;
  std::set<tunnel_ptr> Tunnels;
  bool StopAnnounced = false;
  std::size_t WithRunner = 0; ///< Tunnels with a connection to a runner.
  listener Listener;
};

} // namespace lentilhoist
