#include "http/bounded_call.h"

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

namespace lentilhoist {

namespace {

constexpr std::size_t ReadSize = 16UL * 1024UL;
constexpr int StatusOk = 200;

/// A socket that is closed at the end of its scope.
struct owned_socket {
  explicit owned_socket(int GivenDescriptor) : Descriptor(GivenDescriptor) {}
  ~owned_socket() {
    if (Descriptor >= 0)
      ::close(Descriptor);
  }
  owned_socket(const owned_socket &) = delete;
  owned_socket &operator=(const owned_socket &) = delete;
  int Descriptor;
};

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

const char *callEndName(call_end End) {
  switch (End) {
  case call_end::Complete:
    return "complete";
  case call_end::NotConnected:
    return "not connected";
  case call_end::Silent:
    return "silent";
  case call_end::TimedOut:
    return "timed out";
  case call_end::Broken:
    return "broken off";
  case call_end::Malformed:
    return "malformed";
  case call_end::TooLarge:
    return "too large";
  case call_end::Stopped:
    return "stopped";
  }
  return "unknown";
}

call_result callBounded(const endpoint &Target, const http_request_head &Head,
                        std::string_view Body, const call_limits &Limits,
                        const body_receiver &OnBody) {
  const instant Deadline = later(readClock(), Limits.Total);
  call_result Result;
  const owned_socket Socket(
      ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
  if (Socket.Descriptor < 0)
    return Result;
  setSocketOptions(Socket.Descriptor);
  if (!connectWithin(Socket.Descriptor, Target,
                     std::min(Limits.Connect, Limits.Total)))
    return Result;
  Result.End = call_end::Broken;
  if (!sendAll(Socket.Descriptor, encodeRequest(Head, Body), Deadline))
    return Result;
  http_reader Reader(http_message::Response, Limits.MaxHeadBytes);
  while (!Reader.complete()) {
    const milliseconds Left = timeLeft(Deadline);
    if (!waitFor(Socket.Descriptor, POLLIN, std::min(Left, Limits.Silence))) {
      Result.End =
          Left <= Limits.Silence ? call_end::TimedOut : call_end::Silent;
      return Result;
    }
    char Bytes[ReadSize];
    const ssize_t Length = ::recv(Socket.Descriptor, Bytes, sizeof(Bytes), 0);
    if (Length < 0 && (errno == EAGAIN || errno == EINTR))
      continue;
    if (Length < 0 ||
        (Length == 0 && !awaitDelivery(Socket.Descriptor, Deadline)))
      return Result;
    if (Length == 0)
      Reader.feedEnd();
    else
      Reader.feed({Bytes, static_cast<std::size_t>(Length)});
    Result.Head = Reader.response();
    if (Reader.error() != http_read_error::None) {
      Result.End = Reader.error() == http_read_error::HeadTooLarge
                       ? call_end::TooLarge
                       : call_end::Malformed;
      return Result;
    }
    if (Reader.headComplete() && !takeBody(Reader, Limits, OnBody, Result))
      return Result;
    if (Length == 0 && !Reader.complete())
      return Result;
  }
  Result.End = call_end::Complete;
  return Result;
}

} // namespace lentilhoist
