#pragma once

#include "history/history_client.h"

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <memory>
#include <set>

namespace lentilhoist {

/// Passes requests for the history on, for instances that do not reach the
/// replicas themselves. Requests go to the replica that they name and no
/// further.
class relay_server {
public:
  /// \param Loop the event loop.
  /// \param Address where to listen.
  /// \param Client this instance's client, whose connections are used.
  /// \throws std::system_error if the address can't be used.
  relay_server(asio::io_context &Loop, const asio::ip::tcp::endpoint &Address,
               history_client &Client);

private:
  struct peer;

  void accept();
  void onBytes(const std::shared_ptr<peer> &Peer, std::string_view Bytes);

  asio::ip::tcp::acceptor Acceptor;
  std::set<std::shared_ptr<peer>> Peers;
  history_client &Client;
};

} // namespace lentilhoist
