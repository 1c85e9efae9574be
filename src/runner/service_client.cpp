#include "runner/service_client.h"

#include <fmt/format.h>

namespace lentilhoist {

namespace {

constexpr std::chrono::milliseconds ConnectWait{500};
constexpr std::chrono::milliseconds QueryWait{1'000};
constexpr int StatusOk = 200;
constexpr int StatusUnavailable = 503;

attempt_result notRun(std::string Detail) {
  attempt_result Result;
  Result.Code = error_code::RunnerFailed;
  Result.Run = run_state::NotRun;
  Result.Status = httpStatus(Result.Code);
  Result.Response = std::move(Detail);
  return Result;
}

attempt_result outcomeUnknown(std::string Detail) {
  attempt_result Result;
  Result.Code = error_code::OutcomeUnknown;
  Result.Run = run_state::OutcomeUnknown;
  Result.Status = httpStatus(Result.Code);
  Result.Response = std::move(Detail);
  return Result;
}

attempt_result readAnswer(const httplib::Response &Answer) {
  if (Answer.status == StatusUnavailable && Answer.has_header("X-Not-Run"))
    return notRun("the service refused the request");
  attempt_result Result;
  Result.Status = Answer.status;
  Result.Response = Answer.body;
  return Result;
}

} // namespace

attempt_result runServiceAttempt(const placed_attempt &Placed) {
  const start_attempt &Attempt = Placed.Attempt;
  const auto Limit =
      std::chrono::duration_cast<std::chrono::milliseconds>(Attempt.Timeout);
  auto Client = makeHttpClient({Placed.Runner.Address, Placed.Runner.Port},
                               {ConnectWait, Limit, Limit});
  Client->set_keep_alive(false);
  httplib::Headers Headers{{"X-Program", formatProgramId(Attempt.Call.Program)},
                           {"X-Call", std::to_string(Attempt.Call.Call)},
                           {"X-Attempt-Id", Attempt.AttemptId}};
  if (!Attempt.RequestKey.empty())
    Headers.emplace("Idempotency-Key", Attempt.RequestKey);
  const bool TooLate =
      Attempt.HasSendBy && readClock().Steady >= Attempt.SendBy.Steady;
  if (TooLate)
    return notRun("the time to send the request is over");
  const auto Answer =
      Client->Post("/run", Headers, Attempt.Call.Body, "application/json");
  attempt_result Result;
  if (Answer)
    Result = readAnswer(*Answer);
  else if (Answer.error() == httplib::Error::Connection)
    Result = notRun("the service refused the connection");
  else
    Result = outcomeUnknown(fmt::format("the service did not answer: {}",
                                        httplib::to_string(Answer.error())));
  Result.Runner = Placed.Runner.Name;
  return Result;
}

std::optional<std::string> queryOutcome(const endpoint &Service,
                                        const std::string &RequestKey) {
  auto Client = makeHttpClient(Service, {ConnectWait, QueryWait, QueryWait});
  const auto Answer = Client->Get("/outcome?key=" + RequestKey);
  if (!Answer || Answer->status != StatusOk)
    return std::nullopt;
  return Answer->body;
}

} // namespace lentilhoist
