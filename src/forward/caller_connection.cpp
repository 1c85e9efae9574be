#include "forward/caller_connection.h"

#include "core/hash.h"
#include "log/log.h"
#include "platform/request_headers.h"

#include <algorithm>
#include <limits>
#include <optional>

namespace lentilhoist {

namespace {

/// Reading stops when more than this many bytes of pipelined requests are
/// buffered while a request is in progress.
constexpr std::size_t MaxPipelinedBytes = 64UL * 1024UL;

/// The next pipelined request waits while more than this many bytes of earlier
/// responses have not been taken.
constexpr std::size_t MaxUnreadBytes = 256UL * 1024UL;

/// Idle connections stay open this long past their limit. A caller may learn of
/// a raised limit before this instance has applied the new configuration.
constexpr milliseconds IdleTimeoutMargin{2'000};

/// Longest time for a request with its body if its caller states no deadline.
constexpr milliseconds MaxBodyTime{30'000};

/// Time from a new connection to the first bytes of its request. Callers allow
/// a second for a new connection.
constexpr milliseconds FirstRequestTime{1'000};

/// A body up to this size counts as small: it may use the part of the account
/// that is kept from large ones. Ordinary requests have some kilobytes.
constexpr std::size_t SmallBodyBytes = 64UL * 1024UL;

/// Limits until the first configuration arrives.
const caller_limits DefaultLimits;

} // namespace

caller_connection::caller_connection(
    exchange_context &GivenContext, std::shared_ptr<tcp_stream> GivenStream,
    std::function<void(caller_connection *)> GivenOnClosed)
    : Context(GivenContext), Stream(std::move(GivenStream)),
      OnClosed(std::move(GivenOnClosed)), Timer(GivenContext.Loop) {}

caller_connection::~caller_connection() { Context.Gate.remove(this); }

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
    if (!Self)
      return;
    Self->ResponseCharge.set(Self->Stream->pendingBytes());
    if (Self->Current)
      Self->Current->onCallerDrained();
    else if (std::exchange(Self->AwaitsDrain, false)) {
      Self->Stream->pauseReading(false);
      Self->readRequest();
      Self->chargeHead();
    }
  };
  Handlers.AllowRead = [Weak] {
    const auto Self = Weak.lock();
    return !Self || Self->allowRead();
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
  noteProgress(Bytes.size());
  readRequest();
  chargeHead();
}

/// Charges what a read may add before it is made.
bool caller_connection::allowRead() { return Closing || admit(false); }

/// \param Queued whether the connection has waited for its turn.
/// \returns whether the next read is charged; otherwise it waits.
bool caller_connection::admit(bool Queued) {
  const bool ForBody = ReadingBody && !Current;
  const bool Large = ForBody && needsLargeBody();
  const std::size_t Needed =
      ForBody ? neededBody()
              : Reader.headMemory() + Input.size() + tcp_stream::ReadSize;
  memory_charge &Charge = ForBody ? BodyCharge : HeadCharge;
  if (Context.Memory.Limit != 0 && Needed > Context.Memory.Limit && !Current) {
    giveWay(give_way::TooLarge);
    return false;
  }
  const bool InTurn = Needed <= Charge.bytes() || !Large || Queued ||
                      !Context.Gate.largeBodiesWait();
  if (!InTurn || !Charge.raise(Needed, Large))
    return waitForMemory(Needed - Charge.bytes(), Large, Current != nullptr);
  if (Large && Body.capacity() < Needed &&
      Reader.framing() == body_framing::Length)
    Body.reserve(Needed);
  if (Wanted != 0) {
    Wanted = 0;
    // It was this process that let it wait.
    LastReceived = LastProgress = readClock();
    ProgressBytes = 0;
    if (Reader.started() && !Current)
      Context.Gate.stopWaiting(this);
    else
      Context.Gate.remove(this);
  }
  return true;
}

bool caller_connection::needsLargeBody() const {
  return Reader.framing() == body_framing::Chunked
             ? Body.size() + tcp_stream::ReadSize > SmallBodyBytes
             : declaredLength(Reader.request().Fields) > SmallBodyBytes;
}

/// The length of a chunked body is not known; a large one is given room for
/// the largest, so that it never waits with a part of it.
std::size_t caller_connection::neededBody() const {
  if (Reader.framing() != body_framing::Chunked)
    return declaredLength(Reader.request().Fields);
  const std::size_t Next = Body.size() + tcp_stream::ReadSize;
  if (Next <= SmallBodyBytes)
    return SmallBodyBytes;
  const std::size_t Limit = Context.Memory.Limit;
  // Leaves room for the heads beside the reserve.
  const std::size_t Room = Limit == 0
                               ? limits().MaxBodyBytes
                               : Limit - 2 * (Limit / SmallReserveDivisor);
  return std::max(Next, std::min(limits().MaxBodyBytes, Room));
}

bool caller_connection::waitForMemory(std::size_t Bytes, bool Large,
                                      bool Later) {
  if (Wanted == 0)
    WaitingSince = readClock();
  Wanted = Bytes;
  WantsLarge = Large;
  WantsLater = Later;
  Context.Gate.startWaiting(this, Large);
  return false;
}

receiver caller_connection::describe() const {
  return {HeadCharge.bytes() + BodyCharge.bytes(),
          Wanted,
          WantsLarge,
          WantsLater,
          LastProgress,
          WaitingSince};
}

void caller_connection::resume() {
  const std::shared_ptr<caller_connection> Keep = shared_from_this();
  if (!admit(true))
    return;
  sendContinue();
  Stream->pauseReading(false);
}

void caller_connection::giveWay(give_way Reason) {
  if (!Current && !Closing)
    reject(503, giveWayName(Reason));
}

void caller_connection::refuse(const char *Reason) {
  Stream->start();
  reject(503, Reason);
}

void caller_connection::noteProgress(std::size_t Bytes) {
  ProgressBytes += Bytes;
  if (ProgressBytes < MinProgressBytes)
    return;
  ProgressBytes = 0;
  LastProgress = LastReceived;
}

/// Replaces the charge for a read by one for what is left of it.
void caller_connection::chargeHead() {
  if (!Closing)
    HeadCharge.set(Reader.headMemory() + Input.size());
}

void caller_connection::sendContinue() {
  if (ContinueSent || !ReadingBody || Current ||
      !sameFieldName(fieldValue(Reader.request().Fields, "Expect"),
                     "100-continue"))
    return;
  ContinueSent = true;
  Stream->write("HTTP/1.1 100 Continue\r\n\r\n");
}

void caller_connection::readRequest() {
  if (Closing || Input.empty())
    return;
  const bool WasStarted = Reader.started();
  if (!WasStarted && Stream->pendingBytes() > MaxUnreadBytes) {
    AwaitsDrain = true;
    Stream->pauseReading(true);
    return;
  }
  if (!WasStarted)
    Reader.setMaxHeadBytes(limits().MaxHeadBytes);
  const std::size_t Consumed = Reader.feed(Input);
  Input.erase(0, Consumed);
  if (!WasStarted && Reader.started()) {
    RequestStart = LastProgress = readClock();
    ProgressBytes = 0;
    Context.Gate.add(this);
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
  if (!BodyStarted && !admit(false)) {
    if (!Closing)
      Stream->pauseReading(true);
    return;
  }
  sendContinue();
}

void caller_connection::startExchange() {
  Timer.cancel();
  Context.Gate.remove(this);
  BodyCharge.set(0); // The exchange charges it as waiting.
  const std::weak_ptr<caller_connection> Weak = weak_from_this();
  caller_sink Sink;
  Sink.Write = [Weak](std::string Bytes) {
    if (const auto Self = Weak.lock()) {
      Self->Stream->write(std::move(Bytes));
      Self->ResponseCharge.set(Self->Stream->pendingBytes());
    }
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
    if (!Self)
      return std::size_t{0};
    const std::size_t Pending = Self->Stream->pendingBytes();
    // While memory is short, a runner is read only as fast as its caller.
    const bool Short =
        !hasRoom(Self->Context.Memory, tcp_stream::ReadSize, true);
    return Pending != 0 && Short ? std::numeric_limits<std::size_t>::max()
                                 : Pending;
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
  Wanted = 0;
  Context.Gate.remove(this);
  chargeHead();
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
  // A crowd of clients is rejected with 503; each other line is of a client
  // that has made an error of its own.
  const auto Suppressed = Status == 503
                              ? takeLine(Context.GiveWayLines, readClock())
                              : std::optional<std::uint64_t>(0);
  if (Suppressed)
    logEvent(log_level::Info, "request_rejected",
             {{"request", Attempt},
              {"reason", Reason},
              {"status", std::to_string(Status)},
              {"charged_bytes",
               std::to_string(HeadCharge.bytes() + BodyCharge.bytes())},
              {"wanted_bytes", std::to_string(Wanted)},
              {"account_bytes", std::to_string(chargedBytes(Context.Memory))},
              {"suppressed", std::to_string(*Suppressed)}});
  Closing = true;
  const milliseconds RetryDelay =
      Status == 503
          ? retryAfter(proxy_error::Overloaded, stableHash(Attempt, 1))
          : milliseconds(0);
  Stream->write(encodeResponseHead(
      platform::encodeErrorResponse(Status, Attempt, RetryDelay),
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

void caller_connection::giveUpDescriptor() {
  if (Served)
    closeIdle();
  else
    abort();
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
  Context.Gate.remove(this);
  std::string().swap(Body);
  std::string().swap(Input);
  HeadCharge.set(0);
  BodyCharge.set(0);
  ResponseCharge.set(0);
  const auto Handler = std::exchange(OnClosed, nullptr);
  if (Handler)
    Handler(this);
}

} // namespace lentilhoist
