#include "caller/caller_server.h"

#include "caller/stream_writer.h"
#include "core/hash.h"
#include "decision/call_flow.h"
#include "log/log.h"

#include <charconv>
#include <fmt/format.h>
#include <nlohmann/json.hpp>
#include <random>

namespace lentilhoist {

namespace {

constexpr std::size_t MaxBodyBytes = 256U << 10U;
constexpr std::chrono::milliseconds ControlWait{30'000};
constexpr const char *ProgramHeader = "X-Lentilhoist-Program";
constexpr const char *CallHeader = "X-Lentilhoist-Call";
constexpr const char *IdempotentHeader = "X-Lentilhoist-Idempotent";
constexpr const char *TimeoutHeader = "X-Lentilhoist-Timeout-Ms";

/// Counts a request for as long as it is served.
class open_request {
public:
  explicit open_request(std::atomic<int> &GivenCount) : Count(GivenCount) {
    ++Count;
  }
  ~open_request() { --Count; }
  open_request(const open_request &) = delete;
  open_request &operator=(const open_request &) = delete;

private:
  std::atomic<int> &Count;
};

http_server_settings serverSettings(const daemon_settings &Settings) {
  http_server_settings Server;
  Server.Address = Settings.CallerAddress;
  Server.Port = Settings.CallerPort;
  Server.MaxConnections = Settings.MaxConnections;
  Server.MaxBodyBytes = MaxBodyBytes;
  return Server;
}

void answerError(const call_answer &Answer, httplib::Response &Response) {
  Response.status = httpStatus(Answer.Code);
  if (Answer.RetryAfterMilliseconds != 0)
    Response.set_header(
        "Retry-After",
        std::to_string((Answer.RetryAfterMilliseconds + 999) / 1'000));
  Response.set_content(describeError(Answer), "application/json");
}

void answerBadRequest(const std::string &Detail, httplib::Response &Response) {
  answerError(makeErrorAnswer(error_code::BadRequest, Detail), Response);
}

std::optional<std::uint64_t> parseNumber(const std::string &Text) {
  std::uint64_t Number = 0;
  const char *End = Text.data() + Text.size();
  const auto Result = std::from_chars(Text.data(), End, Number);
  if (Text.empty() || Result.ec != std::errc() || Result.ptr != End)
    return std::nullopt;
  return Number;
}

std::uint64_t randomKey() {
  thread_local std::mt19937_64 Random{std::random_device{}()};
  return Random();
}

/// Reads program and call from the headers.
/// \returns what is wrong, or an empty string.
std::string readCallHeaders(const httplib::Request &Request,
                            call_request &Call) {
  const auto Program = parseProgramId(Request.get_header_value(ProgramHeader));
  if (!Program)
    return std::string(ProgramHeader) + " is missing or malformed";
  const auto Number = parseNumber(Request.get_header_value(CallHeader));
  if (!Number || *Number == 0 || *Number > 1'000'000)
    return std::string(CallHeader) + " must be a whole number from 1";
  Call.Program = *Program;
  Call.Call = static_cast<std::uint32_t>(*Number);
  if (Request.has_header(TimeoutHeader)) {
    const auto Timeout = parseNumber(Request.get_header_value(TimeoutHeader));
    if (!Timeout || *Timeout == 0)
      return std::string(TimeoutHeader) + " must be a whole number from 1";
    Call.TimeoutMilliseconds = *Timeout;
  }
  return {};
}

bool areMessages(const nlohmann::json &Messages) {
  if (!Messages.is_array() || Messages.empty())
    return false;
  for (const auto &Message : Messages) {
    const bool Valid = Message.is_object() && Message.contains("role") &&
                       Message["role"].is_string() &&
                       Message.contains("content") &&
                       Message["content"].is_string();
    if (!Valid)
      return false;
  }
  return true;
}

/// Reads the body of a model call.
/// \returns what is wrong, or an empty string.
std::string readModelBody(const nlohmann::json &Json, call_request &Call,
                          bool &Stream) {
  if (!Json.is_object())
    return "the body is not a JSON object";
  if (!Json.contains("messages") || !areMessages(Json["messages"]))
    return "messages must be a list of role and content";
  if (Json.contains("model") && !Json["model"].is_string())
    return "model must be a string";
  if (Json.contains("stream") && !Json["stream"].is_boolean())
    return "stream must be true or false";
  if (Json.contains("max_tokens") && !Json["max_tokens"].is_number_unsigned())
    return "max_tokens must be a whole number";
  Call.Kind = call_kind::Model;
  Call.Model = Json.value("model", std::string());
  Call.MaxTokens = Json.value("max_tokens", std::uint64_t(0));
  Call.Body = Json["messages"].dump();
  Stream = Json.value("stream", false);
  return {};
}

/// Reads the body of a request for a new program.
/// \returns what is wrong, or an empty string.
std::string readProgramBody(const nlohmann::json &Json,
                            create_request &Create) {
  if (!Json.is_object())
    return "the body is not a JSON object";
  for (const char *Key : {"tenant", "class"}) {
    if (!Json.contains(Key) || !Json[Key].is_string() ||
        Json[Key].get_ref<const std::string &>().empty())
      return std::string(Key) + " must be a non-empty string";
  }
  if (!Json.contains("budget") || !Json["budget"].is_object())
    return "budget must be an object";
  const auto &Budget = Json["budget"];
  for (const char *Key : {"tokens", "turns", "wall_ms"}) {
    if (!Budget.contains(Key) || !Budget[Key].is_number_unsigned() ||
        Budget[Key].get<std::uint64_t>() == 0)
      return fmt::format("budget.{} must be a whole number from 1, not {}", Key,
                         Budget.contains(Key) ? Budget[Key].dump() : "missing");
  }
  Create.Tenant = Json["tenant"].get<std::string>();
  Create.Class = Json["class"].get<std::string>();
  Create.Budget.Tokens = Budget["tokens"].get<std::uint64_t>();
  Create.Budget.Turns = Budget["turns"].get<std::uint32_t>();
  Create.Budget.WallMilliseconds = Budget["wall_ms"].get<std::uint64_t>();
  if (!Json.contains("parent"))
    return {};
  const auto Parent = Json["parent"].is_string()
                          ? parseProgramId(Json["parent"].get<std::string>())
                          : std::nullopt;
  if (!Parent)
    return "parent must name a program";
  Create.HasParent = true;
  Create.Parent = *Parent;
  return {};
}

nlohmann::json describeCompletion(const call_answer &Answer) {
  return {
      {"object", "chat.completion"},
      {"choices",
       {{{"index", 0},
         {"message",
          {{"role", "assistant"}, {"content", assistantContent(Answer.Body)}}},
         {"finish_reason", "stop"}}}},
      {"usage",
       {{"prompt_tokens", Answer.PromptTokens},
        {"completion_tokens", Answer.GeneratedTokens},
        {"total_tokens", Answer.PromptTokens + Answer.GeneratedTokens}}},
      {"lentilhoist", {{"committed_through", Answer.CommittedThrough}}}};
}

/// State of one streamed answer; lives as long as its connection needs it.
struct streamed_answer {
  streamed_answer(request_router &Router, owner_request Request,
                  std::atomic<int> &Open)
      : Counted(Open), Routed(Router, std::move(Request)) {}

  open_request Counted;
  routed_request Routed;
  stream_writer Writer;
  std::optional<answer_item> First;
};

/// Writes the next piece of a streamed answer.
bool writeNext(streamed_answer &Streamed, httplib::DataSink &Sink) {
  answer_item Item =
      Streamed.First ? std::move(*Streamed.First) : Streamed.Routed.next();
  Streamed.First.reset();
  const auto *Text = std::get_if<answer_text>(&Item);
  const std::string Events =
      Text != nullptr ? Streamed.Writer.addText(*Text)
                      : Streamed.Writer.finish(std::get<call_answer>(Item));
  if (!Events.empty() && !Sink.write(Events.data(), Events.size()))
    return false;
  if (Text == nullptr)
    Sink.done();
  return true;
}

} // namespace

caller_server::caller_server(const daemon_settings &GivenSettings,
                             request_router &GivenRouter,
                             metrics &GivenMeasures)
    : Settings(GivenSettings), Router(GivenRouter), Measures(GivenMeasures),
      Server(serverSettings(GivenSettings)) {
  installRoutes();
}

void caller_server::installRoutes() {
  httplib::Server &Routes = Server.routes();
  Routes.set_logger([this](const httplib::Request &, const auto &Response) {
    Measures.count("lentilhoist_http_responses_total{status=\"" +
                   std::to_string(Response.status) + "\"}");
  });
  Routes.Get("/healthz", [this](const auto &, auto &Response) {
    Response.status = Draining ? 503 : 200;
    Response.set_content(Draining ? "leaving\n" : "ready\n", "text/plain");
  });
  Routes.Post("/v1/programs", [this](const auto &Request, auto &Response) {
    createProgram(Request, Response);
  });
  Routes.Get(R"(/v1/programs/([^/]+))",
             [this](const auto &Request, auto &Response) {
               readHistory(Request, Response);
             });
  Routes.Delete(R"(/v1/programs/([^/]+))",
                [this](const auto &Request, auto &Response) {
                  endProgram(Request, Response);
                });
  Routes.Post("/v1/chat/completions",
              [this](const auto &Request, auto &Response) {
                callModel(Request, Response);
              });
  Routes.Post(R"(/v1/services/([^/]+))",
              [this](const auto &Request, auto &Response) {
                callService(Request, Response);
              });
}

void caller_server::createProgram(const httplib::Request &Request,
                                  httplib::Response &Response) {
  const open_request Counted(Open);
  const auto Json = nlohmann::json::parse(Request.body, nullptr, false);
  create_request Create;
  const std::string Problem = readProgramBody(Json, Create);
  if (!Problem.empty()) {
    answerBadRequest(Problem, Response);
    return;
  }
  const std::string Key = Request.get_header_value("Idempotency-Key");
  Create.Program.Key =
      Key.empty() ? randomKey() : stableHash(Create.Tenant + '/' + Key);
  if (Create.HasParent)
    Create.Program.Shard = Create.Parent.Shard;
  else if (Key.empty())
    Create.Program.Shard = Router.chooseShard();
  else
    Create.Program.Shard =
        static_cast<shard_index>(Create.Program.Key % Settings.Shards);
  const call_answer Answer = routed_request(Router, Create).wait(ControlWait);
  if (Answer.Code != error_code::None) {
    answerError(Answer, Response);
    return;
  }
  Response.status = 201;
  Response.set_content(nlohmann::json{{"program", Answer.Body}}.dump(),
                       "application/json");
}

void caller_server::callModel(const httplib::Request &Request,
                              httplib::Response &Response) {
  call_request Call;
  bool Stream = false;
  std::string Problem = readCallHeaders(Request, Call);
  if (Problem.empty())
    Problem = readModelBody(nlohmann::json::parse(Request.body, nullptr, false),
                            Call, Stream);
  if (!Problem.empty()) {
    answerBadRequest(Problem, Response);
    return;
  }
  const auto Streamed = std::make_shared<streamed_answer>(Router, Call, Open);
  answer_item First = Streamed->Routed.next();
  while (!Stream && std::holds_alternative<answer_text>(First))
    First = Streamed->Routed.next();
  if (const auto *Answer = std::get_if<call_answer>(&First)) {
    if (Answer->Code != error_code::None) {
      answerError(*Answer, Response);
      return;
    }
    if (!Stream) {
      Response.set_content(describeCompletion(*Answer).dump(),
                           "application/json");
      return;
    }
  }
  Streamed->First = std::move(First);
  Response.set_chunked_content_provider(
      "text/event-stream", [Streamed](std::size_t, httplib::DataSink &Sink) {
        return writeNext(*Streamed, Sink);
      });
}

void caller_server::callService(const httplib::Request &Request,
                                httplib::Response &Response) {
  const open_request Counted(Open);
  call_request Call;
  const std::string Problem = readCallHeaders(Request, Call);
  const std::string Idempotent = Request.get_header_value(IdempotentHeader);
  if (!Problem.empty()) {
    answerBadRequest(Problem, Response);
    return;
  }
  if (Idempotent != "true" && Idempotent != "false") {
    answerBadRequest(std::string(IdempotentHeader) + " must be true or false",
                     Response);
    return;
  }
  Call.Kind = Idempotent == "true" ? call_kind::IdempotentService
                                   : call_kind::ExclusiveService;
  Call.Service = Request.matches[1];
  Call.Body = Request.body;
  routed_request Routed(Router, Call);
  answer_item Item = Routed.next();
  while (std::holds_alternative<answer_text>(Item))
    Item = Routed.next();
  const call_answer &Answer = std::get<call_answer>(Item);
  if (Answer.Code != error_code::None) {
    answerError(Answer, Response);
    return;
  }
  Response.status = Answer.Status;
  Response.set_header("X-Lentilhoist-Committed-Through",
                      std::to_string(Answer.CommittedThrough));
  Response.set_content(Answer.Body, "application/json");
}

call_answer caller_server::askAboutProgram(
    const httplib::Request &Request,
    const std::function<owner_request(const program_id &)> &Make) {
  const open_request Counted(Open);
  const auto Program = parseProgramId(std::string(Request.matches[1]));
  if (!Program)
    return makeErrorAnswer(error_code::BadRequest, "malformed program");
  return routed_request(Router, Make(*Program)).wait(ControlWait);
}

void caller_server::readHistory(const httplib::Request &Request,
                                httplib::Response &Response) {
  const call_answer Answer =
      askAboutProgram(Request, [](const program_id &Program) {
        return history_request{Program};
      });
  if (Answer.Code != error_code::None)
    answerError(Answer, Response);
  else
    Response.set_content(Answer.Body, "application/json");
}

void caller_server::endProgram(const httplib::Request &Request,
                               httplib::Response &Response) {
  const call_answer Answer = askAboutProgram(
      Request, [](const program_id &Program) { return end_request{Program}; });
  if (Answer.Code != error_code::None)
    answerError(Answer, Response);
  else
    Response.set_content(nlohmann::json{{"program", Answer.Body}}.dump(),
                         "application/json");
}

} // namespace lentilhoist
