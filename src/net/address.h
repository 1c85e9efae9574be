#pragma once

#include <asio/ip/tcp.hpp>
#include <optional>
#include <string>

namespace lentilhoist {

/// Parses an address that needs no lookup.
/// \param Text the address as IP:PORT.
/// \returns the address, or nothing if the text is malformed.
std::optional<asio::ip::tcp::endpoint> parseAddress(const std::string &Text);

/// \param Address an address.
/// \returns its text as IP:PORT.
std::string formatAddress(const asio::ip::tcp::endpoint &Address);

/// Opens a listening socket.
/// \param Loop the event loop.
/// \param Address where to listen.
/// \returns the acceptor.
/// \throws std::system_error if the address can't be used.
asio::ip::tcp::acceptor listenOn(asio::io_context &Loop,
                                 const asio::ip::tcp::endpoint &Address);

} // namespace lentilhoist
