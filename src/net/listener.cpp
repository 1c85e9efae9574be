#include "net/listener.h"

#include "log/log.h"
#include "net/address.h"

namespace lentilhoist {

namespace {
/// Pause after an error. Connections that wait meanwhile are kept by the
/// system; a caller allows a second for a new one.
constexpr std::chrono::milliseconds RetryPause{100};
} // namespace

listener::listener(asio::io_context &Loop,
                   const asio::ip::tcp::endpoint &Address,
                   std::string GivenName, on_connection GivenOnConnection)
    : Name(std::move(GivenName)), OnConnection(std::move(GivenOnConnection)),
      Acceptor(listenOn(Loop, Address)), PauseTimer(Loop),
      Port(Acceptor.local_endpoint().port()) {
  accept();
}

void listener::accept() {
  Acceptor.async_accept(
      [this](const asio::error_code &Error, asio::ip::tcp::socket Socket) {
        if (Error == asio::error::operation_aborted)
          return;
        if (Error) {
          onError(Error);
          return;
        }
        Failures = 0;
        OnConnection(std::move(Socket));
        accept();
      });
}

void listener::onError(const asio::error_code &Error) {
  if (Failures++ == 0)
    logEvent(log_level::Warning, "accept_failed",
             {{"listener", Name}, {"reason", Error.message()}});
  if (OnError)
    OnError();
  PauseTimer.expires_after(RetryPause);
  PauseTimer.async_wait([this](const asio::error_code &Cancelled) {
    if (!Cancelled && Acceptor.is_open())
      accept();
  });
}

void listener::stop() {
  PauseTimer.cancel();
  asio::error_code Error;
  Acceptor.non_blocking(true, Error);
  while (!Error) {
    asio::ip::tcp::socket Socket(Acceptor.get_executor());
    Acceptor.accept(Socket, Error);
    if (!Error)
      OnConnection(std::move(Socket));
  }
  // A listener that can't be closed is closed when the process ends.
  Acceptor.close(Error);
}

} // namespace lentilhoist
