#include "net/tcp_stream.h"

#include "net/socket_delivery.h"

#include <algorithm>
#include <asio/buffer.hpp>
#include <asio/write.hpp>
#include <netinet/tcp.h>

namespace lentilhoist {

namespace {

using user_timeout_option =
    asio::detail::socket_option::integer<IPPROTO_TCP, TCP_USER_TIMEOUT>;
using keep_idle_option =
    asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPIDLE>;
using keep_interval_option =
    asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPINTVL>;
using keep_count_option =
    asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPCNT>;

} // namespace

const char *streamEndName(stream_end End) {
  switch (End) {
  case stream_end::Finished:
    return "finished";
  case stream_end::Reset:
    return "reset";
  case stream_end::ConnectFailed:
    return "connect_failed";
  }
  return "unknown";
}

tcp_stream::tcp_stream(asio::ip::tcp::socket Given,
                       const socket_settings &GivenSettings)
    : Socket(std::move(Given)), Timer(Socket.get_executor()),
      Settings(GivenSettings) {}

void tcp_stream::setOptions() {
  asio::error_code Ignored; // An option that is not granted costs only time.
  Socket.set_option(asio::ip::tcp::no_delay(true), Ignored);
  Socket.set_option(asio::socket_base::keep_alive(true), Ignored);
  const int Interval = static_cast<int>(Settings.ProbeInterval.count());
  const int Timeout = static_cast<int>(Settings.UserTimeout.count());
  Socket.set_option(keep_idle_option(Interval), Ignored);
  Socket.set_option(keep_interval_option(Interval), Ignored);
  // The first probe goes out after one interval, so one fewer is left.
  Socket.set_option(
      keep_count_option(std::max(1, Timeout / 1000 / Interval - 1)), Ignored);
  Socket.set_option(user_timeout_option(Timeout), Ignored);
}

void tcp_stream::connect(const asio::ip::tcp::endpoint &Target) {
  asio::error_code Error;
  Socket.open(Target.protocol(), Error);
  if (!Error)
    setOptions();
  Timer.expires_after(Settings.ConnectTimeout);
  Timer.async_wait([Weak = weak_from_this()](const asio::error_code &Expired) {
    const auto Self = Weak.lock();
    if (Self && !Expired && !Self->Connected)
      Self->end(stream_end::ConnectFailed);
  });
  Socket.async_connect(
      Target, [Self = shared_from_this()](const asio::error_code &Failure) {
        if (Self->Closed)
          return;
        if (Failure) {
          Self->end(stream_end::ConnectFailed);
          return;
        }
        Self->Connected = true;
        Self->Timer.cancel();
        if (const auto Keep = Self->Handlers; Keep->OnConnected)
          Keep->OnConnected();
        if (Self->Closed)
          return;
        Self->readSome();
        Self->writeSome();
      });
}

void tcp_stream::start() {
  Connected = true;
  setOptions();
  readSome();
}

void tcp_stream::write(std::string Bytes) { enqueue({std::move(Bytes)}); }

void tcp_stream::write(shared_bytes Bytes) {
  enqueue({std::string(), std::move(Bytes)});
}

void tcp_stream::enqueue(outgoing Bytes) {
  if (Closed || Finishing || Bytes.bytes().empty())
    return;
  Pending += Bytes.bytes().size();
  if (WriteFailed)
    return;
  Queue.push_back(std::move(Bytes));
  if (Connected)
    writeSome();
}

void tcp_stream::pauseReading(bool NowPaused) {
  Paused = NowPaused;
  if (!Paused && Connected)
    readSome();
}

void tcp_stream::readSome() {
  if (Reading || Paused || Closed || PeerEnded)
    return;
  Reading = true;
  // The buffer is held only while there may be bytes: idle connections wait
  // for readability without one.
  Socket.async_wait(
      asio::ip::tcp::socket::wait_read,
      [Self = shared_from_this()](const asio::error_code &WaitError) {
        Self->Reading = false;
        if (Self->Closed)
          return;
        if (WaitError) {
          Self->end(stream_end::Reset);
          return;
        }
        if (Self->Paused)
          return;
        if (const auto Keep = Self->Handlers;
            Keep->AllowRead && !Keep->AllowRead()) {
          // Unless it has ended our side, which reads and drops the rest.
          if (Self->Handlers == Keep)
            Self->Paused = true;
          return;
        }
        Self->ReadBuffer.resize(ReadSize);
        asio::error_code Error;
        Self->Socket.non_blocking(true, Error);
        const std::size_t Length =
            Self->Socket.read_some(asio::buffer(Self->ReadBuffer), Error);
        if (Error == asio::error::would_block ||
            Error == asio::error::try_again) {
          Self->readSome();
          return;
        }
        if (Error == asio::error::eof) {
          Self->onPeerEnd();
          return;
        }
        if (Error) {
          Self->end(stream_end::Reset);
          return;
        }
        const std::vector<char> Bytes = std::move(Self->ReadBuffer);
        if (const auto Keep = Self->Handlers; Keep->OnBytes)
          Keep->OnBytes({Bytes.data(), Length});
        Self->readSome();
      });
}

void tcp_stream::writeSome() {
  if (Writing || Closed || Queue.empty()) {
    if (!Writing && !Closed && Queue.empty() && Finishing)
      shutdownAfterWrites();
    return;
  }
  Writing = true;
  Sending.assign(std::make_move_iterator(Queue.begin()),
                 std::make_move_iterator(Queue.end()));
  Queue.clear();
  std::vector<asio::const_buffer> Buffers;
  Buffers.reserve(Sending.size());
  for (const outgoing &Part : Sending)
    Buffers.push_back(asio::buffer(Part.bytes()));
  asio::async_write(Socket, Buffers,
                    [Self = shared_from_this()](const asio::error_code &Error,
                                                std::size_t Length) {
                      Self->onWritten(Error, Length);
                    });
}

void tcp_stream::onWritten(const asio::error_code &Error, std::size_t Length) {
  Writing = false;
  Pending -= std::min(Pending, Length);
  Sending.clear();
  if (Closed)
    return;
  if (Error) {
    // The system reports a reset once, to whichever side meets it first; the
    // read side, which sees an orderly end then, still has what the peer sent.
    WriteFailed = true;
    Queue.clear();
    if (Paused || PeerEnded)
      end(stream_end::Reset);
    return;
  }
  const auto Keep = Handlers;
  if (Queue.empty() && Keep->OnDrained)
    Keep->OnDrained();
  writeSome();
}

void tcp_stream::onPeerEnd() {
  PeerEnded = true;
  if (WriteFailed)
    end(stream_end::Reset);
  else if (Settings.ConfirmDelivery)
    awaitDelivery();
  else
    end(stream_end::Finished);
}

void tcp_stream::awaitDelivery() {
  if (Closed)
    return;
  if (takeSocketError(Socket.native_handle()) != 0) {
    end(stream_end::Reset);
    return;
  }
  if (Pending == 0 && !hasUndeliveredBytes(Socket.native_handle())) {
    end(stream_end::Finished);
    return;
  }
  // Bounded by the user timeout, which breaks a connection that takes no bytes.
  Timer.expires_after(DeliveryCheckInterval);
  Timer.async_wait(
      [Weak = weak_from_this()](const asio::error_code &Cancelled) {
        const auto Self = Weak.lock();
        if (Self && !Cancelled)
          Self->awaitDelivery();
      });
}

void tcp_stream::finish() {
  if (Closed || Finishing)
    return;
  Finishing = true;
  Handlers = std::make_shared<handlers>();
  Paused = false;
  readSome();
  writeSome();
}

void tcp_stream::finishIdle() {
  finish();
  Handlers->OnBytes = [Weak = weak_from_this()](std::string_view) {
    if (const auto Self = Weak.lock())
      Self->abort();
  };
}

void tcp_stream::shutdownAfterWrites() {
  asio::error_code Ignored; // The peer may have gone first.
  Socket.shutdown(asio::ip::tcp::socket::shutdown_send, Ignored);
  auto Timer = std::make_shared<asio::steady_timer>(Socket.get_executor());
  Timer->expires_after(LingerTime);
  Timer->async_wait([Self = shared_from_this(),
                     Timer](const asio::error_code &) { Self->close(); });
}

void tcp_stream::end(stream_end How) {
  if (Closed)
    return;
  const auto Keep = Handlers;
  close();
  if (Keep->OnEnd)
    Keep->OnEnd(How);
}

void tcp_stream::close() {
  if (Closed)
    return;
  Closed = true;
  Connected = false;
  Timer.cancel();
  asio::error_code Ignored; // Nothing is left to do about a failed close.
  Socket.close(Ignored);
  Handlers = std::make_shared<handlers>();
  Queue.clear();
  Pending = 0;
}

void tcp_stream::abort() {
  if (Closed)
    return;
  asio::error_code Ignored; // A connection that has ended needs no reset.
  Socket.set_option(asio::socket_base::linger(true, 0), Ignored);
  close();
}

} // namespace lentilhoist
