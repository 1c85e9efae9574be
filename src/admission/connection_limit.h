#pragma once

#include "core/instant.h"

#include <cstddef>
#include <vector>

namespace lentilhoist {

/// Decides how many connections clients may have and which ones give way. The
/// load is clients that open connections and leave them idle.

/// Descriptors that the platform reserves for files.
inline constexpr std::size_t FileDescriptors = 200;
/// Clients may use this fraction (1/N) of the descriptors for connections. A
/// request takes a second one to its runner; the rest is for replicas, the
/// store and other instances.
inline constexpr std::size_t ClientDescriptorDivisor = 2;
/// A connection that has carried no request is not closed before this time:
/// clients allow a second for a new connection.
inline constexpr milliseconds NewConnectionTime{1'000};
/// A kept connection is not closed sooner after its last response.
inline constexpr milliseconds KeptConnectionTime{250};

/// \param MaxDescriptors descriptors of the process; 0: no limit.
/// \returns the number of connections that clients may have; 0: no limit.
std::size_t clientConnectionLimit(std::size_t MaxDescriptors);

/// What to do with a new connection.
enum class accept_step {
  Serve,    ///< There is room.
  MakeRoom, ///< Idle connections give way; if there are none, reject it.
  Close,    ///< No descriptor is left for a response.
};

/// \param Open connections of clients that are open, the new one included,
/// also those that are being closed.
/// \param Limit from clientConnectionLimit().
/// \returns the decision.
accept_step decideAccept(std::size_t Open, std::size_t Limit);

/// A connection without a request.
struct idle_connection {
  bool Served = false; ///< It has carried a request.
  instant Since{};     ///< Idle since then.
};

/// \param Connections the connections without a request.
/// \param Count how many are wanted at most.
/// \param Now the current time.
/// \returns the indices of those to close: first those that have never carried
/// a request, each kind in the order of its idle time.
std::vector<std::size_t>
chooseIdle(const std::vector<idle_connection> &Connections, std::size_t Count,
           instant Now);

} // namespace lentilhoist
