#include "history/relay_server.h"

namespace lentilhoist {

relay_server::relay_server(asio::io_context &Loop,
                           const asio::ip::tcp::endpoint &Address,
                           const server_limits &Limits,
                           history_client &GivenClient)
    : Client(GivenClient),
      Server(Loop, Address, Limits,
             [this](replica_request Request,
                    const replica_server::on_reply &OnReply) {
               forwardRequest(std::move(Request), OnReply);
             }) {}

void relay_server::forwardRequest(replica_request Request,
                                  const replica_server::on_reply &OnReply) {
  const std::string Target = std::exchange(Request.Target, {});
  const std::uint64_t Sequence = Request.Sequence;
  // A request without a target probes the relay itself.
  const bool KnownTarget = Client.replicas().find(Target).has_value();
  if (!KnownTarget || Client.link(Target).isSuspected(readClock())) {
    replica_reply Reply;
    Reply.Sequence = Sequence;
    if (!Target.empty())
      Reply.Status = replica_status::Unreachable;
    OnReply(Reply);
    return;
  }
  Client.link(Target).send(std::move(Request),
                           [Sequence, OnReply](replica_reply Reply) {
                             Reply.Sequence = Sequence;
                             OnReply(std::move(Reply));
                           });
}

} // namespace lentilhoist
