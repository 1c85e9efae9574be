#include "ctl/daemon_call.h"

#include "http/bounded_call.h"

#include <fmt/format.h>

namespace lentilhoist {

namespace {

constexpr int StatusUnauthorized = 401;
constexpr http_timeouts MethodTimeouts{std::chrono::milliseconds(2'000),
                                       std::chrono::milliseconds(20'000),
                                       std::chrono::milliseconds(2'000)};
constexpr http_timeouts PageTimeouts{std::chrono::milliseconds(2'000),
                                     std::chrono::milliseconds(5'000),
                                     std::chrono::milliseconds(2'000)};
/// Above the report of the largest fleet.
constexpr std::size_t MaxReportBytes = 64UL << 20U;

call_result callDaemon(const endpoint &Daemon, http_request_head Head,
                       const std::string &Body, const http_timeouts &Timeouts) {
  const std::string Address = fmt::format("{}:{}", Daemon.Address, Daemon.Port);
  Head.Fields.push_back({"Host", Address});
  Head.Fields.push_back({"Connection", "close"});
  call_limits Limits = limitsOf(Timeouts);
  Limits.MaxBodyBytes = MaxReportBytes;
  call_result Answer = callBounded(resolveHost(Daemon), Head, Body, Limits);
  if (Answer.End != call_end::Complete)
    throw no_answer(fmt::format("{} does not answer: the response was {}",
                                Address, callEndName(Answer.End)));
  if (Answer.Head.Status == StatusUnauthorized)
    throw no_answer(fmt::format("{} refused the token", Address));
  return Answer;
}

} // namespace

std::string callMethod(const endpoint &Daemon, const std::string &Body,
                       const std::string &Token) {
  return callDaemon(Daemon,
                    {"POST",
                     "/rpc",
                     {{"Authorization", "Bearer " + Token},
                      {"Content-Type", "application/json"}}},
                    Body, MethodTimeouts)
      .Body;
}

std::string readPage(const endpoint &Daemon, const std::string &Path) {
  return callDaemon(Daemon, {"GET", Path, {}}, "", PageTimeouts).Body;
}

} // namespace lentilhoist
