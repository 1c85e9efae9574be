#include "http/http_client.h"

#include "http/http_server.h"

#include <arpa/inet.h>
#include <charconv>
#include <fmt/format.h>
#include <netdb.h>
#include <stdexcept>

namespace lentilhoist {

namespace {

constexpr int MaxPort = 65'535;

} // namespace

std::unique_ptr<httplib::Client> makeHttpClient(const endpoint &Target,
                                                const http_timeouts &Timeouts) {
  auto Client = std::make_unique<httplib::Client>(Target.Address, Target.Port);
  Client->set_tcp_nodelay(true);
  Client->set_keep_alive(true);
  Client->set_connection_timeout(Timeouts.Connect);
  Client->set_read_timeout(Timeouts.Read);
  Client->set_write_timeout(Timeouts.Write);
  Client->set_socket_options([](socket_t Socket) { setSocketOptions(Socket); });
  return Client;
}

endpoint parseEndpoint(const std::string &Text) {
  const auto Colon = Text.rfind(':');
  if (Colon == std::string::npos || Colon == 0)
    throw std::invalid_argument(fmt::format("'{}' is not ADDRESS:PORT", Text));
  endpoint Parsed;
  Parsed.Address = Text.substr(0, Colon);
  const char *Begin = Text.data() + Colon + 1;
  const char *End = Text.data() + Text.size();
  const auto Result = std::from_chars(Begin, End, Parsed.Port);
  const bool Valid = Result.ec == std::errc() && Result.ptr == End &&
                     Parsed.Port > 0 && Parsed.Port <= MaxPort;
  if (!Valid)
    throw std::invalid_argument(fmt::format("'{}' has no valid port", Text));
  return Parsed;
}

endpoint resolveHost(const endpoint &Target) {
  addrinfo Hints{};
  Hints.ai_family = AF_INET;
  Hints.ai_socktype = SOCK_STREAM;
  addrinfo *Found = nullptr;
  if (::getaddrinfo(Target.Address.c_str(), nullptr, &Hints, &Found) != 0)
    return Target;
  const std::unique_ptr<addrinfo, decltype(&::freeaddrinfo)> Owner(
      Found, ::freeaddrinfo);
  char Number[INET_ADDRSTRLEN];
  const auto *Address = reinterpret_cast<const sockaddr_in *>(Found->ai_addr);
  if (::inet_ntop(AF_INET, &Address->sin_addr, Number, sizeof(Number)) ==
      nullptr)
    return Target;
  return {Number, Target.Port};
}

} // namespace lentilhoist
