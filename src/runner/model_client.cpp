#include "runner/model_client.h"

#include "log/log.h"
#include "net/event_parser.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace lentilhoist {

namespace {

constexpr std::chrono::milliseconds ControlWait{300};
constexpr int StatusOk = 200;
constexpr int StatusNotFound = 404;
constexpr int StatusUnavailable = 503;

/// Progress of one attempt over all its connections.
struct stream_progress {
  std::size_t Tokens = 0;
  std::string Text;
  bool Done = false;
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

void readUsage(const nlohmann::json &Json, stream_progress &Progress) {
  if (!Json.contains("usage") || !Json["usage"].is_object())
    return;
  Progress.PromptTokens = Json["usage"].value("prompt_tokens", 0ULL);
  Progress.GeneratedTokens = Json["usage"].value("completion_tokens", 0ULL);
  Progress.Done = true;
}

void readChunk(std::string_view Data, stream_progress &Progress,
               const std::function<void(std::string_view)> &OnText) {
  const auto Json = nlohmann::json::parse(Data, nullptr, false);
  if (Json.is_discarded() || !Json.is_object())
    return;
  readUsage(Json, Progress);
  if (!Json.contains("choices") || Json["choices"].empty())
    return;
  const auto &Choice = Json["choices"][0];
  if (!Choice.contains("delta") || !Choice["delta"].contains("content"))
    return;
  const auto Text = Choice["delta"]["content"].get<std::string>();
  ++Progress.Tokens;
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
                const std::function<bool()> &GivenIsCancelled,
                const std::function<void(std::string_view)> &GivenOnText)
      : Placed(GivenPlaced), Settings(GivenSettings),
        IsCancelled(GivenIsCancelled), OnText(GivenOnText) {}

  /// \returns the response's status, or nothing if there was none.
  std::optional<int> begin(stream_progress &Progress, bool &Connected) {
    httplib::Request Request;
    Request.method = "POST";
    Request.path = "/v1/chat/completions";
    Request.body = makeBody(Placed.Attempt);
    Request.set_header("Content-Type", "application/json");
    Request.set_header("X-Attempt-Id", Placed.Attempt.AttemptId);
    Request.set_header("X-Session-Id",
                       formatProgramId(Placed.Attempt.Call.Program));
    return exchange(std::move(Request), Progress, Connected);
  }

  /// Goes on from the first token that is missing.
  std::optional<int> resume(stream_progress &Progress, bool &Connected) {
    httplib::Request Request;
    Request.method = "GET";
    Request.path = fmt::format("/v1/streams?id={}&from={}",
                               Placed.Attempt.AttemptId, Progress.Tokens);
    return exchange(std::move(Request), Progress, Connected);
  }

private:
  std::optional<int> exchange(httplib::Request Request,
                              stream_progress &Progress, bool &Connected) {
    const http_timeouts Timeouts{Settings.Connect, Settings.StreamGap,
                                 Settings.StreamGap};
    auto Client = makeHttpClient(endpointOf(Placed.Runner), Timeouts);
    event_parser Parser;
    int Status = 0;
    Request.response_handler = [&](const httplib::Response &Response) {
      Status = Response.status;
      return Status == StatusOk;
    };
    Request.content_receiver = [&](const char *Data, std::size_t Length,
                                   std::uint64_t, std::uint64_t) {
      Parser.add({Data, Length}, [&](std::string_view Event) {
        readChunk(Event, Progress, OnText);
      });
      return !IsCancelled();
    };
    httplib::Response Response;
    httplib::Error Error = httplib::Error::Success;
    const bool Answered = Client->send(Request, Response, Error);
    Connected = Answered || Error != httplib::Error::Connection;
    if (Status != 0)
      return Status;
    return Answered ? std::optional<int>(Response.status) : std::nullopt;
  }

  const placed_attempt &Placed;
  const model_client_settings &Settings;
  const std::function<bool()> &IsCancelled;
  const std::function<void(std::string_view)> &OnText;
};

attempt_result success(const stream_progress &Progress,
                       const runner_settings &Runner) {
  attempt_result Result;
  Result.Response = wrapAnswer(Progress.Text);
  Result.UsageKnown = true;
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
  using clock = std::chrono::steady_clock;
  const auto Deadline = clock::now() + Placed.Attempt.Timeout;
  const runner_settings &Runner = Placed.Runner;
  stream_reader Reader(Placed, Settings, IsCancelled, OnText);
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
  while (!Progress.Done) {
    if (IsCancelled())
      return failure(error_code::ProgramEnded, run_state::Ran, "cancelled",
                     Runner);
    if (clock::now() >= Deadline) {
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
  auto Client = makeHttpClient(Engine, {ControlWait, ControlWait, ControlWait});
  if (!Client->Delete("/v1/streams?id=" + AttemptId))
    logEvent(log_level::Warning, "cancel_failed", {{"attempt", AttemptId}});
}

bool releaseSession(const endpoint &Engine, const std::string &Session) {
  auto Client = makeHttpClient(Engine, {ControlWait, ControlWait, ControlWait});
  const auto Answer = Client->Delete("/v1/cache?session=" + Session);
  return Answer && Answer->status == StatusOk;
}

std::optional<std::vector<program_id>> listSessions(const endpoint &Engine) {
  auto Client = makeHttpClient(Engine, {ControlWait, ControlWait, ControlWait});
  const auto Answer = Client->Get("/v1/cache");
  if (!Answer || Answer->status != StatusOk)
    return std::nullopt;
  const auto Json = nlohmann::json::parse(Answer->body, nullptr, false);
  if (!Json.is_array())
    return std::nullopt;
  std::vector<program_id> Sessions;
  for (const auto &Item : Json) {
    const auto Program = parseProgramId(Item.value("session", std::string()));
    if (Program)
      Sessions.push_back(*Program);
  }
  return Sessions;
}

runner_load readLoad(const endpoint &Runner, instant Now) {
  auto Client = makeHttpClient(Runner, {ControlWait, ControlWait, ControlWait});
  runner_load Load;
  const auto Answer = Client->Get("/load");
  if (!Answer || Answer->status != StatusOk)
    return Load;
  const auto Json = nlohmann::json::parse(Answer->body, nullptr, false);
  if (Json.is_discarded())
    return Load;
  Load.Running = Json.value("running", 0U);
  Load.Waiting = Json.value("waiting", 0U);
  Load.Draining = Json.value("draining", false);
  Load.Reachable = true;
  Load.ReportedAt = Now.Steady;
  return Load;
}

} // namespace lentilhoist
