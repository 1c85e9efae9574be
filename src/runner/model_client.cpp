#include "runner/model_client.h"

#include "http/bounded_call.h"
#include "log/log.h"
#include "log/log_limit.h"
#include "net/event_parser.h"

#include <fmt/format.h>
#include <limits>
#include <nlohmann/json.hpp>

namespace lentilhoist {

namespace {

constexpr std::chrono::milliseconds ControlWait{300};
/// A part of a stream above this size that holds no token is not what an engine
/// sends.
constexpr std::size_t MaxEventBytes = 256UL * 1024UL;
constexpr int StatusOk = 200;
constexpr int StatusNotFound = 404;
constexpr int StatusUnavailable = 503;

/// Progress of one attempt over all its connections.
struct stream_progress {
  std::size_t Tokens = 0;
  std::string Text;
  std::size_t BytesSinceToken = 0;
  bool Done = false;
  bool Endless = false; ///< The engine sends more than it was asked for.
  /// A token's text can't be read, so that the answer would lack it.
  bool Unreadable = false;
  bool UsageKnown = false;
  std::uint64_t PromptTokens = 0;
  std::uint64_t GeneratedTokens = 0;
};

/// \returns whether the status says that the engine did not start the request.
bool isRefusal(int Status) {
  return Status == StatusUnavailable || (Status >= 400 && Status < 500);
}

endpoint endpointOf(const runner_settings &Runner) {
  return {Runner.Address, Runner.Port};
}

std::string makeBody(const start_attempt &Attempt) {
  const std::string &New = Attempt.Call.Body;
  std::string Messages = Attempt.History;
  if (New.size() > 2) {
    if (!Messages.empty())
      Messages += ',';
    Messages.append(New, 1, New.size() - 2);
  }
  return fmt::format(
      R"({{"model":{},"stream":true,"max_tokens":{},"messages":[{}]}})",
      nlohmann::json(Attempt.Call.Model).dump(), Attempt.MaxTokens, Messages);
}

std::string wrapAnswer(const std::string &Text) {
  const nlohmann::json Message = {{"role", "assistant"}, {"content", Text}};
  return nlohmann::json::array({Message}).dump();
}

/// \returns a count; nothing if it is absent or no count.
std::optional<std::uint64_t> countIn(const nlohmann::json &Object,
                                     const char *Field) {
  const auto Found = Object.find(Field);
  if (Found == Object.end() || !Found->is_number_unsigned())
    return std::nullopt;
  return Found->get<std::uint64_t>();
}

void readUsage(const nlohmann::json &Json, stream_progress &Progress) {
  const auto Usage = Json.find("usage");
  if (Usage == Json.end() || !Usage->is_object())
    return;
  Progress.Done = true;
  const auto Prompt = countIn(*Usage, "prompt_tokens");
  const auto Generated = countIn(*Usage, "completion_tokens");
  Progress.UsageKnown = Prompt && Generated;
  if (!Progress.UsageKnown)
    logLimited(log_level::Warning, "engine_usage_unreadable", {});
  Progress.PromptTokens = Prompt.value_or(0);
  // Without a count, no less than what has arrived.
  Progress.GeneratedTokens = Generated.value_or(Progress.Tokens);
}

/// \returns the delta of an event's first choice; null if it has none.
const nlohmann::json *findDelta(const nlohmann::json &Json) {
  const auto Choices = Json.find("choices");
  if (Choices == Json.end() || !Choices->is_array() || Choices->empty() ||
      !Choices->front().is_object())
    return nullptr;
  const auto Delta = Choices->front().find("delta");
  return Delta != Choices->front().end() && Delta->is_object() ? &*Delta
                                                               : nullptr;
}

void readChunk(std::string_view Data, stream_progress &Progress,
               const std::function<void(std::string_view)> &OnText) {
  const auto Json = nlohmann::json::parse(Data, nullptr, false);
  if (Json.is_discarded() || !Json.is_object())
    return;
  readUsage(Json, Progress);
  const nlohmann::json *Delta = findDelta(Json);
  if (!Delta)
    return;
  const auto Content = Delta->find("content");
  // Null comes with the role, before the first token.
  if (Content == Delta->end() || Content->is_null())
    return;
  if (!Content->is_string()) {
    Progress.Unreadable = true;
    logLimited(log_level::Warning, "engine_event_unreadable",
               {{"content", Content->type_name()}});
    return;
  }
  const auto Text = Content->get<std::string>();
  ++Progress.Tokens;
  Progress.BytesSinceToken = 0;
  Progress.Text += Text;
  OnText(Text);
}

attempt_result failure(error_code Code, run_state Run, std::string Detail,
                       const runner_settings &Runner) {
  attempt_result Result;
  Result.Code = Code;
  Result.Run = Run;
  Result.Status = httpStatus(Code);
  Result.Response = std::move(Detail);
  Result.Runner = Runner.Name;
  return Result;
}

/// One connection's share of an attempt.
class stream_reader {
public:
  stream_reader(const placed_attempt &GivenPlaced,
                const model_client_settings &GivenSettings,
                instant GivenDeadline,
                const std::function<bool()> &GivenIsCancelled,
                const std::function<void(std::string_view)> &GivenOnText)
      : Placed(GivenPlaced), Settings(GivenSettings), Deadline(GivenDeadline),
        IsCancelled(GivenIsCancelled), OnText(GivenOnText) {}

