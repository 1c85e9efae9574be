#pragma once

#include <chrono>
#include <cstddef>
#include <httplib.h>

namespace lentilhoist {

/// A server of the library that checks the head of each request with the strict
/// reader of net/http_reader.h before the library parses it. The library takes
/// the first of two lengths and reads a body next to chunked coding; behind a
/// balancer the rest of such a body would become another caller's request. A
/// head that is ambiguous, too large or too slow is answered with its error,
/// and the connection ends, before any handler runs.
class strict_server : public httplib::Server {
public:
  /// \param MaxHeadBytes largest head of a request.
  /// \param HeadTime from the first byte of a head to its last.
  strict_server(std::size_t MaxHeadBytes, std::chrono::milliseconds HeadTime)
      : MaxHeadBytes(MaxHeadBytes), HeadTime(HeadTime) {}

private:
  bool process_and_close_socket(socket_t Socket) override;

  std::size_t MaxHeadBytes;
  std::chrono::milliseconds HeadTime;
};

} // namespace lentilhoist
