#include "forward/caller_connection.h"

#include "log/log.h"
#include "platform/request_headers.h"

#include <algorithm>
#include <charconv>

namespace lentilhoist {

namespace {

/// Reading stops when more than this many bytes of pipelined requests are
/// buffered while a request is in progress.
constexpr std::size_t MaxPipelinedBytes = 64UL * 1024UL;

/// Idle connections stay open this long past their limit. A caller may learn of
/// a raised limit before this instance has applied the new configuration.
constexpr milliseconds IdleTimeoutMargin{2'000};

/// Longest time for a request with its body if its caller states no deadline.
constexpr milliseconds MaxBodyTime{30'000};

/// Time from a new connection to the first bytes of its request. Callers allow
/// a second for a new connection.
constexpr milliseconds FirstRequestTime{1'000};

/// Limits until the first configuration arrives.
const caller_limits DefaultLimits;

std::size_t declaredLength(const http_fields &Fields) {
  const std::string_view Text = fieldValue(Fields, "Content-Length");
  std::size_t Length = 0;
  // http_reader has validated the number.
  std::from_chars(Text.data(), Text.data() + Text.size(), Length);
  return Length;
}

} // namespace

caller_connection::caller_connection(
    exchange_context &GivenContext, std::shared_ptr<tcp_stream> GivenStream,
    std::function<void(caller_connection *)> GivenOnClosed)
    : Context(GivenContext), Stream(std::move(GivenStream)),
      OnClosed(std::move(GivenOnClosed)), Timer(GivenContext.Loop) {}

const caller_limits &caller_connection::limits() const {
  return Context.Routes ? Context.Routes->config().Limits : DefaultLimits;
}

void caller_connection::start() {
  const std::weak_ptr<caller_connection> Weak = weak_from_this();
  tcp_stream::handlers Handlers;
  Handlers.OnBytes = [Weak](std::string_view Bytes) {
    if (const auto Self = Weak.lock())
      Self->onBytes(Bytes);
  };
  Handlers.OnEnd = [Weak](stream_end) {
    const auto Self = Weak.lock();
    if (!Self)
      return;
    if (Self->Current)
      Self->Current->onCallerDisconnected();
    Self->notifyClosed();
  };
  Handlers.OnDrained = [Weak] {
    const auto Self = Weak.lock();
    if (Self && Self->Current)
      Self->Current->onCallerDrained();
  };
  LastReceived = readClock();
  Stream->setHandlers(std::move(Handlers));
  Stream->start();
  armTimer();
}

void caller_connection::onBytes(std::string_view Bytes) {
  LastReceived = readClock();
  Input += Bytes;
  if (Current) {
    if (Input.size() > MaxPipelinedBytes)
      Stream->pauseReading(true);
    return;
  }
  readRequest();
}

void caller_connection::readRequest() {
  if (Closing || Input.empty())
    return;
  const bool WasStarted = Reader.started();
  if (!WasStarted)
    Reader.setMaxHeadBytes(limits().MaxHeadBytes);
  const std::size_t Consumed = Reader.feed(Input);
  Input.erase(0, Consumed);
  if (!WasStarted && Reader.started()) {
    RequestStart = readClock();
    armTimer();
  }
  switch (Reader.error()) {
  case http_read_error::None:
    break;
  case http_read_error::HeadTooLarge:
    reject(431, "head_too_large");
    return;
  case http_read_error::UnsupportedMethod:
  case http_read_error::Malformed:
    reject(400, "malformed_request");
    return;
  }
  if (!Reader.headComplete())
    return;
  const bool BodyStarted = std::exchange(ReadingBody, true);
  Body += Reader.takeBody();
  const http_fields &Fields = Reader.request().Fields;
  if (std::max(Body.size(), declaredLength(Fields)) > limits().MaxBodyBytes) {
    reject(413, "body_too_large");
    return;
  }
  if (Reader.complete()) {
    startExchange();
    return;
  }
  if (!BodyStarted) {
    const auto Traits = platform::decodeCallerRequest(Reader.request());
    BodyTime = MaxBodyTime;
    if (Traits && Traits->Deadline)
      BodyTime = std::min(BodyTime, *Traits->Deadline);
    armTimer();
  }
  if (!ContinueSent &&
      sameFieldName(fieldValue(Fields, "Expect"), "100-continue")) {
    ContinueSent = true;
    Stream->write("HTTP/1.1 100 Continue\r\n\r\n");
  }
}

void caller_connection::startExchange() {
  Timer.cancel();
  const std::weak_ptr<caller_connection> Weak = weak_from_this();
  caller_sink Sink;
  Sink.Write = [Weak](std::string Bytes) {
    if (const auto Self = Weak.lock())
      Self->Stream->write(std::move(Bytes));
  };
  Sink.Finish = [Weak](bool Close) {
    if (const auto Self = Weak.lock())
      Self->finishExchange(Close);
  };
  Sink.Abort = [Weak] {
    if (const auto Self = Weak.lock())
      Self->abort();
  };
  Sink.PendingBytes = [Weak] {
    const auto Self = Weak.lock();
    return Self ? Self->Stream->pendingBytes() : std::size_t{0};
  };
  // The reader keeps no copy of the caller's key.
  Current = std::make_shared<exchange>(Context, Reader.takeRequest(),
                                       std::exchange(Body, {}), RequestStart,
                                       Reader.keepAlive(), std::move(Sink));
  const auto Keep = Current;
  Keep->begin();
}

void caller_connection::finishExchange(bool Close) {
  Current.reset();
  Served = true;
  if (Close) {
    Closing = true;
    Stream->finish();
    notifyClosed();
    return;
  }
  Reader.reset();
  ReadingBody = false;
  ContinueSent = false;
  Stream->pauseReading(false);
  armTimer();
  // Posted rather than called: many small pipelined requests would otherwise
  // recurse.
  asio::post(Context.Loop, [Weak = weak_from_this()] {
    const auto Self = Weak.lock();
    if (Self && !Self->Current)
      Self->readRequest();
  });
}

void caller_connection::reject(int Status, const char *Reason) {
  Context.Metrics.count(std::string("lentilhoist_rejected_total{reason=\"") +
                        Reason + "\"}");
  const auto Traits = platform::decodeCallerRequest(Reader.request());
  const std::string Attempt = Traits ? Traits->Attempt : std::string();
  logEvent(log_level::Info, "request_rejected",
           {{"request", Attempt},
            {"reason", Reason},
            {"status", std::to_string(Status)}});
  Closing = true;
  Stream->write(encodeResponseHead(
      platform::encodeErrorResponse(Status, Attempt, milliseconds(0)),
      body_framing::Length, 0, true));
  Stream->finish();
  notifyClosed();
}

/// \returns when the caller must have sent more, by the limits in force now.
instant caller_connection::readDeadline() const {
  if (Reader.started() && !Reader.headComplete())
    return later(RequestStart, limits().HeadTimeout);
  const instant Silent =
      later(LastReceived, limits().IdleTimeout + IdleTimeoutMargin);
  if (!Reader.started())
    return Silent;
  const instant Complete = later(RequestStart, BodyTime);
  return Complete.Steady < Silent.Steady ? Complete : Silent;
}

void caller_connection::armTimer() {
  Timer.expires_at(asio::steady_timer::time_point(readDeadline().Steady));
  Timer.async_wait([Weak = weak_from_this()](const asio::error_code &Error) {
    const auto Self = Weak.lock();
    if (Self && !Error)
      Self->onTimer();
  });
}

void caller_connection::onTimer() {
  if (Current || Closing)
    return;
  // The limits may have been raised, or bytes have arrived, since the timer was
  // set.
  if (readClock().Steady < readDeadline().Steady) {
    armTimer();
    return;
  }
  if (!Reader.started())
    closeIdle();
  else
    reject(408, Reader.headComplete() ? "body_timeout" : "head_timeout");
}

void caller_connection::closeIfUnused(instant Now) {
  const bool AboutToSend =
      !Served && Now.Steady - LastReceived.Steady < FirstRequestTime;
  if (!Closing && idle() && !AboutToSend)
    closeIdle();
}

void caller_connection::closeIdle() {
  Closing = true;
  Stream->finishIdle();
  notifyClosed();
}

void caller_connection::abort() {
  Current.reset();
  Closing = true;
  Stream->abort();
  notifyClosed();
}

void caller_connection::notifyClosed() {
  Closing = true;
  Current.reset();
  Timer.cancel();
  const auto Handler = std::exchange(OnClosed, nullptr);
  if (Handler)
    Handler(this);
}

} // namespace lentilhoist
