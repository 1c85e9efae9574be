#include "tunnel/tunnel_server.h"

#include "log/log.h"
#include "net/address.h"

#include <stdexcept>
#include <utility>

namespace lentilhoist {

/// One instance's connection and, once it is open, that to the runner.
struct tunnel_server::tunnel {
  std::shared_ptr<tcp_stream> Origin;
  std::shared_ptr<tcp_stream> Runner; ///< Null before an Open message.
  std::string RunnerId;
  std::int64_t RunnerBornMs = 0;
  frame_reader Frames{MaxTunnelMessageBytes};
  bool Opened = false;
  std::size_t ToRunner = 0;   ///< Bytes passed on so far.
  std::size_t FromRunner = 0; ///< Bytes passed back so far.
};

tunnel_server::tunnel_server(asio::io_context &GivenLoop,
                             const asio::ip::tcp::endpoint &Address,
                             tunnel_host GivenHost)
    : Loop(GivenLoop), Host(std::move(GivenHost)),
      Listener(Loop, Address, "tunnels", [this](asio::ip::tcp::socket Socket) {
        add(std::move(Socket));
      }) {}

tunnel_server::~tunnel_server() {
  for (const tunnel_ptr &Tunnel : Tunnels) {
    Tunnel->Origin->close();
    if (Tunnel->Runner)
      Tunnel->Runner->close();
  }
}

void tunnel_server::add(asio::ip::tcp::socket Socket) {
  const auto Tunnel = std::make_shared<tunnel>();
  Tunnel->Origin =
      std::make_shared<tcp_stream>(std::move(Socket), socket_settings{});
  const std::weak_ptr<tunnel> Weak = Tunnel;
  tcp_stream::handlers Handlers;
  Handlers.OnBytes = [this, Weak](std::string_view Bytes) {
    if (const auto Self = Weak.lock())
      onOriginBytes(Self, Bytes);
  };
  Handlers.OnEnd = [this, Weak](stream_end) {
    if (const auto Self = Weak.lock())
      remove(Self);
  };
  Handlers.OnDrained = [Weak] {
    if (const auto Self = Weak.lock(); Self && Self->Runner)
      Self->Runner->pauseReading(false);
  };
  Tunnels.insert(Tunnel);
  Tunnel->Origin->setHandlers(std::move(Handlers));
  Tunnel->Origin->start();
}

void tunnel_server::forget(const tunnel_ptr &Tunnel) {
  if (Tunnels.erase(Tunnel) == 0)
    return;
  if (Tunnel->Runner) {
    Tunnel->Runner->close();
    --WithRunner;
  }
  if (Tunnel->Opened)
    logEvent(log_level::Info, "tunnel_closed",
             {{"runner", Tunnel->RunnerId},
              {"to_runner", std::to_string(Tunnel->ToRunner)},
              {"from_runner", std::to_string(Tunnel->FromRunner)},
              {"tunnels", std::to_string(Tunnels.size())}});
  Host.OnClosed();
}

void tunnel_server::remove(const tunnel_ptr &Tunnel) {
  Tunnel->Origin->close();
  forget(Tunnel);
}

void tunnel_server::finish(const tunnel_ptr &Tunnel,
                           const tunnel_message &Last) {
  Tunnel->Origin->write(encodeMessage(Last));
  Tunnel->Origin->finish();
  forget(Tunnel);
}

void tunnel_server::refuse(const tunnel_ptr &Tunnel, tunnel_refusal Refusal) {
  logEvent(log_level::Info, "tunnel_refused",
           {{"runner", Tunnel->RunnerId},
            {"reason", tunnelRefusalName(Refusal)},
            {"tunnels", std::to_string(Tunnels.size())}});
  tunnel_message Message;
  Message.Kind = tunnel_kind::Refused;
  Message.Refusal = Refusal;
  finish(Tunnel, Message);
}

void tunnel_server::onOriginBytes(const tunnel_ptr &Tunnel,
                                  std::string_view Bytes) {
  Tunnel->Frames.add(Bytes);
  try {
    while (const auto Frame =
               Tunnels.contains(Tunnel) ? Tunnel->Frames.next() : std::nullopt)
      onMessage(Tunnel, decodeTunnelMessage(*Frame));
  } catch (const std::runtime_error &Error) {
    logEvent(log_level::Warning, "tunnel_message_unreadable",
             {{"runner", Tunnel->RunnerId}, {"reason", Error.what()}});
    remove(Tunnel);
  }
}

void tunnel_server::onMessage(const tunnel_ptr &Tunnel,
                              const tunnel_message &Message) {
  if (Message.Kind == tunnel_kind::Open && !Tunnel->Runner) {
    open(Tunnel, Message);
    return;
  }
  if (Message.Kind != tunnel_kind::Data || !Tunnel->Opened)
    throw std::runtime_error("a message out of order");
  if (!Message.Runner.empty()) {
    if (Host.OnLeaving)
      Host.OnLeaving(Message.Runner, Message.BornMs);
    return;
  }
  Tunnel->ToRunner += Message.Data.size();
  Tunnel->Runner->write(Message.Data);
  if (Tunnel->Runner->pendingBytes() > MaxTunnelBacklogBytes)
    Tunnel->Origin->pauseReading(true);
}

void tunnel_server::open(const tunnel_ptr &Tunnel,
                         const tunnel_message &Message) {
  Tunnel->RunnerId = Message.Runner;
  Tunnel->RunnerBornMs = Message.BornMs;
  tunnel_refusal Refusal = Host.CheckOpen();
  if (Refusal == tunnel_refusal::None && WithRunner >= Host.TunnelLimit)
    Refusal = tunnel_refusal::Busy;
  if (Refusal != tunnel_refusal::None) {
    refuse(Tunnel, Refusal);
    return;
  }
  if (Message.Runner.empty()) {
    tunnel_message Reply;
    Reply.Kind = tunnel_kind::Opened;
    finish(Tunnel, Reply);
    return;
  }
  // As a runner that accepts no connection: the instance tries another one.
  if (Host.IsLeaving && Host.IsLeaving(Message.Runner, Message.BornMs)) {
    refuse(Tunnel, tunnel_refusal::RunnerUnreachable);
    return;
  }
  const auto Address = Host.FindRunner(Message.Runner, Message.BornMs);
  if (Address)
    connectRunner(Tunnel, *Address);
  else
    refuse(Tunnel, tunnel_refusal::UnknownRunner);
}

void tunnel_server::connectRunner(const tunnel_ptr &Tunnel,
                                  const std::string &Address) {
  ++WithRunner;
  Tunnel->Runner = std::make_shared<tcp_stream>(asio::ip::tcp::socket(Loop),
                                                RunnerSocketSettings);
  const std::weak_ptr<tunnel> Weak = Tunnel;
  tcp_stream::handlers Handlers;
  Handlers.OnConnected = [this, Weak] {
    const auto Self = Weak.lock();
    if (!Self)
      return;
    Self->Opened = true;
    Host.OnConnect(Self->RunnerId, true);
    tunnel_message Message;
    Message.Kind = tunnel_kind::Opened;
    Self->Origin->write(encodeMessage(Message));
    logEvent(log_level::Info, "tunnel_opened",
             {{"runner", Self->RunnerId},
              {"tunnels", std::to_string(Tunnels.size())}});
  };
  Handlers.OnBytes = [Weak](std::string_view Bytes) {
    const auto Self = Weak.lock();
    if (!Self)
      return;
    Self->FromRunner += Bytes.size();
    Self->Origin->write(encodeTunnelData(Bytes));
    if (Self->Origin->pendingBytes() > MaxTunnelBacklogBytes)
      Self->Runner->pauseReading(true);
  };
  Handlers.OnDrained = [Weak] {
    if (const auto Self = Weak.lock())
      Self->Origin->pauseReading(false);
  };
  Handlers.OnEnd = [this, Weak](stream_end End) {
    if (const auto Self = Weak.lock())
      onRunnerEnd(Self, End);
  };
  Tunnel->Runner->setHandlers(std::move(Handlers));
  // The address was validated when the registry entry was decoded.
  Tunnel->Runner->connect(*parseAddress(Address));
}

void tunnel_server::onRunnerEnd(const tunnel_ptr &Tunnel, stream_end End) {
  if (End == stream_end::ConnectFailed) {
    Host.OnConnect(Tunnel->RunnerId, false);
    refuse(Tunnel, tunnel_refusal::RunnerUnreachable);
    return;
  }
  tunnel_message Message;
  Message.Kind = tunnel_kind::End;
  Message.End = End;
  Message.Delivered = static_cast<std::int64_t>(Tunnel->ToRunner);
  finish(Tunnel, Message);
}

void tunnel_server::announceLeaving(const std::string &Runner,
                                    std::int64_t BornMs) {
  tunnel_message Message;
  Message.Kind = tunnel_kind::Closing;
  const std::string Bytes = encodeMessage(Message);
  for (const tunnel_ptr &Tunnel : Tunnels)
    if (Tunnel->RunnerId == Runner && Tunnel->RunnerBornMs == BornMs)
      Tunnel->Origin->write(Bytes);
}

void tunnel_server::announceStop() {
  if (std::exchange(StopAnnounced, true))
    return;
  tunnel_message Message;
  Message.Kind = tunnel_kind::Closing;
  const std::string Bytes = encodeMessage(Message);
  for (const tunnel_ptr &Tunnel : Tunnels)
    Tunnel->Origin->write(Bytes);
}

} // namespace lentilhoist
