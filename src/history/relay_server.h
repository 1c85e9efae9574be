#pragma once

#include "history/history_client.h"
#include "history/replica_server.h"

namespace lentilhoist {

/// Forwards history requests of instances that do not reach a replica
/// themselves. A request goes to the replica that it names; it is not forwarded
/// through a further relay.
class relay_server {
public:
  /// \param Loop the event loop.
  /// \param Address address to listen on.
  /// \param Limits memory for messages that are passed on.
  /// \param Client client of this instance, whose connections are used; must
  /// outlive the server.
  /// \throws std::system_error if the address cannot be bound.
  relay_server(asio::io_context &Loop, const asio::ip::tcp::endpoint &Address,
               const server_limits &Limits, history_client &Client);

private:
  void forwardRequest(replica_request Request,
                      const replica_server::on_reply &OnReply);

  history_client &Client;
  replica_server Server;
};

} // namespace lentilhoist
