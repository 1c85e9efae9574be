#include "http/http_client_pool.h"

#include "http/http_server.h"

#include <charconv>
#include <fmt/format.h>
#include <stdexcept>

namespace lentilhoist {

namespace {

constexpr std::size_t MaxIdlePerServer = 64;
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

http_client_pool::http_client_pool(http_timeouts Given) : Timeouts(Given) {}

std::unique_ptr<httplib::Client>
http_client_pool::acquire(const endpoint &Target) {
  {
    const std::lock_guard Lock(Mutex);
    auto &Clients = Idle[Target];
    if (!Clients.empty()) {
      auto Client = std::move(Clients.back());
      Clients.pop_back();
      return Client;
    }
  }
  return makeHttpClient(Target, Timeouts);
}

void http_client_pool::release(const endpoint &Target,
                               std::unique_ptr<httplib::Client> Client) {
  const std::lock_guard Lock(Mutex);
  auto &Clients = Idle[Target];
  if (Clients.size() < MaxIdlePerServer)
    Clients.push_back(std::move(Client));
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

} // namespace lentilhoist
