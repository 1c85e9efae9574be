#include "load/overhead_probe.h"

#include "http/bounded_connection.h"

#include <algorithm>
#include <fmt/format.h>
#include <nlohmann/json.hpp>
#include <stdexcept>
#include <thread>
#include <vector>

namespace lentilhoist {

namespace {

constexpr int CallsPerProgram = 20;
constexpr std::chrono::milliseconds Pace{100};
constexpr const char *Body =
    R"({"max_tokens":1,"messages":[{"role":"user","content":"hello"}],)"
    R"("stream":true})";

using clock = std::chrono::steady_clock;

double quantileOf(std::vector<double> Values, double Share) {
  std::sort(Values.begin(), Values.end());
  return Values[static_cast<std::size_t>(
      Share * static_cast<double>(Values.size() - 1))];
}

/// Milliseconds from the request to the first and to the last byte.
struct call_time {
  double First = 0;
  double Last = 0;
};

double millisecondsSince(clock::time_point Start) {
  return std::chrono::duration<double, std::milli>(clock::now() - Start)
      .count();
}

/// Sends a request on a connection that is kept between calls.
call_result post(bounded_connection &Server, const char *Path,
                 http_fields Fields, const char *Text,
                 const body_receiver &OnBody = {}) {
  Fields.push_back({"Host", "server"});
  Fields.push_back({"Content-Type", "application/json"});
  return Server.call({"POST", Path, std::move(Fields)}, Text,
                     limitsOf(http_timeouts{}), OnBody);
}

call_time timeCall(bounded_connection &Server, http_fields Fields) {
  call_time Time;
  const auto Start = clock::now();
  const call_result Answer =
      post(Server, "/v1/chat/completions", std::move(Fields), Body,
           [&](std::string_view) {
             if (Time.First == 0)
               Time.First = millisecondsSince(Start);
             return true;
           });
  if (Answer.End != call_end::Complete || Answer.Head.Status != 200)
    throw std::runtime_error("a call of the probe failed");
  Time.Last = millisecondsSince(Start);
  return Time;
}

std::string createProgram(bounded_connection &Instance) {
  const call_result Answer =
      post(Instance, "/v1/programs", {},
           R"({"tenant":"probe","class":"probe","budget":)"
           R"({"tokens":1000000,"turns":1000,"wall_ms":600000}})");
  if (Answer.End != call_end::Complete || Answer.Head.Status != 201)
    throw std::runtime_error("the probe's program was not created");
  return nlohmann::json::parse(Answer.Body)["program"];
}

} // namespace

overhead_result probeOverhead(const endpoint &Engine, const endpoint &Instance,
                              int Calls) {
  bounded_connection Direct(resolveHost(Engine));
  bounded_connection Through(resolveHost(Instance));
  std::vector<double> DirectLast;
  std::vector<double> DirectFirst;
  std::vector<double> ThroughLast;
  std::vector<double> ThroughFirst;
  std::string Program;
  for (int Call = 0; Call < Calls; ++Call) {
    const int Number = Call % CallsPerProgram + 1;
    if (Number == 1)
      Program = createProgram(Through);
    std::this_thread::sleep_for(Pace);
    const call_time Straight =
        timeCall(Direct, {{"X-Session-Id", "direct"},
                          {"X-Attempt-Id", fmt::format("direct-{}", Call)}});
    const call_time Routed =
        timeCall(Through, {{"X-Lentilhoist-Program", Program},
                           {"X-Lentilhoist-Call", std::to_string(Number)}});
    DirectFirst.push_back(Straight.First);
    DirectLast.push_back(Straight.Last);
    ThroughFirst.push_back(Routed.First);
    ThroughLast.push_back(Routed.Last);
  }
  return {quantileOf(DirectLast, 0.5),   quantileOf(DirectLast, 0.99),
          quantileOf(ThroughLast, 0.5),  quantileOf(ThroughLast, 0.99),
          quantileOf(DirectFirst, 0.5),  quantileOf(DirectFirst, 0.99),
          quantileOf(ThroughFirst, 0.5), quantileOf(ThroughFirst, 0.99)};
}

} // namespace lentilhoist
