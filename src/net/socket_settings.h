#pragma once

#include <chrono>

namespace lentilhoist {

/// Options of TCP connections.
struct socket_settings {
  /// Unacknowledged bytes and unanswered probes end the connection after this
  /// long. Below the three seconds after which a silent connection to the store
  /// excuses no late change any more.
  std::chrono::milliseconds UserTimeout{2'000};
  /// Longest time to establish a connection. Two crossings between failure
  /// domains take 11 ms; a lost first packet comes again only after a second.
  std::chrono::milliseconds ConnectTimeout{250};
  /// Idle time before the first keep-alive probe, and between probes.
  std::chrono::seconds ProbeInterval{1};
  /// Report the peer's orderly end as one only if the peer has received all
  /// that was written to it. A process that is killed also ends its connection
  /// in order if it has read what had arrived, and resets it only for the next
  /// bytes. For connections whose end can be the end of a response.
  bool ConfirmDelivery = false;
};

/// Options of connections to the platform's store.
inline constexpr socket_settings StoreSocketSettings{.ConfirmDelivery = true};

/// UserTimeout of connections to runners. A sound runner may be silent for a
/// second or so. The probe that finds it back comes up to a second later, and
/// the timeout counts from the last bytes before the silence.
inline constexpr std::chrono::milliseconds RunnerUserTimeout{2'500};

/// Options of connections to runners.
inline constexpr socket_settings RunnerSocketSettings{
    .UserTimeout = RunnerUserTimeout, .ConfirmDelivery = true};

} // namespace lentilhoist
