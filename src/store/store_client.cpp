#include "store/store_client.h"

#include "log/log.h"
#include "net/address.h"

namespace lentilhoist {

const char *storeStatusName(store_status Status) {
  switch (Status) {
  case store_status::Done:
    return "done";
  case store_status::Conflict:
    return "conflict";
  case store_status::NotFound:
    return "missing";
  case store_status::HistoryGone:
    return "history_gone";
  case store_status::Refused:
    return "refused";
  case store_status::Unknown:
    return "unknown";
  }
  return "unknown";
}

store_client::store_client(asio::io_context &GivenLoop, std::string Given)
    : Loop(GivenLoop), Address(std::move(Given)), Timer(GivenLoop) {}

void store_client::call(const platform::store_request &Call,
                        std::chrono::milliseconds Timeout, on_answer OnAnswer) {
  Calls.push_back(
      {encodeRequest(Call.Head, Call.Body), Timeout, std::move(OnAnswer)});
  if (!Busy)
    sendNext();
}

void store_client::connect() {
  // The address was validated when the settings were parsed.
  const auto Target = parseAddress(Address);
  Stream = std::make_shared<tcp_stream>(asio::ip::tcp::socket(Loop),
                                        StoreSocketSettings);
  const std::weak_ptr<store_client> Weak = shared_from_this();
  tcp_stream::handlers Handlers;
  Handlers.OnBytes = [Weak](std::string_view Bytes) {
    if (const auto Self = Weak.lock())
      Self->onBytes(Bytes);
  };
  Handlers.OnEnd = [Weak, Opened = Stream.get()](stream_end End) {
    const auto Self = Weak.lock();
    if (Self && Self->Stream.get() == Opened)
      Self->onEnd(End);
  };
  Stream->setHandlers(std::move(Handlers));
  Stream->connect(*Target);
}

void store_client::sendNext() {
  if (Busy || Calls.empty())
    return;
  Busy = true;
  Reader.reset();
  Body.clear();
  if (!Stream)
    connect();
  Stream->write(Calls.front().Bytes);
  Timer.expires_after(Calls.front().Timeout);
  Timer.async_wait([Weak = weak_from_this()](const asio::error_code &Error) {
    const auto Self = Weak.lock();
    if (Self && !Error && Self->Busy)
      Self->finish({}, false);
  });
}

void store_client::onBytes(std::string_view Bytes) {
  if (!Busy) {
    // Bytes without a pending call: the framing of the connection is
    // unreliable.
    Stream->close();
    Stream.reset();
    return;
  }
  const bool TrailingBytes = Reader.feed(Bytes) < Bytes.size();
  Body += Reader.takeBody();
  const bool TooLarge = Body.size() > MaxStoreResponseBytes;
  if (TooLarge)
    logEvent(log_level::Error, "store_response_too_large",
             {{"bytes", std::to_string(Body.size())}});
  if (TooLarge || Reader.error() != http_read_error::None) {
    std::string().swap(Body);
    finish({}, false);
    return;
  }
  if (Reader.complete())
    finishComplete(!TrailingBytes);
}

void store_client::onEnd(stream_end End) {
  if (!Busy) {
    Stream.reset();
    return;
  }
  if (End == stream_end::Finished) {
    Reader.feedEnd();
    Body += Reader.takeBody();
  }
  if (Reader.complete())
    finishComplete(false);
  else
    finish({}, false);
}

void store_client::finishComplete(bool KeepConnection) {
  finish(
      {platform::decodeStoreStatus(Reader.response().Status), std::move(Body)},
      KeepConnection && Reader.keepAlive() && !Reader.endsWithConnection());
}

void store_client::finish(store_answer Answer, bool KeepConnection) {
  Timer.cancel();
  Busy = false;
  if (!KeepConnection && Stream) {
    Stream->close();
    Stream.reset();
  }
  const on_answer OnAnswer = std::move(Calls.front().OnAnswer);
  Calls.pop_front();
  const auto SelfReference = shared_from_this();
  OnAnswer(std::move(Answer));
  sendNext();
}

void store_client::close() {
  Timer.cancel();
  Calls.clear();
  Busy = false;
  if (Stream)
    Stream->close();
  Stream.reset();
}

} // namespace lentilhoist
