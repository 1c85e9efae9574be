#pragma once

#include "forward/exchange_context.h"

namespace lentilhoist {

/// Interval at which the path to runners is checked while requests are at
/// runners or the path is lost.
inline constexpr milliseconds PathCheckInterval{100};

/// A connection attempt that fails sooner than this was refused: no process
/// listens. One that takes longer says nothing about the process.
inline constexpr milliseconds MaxRefusalTime{150};

/// Connects to a runner without a relay and closes the connection again, to see
/// whether its process listens and the path is open.
/// \param Context state of the instance.
/// \param RunnerId the runner; must be in the directory.
void probeRunner(exchange_context &Context, const std::string &RunnerId);

/// Records that a request was sent to a runner without a relay, and watches the
/// path while it is there.
/// \param Context state of the instance.
void reportPathSent(exchange_context &Context);

/// Records that bytes of a runner arrived without a relay.
/// \param Context state of the instance.
/// \param RunnerId the runner.
/// \param BornMs its incarnation.
void reportPathHeard(exchange_context &Context, const std::string &RunnerId,
                     std::int64_t BornMs);

/// Records the result of a connection attempt to a runner without a relay. What
/// it says about the runner's process is believed once another runner shows
/// that the path is open.
/// \param Context state of the instance.
/// \param RunnerId the runner.
/// \param BornMs its incarnation.
/// \param Accepted whether the connection was established.
/// \param Refused whether it was refused at once: no process listens.
void reportPathConnect(exchange_context &Context, const std::string &RunnerId,
                       std::int64_t BornMs, bool Accepted, bool Refused);

/// Records that a relay could not be used.
/// \param Context state of the instance.
/// \param Relay address of the relay.
/// \param Refusal why, as the relay says; None if it did not answer.
void reportRelayFailed(exchange_context &Context, const std::string &Relay,
                       tunnel_refusal Refusal);

/// Probes the path and the relays if that is due, and gives up what a lost path
/// has cut off.
/// \param Context state of the instance.
void checkPath(exchange_context &Context);

/// \param Context state of the instance.
/// \returns whether requests can reach runners: the path is open, a relay is
/// usable, or one may still be found.
bool canReachRunners(const exchange_context &Context);

} // namespace lentilhoist
