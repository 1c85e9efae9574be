#include "runner/service_client.h"

#include "http/bounded_call.h"

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

attempt_result readAnswer(call_result Answer) {
  if (Answer.Head.Status == StatusUnavailable &&
      findField(Answer.Head.Fields, "X-Not-Run") != nullptr)
    return notRun("the service refused the request");
  attempt_result Result;
  Result.Status = Answer.Head.Status;
  Result.Response = std::move(Answer.Body);
  return Result;
}

} // namespace

attempt_result runServiceAttempt(const placed_attempt &Placed) {
  const start_attempt &Attempt = Placed.Attempt;
  const auto Limit =
      std::chrono::duration_cast<std::chrono::milliseconds>(Attempt.Timeout);
  http_request_head Head{"POST",
                         "/run",
                         {{"Host", Placed.Runner.Address},
                          {"Connection", "close"},
                          {"Content-Type", "application/json"},
                          {"X-Program", formatProgramId(Attempt.Call.Program)},
                          {"X-Call", std::to_string(Attempt.Call.Call)},
                          {"X-Attempt-Id", Attempt.AttemptId}}};
  if (!Attempt.RequestKey.empty())
    Head.Fields.push_back({"Idempotency-Key", Attempt.RequestKey});
  call_limits Limits;
  Limits.Connect = ConnectWait;
  Limits.Silence = Limits.Total = Limit;
  const bool TooLate =
      Attempt.HasSendBy && readClock().Steady >= Attempt.SendBy.Steady;
  if (TooLate)
    return notRun("the time to send the request is over");
  call_result Answer = callBounded({Placed.Runner.Address, Placed.Runner.Port},
                                   Head, Attempt.Call.Body, Limits);
  attempt_result Result;
  if (Answer.End == call_end::Complete)
    Result = readAnswer(std::move(Answer));
  else if (Answer.End == call_end::NotConnected)
    Result = notRun("the service refused the connection");
  else
    Result = outcomeUnknown(
        fmt::format("the service's response was {}", callEndName(Answer.End)));
  Result.Runner = Placed.Runner.Name;
  return Result;
}

std::optional<std::string> queryOutcome(const endpoint &Service,
                                        const std::string &RequestKey) {
  call_limits Limits;
  Limits.Connect = ConnectWait;
  Limits.Silence = Limits.Total = QueryWait;
  call_result Answer = callBounded(
      Service,
      {"GET", "/outcome?key=" + RequestKey, {{"Host", Service.Address}}}, "",
      Limits);
  if (Answer.End != call_end::Complete || Answer.Head.Status != StatusOk)
    return std::nullopt;
  return std::move(Answer.Body);
}

} // namespace lentilhoist
