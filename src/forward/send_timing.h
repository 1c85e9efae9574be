#pragma once

#include "core/instant.h"
#include "placement/placement.h"
#include "placement/runner_speed.h"

#include <cstdint>
#include <optional>

namespace lentilhoist {

/// Times of one send to a runner, from which its speed is learned.
struct send_timing {
  double ExpectedMs = 0;     ///< As expected when the runner was selected.
  double UncachedTokens = 0; ///< Prompt tokens, as estimated then.
  double Load = 0;           ///< Requests at the runner, as estimated then.
  int Slots = 1;
  bool Engine = false;
  std::uint64_t TokensPerEvent = 1;
  instant SentAt{};
  instant FirstEventAt{}; ///< Zero before the first event.
  instant LastEventAt{};
  std::uint64_t FirstEvents = 0; ///< Events that arrived with the first one.
  std::uint64_t Events = 0;
};

/// \param Placement the selected runner with its estimates.
/// \param Slots slots of the runner.
/// \param PromptTokens length of the request's prompt.
/// \param Engine the engine's properties; nothing for a plain service.
/// \param Now the current time.
/// \returns the state at the start of a send.
send_timing startTiming(const placement_result &Placement, int Slots,
                        std::int64_t PromptTokens,
                        const std::optional<engine_traits> &Engine,
                        instant Now);

/// Records the arrival of events.
/// \param Timing the send.
/// \param Events number of events received so far.
/// \param Now the current time.
void recordEvents(send_timing &Timing, std::uint64_t Events, instant Now);

/// Derives an observation of the runner's speed.
/// \param Timing the send.
/// \param Load the load report of the response, if any.
/// \param Complete whether the whole response has arrived; false if the send
/// ended before, for example at its deadline.
/// \param Now the current time.
/// \returns the observation.
work_observation observedWork(const send_timing &Timing,
                              const std::optional<load_report> &Load,
                              bool Complete, instant Now);

} // namespace lentilhoist
