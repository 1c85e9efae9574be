#pragma once

#include <arpa/inet.h>
#include <atomic>
#include <cctype>
#include <cerrno>
#include <chrono>
#include <cstdint>
#include <cstdlib>
#include <string>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

namespace lentilhoist {

/// How an early_runner goes on after the first part of its response.
enum class early_end {
  Reset,      ///< Resets the connection: a process that is killed.
  Killed,     ///< Ends it in order, and resets it for what still comes: a
              ///< process that is killed when it had read what had arrived.
  HalfClosed, ///< Sends the rest, ends its side in order and reads on.
  ReadOn,     ///< Reads the rest of the request, sends its own and closes.
  Stalled, ///< Ends its side in order, reads no more and closes after a while.
};

/// The ends of a response that its connection delimits.
inline constexpr early_end EarlyEnds[] = {early_end::Reset, early_end::Killed,
                                          early_end::HalfClosed,
                                          early_end::ReadOn};

/// \returns whether the response has been sent whole.
inline bool isSound(early_end End) {
  return End == early_end::HalfClosed || End == early_end::ReadOn;
}

/// A server on loopback that begins to respond before it has read the whole
/// request. It takes in few bytes at a time, so that a long request is still
/// being written then. It waits for a slow sender as long as it exists. One
/// thread serves one connection after the other.
class early_runner {
public:
  /// Request bytes that are read before the first part is sent.
  static constexpr std::size_t FirstRead = 50'000;

  /// \param GivenFirst the first part of the response.
  /// \param GivenRest its rest.
  /// \param GivenEnd what follows the first part.
  /// \param GivenLength the request's length; 0: its head states it.
  early_runner(std::string GivenFirst, std::string GivenRest,
               early_end GivenEnd, std::size_t GivenLength = 0)
      : First(std::move(GivenFirst)), Rest(std::move(GivenRest)), End(GivenEnd),
        RequestLength(GivenLength),
        Listener(::socket(AF_INET, SOCK_STREAM, 0)) {
    const int BufferBytes = 64 * 1024;
    ::setsockopt(Listener, SOL_SOCKET, SO_RCVBUF, &BufferBytes,
                 sizeof(BufferBytes));
    sockaddr_in Address{};
    Address.sin_family = AF_INET;
    Address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t Length = sizeof(Address);
    ::bind(Listener, reinterpret_cast<sockaddr *>(&Address), Length);
    ::getsockname(Listener, reinterpret_cast<sockaddr *>(&Address), &Length);
    Port = ntohs(Address.sin_port);
    ::listen(Listener, 16);
    Thread = std::thread([this] { run(); });
  }
  ~early_runner() {
    Stopping = true;
    ::shutdown(Listener, SHUT_RDWR);
    Thread.join();
    ::close(Listener);
  }
  early_runner(const early_runner &) = delete;
  early_runner &operator=(const early_runner &) = delete;

  std::uint16_t port() const { return Port; }
  /// \returns whether a connection has been ended as early_end::Stalled does.
  bool stalled() const { return HasStalled; }

private:
  /// Time between two steps, in which the other side sees the former one.
  static constexpr std::chrono::milliseconds Step{60};
  /// Time for which early_end::Stalled keeps the connection.
  static constexpr std::chrono::milliseconds StallTime{500};
  static constexpr int StopCheckMs = 50; ///< Longest read without bytes.

  /// A connection and what of its request has been read.
  struct request_state {
    int Socket = -1;
    std::string Head = {};
    std::size_t ReadBytes = 0;
    std::size_t Length = 0; ///< Of head and body; 0: not known yet.
  };

  void run() {
    for (;;) {
      const int Socket = ::accept(Listener, nullptr, nullptr);
      if (Socket < 0)
        return;
      serve(Socket);
      ::close(Socket);
    }
  }

  void serve(int Socket) {
    const timeval Time{0, StopCheckMs * 1000};
    ::setsockopt(Socket, SOL_SOCKET, SO_RCVTIMEO, &Time, sizeof(Time));
    request_state Request{.Socket = Socket, .Length = RequestLength};
    while (Request.ReadBytes < FirstRead)
      if (!readPart(Request))
        return;
    sendAll(Socket, First);
    std::this_thread::sleep_for(Step);
    const linger Now{1, 0};
    switch (End) {
    case early_end::Reset:
      ::setsockopt(Socket, SOL_SOCKET, SO_LINGER, &Now, sizeof(Now));
      return;
    case early_end::Killed:
      ::shutdown(Socket, SHUT_WR);
      std::this_thread::sleep_for(Step);
      ::setsockopt(Socket, SOL_SOCKET, SO_LINGER, &Now, sizeof(Now));
      return;
    case early_end::HalfClosed:
      sendAll(Socket, Rest);
      ::shutdown(Socket, SHUT_WR);
      readRest(Request);
      return;
    case early_end::ReadOn:
      readRest(Request);
      sendAll(Socket, Rest);
      return;
    case early_end::Stalled:
      ::shutdown(Socket, SHUT_WR);
      HasStalled = true;
      std::this_thread::sleep_for(StallTime);
      return;
    }
  }

  /// Waits for more of a request.
  /// \returns whether there was more, false once the runner ends.
  bool readPart(request_state &Request) const {
    char Bytes[16 * 1024];
    ssize_t Part = 0;
    do
      Part = ::recv(Request.Socket, Bytes, sizeof(Bytes), 0);
    while (Part < 0 && (errno == EAGAIN || errno == EINTR) && !Stopping);
    if (Part <= 0)
      return false;
    Request.ReadBytes += static_cast<std::size_t>(Part);
    if (Request.Length == 0) {
      Request.Head.append(Bytes, static_cast<std::size_t>(Part));
      Request.Length = requestLength(Request.Head);
    }
    return true;
  }

  /// Reads on to the end of a request.
  void readRest(request_state &Request) const {
    while ((Request.Length == 0 || Request.ReadBytes < Request.Length) &&
           readPart(Request)) {
    }
  }

  /// \returns the length of a request by its head; 0 if the head isn't whole.
  static std::size_t requestLength(std::string Bytes) {
    const std::size_t HeadEnd = Bytes.find("\r\n\r\n");
    if (HeadEnd == std::string::npos)
      return 0;
    Bytes.resize(HeadEnd);
    for (char &Char : Bytes)
      Char = static_cast<char>(std::tolower(static_cast<unsigned char>(Char)));
    const std::string Name = "\r\ncontent-length:";
    const std::size_t Field = Bytes.find(Name);
    const std::size_t Body =
        Field == std::string::npos
            ? 0
            : std::strtoull(Bytes.c_str() + Field + Name.size(), nullptr, 10);
    return HeadEnd + 4 + Body;
  }

  static void sendAll(int Socket, const std::string &Bytes) {
    (void)::send(Socket, Bytes.data(), Bytes.size(), MSG_NOSIGNAL);
  }

  std::string First;
  std::string Rest;
  early_end End;
  std::size_t RequestLength;
  int Listener;
  std::uint16_t Port = 0;
  std::atomic<bool> Stopping = false;
  std::atomic<bool> HasStalled = false;
  std::thread Thread;
};

} // namespace lentilhoist
