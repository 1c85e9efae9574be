#include "load/tool_call.h"

namespace lentilhoist {

namespace {

constexpr int StatusOk = 200;
constexpr std::chrono::hours NoTotalLimit{24};
/// Above the records of the largest run.
constexpr std::size_t MaxRecordBytes = 256UL << 20U;

} // namespace

call_result callServer(const endpoint &Server, http_request_head Head,
                       const std::string &Body, const http_timeouts &Timeouts,
                       const body_receiver &OnBody) {
  Head.Fields.push_back({"Host", Server.Address});
  Head.Fields.push_back({"Connection", "close"});
  call_limits Limits = limitsOf(Timeouts);
  Limits.Total = NoTotalLimit;
  Limits.MaxBodyBytes = MaxRecordBytes;
  return callBounded(resolveHost(Server), Head, Body, Limits, OnBody);
}

std::optional<std::string> getPage(const endpoint &Server,
                                   const std::string &Path,
                                   const http_timeouts &Timeouts) {
  call_result Answer = callServer(Server, {"GET", Path, {}}, "", Timeouts);
  if (Answer.End != call_end::Complete || Answer.Head.Status != StatusOk)
    return std::nullopt;
  return std::move(Answer.Body);
}

} // namespace lentilhoist
