#include "history/replica_server.h"

#include "log/log.h"

#include <stdexcept>

namespace lentilhoist {

/// A connection from another instance.
struct replica_server::peer {
  std::shared_ptr<tcp_stream> Stream;
  frame_reader Frames;
};

replica_server::replica_server(asio::io_context &Loop,
                               const asio::ip::tcp::endpoint &Address,
                               handler GivenHandler)
    : Handler(std::move(GivenHandler)),
      Listener(Loop, Address, "replica", [this](asio::ip::tcp::socket Socket) {
        addPeer(std::move(Socket));
      }) {}

void replica_server::addPeer(asio::ip::tcp::socket Socket) {
  const auto Peer = std::make_shared<peer>();
  Peer->Stream =
      std::make_shared<tcp_stream>(std::move(Socket), socket_settings{});
  tcp_stream::handlers Handlers;
  const std::weak_ptr<peer> Weak = Peer;
  Handlers.OnBytes = [this, Weak](std::string_view Bytes) {
    if (const auto Self = Weak.lock())
      onBytes(Self, Bytes);
  };
  Handlers.OnEnd = [this, Weak](stream_end) { Peers.erase(Weak.lock()); };
  Peers.insert(Peer);
  Peer->Stream->setHandlers(std::move(Handlers));
  Peer->Stream->start();
}

void replica_server::onBytes(const std::shared_ptr<peer> &Peer,
                             std::string_view Bytes) {
  Peer->Frames.add(Bytes);
  try {
    while (const auto Frame = Peer->Frames.next())
      Handler(decodeReplicaRequest(*Frame),
              [Weak = std::weak_ptr<peer>(Peer)](const replica_reply &Reply) {
                if (const auto Self = Weak.lock())
                  Self->Stream->write(encodeMessage(Reply));
              });
  } catch (const std::runtime_error &Error) {
    logEvent(log_level::Warning, "peer_message_unreadable",
             {{"reason", Error.what()}});
    Peer->Stream->close();
    Peers.erase(Peer);
  }
}

} // namespace lentilhoist
