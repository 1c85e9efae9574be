#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include "broken_responses.h"
#include "closing_server.h"
#include "early_runner.h"
#include "endless_server.h"
#include "net/event_parser.h"
#include "runner/model_client.h"
#include "runner/service_client.h"
#include "standin/engine_standin.h"
#include "standin/service_standin.h"
#include "standin/weights_standin.h"

#include <arpa/inet.h>
#include <atomic>
#include <doctest/doctest.h>
#include <thread>

using namespace lentilhoist;

namespace {

engine_standin_settings fastEngine() {
  engine_standin_settings Settings;
  Settings.DecodeMicroseconds = 2'000;
  Settings.PrefillMicroseconds = 1;
  return Settings;
}

placed_attempt makeAttempt(int Port, std::uint64_t MaxTokens) {
  placed_attempt Placed;
  Placed.Runner.Name = "engine";
  Placed.Runner.Address = "127.0.0.1";
  Placed.Runner.Port = Port;
  Placed.Attempt.Call.Program = {1, 2};
  Placed.Attempt.Call.Call = 1;
  Placed.Attempt.Call.Body = R"([{"content":"hello","role":"user"}])";
  Placed.Attempt.AttemptId = "attempt";
  Placed.Attempt.MaxTokens = MaxTokens;
  Placed.Attempt.Timeout = seconds(20);
  return Placed;
}

void post(int Port, const char *Path, const char *Body) {
  makeHttpClient({"127.0.0.1", Port}, {})->Post(Path, Body, "application/json");
}

bool never() { return false; }

} // namespace

TEST_CASE("events are found however the bytes are cut") {
  const std::string Stream =
      "data: a\n\n: comment\n\ndata:b\n\ndata: [DONE]\n\n";
  for (std::size_t Cut = 0; Cut <= Stream.size(); ++Cut) {
    event_parser Parser;
    std::vector<std::string> Found;
    const auto Keep = [&](std::string_view Data) { Found.emplace_back(Data); };
    Parser.add(std::string_view(Stream).substr(0, Cut), Keep);
    Parser.add(std::string_view(Stream).substr(Cut), Keep);
    CHECK(Found == std::vector<std::string>{"a", "b", "[DONE]"});
  }
}

TEST_CASE("a model call streams its text and reports its tokens") {
  engine_standin Engine(fastEngine());
  Engine.start();
  std::string Text;
  const attempt_result Result =
      runModelAttempt(makeAttempt(Engine.port(), 5), {}, never,
                      [&](std::string_view Part) { Text += Part; });
  CHECK(Result.Code == error_code::None);
  CHECK(Result.GeneratedTokens == 5);
  CHECK(Result.UsageKnown);
  CHECK(Result.Response.find(Text) != std::string::npos);
  Engine.stop();
}

TEST_CASE("a stream that falls silent is resumed and not run again") {
  engine_standin_settings Settings = fastEngine();
  Settings.DecodeMicroseconds = 20'000;
  engine_standin Engine(Settings);
  Engine.start();
  model_client_settings Limits;
  Limits.StreamGap = std::chrono::milliseconds(300);
  std::atomic<int> Parts{0};
  std::string Text;
  std::thread Silencer([&] {
    while (Parts < 5)
      std::this_thread::sleep_for(std::chrono::milliseconds(1));
    post(Engine.port(), "/admin/faults", R"({"silent":true})");
  });
  const attempt_result Result =
      runModelAttempt(makeAttempt(Engine.port(), 20), Limits, never,
                      [&](std::string_view Part) {
                        Text += Part;
                        ++Parts;
                      });
  Silencer.join();
  post(Engine.port(), "/admin/faults", R"({"silent":false})");
  CHECK(Result.Code == error_code::None);
  CHECK(Parts == 20);
  CHECK(Result.Response.find(Text) != std::string::npos);
  const auto Record =
      makeHttpClient({"127.0.0.1", Engine.port()}, {})->Get("/admin/record");
  const auto Json = nlohmann::json::parse(Record->body);
  CHECK(Json["counters"]["requests"] == 1);
  CHECK(Json["counters"]["resumes"].get<int>() >= 1);
  Engine.stop();
}