  /// \returns the response's status, or nothing if there was none.
  std::optional<int> begin(stream_progress &Progress, bool &Connected) {
    return exchange(
        {"POST",
         "/v1/chat/completions",
         {{"Host", Placed.Runner.Address},
          {"Content-Type", "application/json"},
          {"X-Attempt-Id", Placed.Attempt.AttemptId},
          {"X-Session-Id", formatProgramId(Placed.Attempt.Call.Program)}}},
        makeBody(Placed.Attempt), Progress, Connected);
  }

  /// Goes on from the first token that is missing.
  std::optional<int> resume(stream_progress &Progress, bool &Connected) {
    return exchange({"GET",
                     fmt::format("/v1/streams?id={}&from={}",
                                 Placed.Attempt.AttemptId, Progress.Tokens),
                     {{"Host", Placed.Runner.Address}}},
                    "", Progress, Connected);
  }

private:
  std::optional<int> exchange(const http_request_head &Head,
                              const std::string &Body,
                              stream_progress &Progress, bool &Connected) {
    call_limits Limits;
    Limits.Connect = Settings.Connect;
    Limits.Silence = Settings.StreamGap;
    Limits.Total =
        std::max(milliseconds(1), std::chrono::duration_cast<milliseconds>(
                                      Deadline.Steady - readClock().Steady));
    event_parser Parser;
    Progress.BytesSinceToken = 0;
    const call_result Result = callBounded(
        endpointOf(Placed.Runner), Head, Body, Limits,
        [&](std::string_view Bytes) {
          Progress.BytesSinceToken += Bytes.size();
          Parser.add(Bytes, [&](std::string_view Event) {
            readChunk(Event, Progress, OnText);
          });
          Progress.Endless = Progress.BytesSinceToken > MaxEventBytes ||
                             Progress.Text.size() > MaxAnswerBytes;
          return !Progress.Endless && !Progress.Unreadable && !IsCancelled();
        });
    Connected = Result.End != call_end::NotConnected;
    // A refusal that is not whole does not say that the call did not run.
    const bool Stated =
        Result.End == call_end::Complete || Result.Head.Status == StatusOk;
    return Stated ? std::optional<int>(Result.Head.Status) : std::nullopt;
  }

