#pragma once

#include "http/strict_server.h"

#include <chrono>
#include <cstddef>
#include <functional>
#include <string>

namespace lentilhoist {

/// Settings of one HTTP server.
struct http_server_settings {
  std::string Address = "127.0.0.1";
  int Port = 0;
  std::size_t MaxConnections = 256; ///< Served at once; more are refused.
  std::chrono::milliseconds IdleTimeout{5'000}; ///< Also bounds stop().
  std::chrono::milliseconds ReadTimeout{10'000};
  std::chrono::milliseconds WriteTimeout{10'000};
  std::size_t MaxBodyBytes = 1U << 20U;
  std::size_t MaxHeadBytes = 16U << 10U;
  /// From the first byte of a head to its last.
  std::chrono::milliseconds HeadTime{10'000};
  int Backlog = 1024;
};

/// An HTTP server with the options that every server of the project needs:
/// no delay on sockets, long keep-alive, a large backlog, and a refusal in
/// place of a silent queue once all connections are in use.
class http_server {
public:
  /// \param Settings where and how to serve.
  explicit http_server(http_server_settings Settings);
  ~http_server();
  http_server(const http_server &) = delete;
  http_server &operator=(const http_server &) = delete;

  /// \returns the routes, to be set before start().
  httplib::Server &routes() { return Server; }

  /// Sets a check that runs before each route.
  /// \param Check returns true if it has answered the request itself.
  void setGuard(
      std::function<bool(const httplib::Request &, httplib::Response &)> Check);

  /// Binds the port and serves on a thread of its own.
  /// \throws std::runtime_error if the port can't be bound.
  void start();

  /// Stops accepting, lets requests under way finish, joins the thread.
  void stop();

  /// \returns the port, also if the settings asked for any.
  int port() const { return Settings.Port; }

private:
  http_server_settings Settings;
  strict_server Server;
  std::function<bool(const httplib::Request &, httplib::Response &)> Guard;
  std::thread Thread;
  int Descriptor = -1; ///< Listening socket, to raise the backlog.
};

/// Sets the options that both ends of each connection need.
/// \param Descriptor the socket.
void setSocketOptions(int Descriptor);

} // namespace lentilhoist
