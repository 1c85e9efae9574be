#pragma once

#include <algorithm>
#include <arpa/inet.h>
#include <cerrno>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <fcntl.h>
#include <functional>
#include <poll.h>
#include <string>
#include <string_view>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>
#include <vector>

namespace lentilhoist {

/// What one client of a crowd sends.
struct client_script {
  std::string Head;
  std::string_view Body;  ///< Not owned; many clients send the same one.
  std::size_t Length = 0; ///< Bytes of Body that are sent, then none.
};

/// Whether the clients of a crowd read what the server sends.
enum class crowd_reads {
  All, ///< It is read and dropped.
  None,
};

/// Clients on loopback that send at the same time and stay open afterwards, in
/// one thread.
class client_crowd {
public:
  /// \param Port the server's port.
  /// \param Scripts what each client sends.
  /// \param PieceBytes most bytes that a client sends before the next one's
  /// turn.
  /// \param GivenReads whether they read.
  client_crowd(std::uint16_t Port, const std::vector<client_script> &Scripts,
               std::size_t PieceBytes,
               crowd_reads GivenReads = crowd_reads::All)
      : Piece(PieceBytes), Reads(GivenReads) {
    for (const client_script &Script : Scripts)
      Clients.push_back({connectTo(Port), Script});
  }
  ~client_crowd() {
    for (const client &Client : Clients)
      if (Client.Socket >= 0)
        ::close(Client.Socket);
  }
  client_crowd(const client_crowd &) = delete;
  client_crowd &operator=(const client_crowd &) = delete;

  /// Sends until all have sent their part or were closed, or until the server
  /// has taken no bytes for a while.
  /// \param Quiet how long it may take none.
  /// \param Limit longest time in all.
  void send(std::chrono::milliseconds Quiet, std::chrono::milliseconds Limit) {
    using clock = std::chrono::steady_clock;
    const auto Start = clock::now();
    auto LastProgress = Start;
    while (clock::now() - LastProgress < Quiet &&
           clock::now() - Start < Limit) {
      std::vector<pollfd> Polled;
      std::vector<client *> Waiting;
      for (client &Client : Clients)
        if (Client.Socket >= 0 && !Client.done()) {
          const short Events =
              Reads == crowd_reads::All ? POLLIN | POLLOUT : POLLOUT;
          Polled.push_back({Client.Socket, Events, 0});
          Waiting.push_back(&Client);
        }
      if (Polled.empty())
        return;
      ::poll(Polled.data(), Polled.size(), 100);
      for (std::size_t Index = 0; Index < Polled.size(); ++Index)
        if (Polled[Index].revents != 0 && step(*Waiting[Index]))
          LastProgress = clock::now();
    }
  }

  /// Goes on with one byte of each client's body at a time.
  /// \param Interval time between two bytes of a client.
  /// \param Count bytes that each client sends.
  void trickle(std::chrono::milliseconds Interval, int Count) {
    for (int Round = 0; Round < Count; ++Round) {
      for (client &Client : Clients) {
        if (Client.Socket >= 0)
          ++Client.Script.Length;
        if (Client.Socket >= 0)
          step(Client);
      }
      std::this_thread::sleep_for(Interval);
    }
  }

  /// \returns the number of clients whose connection the server has closed.
  std::size_t closed() const {
    return static_cast<std::size_t>(
        std::count_if(Clients.begin(), Clients.end(),
                      [](const client &Client) { return Client.Socket < 0; }));
  }

private:
  struct client {
    int Socket = -1;
    client_script Script;
    std::size_t Sent = 0; ///< Of head and body.
    bool done() const { return Sent == Script.Head.size() + Script.Length; }
  };

  static int connectTo(std::uint16_t Port) {
    const int Socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in Address{};
    Address.sin_family = AF_INET;
    Address.sin_port = htons(Port);
    Address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    if (::connect(Socket, reinterpret_cast<sockaddr *>(&Address),
                  sizeof(Address)) != 0) {
      ::close(Socket);
      return -1;
    }
    ::fcntl(Socket, F_SETFL, O_NONBLOCK);
    return Socket;
  }

  /// Reads and drops what has arrived.
  /// \returns whether the server has ended the connection.
  static bool hasEnded(const client &Client) {
    char Dropped[4096];
    const ssize_t Received = ::recv(Client.Socket, Dropped, sizeof(Dropped), 0);
    return Received == 0 || (Received < 0 && errno != EAGAIN && errno != EINTR);
  }

  /// \returns whether bytes were sent or the connection ended.
  bool step(client &Client) const {
    if (Reads == crowd_reads::All && hasEnded(Client)) {
      ::close(Client.Socket);
      Client.Socket = -1;
      return true;
    }
    const std::size_t HeadBytes = Client.Script.Head.size();
    const std::string_view Left =
        Client.Sent < HeadBytes
            ? std::string_view(Client.Script.Head).substr(Client.Sent)
            : Client.Script.Body.substr(Client.Sent - HeadBytes,
                                        Client.Script.Length -
                                            (Client.Sent - HeadBytes));
    const ssize_t Written = ::send(Client.Socket, Left.data(),
                                   std::min(Left.size(), Piece), MSG_NOSIGNAL);
    if (Written < 0 && errno != EAGAIN && errno != EINTR) {
      ::close(Client.Socket);
      Client.Socket = -1;
      return true;
    }
    if (Written > 0)
      Client.Sent += static_cast<std::size_t>(Written);
    return Written > 0;
  }

  std::size_t Piece;
  crowd_reads Reads;
  std::vector<client> Clients;
};

/// Sends one request on a connection of its own and reads the response.
/// \param Port the server's port.
/// \param Request the request, which asks for the connection to be closed.
/// \returns the response; empty or cut off if there was none within 5 s.
inline std::string askOnce(std::uint16_t Port, const std::string &Request) {
  const int Socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const timeval Time{5, 0};
  ::setsockopt(Socket, SOL_SOCKET, SO_RCVTIMEO, &Time, sizeof(Time));
  sockaddr_in Address{};
  Address.sin_family = AF_INET;
  Address.sin_port = htons(Port);
  Address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  std::string Response;
  if (::connect(Socket, reinterpret_cast<sockaddr *>(&Address),
                sizeof(Address)) == 0) {
    std::size_t Sent = 0;
    while (Sent < Request.size()) {
      const ssize_t Part = ::send(Socket, Request.data() + Sent,
                                  Request.size() - Sent, MSG_NOSIGNAL);
      if (Part <= 0)
        break;
      Sent += static_cast<std::size_t>(Part);
    }
    char Bytes[4096];
    for (ssize_t Part = ::recv(Socket, Bytes, sizeof(Bytes), 0); Part > 0;
         Part = ::recv(Socket, Bytes, sizeof(Bytes), 0))
      Response.append(Bytes, static_cast<std::size_t>(Part));
  }
  ::close(Socket);
  return Response;
}

} // namespace lentilhoist
