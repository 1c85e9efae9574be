#pragma once

#include <arpa/inet.h>
#include <atomic>
#include <cerrno>
#include <chrono>
#include <cstdint>
#include <string>
#include <sys/socket.h>
#include <system_error>
#include <thread>
#include <unistd.h>

namespace lentilhoist {

/// \returns a socket that listens on a free port of the loopback address.
inline int listenOnLoopback() {
  const int Listener = ::socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in Address{};
  Address.sin_family = AF_INET;
  Address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  if (::bind(Listener, reinterpret_cast<sockaddr *>(&Address),
             sizeof(Address)) != 0)
    throw std::system_error(errno, std::generic_category(), "bind");
  ::listen(Listener, 8);
  return Listener;
}

/// \returns the port of a listening socket.
inline int portOf(int Listener) {
  sockaddr_in Address{};
  socklen_t Length = sizeof(Address);
  ::getsockname(Listener, reinterpret_cast<sockaddr *>(&Address), &Length);
  return ntohs(Address.sin_port);
}

/// Sends a start and then the same bytes again and again on the first
/// connection, until that is closed or a limit is reached.
class endless_server {
public:
  static constexpr std::size_t MaxBytes = 96UL * 1024UL * 1024UL;

  /// \param Start bytes sent first.
  /// \param Repeat bytes sent without end.
  /// \param Pause time between two of them.
  endless_server(std::string Start, std::string Repeat,
                 std::chrono::milliseconds Pause)
      : Listener(listenOnLoopback()) {
    Thread = std::thread([this, Start, Repeat, Pause] {
      const int Socket = ::accept(Listener, nullptr, nullptr);
      char Request[4'096];
      (void)::recv(Socket, Request, sizeof(Request), 0);
      bool Open = ::send(Socket, Start.data(), Start.size(), MSG_NOSIGNAL) > 0;
      while (Open && !Stopping && Sent < MaxBytes) {
        std::this_thread::sleep_for(Pause);
        Open = ::send(Socket, Repeat.data(), Repeat.size(), MSG_NOSIGNAL) > 0;
        Sent += Repeat.size();
      }
      ::close(Socket);
    });
  }
  ~endless_server() {
    Stopping = true;
    ::shutdown(Listener, SHUT_RDWR);
    Thread.join();
    ::close(Listener);
  }

  int port() const { return portOf(Listener); }

  std::atomic<std::size_t> Sent{0};

private:
  int Listener;
  std::atomic<bool> Stopping{false};
  std::thread Thread;
};

} // namespace lentilhoist
