#pragma once

#include <chrono>
#include <httplib.h>
#include <memory>
#include <string>
#include <tuple>

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

/// Parses `127.0.0.1:8080`.
/// \param Text the text.
/// \returns the endpoint.
/// \throws std::invalid_argument if the text is malformed.
endpoint parseEndpoint(const std::string &Text);

/// \param Target a server, by name or number.
/// \returns the server by number; as given if the name is not known.
endpoint resolveHost(const endpoint &Target);

} // namespace lentilhoist