  const placed_attempt &Placed;
  const model_client_settings &Settings;
  instant Deadline;
  const std::function<bool()> &IsCancelled;
  const std::function<void(std::string_view)> &OnText;
};

/// Makes a short call beside the streams.
/// \returns the whole response; nothing if there was none.
std::optional<call_result> controlCall(const endpoint &Server,
                                       const char *Method,
                                       const std::string &Target) {
  call_limits Limits;
  Limits.Connect = Limits.Silence = Limits.Total = ControlWait;
  call_result Result = callBounded(
      Server, {Method, Target, {{"Host", Server.Address}}}, "", Limits);
  if (Result.End != call_end::Complete)
    return std::nullopt;
  return Result;
}

/// \returns a count of a report, 0 if it is absent; nothing if it is no count.
std::optional<std::uint32_t> readCount(const nlohmann::json &Report,
                                       const char *Field) {
  if (!Report.is_object())
    return std::nullopt;
  const auto Found = Report.find(Field);
  if (Found == Report.end())
    return 0;
  if (!Found->is_number_unsigned() ||
      Found->get<std::uint64_t>() > std::numeric_limits<std::uint32_t>::max())
    return std::nullopt;
  return Found->get<std::uint32_t>();
}

attempt_result success(const stream_progress &Progress,
                       const runner_settings &Runner) {
  attempt_result Result;
  Result.Response = wrapAnswer(Progress.Text);
  Result.UsageKnown = Progress.UsageKnown;
  Result.PromptTokens = Progress.PromptTokens;
  Result.GeneratedTokens = Progress.GeneratedTokens;
  Result.Runner = Runner.Name;
  return Result;
}

} // namespace

attempt_result
runModelAttempt(const placed_attempt &Placed,
                const model_client_settings &Settings,
                const std::function<bool()> &IsCancelled,
                const std::function<void(std::string_view)> &OnText) {
  const instant Deadline = later(readClock(), Placed.Attempt.Timeout);
  const runner_settings &Runner = Placed.Runner;
  stream_reader Reader(Placed, Settings, Deadline, IsCancelled, OnText);
  stream_progress Progress;
  bool Connected = false;
  auto Status = Reader.begin(Progress, Connected);
  if (!Connected)
    return failure(error_code::RunnerFailed, run_state::NotRun,
                   "the engine refused the connection", Runner);
  if (Status && *Status != StatusOk)
    return failure(error_code::RunnerFailed,
                   isRefusal(*Status) ? run_state::NotRun : run_state::Ran,
                   fmt::format("the engine answered {}", *Status), Runner);
  std::uint32_t Resumes = 0;
  while (!Progress.Done || Progress.Unreadable) {
    if (IsCancelled())
      return failure(error_code::ProgramEnded, run_state::Ran, "cancelled",
                     Runner);
    if (Progress.Unreadable) {
      cancelStream(endpointOf(Runner), Placed.Attempt.AttemptId);
      return failure(error_code::RunnerFailed, run_state::Ran,
                     "the engine's stream has a token that can't be read",
                     Runner);
    }
    if (Progress.Endless) {
      cancelStream(endpointOf(Runner), Placed.Attempt.AttemptId);
      return failure(error_code::RunnerFailed, run_state::Ran,
                     "the engine's stream exceeds the limits of size", Runner);
    }
    if (readClock().Steady >= Deadline.Steady) {
      cancelStream(endpointOf(Runner), Placed.Attempt.AttemptId);
      return failure(error_code::Timeout, run_state::Ran,
                     "the call's time is over", Runner);
    }
    if (Resumes == Settings.MaxResumes)
      return failure(error_code::RunnerFailed, run_state::Ran,
                     "the engine's stream can't be resumed", Runner);
    const std::size_t Before = Progress.Tokens;
    Status = Reader.resume(Progress, Connected);
    if (Status == StatusNotFound)
      return failure(error_code::RunnerFailed, run_state::Ran,
                     "the engine lost the stream", Runner);
    Resumes = Progress.Tokens > Before ? 0 : Resumes + 1;
    if (!Connected)
      std::this_thread::sleep_for(Settings.Connect);
  }
  return success(Progress, Runner);
}

void cancelStream(const endpoint &Engine, const std::string &AttemptId) {
  if (!controlCall(Engine, "DELETE", "/v1/streams?id=" + AttemptId))
    logEvent(log_level::Warning, "cancel_failed", {{"attempt", AttemptId}});
}

bool releaseSession(const endpoint &Engine, const std::string &Session) {
  const auto Answer =
      controlCall(Engine, "DELETE", "/v1/cache?session=" + Session);
  return Answer && Answer->Head.Status == StatusOk;
}

std::optional<std::vector<program_id>> listSessions(const endpoint &Engine) {
  const auto Answer = controlCall(Engine, "GET", "/v1/cache");
  if (!Answer || Answer->Head.Status != StatusOk)
    return std::nullopt;
  const auto Json = nlohmann::json::parse(Answer->Body, nullptr, false);
  if (!Json.is_array())
    return std::nullopt;
  std::vector<program_id> Sessions;
  std::size_t Unreadable = 0;
  for (const auto &Item : Json) {
    std::optional<program_id> Program;
    if (Item.is_object() && Item.contains("session") &&
        Item["session"].is_string())
      Program = parseProgramId(Item["session"].get<std::string>());
    if (Program)
      Sessions.push_back(*Program);
    else
      ++Unreadable;
  }
  if (Unreadable > 0)
    logLimited(log_level::Warning, "engine_sessions_unreadable",
               {{"address", Engine.Address},
                {"port", std::to_string(Engine.Port)},
                {"count", std::to_string(Unreadable)}});
  return Sessions;
}

runner_load readLoad(const endpoint &Runner, instant Now) {
  const auto Answer = controlCall(Runner, "GET", "/load");
  if (!Answer || Answer->Head.Status != StatusOk)
    return {};
  const auto Json = nlohmann::json::parse(Answer->Body, nullptr, false);
  const auto Running = readCount(Json, "running");
  const auto Waiting = readCount(Json, "waiting");
  const bool Readable =
      Running && Waiting &&
      (!Json.contains("draining") || Json["draining"].is_boolean());
  if (!Readable) {
    logLimited(
        log_level::Warning, "load_report_unreadable",
        {{"address", Runner.Address}, {"port", std::to_string(Runner.Port)}});
    return {};
  }
  runner_load Load;
  Load.Running = *Running;
  Load.Waiting = *Waiting;
  Load.Draining = Json.value("draining", false);
  Load.Reachable = true;
  Load.ReportedAt = Now.Steady;
  return Load;
}

} // namespace lentilhoist
