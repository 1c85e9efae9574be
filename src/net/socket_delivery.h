#pragma once

#include <chrono>

namespace lentilhoist {

/// Interval at which bytes that the peer has not received yet are looked at.
inline constexpr std::chrono::milliseconds DeliveryCheckInterval{5};

/// \param Socket a connected TCP socket.
/// \returns whether the peer's system has not acknowledged all bytes that were
/// written; false where the system can't tell (Linux, tcp(7), SIOCOUTQ).
bool hasUndeliveredBytes(int Socket);

/// \param Socket a connected TCP socket.
/// \returns the error that the system holds for the socket, which is forgotten
/// with that; 0 if there is none.
int takeSocketError(int Socket);

} // namespace lentilhoist
