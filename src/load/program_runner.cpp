#include "load/program_runner.h"

#include "core/hash.h"
#include "load/tool_call.h"
#include "net/event_parser.h"

#include <fmt/format.h>

namespace lentilhoist {

namespace {

using clock = std::chrono::steady_clock;

constexpr int MaxTries = 60;
constexpr std::chrono::milliseconds RetryDelay{50};
constexpr std::uint64_t TokenBudget = 4'000'000;
constexpr std::uint64_t ChildTokenBudget = 100'000;
constexpr http_timeouts CallTimeouts{std::chrono::milliseconds(1'000),
                                     std::chrono::milliseconds(30'000),
                                     std::chrono::milliseconds(5'000)};

std::chrono::microseconds since(clock::time_point Start) {
  return std::chrono::duration_cast<std::chrono::microseconds>(clock::now() -
                                                               Start);
}

std::string errorField(const std::string &Body, const char *Field) {
  const auto Json = nlohmann::json::parse(Body, nullptr, false);
  if (Json.is_discarded() || !Json.contains("error"))
    return {};
  return Json["error"].value(Field, std::string());
}

} // namespace

program_runner::program_runner(const load_settings &GivenSettings,
                               const load_class &GivenClass,
                               load_balancer &GivenBalancer,
                               std::uint64_t GivenSeed)
    : Settings(GivenSettings), Class(GivenClass), Balancer(GivenBalancer),
      Random(GivenSeed), Seed(GivenSeed) {
  Report.Tenant = Class.Tenant;
  Report.Class = Class.Class;
}

int program_runner::randomBetween(int Least, int Most) {
  return std::uniform_int_distribution<>(Least, Most)(Random);
}

bool program_runner::drawShare(double Share) {
  return std::uniform_real_distribution<>(0, 1)(Random) < Share;
}

void program_runner::pause() {
  std::this_thread::sleep_for(std::chrono::milliseconds(
      randomBetween(Class.MinPauseMilliseconds, Class.MaxPauseMilliseconds)));
}

program_report program_runner::run(const std::string &Parent) {
  const auto Start = clock::now();
  if (!create(Parent)) {
    Report.Breaches.emplace_back("the program could not be created");
    return Report;
  }
  const int Turns = randomBetween(Class.MinTurns, Class.MaxTurns);
  for (int Turn = 0; Turn < Turns; ++Turn) {
    if (!callModel())
      return Report;
    if (drawShare(Class.SideEffectShare))
      callService();
    if (Parent.empty() && drawShare(Class.SubAgentShare))
      runChild();
    pause();
  }
  Report.Latency = since(Start);
  checkHistory();
  end();
  Report.Finished = true;
  return Report;
}

program_runner::http_answer program_runner::send(const std::string &Method,
                                                 const std::string &Path,
                                                 const std::string &Body,
                                                 bool Stream) {
  http_answer Answer;
  const endpoint Instance = Balancer.next();
  Answer.Port = Instance.Port;
  if (Instance.Port == 0)
    return Answer;
  const auto Start = clock::now();
  const http_request_head Head{
      Method,
      Path,
      {{"X-Lentilhoist-Program", Report.Program},
       {"X-Lentilhoist-Call", std::to_string(NextCall)},
       {"X-Lentilhoist-Idempotent", "false"},
       {"Idempotency-Key", std::to_string(Seed)},
       {"Content-Type", "application/json"}}};
  body_receiver OnBody;
  if (Stream)
    OnBody = [&](std::string_view Bytes) {
      if (Answer.Body.empty())
        Answer.FirstByte = since(Start);
      Answer.Body += Bytes;
      return true;
    };
  const call_result Result =
      callServer(Instance, Head, Body, CallTimeouts, OnBody);
  Answer.Complete = Result.End == call_end::Complete;
  // A stream that breaks off has a status, too.
  if (Stream || Answer.Complete) {
    Answer.Status = Result.Head.Status;
    Answer.Body += Result.Body;
  }
  const std::string Through(
      fieldValue(Result.Head.Fields, "X-Lentilhoist-Committed-Through"));
  if (Answer.Complete && !Stream && !Through.empty())
    Answer.CommittedThrough = std::atoi(Through.c_str());
  return Answer;
}

program_runner::http_answer
program_runner::sendUntilAnswered(const std::string &Method,
                                  const std::string &Path,
                                  const std::string &Body, bool Stream) {
  http_answer Answer;
  for (int Try = 0; Try < MaxTries; ++Try) {
    Answer = send(Method, Path, Body, Stream);
    const bool Started = Answer.Status == 200 && !Answer.Body.empty();
    const bool Cut =
        Stream && Started && Answer.Body.find("[DONE]") == std::string::npos;
    if (Cut && Answer.Port != Settings.KilledPort)
      ++Report.CutStreams;
    const bool Final = Answer.Complete && !Cut && Answer.Status != 503 &&
                       Answer.Status != 429 && Answer.Status != 502;
    if (Final)
      return Answer;
    if (Answer.Complete && !Cut)
      noteRefusal(Answer.Body);
    ++Report.Retries;
    std::this_thread::sleep_for(RetryDelay * (1 + std::min(Try, 8)));
  }
  return Answer;
}

void program_runner::noteRefusal(const std::string &Body) {
  ++Report.Refusals[errorField(Body, "code")];
}

bool program_runner::create(const std::string &Parent) {
  Report.TokenBudget = Parent.empty() ? TokenBudget : ChildTokenBudget;
  nlohmann::json Body = {
      {"tenant", Class.Tenant},
      {"class", Class.Class},
      {"budget",
       {{"tokens", Report.TokenBudget}, {"turns", 400}, {"wall_ms", 600'000}}}};
  if (!Parent.empty())
    Body["parent"] = Parent;
  const auto Answer =
      sendUntilAnswered("POST", "/v1/programs", Body.dump(), false);
  if (Answer.Status != 201)
    return false;
  Report.Program =
      nlohmann::json::parse(Answer.Body).value("program", std::string());
  return !Report.Program.empty();
}

bool program_runner::callModel() {
  std::string Content = fmt::format("[{}/{}]", Report.Program, NextCall);
  for (int Word = 0; Word < Class.PromptWords; ++Word)
    Content += fmt::format(" {}", randomBetween(0, 9'999));
  const nlohmann::json User = {{"role", "user"}, {"content", Content}};
  const nlohmann::json Body = {{"messages", nlohmann::json::array({User})},
                               {"stream", true},
                               {"max_tokens", Class.MaxTokens}};
  History.push_back(User);
  const auto Answer =
      callUntilCommitted("/v1/chat/completions", Body.dump(), true);
  if (!acceptStream(Answer, History))
    return false;
  Report.FirstTokens.push_back(Answer.FirstByte);
  if (Report.FirstToken.count() == 0)
    Report.FirstToken = Answer.FirstByte;
  ServiceBodies.emplace_back();
  ++NextCall;
  return true;
}

program_runner::stream_content
program_runner::readStream(const std::string &Body) {
  stream_content Content;
  event_parser Parser;
  Parser.add(Body, [&](std::string_view Data) {
    const auto Json = nlohmann::json::parse(Data, nullptr, false);
    if (!Json.is_object())
      return;
    if (Json.contains("lentilhoist")) {
      if (Json["lentilhoist"].contains("restarted"))
        Content.Text.clear();
      Content.CommittedThrough = Json["lentilhoist"].value(
          "committed_through", Content.CommittedThrough);
    }
    if (Json.contains("choices") && Json["choices"][0].contains("delta"))
      Content.Text +=
          Json["choices"][0]["delta"].value("content", std::string());
  });
  return Content;
}

/// An answer that is not durable yet can be lost with its owner. The caller
/// keeps it and issues the call again until the answer is durable.
program_runner::http_answer
program_runner::callUntilCommitted(const std::string &Path,
                                   const std::string &Body, bool Stream) {
  http_answer Answer = sendUntilAnswered("POST", Path, Body, Stream);
  const auto FirstByte = Answer.FirstByte;
  for (int Try = 0; Try < MaxTries; ++Try) {
    const int Through = Stream ? readStream(Answer.Body).CommittedThrough
                               : Answer.CommittedThrough;
    if (Answer.Status != 200 || Through < 0 || Through >= NextCall)
      break;
    ++Report.Uncommitted;
    std::this_thread::sleep_for(RetryDelay * 4);
    Answer = sendUntilAnswered("POST", Path, Body, Stream);
  }
  Answer.FirstByte = FirstByte;
  return Answer;
}

bool program_runner::acceptStream(const http_answer &Answer,
                                  const nlohmann::json &Messages) {
  if (Answer.Status != 200) {
    noteRefusal(Answer.Body);
    Report.Breaches.push_back(fmt::format("call {} ended with status {}: {}",
                                          NextCall, Answer.Status,
                                          Answer.Body.substr(0, 200)));
    return false;
  }
  const std::string Text = readStream(Answer.Body).Text;
  const std::string Marker =
      fmt::format("[{:016x}]", stableHash(Messages.dump()));
  if (Text.compare(0, Marker.size(), Marker) != 0)
    Report.Breaches.push_back(
        fmt::format("call {} was answered for another history: {}", NextCall,
                    Text.substr(0, Marker.size())));
  History.push_back({{"role", "assistant"}, {"content", Text}});
  return true;
}

void program_runner::callService() {
  side_effect Effect;
  Effect.Body = nlohmann::json{{"booking",
                                fmt::format("{}/{}", Report.Program, NextCall)}}
                    .dump();
  const auto Answer = callUntilCommitted("/v1/services/" + Settings.Service,
                                         Effect.Body, false);
  const std::string Run = errorField(Answer.Body, "run");
  if (Answer.Status == 200)
    Effect.Outcome = load_outcome::Answered;
  else if (Run == "not_run")
    Effect.Outcome = load_outcome::NotRun;
  else if (Run == "outcome_unknown")
    Effect.Outcome = load_outcome::Unknown;
  if (Effect.Outcome != load_outcome::Answered)
    noteRefusal(Answer.Body);
  if (Effect.Outcome == load_outcome::Answered ||
      errorField(Answer.Body, "code") == "outcome_unknown") {
    ServiceBodies.push_back(Effect.Body);
    ++NextCall;
  }
  Report.SideEffects.push_back(std::move(Effect));
}

void program_runner::runChild() {
  program_runner Child(Settings, Class, Balancer, Random());
  Children.push_back(Child.run(Report.Program));
}

void program_runner::checkHistory() {
  const auto Answer =
      sendUntilAnswered("GET", "/v1/programs/" + Report.Program, "", false);
  const auto Json = nlohmann::json::parse(Answer.Body, nullptr, false);
  if (Answer.Status != 200 || Json.is_discarded()) {
    Report.Breaches.push_back(
        fmt::format("the history can't be read: {}", Answer.Status));
    return;
  }
  const auto &Calls = Json["calls"];
  if (Calls.size() != ServiceBodies.size()) {
    Report.Breaches.push_back(fmt::format("the history has {} of {} calls",
                                          Calls.size(), ServiceBodies.size()));
    return;
  }
  nlohmann::json Messages = nlohmann::json::array();
  for (std::size_t Index = 0; Index < Calls.size(); ++Index) {
    const auto &Call = Calls[Index];
    if (Call["call"] != Index + 1)
      Report.Breaches.emplace_back("the history is out of order");
    if (Call["kind"] == "model") {
      for (const char *Part : {"request", "response"}) {
        for (const auto &Message : nlohmann::json::parse(
                 Call[Part].get<std::string>(), nullptr, false))
          Messages.push_back(Message);
      }
    } else if (Call["run"] == "ran" &&
               Call["request"] != ServiceBodies[Index] &&
               !Call["request"].get<std::string>().empty()) {
      Report.Breaches.emplace_back("the history has another's booking");
    }
  }
  if (Messages != History)
    Report.Breaches.emplace_back("the history differs from what was said");
}

void program_runner::end() {
  const auto Answer =
      sendUntilAnswered("DELETE", "/v1/programs/" + Report.Program, "", false);
  if (Answer.Status != 200)
    Report.Breaches.push_back(
        fmt::format("the program can't be ended: {}", Answer.Status));
}

} // namespace lentilhoist
