#include "http/bounded_connection.h"

#include "http/http_server.h"
#include "net/http_reader.h"
#include "net/socket_delivery.h"

#include <algorithm>
#include <arpa/inet.h>
#include <cerrno>
#include <poll.h>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>
#include <utility>

namespace lentilhoist {

namespace {

constexpr std::size_t ReadSize = 16UL * 1024UL;
constexpr int StatusOk = 200;

bool waitFor(int Socket, short Events, milliseconds Time) {
  pollfd Poll{Socket, Events, 0};
  return Time.count() > 0 &&
         ::poll(&Poll, 1, static_cast<int>(Time.count())) > 0;
}

bool connectWithin(int Socket, const endpoint &Target, milliseconds Time) {
  sockaddr_in Address{};
  Address.sin_family = AF_INET;
  Address.sin_port = htons(static_cast<std::uint16_t>(Target.Port));
  if (::inet_pton(AF_INET, Target.Address.c_str(), &Address.sin_addr) != 1)
    return false;
  if (::connect(Socket, reinterpret_cast<const sockaddr *>(&Address),
                sizeof(Address)) == 0)
    return true;
  if (errno != EINPROGRESS || !waitFor(Socket, POLLOUT, Time))
    return false;
  int Error = 0;
  socklen_t Length = sizeof(Error);
  return ::getsockopt(Socket, SOL_SOCKET, SO_ERROR, &Error, &Length) == 0 &&
         Error == 0;
}

milliseconds timeLeft(instant Deadline) {
  // Rounded up: a wait of zero would spin until the deadline.
  return std::chrono::ceil<milliseconds>(Deadline.Steady - readClock().Steady);
}

bool sendAll(int Socket, std::string_view Bytes, instant Deadline) {
  while (!Bytes.empty()) {
    if (!waitFor(Socket, POLLOUT, timeLeft(Deadline)))
      return false;
    const ssize_t Length =
        ::send(Socket, Bytes.data(), Bytes.size(), MSG_NOSIGNAL);
    if (Length < 0 && errno != EAGAIN && errno != EINTR)
      return false;
    Bytes.remove_prefix(static_cast<std::size_t>(std::max<ssize_t>(0, Length)));
  }
  return true;
}

/// Waits after the server's orderly end until it has received the request. One
/// that is killed may end its connection in order, too, and resets it later.
/// \returns whether the server has received the whole request.
bool awaitDelivery(int Socket, instant Deadline) {
  while (takeSocketError(Socket) == 0) {
    if (!hasUndeliveredBytes(Socket))
      return true;
    if (timeLeft(Deadline).count() <= 0)
      return false;
    std::this_thread::sleep_for(DeliveryCheckInterval);
  }
  return false;
}

/// Passes on what the reader has of the body.
/// \returns whether the response may go on.
bool takeBody(http_reader &Reader, const call_limits &Limits,
              const body_receiver &OnBody, call_result &Result) {
  const std::string Part = Reader.takeBody();
  if (OnBody && Reader.response().Status == StatusOk) {
    if (Part.empty() || OnBody(Part))
      return true;
    Result.End = call_end::Stopped;
    return false;
  }
  Result.Body += Part;
  if (Result.Body.size() <= Limits.MaxBodyBytes)
    return true;
  Result.Body.clear();
  Result.End = call_end::TooLarge;
  return false;
}

} // namespace

bounded_connection::bounded_connection(endpoint GivenTarget)
    : Target(std::move(GivenTarget)) {}

bounded_connection::~bounded_connection() { close(); }

void bounded_connection::close() {
  if (Socket >= 0)
    ::close(std::exchange(Socket, -1));
}

bool bounded_connection::reusable() const {
  char Byte = 0;
  return Socket >= 0 &&
         ::recv(Socket, &Byte, sizeof(Byte), MSG_PEEK | MSG_DONTWAIT) < 0 &&
         (errno == EAGAIN || errno == EWOULDBLOCK);
}

bool bounded_connection::connect(const call_limits &Limits) {
  Socket = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (Socket < 0)
    return false;
  setSocketOptions(Socket);
  return connectWithin(Socket, Target, std::min(Limits.Connect, Limits.Total));
}

call_result bounded_connection::call(const http_request_head &Head,
                                     std::string_view Body,
                                     const call_limits &Limits,
                                     const body_receiver &OnBody) {
  const instant Deadline = later(readClock(), Limits.Total);
  call_result Result;
  const bool Connected = Socket >= 0 || connect(Limits);
  if (!Connected || !exchange(Head, Body, Limits, OnBody, Deadline, Result))
    close();
  return Result;
}

/// \returns whether the connection may be kept.
bool bounded_connection::exchange(const http_request_head &Head,
                                  std::string_view Body,
                                  const call_limits &Limits,
                                  const body_receiver &OnBody, instant Deadline,
                                  call_result &Result) {
  Result.End = call_end::Broken;
  if (!sendAll(Socket, encodeRequest(Head, Body), Deadline))
    return false;
  http_reader Reader(http_message::Response, Limits.MaxHeadBytes);
  bool TrailingBytes = false;
  while (!Reader.complete()) {
    const milliseconds Left = timeLeft(Deadline);
    if (!waitFor(Socket, POLLIN, std::min(Left, Limits.Silence))) {
      Result.End =
          Left <= Limits.Silence ? call_end::TimedOut : call_end::Silent;
      return false;
    }
    char Bytes[ReadSize];
    const ssize_t Length = ::recv(Socket, Bytes, sizeof(Bytes), 0);
    if (Length < 0 && (errno == EAGAIN || errno == EINTR))
      continue;
    if (Length < 0 || (Length == 0 && !awaitDelivery(Socket, Deadline)))
      return false;
    if (Length == 0) {
      Reader.feedEnd();
    } else {
      const auto Received = static_cast<std::size_t>(Length);
      TrailingBytes = Reader.feed({Bytes, Received}) < Received;
    }
    Result.Head = Reader.response();
    if (Reader.error() != http_read_error::None) {
      Result.End = Reader.error() == http_read_error::HeadTooLarge
                       ? call_end::TooLarge
                       : call_end::Malformed;
      return false;
    }
    if (Reader.headComplete() && !takeBody(Reader, Limits, OnBody, Result))
      return false;
    if (Length == 0 && !Reader.complete())
      return false;
  }
  Result.End = call_end::Complete;
  // A server that responds early may not have received the whole request.
  return Reader.keepAlive() && !Reader.endsWithConnection() && !TrailingBytes &&
         !hasUndeliveredBytes(Socket);
}

} // namespace lentilhoist
