#pragma once

#include <arpa/inet.h>
#include <chrono>
#include <cstdint>
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
};

inline constexpr early_end EarlyEnds[] = {early_end::Reset, early_end::Killed,
                                          early_end::HalfClosed,
                                          early_end::ReadOn};

/// \returns whether the response has been sent whole.
inline bool isSound(early_end End) {
  return End == early_end::HalfClosed || End == early_end::ReadOn;
}

/// A server on loopback that begins to respond before it has read the whole
/// request. It takes in few bytes at a time, so that a long request is still
/// being written then. One thread serves one connection after the other.
class early_runner {
public:
  /// Request bytes that are read before the first part is sent.
  static constexpr std::size_t FirstRead = 50'000;

  /// \param GivenFirst the first part of the response.
  /// \param GivenRest its rest.
  /// \param GivenEnd what follows the first part.
  early_runner(std::string GivenFirst, std::string GivenRest,
               early_end GivenEnd)
      : First(std::move(GivenFirst)), Rest(std::move(GivenRest)), End(GivenEnd),
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
    ::shutdown(Listener, SHUT_RDWR);
    Thread.join();
    ::close(Listener);
  }
  early_runner(const early_runner &) = delete;
  early_runner &operator=(const early_runner &) = delete;

  std::uint16_t port() const { return Port; }

private:
  /// Time between two steps, in which the other side sees the former one.
  static constexpr std::chrono::milliseconds Step{60};
  static constexpr int QuietMs = 100; ///< The request has ended after it.

  void run() {
    for (;;) {
      const int Socket = ::accept(Listener, nullptr, nullptr);
      if (Socket < 0)
        return;
      serve(Socket);
      ::close(Socket);
    }
  }

  void serve(int Socket) const {
    setReadTime(Socket, 1'000);
    for (std::size_t Length = 0; Length < FirstRead;) {
      const ssize_t Part = readPart(Socket);
      if (Part <= 0)
        return;
      Length += static_cast<std::size_t>(Part);
    }
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
      readRest(Socket);
      return;
    case early_end::ReadOn:
      readRest(Socket);
      sendAll(Socket, Rest);
      return;
    }
  }

  static void setReadTime(int Socket, int Milliseconds) {
    const timeval Time{Milliseconds / 1000, Milliseconds % 1000 * 1000};
    ::setsockopt(Socket, SOL_SOCKET, SO_RCVTIMEO, &Time, sizeof(Time));
  }

  static ssize_t readPart(int Socket) {
    char Bytes[16 * 1024];
    return ::recv(Socket, Bytes, sizeof(Bytes), 0);
  }

  static void readRest(int Socket) {
    setReadTime(Socket, QuietMs);
    while (readPart(Socket) > 0) {
    }
  }

  static void sendAll(int Socket, const std::string &Bytes) {
    (void)::send(Socket, Bytes.data(), Bytes.size(), MSG_NOSIGNAL);
  }

  std::string First;
  std::string Rest;
  early_end End;
  int Listener;
  std::uint16_t Port = 0;
  std::thread Thread;
};

} // namespace lentilhoist
