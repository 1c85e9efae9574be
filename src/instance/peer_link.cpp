#include "instance/peer_link.h"

#include "decision/call_flow.h"
#include "log/log.h"

namespace lentilhoist {

namespace {

using tcp = asio::ip::tcp;

/// \returns whether an answer's message can be received. Its fields besides the
/// body are short.
bool fitsFrame(const call_answer &Answer) {
  return Answer.Body.size() <= MaxFrameBytes - MaxAnswerBytes / 2;
}

call_answer answerTooLarge(const call_answer &Answer) {
  logEvent(log_level::Error, "peer_answer_too_large",
           {{"bytes", std::to_string(Answer.Body.size())}});
  call_answer Error = makeErrorAnswer(
      error_code::Internal, "the answer is too large for the link between "
                            "instances; ask the owner of the program");
  Error.Run = Answer.Run;
  return Error;
}

/// Sends the answers of a request back over the connection that brought it.
class peer_sink : public answer_sink {
public:
  using sender = std::function<void(peer_message)>;

  peer_sink(std::uint64_t GivenStream, sender GivenSend)
      : Stream(GivenStream), Send(std::move(GivenSend)) {}

  void addText(std::uint32_t Attempt, std::uint64_t Offset,
               std::string_view Text) override {
    peer_message Message;
    Message.Kind = peer_kind::Text;
    Message.Stream = Stream;
    Message.Attempt = Attempt;
    Message.Offset = Offset;
    Message.Payload = Text;
    Send(std::move(Message));
  }

