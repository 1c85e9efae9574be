#pragma once

#include "core/instant.h"

namespace lentilhoist {

/// What an entry instance does after it was told to stop.
enum class drain_step {
  Listen, ///< Accepts connections: callers may not know yet that it stops.
  Finish, ///< Accepts none; requests in progress end.
  Exit,   ///< Ends the process.
};

/// \param Step the value to name.
/// \returns its stable text form.
const char *drainStepName(drain_step Step);

/// Time after which the load balancer no longer sends requests to an instance
/// that is not ready. It removes an instance after two failed readiness checks
/// one second apart, and requests keep arriving until then.
inline constexpr milliseconds OutOfRotationTime{3'200};
/// Part of the grace period before SIGKILL that is reserved for process exit.
inline constexpr milliseconds ExitMargin{800};
/// Time between the end of the last request and the exit, in which the last
/// responses reach their callers.
inline constexpr milliseconds FlushTime{200};

/// Time after the order to stop in which requests are passed on whatever their
/// deadline. With the usual grace period, over four seconds are left for them
/// then; later ones must end before the exit.
inline constexpr milliseconds UnboundedSendTime{2'800};

/// Progress of a planned stop.
struct drain_state {
  instant StoppedAt{};         ///< When the instance was told to stop.
  milliseconds GracePeriod{0}; ///< From then until SIGKILL.
  instant IdleSince{}; ///< No request since then; zero if there are some.
};

/// A step, and when the next one is due if no request ends before.
struct drain_decision {
  drain_step Step = drain_step::Listen;
  instant NextCheck{};
};

/// \param State the progress.
/// \returns when the process exits at the latest.
instant lastExit(const drain_state &State);

/// \param State the progress.
/// \returns the latest deadline of a request that surely ends, and is
/// delivered, before the exit.
instant lastDeadline(const drain_state &State);

/// Decides whether a stopping instance opens tunnels for others. As long as it
/// takes requests of callers it can relay too: the others may be stopping as
/// well, and those that are cut from runners have only them. \param State the
/// progress. \param Now the current time. \returns whether it does.
bool opensTunnels(const drain_state &State, instant Now);

/// Decides what a stopping instance does.
/// \param State the progress, which is updated.
/// \param Idle whether no request and no connection is open.
/// \param Now the current time.
/// \returns the step and the time of the next decision.
drain_decision decideDrain(drain_state &State, bool Idle, instant Now);

} // namespace lentilhoist
