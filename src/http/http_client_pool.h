#pragma once

#include <chrono>
#include <httplib.h>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <tuple>
#include <vector>

namespace lentilhoist {

/// Address of a server, by IP number.
struct endpoint {
  std::string Address;
  int Port = 0;

  bool operator==(const endpoint &) const = default;
  bool operator<(const endpoint &Other) const {
    return std::tie(Address, Port) < std::tie(Other.Address, Other.Port);
  }
};

/// Limits of each wait of a client.
struct http_timeouts {
  std::chrono::milliseconds Connect{1'000};
  std::chrono::milliseconds Read{5'000}; ///< Longest gap between bytes.
  std::chrono::milliseconds Write{5'000};
};

/// \param Target the server.
/// \param Timeouts the limits of the waits.
/// \returns a client on a connection of its own, opened at the first request.
std::unique_ptr<httplib::Client> makeHttpClient(const endpoint &Target,
                                                const http_timeouts &Timeouts);

/// Idle connections by server, for requests that may be sent again.
class http_client_pool {
public:
  /// \param Timeouts the limits of the waits of all clients.
  explicit http_client_pool(http_timeouts Timeouts);

  /// \param Target the server.
  /// \returns an idle client of the server, or a new one.
  std::unique_ptr<httplib::Client> acquire(const endpoint &Target);

  /// Takes back a client whose last request was answered whole.
  /// \param Target the server.
  /// \param Client the client.
  void release(const endpoint &Target, std::unique_ptr<httplib::Client> Client);

private:
  http_timeouts Timeouts;
  std::mutex Mutex;
  std::map<endpoint, std::vector<std::unique_ptr<httplib::Client>>> Idle;
};

/// Parses `127.0.0.1:8080`.
/// \param Text the text.
/// \returns the endpoint.
/// \throws std::invalid_argument if the text is malformed.
endpoint parseEndpoint(const std::string &Text);

} // namespace lentilhoist