TEST_CASE("an engine that is not there did not run the call") {
  const attempt_result Result =
      runModelAttempt(makeAttempt(1, 5), {}, never, [](std::string_view) {});
  CHECK(Result.Code == error_code::RunnerFailed);
  CHECK(Result.Run == run_state::NotRun);
}

TEST_CASE("a draining engine did not run the call") {
  engine_standin Engine(fastEngine());
  Engine.start();
  post(Engine.port(), "/admin/drain", "");
  const attempt_result Result = runModelAttempt(
      makeAttempt(Engine.port(), 5), {}, never, [](std::string_view) {});
  CHECK(Result.Run == run_state::NotRun);
  Engine.stop();
}

TEST_CASE("a cancelled stream ends") {
  engine_standin_settings Settings = fastEngine();
  Settings.DecodeMicroseconds = 50'000;
  engine_standin Engine(Settings);
  Engine.start();
  std::atomic<bool> Cancelled{false};
  const attempt_result Result = runModelAttempt(
      makeAttempt(Engine.port(), 1'000), {}, [&] { return Cancelled.load(); },
      [&](std::string_view) { Cancelled = true; });
  CHECK(Result.Code == error_code::ProgramEnded);
  CHECK(Result.Run == run_state::Ran);
  cancelStream({"127.0.0.1", Engine.port()}, "attempt");
  Engine.stop();
}

TEST_CASE("caches are listed and released") {
  engine_standin Engine(fastEngine());
  Engine.start();
  (void)runModelAttempt(makeAttempt(Engine.port(), 2), {}, never,
                        [](std::string_view) {});
  const endpoint Target{"127.0.0.1", Engine.port()};
  std::vector<program_id> Sessions;
  while (Sessions.empty())
    Sessions = listSessions(Target).value();
  CHECK(Sessions.front() == program_id{1, 2});
  CHECK(releaseSession(Target, formatProgramId({1, 2})));
  CHECK(listSessions(Target)->empty());
  Engine.stop();
}

TEST_CASE("a cache can be moved to another engine") {
  engine_standin From(fastEngine());
  engine_standin To(fastEngine());
  From.start();
  To.start();
  (void)runModelAttempt(makeAttempt(From.port(), 2), {}, never,
                        [](std::string_view) {});
  const std::string Session = formatProgramId({1, 2});
  while (listSessions({"127.0.0.1", From.port()})->empty())
    std::this_thread::sleep_for(std::chrono::milliseconds(1));
  const auto Exported = makeHttpClient({"127.0.0.1", From.port()}, {})
                            ->Get("/v1/cache/export?session=" + Session);
  REQUIRE(Exported);
  CHECK(Exported->status == 200);
  post(To.port(), "/v1/cache/import", Exported->body.c_str());
  CHECK(listSessions({"127.0.0.1", To.port()})->front() == program_id{1, 2});
  From.stop();
  To.stop();
}

TEST_CASE("the weight store limits loads") {
  weights_standin_settings Settings;
  Settings.LoadsPerSecond = 1e-6;
  Settings.LoadMilliseconds = 1;
  weights_standin Weights(Settings);
  Weights.start();
  {
    const auto Client = makeHttpClient({"127.0.0.1", Weights.port()}, {});
    CHECK(Client->Get("/weights/a")->status == 200);
    CHECK(Client->Get("/weights/a")->status == 429);
  }
  Weights.stop();
}

TEST_CASE("a service call says whether it ran") {
  service_standin Service{service_standin_settings()};
  Service.start();
  placed_attempt Placed = makeAttempt(Service.port(), 0);
  Placed.Attempt.Call.Kind = call_kind::ExclusiveService;
  Placed.Attempt.RequestKey = "key";
  Placed.Attempt.Timeout = milliseconds(400);
  const endpoint Target{"127.0.0.1", Service.port()};

  SUBCASE("an answer") {
    CHECK(runServiceAttempt(Placed).Run == run_state::Ran);
    CHECK(queryOutcome(Target, "key").has_value());
    CHECK_FALSE(queryOutcome(Target, "another").has_value());
  }
  SUBCASE("an answer that is lost") {
    post(Service.port(), "/admin/faults", R"({"drop_answer":1,"hold_ms":900})");
    CHECK(runServiceAttempt(Placed).Run == run_state::OutcomeUnknown);
    CHECK(queryOutcome(Target, "key").has_value());
  }
  SUBCASE("a refusal") {
    post(Service.port(), "/admin/faults", R"({"refuse":1})");
    CHECK(runServiceAttempt(Placed).Run == run_state::NotRun);
  }
  SUBCASE("too late to be sent") {
    Placed.Attempt.HasSendBy = true;
    Placed.Attempt.SendBy = readClock();
    CHECK(runServiceAttempt(Placed).Run == run_state::NotRun);
    CHECK_FALSE(queryOutcome(Target, "key").has_value());
  }
  Service.stop();
}

namespace {

/// \returns a socket that listens on a free port of loopback.
/// What may lie in the buffers of a connection beside what a client reads.
constexpr std::size_t MaxReadBytes = 24UL * 1024UL * 1024UL;

const std::string Filler(64UL * 1024UL, 'x');

} // namespace

TEST_CASE("a service's response body without end is given up as an unknown "
          "outcome") {
  std::string Start = "HTTP/1.1 200 OK\r\n";
  SUBCASE("delimited by the connection") { Start += "\r\n"; }
  SUBCASE("with a length") { Start += "Content-Length: 99999999999\r\n\r\n"; }
  endless_server Server(Start, Filler, milliseconds(0));
  const attempt_result Result =
      runServiceAttempt(makeAttempt(Server.port(), 0));
  CHECK(Result.Code == error_code::OutcomeUnknown);
  CHECK(Result.Run == run_state::OutcomeUnknown);
  CHECK(Server.Sent < MaxReadBytes);
}

// Guards against a service's response that broke off passing for a complete
// one, and against one that only its connection ends passing for broken.
TEST_CASE("a service's response is complete only if its end is that of its "
          "framing") {
  const std::string Ok = "HTTP/1.1 200 OK\r\n";
  const struct {
    std::string Response;
    bool Reset;
    bool Complete;
  } Cases[] = {
      {Ok + "Content-Length: 3\r\n\r\nabc", false, true},
      {Ok + "Content-Length: 4\r\n\r\nabc", false, false},
      {Ok + "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n", false,
       true},
      {Ok + "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n", false, false},
      {Ok + "\r\nabc", false, true},
      {Ok + "\r\nabc", true, false},
      {Ok, false, false},
  };
  for (const auto &Case : Cases) {
    closing_server Server(Case.Response, Case.Reset);
    const attempt_result Result =
        runServiceAttempt(makeAttempt(Server.port(), 0));
    INFO(Case.Response, Case.Reset);
    CHECK((Result.Code == error_code::None) == Case.Complete);
    if (Case.Complete)
      CHECK(Result.Response == "abc");
    else
      CHECK(Result.Run == run_state::OutcomeUnknown);
  }
}

// Guards against a response whose head stops halfway passing for a success.
TEST_CASE("a service's response that stops anywhere in its head has an unknown "
          "outcome") {
  const std::string Head = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
  for (std::size_t Stop = 0; Stop < Head.size(); ++Stop)
    for (const bool Reset : {false, true}) {
      INFO(Head.substr(0, Stop), Reset);
      closing_server Server(Head.substr(0, Stop), Reset);
      const attempt_result Result =
          runServiceAttempt(makeAttempt(Server.port(), 0));
      CHECK(Result.Run == run_state::OutcomeUnknown);
    }
}

// Guards against a service's broken response passing for a result, and against
// its call passing for not run (incident 025).
TEST_CASE("a service's broken response has an unknown outcome") {
  for (const std::string &Broken : brokenResponses("", "abc")) {
    closing_server Server(Broken, false);
    const attempt_result Result =
        runServiceAttempt(makeAttempt(Server.port(), 0));
    INFO(Broken);
    CHECK(Result.Code == error_code::OutcomeUnknown);
    CHECK(Result.Run == run_state::OutcomeUnknown);
    CHECK(Result.Response.find("abc") == std::string::npos);
  }
}

// Guards against a model's stream that broke off passing for a complete one.
// Guards against a response passing for complete whose service was killed while
// the request was still on its way to it (review, case 2).
TEST_CASE("a service's response is complete only if it received the whole "
          "request and ended the connection in order") {
  for (const early_end End : EarlyEnds)
    for (const std::size_t Length :
         {std::size_t{400'000}, std::size_t{8'000'000}}) {
      early_runner Service("HTTP/1.1 200 OK\r\n\r\nfirst", "rest", End);
      placed_attempt Placed = makeAttempt(Service.port(), 0);
      Placed.Attempt.Call.Body = std::string(Length, 'x');
      const attempt_result Result = runServiceAttempt(Placed);
      INFO("end " << static_cast<int>(End) << ", " << Length << " bytes");
      if (isSound(End)) {
        CHECK(Result.Run == run_state::Ran);
        CHECK(Result.Response == "firstrest");
      } else {
        CHECK(Result.Run == run_state::OutcomeUnknown);
      }
    }
}

// Guards against an odd report of a runner ending the process that polls it.
TEST_CASE("a report that can't be read names no load, and an odd session hides "
          "no other") {
  const auto Serve = [](const std::string &Body) {
    return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(Body.size()) +
           "\r\n\r\n" + Body;
  };
  const std::string Deep =
      std::string(100'000, '[') + std::string(100'000, ']');
  for (const std::string &Report :
       {std::string("7"), std::string("[]"), std::string("{"),
        std::string(R"({"running":"1"})"), std::string(R"({"running":-1})"),
        std::string(R"({"running":5000000000})"),
        std::string(R"({"running":1e999})"), std::string(R"({"running":0.5})"),
        std::string(R"({"waiting":[]})"), std::string(R"({"waiting":null})"),
        std::string(R"({"draining":1})"), R"({"running":)" + Deep + "}"}) {
    INFO(Report.substr(0, 40));
    closing_server Server(Serve(Report), false);
    runner_load Load;
    CHECK_NOTHROW(Load = readLoad({"127.0.0.1", Server.port()}, readClock()));
    CHECK_FALSE(Load.Reachable);
  }
  closing_server Sound(Serve(R"({"running":3,"draining":true})"), false);
  const runner_load Load = readLoad({"127.0.0.1", Sound.port()}, readClock());
  CHECK(Load.Reachable);
  CHECK(Load.Running == 3);
  CHECK(Load.Draining);

  const std::string Session = formatProgramId({1, 2});
  for (const std::string &Odd :
       {std::string("7"), std::string("null"), std::string("{}"),
        std::string(R"({"session":7})"), std::string(R"({"session":{}})"),
        std::string(R"({"session":"no program"})"),
        std::string(1'000, '[') + std::string(1'000, ']')}) {
    INFO(Odd.substr(0, 40));
    closing_server Server(
        Serve("[" + Odd + R"(,{"session":")" + Session + R"("}])"), false);
    std::optional<std::vector<program_id>> Sessions;
    CHECK_NOTHROW(Sessions = listSessions({"127.0.0.1", Server.port()}));
    REQUIRE(Sessions);
    CHECK(*Sessions == std::vector<program_id>{{1, 2}});
  }
}

// Guards against an engine's event of another form that throws out of the
// attempt and ends the process, or passes for the call's whole answer.
TEST_CASE("events of a model's stream with other types end no process") {
  const auto Run = [](const std::string &Events) {
    closing_server Server("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream"
                          "\r\nConnection: close\r\n\r\n" +
                              Events,
                          false);
    model_client_settings Settings;
    Settings.MaxResumes = 0;
    attempt_result Result;
    CHECK_NOTHROW(Result =
                      runModelAttempt(makeAttempt(Server.port(), 5), Settings,
                                      never, [](std::string_view) {}));
    return Result;
  };
  const std::string Token =
      "data: {\"choices\":[{\"delta\":{\"content\":\"a\"}}]}\n\n";
  const std::string Usage =
      "data: {\"usage\":{\"prompt_tokens\":3,\"completion_tokens\":1}}\n\n";
  // Parts without text.
  for (const char *Event :
       {R"({"choices":[{"delta":{"role":"assistant","content":null}}]})",
        R"({"choices":[{"delta":{"new":1}}],"new":[1]})", R"({"choices":null})",
        R"({"choices":"x"})", R"({"choices":{"a":1}})", R"({"choices":[7]})",
        R"({"choices":[{"delta":7}]})", R"({"usage":null})", "7", "odd"}) {
    CAPTURE(Event);
    const attempt_result Result =
        Run("data: " + std::string(Event) + "\n\n" + Token + Usage);
    CHECK(Result.Code == error_code::None);
    CHECK(Result.GeneratedTokens == 1);
    CHECK(Result.UsageKnown);
  }
  // The text of a token can't be read: the answer would lack it.
  for (const char *Content : {"7", "true", "{}", "[\"a\"]"}) {
    CAPTURE(Content);
    const attempt_result Result =
        Run(Token + "data: {\"choices\":[{\"delta\":{\"content\":" + Content +
            "}}]}\n\n" + Usage);
    CHECK(Result.Code == error_code::RunnerFailed);
    CHECK(Result.Run == run_state::Ran);
  }
  // A usage that can't be read is not a usage of zero.
  for (const char *Counts :
       {"{}", R"({"prompt_tokens":"3","completion_tokens":1})",
        R"({"prompt_tokens":3,"completion_tokens":-1})",
        R"({"prompt_tokens":3,"completion_tokens":null})"}) {
    CAPTURE(Counts);
    const attempt_result Result =
        Run(Token + "data: {\"usage\":" + Counts + "}\n\n");
    CHECK(Result.Code == error_code::None);
    CHECK_FALSE(Result.UsageKnown);
  }
}

TEST_CASE("a model's stream is complete only with its last event, however it "
          "ends") {
  const std::string Token =
      "data: {\"choices\":[{\"delta\":{\"content\":\"a\"}}]}\n\n";
  const std::string Usage =
      "data: {\"choices\":[],\"usage\":{\"prompt_tokens\":"
      "1,\"completion_tokens\":1}}\n";
  for (const bool Whole : {false, true})
    for (const bool Reset : {false, true}) {
      closing_server Server("HTTP/1.1 200 OK\r\nContent-Type: "
                            "text/event-stream\r\n\r\n" +
                                Token + Usage + (Whole ? "\n" : ""),
                            Reset);
      model_client_settings Settings;
      Settings.MaxResumes = 0;
      const attempt_result Result =
          runModelAttempt(makeAttempt(Server.port(), 5), Settings, never,
                          [](std::string_view) {});
      CHECK((Result.Code == error_code::None) == Whole);
    }
}

// Guards against an engine's broken response passing for a stream (incident
// 025).
TEST_CASE("an engine's broken response is no result and no refusal") {
  const std::string Events =
      "data: {\"choices\":[{\"delta\":{\"content\":\"a\"}}]}\n\n"
      "data: [DONE]\n\n";
  for (const std::string &Broken : brokenResponses("", Events)) {
    // Chunks and trailers can turn out broken behind a whole stream, whose own
    // last event has ended it.
    if (Broken.find("chunked") != std::string::npos)
      continue;
    closing_server Engine(Broken, false);
    const attempt_result Result = runModelAttempt(
        makeAttempt(Engine.port(), 0), model_client_settings{},
        [] { return false; }, [](std::string_view) {});
    INFO(Broken);
    CHECK(Result.Code == error_code::RunnerFailed);
    CHECK(Result.Run == run_state::Ran);
    CHECK(Result.Response.find("\"a\"") == std::string::npos);
  }
}

// Guards against a call being sent again that may have run: a refusal counts
// only if it is whole.
TEST_CASE("an engine's refusal that is broken off or malformed does not say "
          "that the call did not run") {
  const std::string Head = "HTTP/1.1 503 Unavailable\r\n";
  for (const std::string &Refusal :
       {Head + "Content-Length: 9\r\n\r\nabc",
        Head + "Transfer-Encoding: chunked\r\n\r\n3\r\nabcXX",
        Head + "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\nX A: b\r\n"
               "\r\n"}) {
    closing_server Engine(Refusal, false);
    const attempt_result Result = runModelAttempt(
        makeAttempt(Engine.port(), 0), model_client_settings{},
        [] { return false; }, [](std::string_view) {});
    INFO(Refusal);
    CHECK(Result.Code == error_code::RunnerFailed);
    CHECK(Result.Run == run_state::Ran);
  }
  closing_server Engine(Head + "Content-Length: 3\r\n\r\nabc", false);
  const attempt_result Result = runModelAttempt(
      makeAttempt(Engine.port(), 0), model_client_settings{},
      [] { return false; }, [](std::string_view) {});
  CHECK(Result.Run == run_state::NotRun);
}

TEST_CASE("a service's response that trickles ends at the call's deadline") {
  endless_server Server("HTTP/1.1 200 OK\r\n\r\n", "x", milliseconds(50));
  placed_attempt Placed = makeAttempt(Server.port(), 0);
  Placed.Attempt.Timeout = milliseconds(400);
  const instant Start = readClock();
  const attempt_result Result = runServiceAttempt(Placed);
  CHECK(Result.Code == error_code::OutcomeUnknown);
  CHECK(readClock().Steady - Start.Steady < milliseconds(1'000));
}

TEST_CASE("a model's stream without end is given up") {
  std::string Repeat = "data: " + Filler + "\n\n";
  SUBCASE("one event") { Repeat = Filler; }
  SUBCASE("events that are no tokens") {}
  SUBCASE("tokens beyond those asked for") {
    Repeat =
        R"(data: {"choices":[{"delta":{"content":")" + Filler + "\"}}]}\n\n";
  }
  endless_server Server("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream"
                        "\r\n\r\n",
                        Repeat, milliseconds(0));
  model_client_settings Settings;
  Settings.MaxResumes = 0;
  const attempt_result Result = runModelAttempt(
      makeAttempt(Server.port(), 5), Settings, never, [](std::string_view) {});
  CHECK(Result.Code == error_code::RunnerFailed);
  CHECK(Result.Run == run_state::Ran);
  CHECK(Server.Sent < MaxReadBytes);
}

TEST_CASE("a model's stream that trickles without a token ends at the call's "
          "deadline") {
  endless_server Server("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream"
                        "\r\n\r\n",
                        ": wait\n\n", milliseconds(50));
  placed_attempt Placed = makeAttempt(Server.port(), 5);
  Placed.Attempt.Timeout = milliseconds(400);
  const instant Start = readClock();
  const attempt_result Result =
      runModelAttempt(Placed, {}, never, [](std::string_view) {});
  CHECK(Result.Code == error_code::Timeout);
  CHECK(readClock().Steady - Start.Steady < milliseconds(1'500));
}

TEST_CASE("a response head without end is given up") {
  std::string Repeat = Filler;
  SUBCASE("one line") {}
  SUBCASE("many lines") {
    Repeat.clear();
    for (int Count = 0; Count < 4'000; ++Count)
      Repeat += "X-A: " + std::to_string(Count) + "\r\n";
  }
  endless_server Server("HTTP/1.1 200 OK\r\n", Repeat, milliseconds(0));
  const attempt_result Result =
      runServiceAttempt(makeAttempt(Server.port(), 0));
  CHECK(Result.Code == error_code::OutcomeUnknown);
  CHECK(Server.Sent < MaxReadBytes);
}
