#pragma once

#include "history/history_client.h"
#include "history/replica_server.h"

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
  void forwardRequest(replica_request Request,
                      const replica_server::on_reply &OnReply);

  history_client &Client;
  replica_server Server;
};

} // namespace lentilhoist
