#include "edge/drain_plan.h"

#include <algorithm>

namespace lentilhoist {

const char *drainStepName(drain_step Step) {
  switch (Step) {
  case drain_step::Listen:
    return "listen";
  case drain_step::Finish:
    return "finish";
  case drain_step::Exit:
    return "exit";
  }
  return "unknown";
}

instant lastExit(const drain_state &State) {
  return later(State.StoppedAt,
               std::max(OutOfRotationTime, State.GracePeriod - ExitMargin));
}

instant lastDeadline(const drain_state &State) {
  return later(lastExit(State), -FlushTime);
}

bool opensTunnels(const drain_state &State, instant Now) {
  return Now.Steady < later(State.StoppedAt, OutOfRotationTime).Steady;
}

drain_decision decideDrain(drain_state &State, bool Idle, instant Now) {
  const instant OutOfRotation = later(State.StoppedAt, OutOfRotationTime);
  if (Now.Steady < OutOfRotation.Steady)
    return {drain_step::Listen, OutOfRotation};
  if (!Idle)
    State.IdleSince = {};
  else if (State.IdleSince.Steady.count() == 0)
    State.IdleSince = Now;
  const instant LastExit = lastExit(State);
  const instant IdleExit = later(State.IdleSince, FlushTime);
  const instant Exit =
      Idle && IdleExit.Steady < LastExit.Steady ? IdleExit : LastExit;
  if (Now.Steady >= Exit.Steady)
    return {drain_step::Exit, Now};
  return {drain_step::Finish, Exit};
}

} // namespace lentilhoist
