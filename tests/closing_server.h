#pragma once

#include "endless_server.h"

namespace lentilhoist {

/// Sends a response to each request and then ends the connection, in order or
/// by a reset.
class closing_server {
public:
  closing_server(std::string Response, bool Reset)
      : Listener(listenOnLoopback()) {
    Thread = std::thread([this, Response, Reset] {
      for (;;) {
        const int Socket = ::accept(Listener, nullptr, nullptr);
        if (Socket < 0)
          return;
        char Request[4'096];
        (void)::recv(Socket, Request, sizeof(Request), 0);
        (void)::send(Socket, Response.data(), Response.size(), MSG_NOSIGNAL);
        // Lets the response arrive before a reset.
        std::this_thread::sleep_for(std::chrono::milliseconds(50));
        const linger Linger{Reset ? 1 : 0, 0};
        ::setsockopt(Socket, SOL_SOCKET, SO_LINGER, &Linger, sizeof(Linger));
        ::close(Socket);
      }
    });
  }
  ~closing_server() {
    ::shutdown(Listener, SHUT_RDWR);
    Thread.join();
    ::close(Listener);
  }

  int port() const { return portOf(Listener); }

private:
  int Listener;
  std::thread Thread;
};

} // namespace lentilhoist
