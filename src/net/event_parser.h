#pragma once

#include <functional>
#include <string>
#include <string_view>

namespace lentilhoist {

/// \param Bytes part of a stream of server-sent events, from the start of an
/// event on.
/// \returns the length of the whole events at its start, each with the empty
/// line that ends it. Lines end with LF, CR LF or CR; a CR at the end of
/// \p Bytes ends no line yet.
std::size_t wholeEventsLength(std::string_view Bytes);

/// Splits a stream of server-sent events into the data of each event
/// (WHATWG HTML, section 9.2).
class event_parser {
public:
  /// Adds bytes.
  /// \param Bytes the bytes as they arrived.
  /// \param OnData takes the data of each complete event.
  void add(std::string_view Bytes,
           const std::function<void(std::string_view)> &OnData);

private:
  std::string Partial; ///< Bytes of the event that is not complete.
};

} // namespace lentilhoist
