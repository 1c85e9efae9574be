#pragma once

#include "call/answer_sink.h"
#include "call/caller_request.h"
#include "instance/peer_connection.h"
#include "membership/member.h"

#include <asio.hpp>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <thread>

namespace lentilhoist {

/// Settings of the link between instances.
struct peer_link_settings {
  std::string Address = "127.0.0.1";
  std::uint16_t Port = 0;
  std::string Token; ///< Shared secret; a peer without it is refused.
  std::chrono::milliseconds Heartbeat{500};
  std::chrono::milliseconds Silence{2'000}; ///< Then the connection is dead.
  std::string Domain; ///< Failure domain of this instance.
  std::chrono::milliseconds SimulatedDelay{
      0}; ///< One way, to other failure domains; for experiments on one
          ///< machine. The sender of a request waits for both ways.
};

/// Passes requests between instances over TCP, many on one connection. A
/// connection that falls silent is closed, and its requests end with
/// error_code::NotOwner, so that they are routed anew.
class peer_link {
public:
  using request_handler =
      std::function<void(owner_request, std::shared_ptr<answer_sink>)>;
  using offer_handler = std::function<void(shard_index)>;

  /// \param Settings where and how to serve.
  /// \param OnRequest takes requests that other instances pass on.
  /// \param OnOffer takes the news that a shard was handed to this instance.
  peer_link(peer_link_settings Settings, request_handler OnRequest,
            offer_handler OnOffer);
  ~peer_link();
  peer_link(const peer_link &) = delete;
  peer_link &operator=(const peer_link &) = delete;

  /// Binds the port and serves on a thread of its own.
  /// \throws std::system_error if the port can't be bound.
  void start();

  /// Closes all connections and joins the thread.
  void stop();

  /// Passes a request to another instance.
  /// \param To the instance.
  /// \param Request the request.
  /// \param Sink where the answer goes.
  void send(const member_identity &To, const owner_request &Request,
            std::shared_ptr<answer_sink> Sink);

  /// Tells an instance that a shard was handed to it.
  /// \param To the instance.
  /// \param Shard the shard.
  void offer(const member_identity &To, shard_index Shard);

  /// \returns the port that is served.
  std::uint16_t port() const { return Settings.Port; }

private:
  /// A connection that this instance opened, and its open requests.
  struct outgoing {
    std::shared_ptr<peer_connection> Connection;
    std::map<std::uint64_t, std::shared_ptr<answer_sink>> Open;
  };

  void accept();
  void serve(const std::shared_ptr<peer_connection> &Connection);
  void onIncoming(const std::shared_ptr<peer_connection> &Connection,
                  const std::shared_ptr<bool> &Trusted,
                  const peer_message &Message);
  outgoing &connectionTo(const member_identity &To);
  void onOutgoing(const std::string &Id, const peer_message &Message);
  void dropOutgoing(const std::string &Id, const peer_connection *Connection);
  void beat();
  void afterDelay(const std::string &ToDomain, std::function<void()> Task);

  peer_link_settings Settings;
  request_handler OnRequest;
  offer_handler OnOffer;
  asio::io_context Context;
  asio::ip::tcp::acceptor Acceptor;
  asio::steady_timer Timer;
  std::map<std::string, outgoing> Outgoing;
  std::map<const peer_connection *, std::shared_ptr<peer_connection>> Incoming;
  std::uint64_t NextStream = 1;
  std::thread Thread;
};

} // namespace lentilhoist
