#pragma once

#include "net/address.h"

#include <asio/io_context.hpp>
#include <cstdint>
#include <system_error>
#include <unistd.h>

namespace lentilhoist {

/// \returns whether nothing listens at a port of the loopback address.
inline bool isFree(std::uint16_t Port) {
  try {
    asio::io_context Loop;
    listenOn(Loop, {asio::ip::address_v4::loopback(), Port});
    return true;
  } catch (const std::system_error &) {
    return false;
  }
}

/// \param Count how many ports follow each other.
/// \returns the first of some free ports below those that the system gives out
/// by itself (32768 by default), so that no other test takes one meanwhile.
inline std::uint16_t freePorts(int Count) {
  constexpr int FirstPort = 24'000;
  constexpr int PortsEach = 8;
  constexpr int Choices = 1'000;
  for (int Try = ::getpid();; ++Try) {
    const int First = FirstPort + Try % Choices * PortsEach;
    int Free = 0;
    while (Free < Count && isFree(static_cast<std::uint16_t>(First + Free)))
      ++Free;
    if (Free == Count)
      return static_cast<std::uint16_t>(First);
  }
}

} // namespace lentilhoist