  void finish(const call_answer &Answer) override {
    peer_message Message;
    Message.Kind = peer_kind::Answer;
    Message.Stream = Stream;
    // The receiver would close the link, on which others wait.
    Message.Answer = fitsFrame(Answer) ? Answer : answerTooLarge(Answer);
    Send(std::move(Message));
  }

private:
  std::uint64_t Stream;
  sender Send;
};

call_answer linkLost() {
  call_answer Answer =
      makeErrorAnswer(error_code::NotOwner, "the link to the owner was lost");
  Answer.Run = run_state::OutcomeUnknown;
  return Answer;
}

} // namespace

peer_link::peer_link(peer_link_settings Given, request_handler RequestHandler,
                     offer_handler OfferHandler)
    : Settings(std::move(Given)), OnRequest(std::move(RequestHandler)),
      OnOffer(std::move(OfferHandler)), Acceptor(Context), Timer(Context) {}

peer_link::~peer_link() { stop(); }

void peer_link::start() {
  const tcp::endpoint Local(asio::ip::make_address(Settings.Address),
                            Settings.Port);
  Acceptor.open(Local.protocol());
  Acceptor.set_option(tcp::acceptor::reuse_address(true));
  Acceptor.bind(Local);
  Acceptor.listen();
  Settings.Port = Acceptor.local_endpoint().port();
  accept();
  beat();
  Thread = std::thread([this] { Context.run(); });
}

void peer_link::stop() {
  if (!Thread.joinable())
    return;
  asio::post(Context, [this] {
    asio::error_code Ignored;
    Acceptor.close(Ignored);
    Timer.cancel();
    const auto Closing = std::move(Incoming);
    Incoming.clear();
    for (const auto &[Key, Connection] : Closing)
      Connection->close();
    std::vector<std::shared_ptr<peer_connection>> Open;
    for (const auto &[Id, Peer] : Outgoing)
      Open.push_back(Peer.Connection);
    for (const auto &Connection : Open)
      Connection->close();
    Context.stop();
  });
  Thread.join();
}

void peer_link::afterDelay(const std::string &ToDomain,
                           std::function<void()> Task) {
  const bool Near = ToDomain == Settings.Domain;
  if (Near || Settings.SimulatedDelay.count() == 0) {
    asio::post(Context, std::move(Task));
    return;
  }
  asio::post(Context, [this, Task = std::move(Task)] {
    auto Delay = std::make_shared<asio::steady_timer>(
        Context, Settings.SimulatedDelay * 2);
    Delay->async_wait([Delay, Task](auto Error) {
      if (!Error)
        Task();
    });
  });
}

void peer_link::accept() {
  Acceptor.async_accept([this](auto Error, tcp::socket Socket) {
    if (Error)
      return;
    serve(std::make_shared<peer_connection>(std::move(Socket)));
    accept();
  });
}

void peer_link::serve(const std::shared_ptr<peer_connection> &Connection) {
  Incoming[Connection.get()] = Connection;
  const std::weak_ptr<peer_connection> Weak = Connection;
  const auto Trusted = std::make_shared<bool>(Settings.Token.empty());
  Connection->setHandlers(
      [this, Weak, Trusted](const peer_message &Message) {
        if (const auto Live = Weak.lock())
          onIncoming(Live, Trusted, Message);
      },
      [this, Key = Connection.get()] { Incoming.erase(Key); });
  Connection->start();
}

void peer_link::onIncoming(const std::shared_ptr<peer_connection> &Connection,
                           const std::shared_ptr<bool> &Trusted,
                           const peer_message &Message) {
  if (Message.Kind == peer_kind::Hello) {
    *Trusted = Message.Payload == Settings.Token;
    if (!*Trusted)
      logEvent(log_level::Warning, "peer_refused", {{"reason", "wrong token"}});
  }
  if (!*Trusted) {
    Connection->close();
    return;
  }
  switch (Message.Kind) {
  case peer_kind::Heartbeat:
    Connection->send(Message);
    return;
  case peer_kind::Offer:
    OnOffer(static_cast<shard_index>(Message.Stream));
    return;
  case peer_kind::Request: {
    const std::weak_ptr<peer_connection> Weak = Connection;
    auto Sink = std::make_shared<peer_sink>(
        Message.Stream, [this, Weak](peer_message Answer) {
          asio::post(Context, [Weak, Answer = std::move(Answer)] {
            if (const auto Live = Weak.lock())
              Live->send(Answer);
          });
        });
    OnRequest(decodeRequest(Message.Payload), std::move(Sink));
    return;
  }
  case peer_kind::Hello:
  case peer_kind::Text:
  case peer_kind::Answer:
    return;
  }
}

peer_link::outgoing &peer_link::connectionTo(const member_identity &To) {
  outgoing &Peer = Outgoing[To.Id];
  if (Peer.Connection)
    return Peer;
  auto Connection = std::make_shared<peer_connection>(tcp::socket(Context));
  Connection->setHandlers(
      [this, Id = To.Id](const peer_message &Message) {
        onOutgoing(Id, Message);
      },
      [this, Id = To.Id, Key = Connection.get()] { dropOutgoing(Id, Key); });
  Peer.Connection = Connection;
  peer_message Hello;
  Hello.Kind = peer_kind::Hello;
  Hello.Payload = Settings.Token;
  Connection->send(Hello);
  Connection->connect(
      tcp::endpoint(asio::ip::make_address(To.Address), To.Port));
  return Peer;
}

void peer_link::onOutgoing(const std::string &Id, const peer_message &Message) {
  const auto Peer = Outgoing.find(Id);
  if (Peer == Outgoing.end())
    return;
  const auto Open = Peer->second.Open.find(Message.Stream);
  if (Open == Peer->second.Open.end())
    return;
  const auto Sink = Open->second;
  if (Message.Kind == peer_kind::Text) {
    Sink->addText(Message.Attempt, Message.Offset, Message.Payload);
  } else if (Message.Kind == peer_kind::Answer) {
    Peer->second.Open.erase(Open);
    Sink->finish(Message.Answer);
  }
}

void peer_link::dropOutgoing(const std::string &Id,
                             const peer_connection *Connection) {
  const auto Peer = Outgoing.find(Id);
  if (Peer == Outgoing.end() || Peer->second.Connection.get() != Connection)
    return;
  const auto Lost = std::move(Peer->second);
  Outgoing.erase(Peer);
  for (const auto &[Stream, Sink] : Lost.Open)
    Sink->finish(linkLost());
}

void peer_link::send(const member_identity &To, const owner_request &Request,
                     std::shared_ptr<answer_sink> Sink) {
  peer_message Message;
  Message.Kind = peer_kind::Request;
  Message.Payload = encodeRequest(Request);
  afterDelay(To.Domain, [this, To, Message, Sink = std::move(Sink)]() mutable {
    outgoing &Peer = connectionTo(To);
    Message.Stream = NextStream++;
    Peer.Open.emplace(Message.Stream, Sink);
    Peer.Connection->send(Message);
  });
}

void peer_link::offer(const member_identity &To, shard_index Shard) {
  asio::post(Context, [this, To, Shard] {
    peer_message Message;
    Message.Kind = peer_kind::Offer;
    Message.Stream = Shard;
    connectionTo(To).Connection->send(Message);
  });
}

void peer_link::beat() {
  Timer.expires_after(Settings.Heartbeat);
  Timer.async_wait([this](auto Error) {
    if (Error)
      return;
    std::vector<std::shared_ptr<peer_connection>> Silent;
    const auto Now = std::chrono::steady_clock::now();
    for (auto &[Id, Peer] : Outgoing) {
      if (Peer.Open.empty())
        continue;
      peer_message Heartbeat;
      Peer.Connection->send(Heartbeat);
      if (Now - Peer.Connection->lastReceived() > Settings.Silence)
        Silent.push_back(Peer.Connection);
    }
    for (const auto &Connection : Silent)
      Connection->close();
    beat();
  });
}

} // namespace lentilhoist
