#pragma once

#include "decision/runner_table.h"
#include "http/http_client.h"

#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace lentilhoist {

/// Limits of the waits for an engine.
struct model_client_settings {
  std::chrono::milliseconds Connect{500};
  std::chrono::milliseconds StreamGap{2'000}; ///< Then the stream is resumed.
  std::uint32_t MaxResumes = 8;               ///< In a row without a new token.
};

/// Runs one attempt of a model call at an engine that speaks the chat
/// completions protocol with server-sent events. A stream that breaks or falls
/// silent is resumed from the last token on a new connection.
/// \param Placed the attempt and its engine.
/// \param Settings limits of the waits.
/// \param IsCancelled asked between tokens.
/// \param OnText takes the generated text.
/// \returns the result.
attempt_result
runModelAttempt(const placed_attempt &Placed,
                const model_client_settings &Settings,
                const std::function<bool()> &IsCancelled,
                const std::function<void(std::string_view)> &OnText);

/// Tells an engine to stop a stream.
/// \param Engine the engine.
/// \param AttemptId the stream.
void cancelStream(const endpoint &Engine, const std::string &AttemptId);

/// Tells an engine that it may drop a program's cache.
/// \param Engine the engine.
/// \param Session the program.
/// \returns whether the engine confirmed it.
bool releaseSession(const endpoint &Engine, const std::string &Session);

/// Asks an engine which programs' prefixes it caches.
/// \param Engine the engine.
/// \returns the programs, or nothing if the engine does not answer.
std::optional<std::vector<program_id>> listSessions(const endpoint &Engine);

/// Asks a runner for its load.
/// \param Runner the runner.
/// \param Now the present time.
/// \returns the report; not Reachable if there was none.
runner_load readLoad(const endpoint &Runner, instant Now);

} // namespace lentilhoist
