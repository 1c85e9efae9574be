#include "net/address.h"

#include <asio/io_context.hpp>
#include <charconv>

namespace lentilhoist {

namespace {
/// Connections that the system accepts ahead of the program; bursts of new
/// connections beyond it are dropped and come again after seconds.
constexpr int ListenBacklog = 1'024;
} // namespace

std::optional<asio::ip::tcp::endpoint> parseAddress(const std::string &Text) {
  const std::size_t Colon = Text.rfind(':');
  if (Colon == std::string::npos)
    return std::nullopt;
  asio::error_code Error;
  const auto Ip = asio::ip::make_address_v4(Text.substr(0, Colon), Error);
  std::uint16_t Port = 0;
  const char *End = Text.data() + Text.size();
  const auto Parsed = std::from_chars(Text.data() + Colon + 1, End, Port);
  if (Error || Parsed.ec != std::errc() || Parsed.ptr != End || Port == 0)
    return std::nullopt;
  return asio::ip::tcp::endpoint(Ip, Port);
}

std::string formatAddress(const asio::ip::tcp::endpoint &Address) {
  return Address.address().to_string() + ":" + std::to_string(Address.port());
}

asio::ip::tcp::acceptor listenOn(asio::io_context &Loop,
                                 const asio::ip::tcp::endpoint &Address) {
  asio::ip::tcp::acceptor Acceptor(Loop);
  Acceptor.open(Address.protocol());
  Acceptor.set_option(asio::socket_base::reuse_address(true));
  Acceptor.bind(Address);
  Acceptor.listen(ListenBacklog);
  return Acceptor;
}

} // namespace lentilhoist
