#pragma once

#include "http/bounded_call.h"

#include <string_view>

namespace lentilhoist {

/// A connection for calls to a server, one after the other. Blocks.
class bounded_connection {
public:
  /// \param GivenTarget the server.
  explicit bounded_connection(endpoint GivenTarget);
  ~bounded_connection();
  bounded_connection(const bounded_connection &) = delete;
  bounded_connection &operator=(const bounded_connection &) = delete;

  /// Connects if it is not connected, and calls as callBounded() does.
  /// \param Head the head of the request, without framing fields.
  /// \param Body the body of the request.
  /// \param Limits the limits.
  /// \param OnBody as that of callBounded().
  /// \returns the result.
  call_result call(const http_request_head &Head, std::string_view Body,
                   const call_limits &Limits, const body_receiver &OnBody = {});

  /// \returns whether another call may be sent on it: the last response ended
  /// by its framing, and nothing has come behind it, not even the end.
  bool reusable() const;

private:
  bool connect(const call_limits &Limits);
  bool exchange(const http_request_head &Head, std::string_view Body,
                const call_limits &Limits, const body_receiver &OnBody,
                instant Deadline, call_result &Result);
  void close();

  endpoint Target;
  int Socket = -1;
};

} // namespace lentilhoist
