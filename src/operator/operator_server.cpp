#include "operator/operator_server.h"

#include "log/log.h"

#include <nlohmann/json.hpp>

namespace lentilhoist {

namespace {

constexpr std::chrono::milliseconds RequestWait{15'000};
constexpr std::size_t MaxOperators = 32;

http_server_settings serverSettings(const daemon_settings &Settings) {
  http_server_settings Server;
  Server.Address = Settings.OperatorAddress;
  Server.Port = Settings.OperatorPort;
  Server.MaxConnections = MaxOperators;
  return Server;
}

std::string requireText(const nlohmann::json &Json, const char *Key) {
  if (!Json.contains(Key) || !Json[Key].is_string() ||
      Json[Key].get_ref<const std::string &>().empty())
    throw rpc_failure(std::string(Key) + " is missing");
  return Json[Key].get<std::string>();
}

program_id requireProgram(const nlohmann::json &Json) {
  const auto Program = parseProgramId(requireText(Json, "program"));
  if (!Program)
    throw rpc_failure("program is malformed");
  return *Program;
}

void requireSuccess(const call_answer &Answer) {
  if (Answer.Code != error_code::None)
    throw rpc_failure(std::string(errorCodeName(Answer.Code)) + ": " +
                      Answer.Body);
}

} // namespace

operator_server::operator_server(const daemon_settings &GivenSettings,
                                 std::string GivenToken,
                                 scheduler &GivenDecisions,
                                 request_router &GivenRouter,
                                 membership_node &GivenMembers,
                                 metrics &GivenMeasures)
    : Settings(GivenSettings), Token(std::move(GivenToken)),
      Decisions(GivenDecisions), Router(GivenRouter), Members(GivenMembers),
      Measures(GivenMeasures), Server(serverSettings(GivenSettings)) {
  installRoutes();
  installMethods();
}

bool operator_server::isAuthorized(const httplib::Request &Request) const {
  return Token.empty() ||
         Request.get_header_value("Authorization") == "Bearer " + Token;
}

void operator_server::installRoutes() {
  Server.routes().Get("/metrics", [this](const auto &, auto &Response) {
    Response.set_content(Measures.render(), "text/plain; version=0.0.4");
  });
  Server.routes().Post("/rpc", [this](const auto &Request, auto &Response) {
    if (!isAuthorized(Request)) {
      logEvent(log_level::Warning, "operator_refused",
               {{"address", Request.remote_addr}});
      Response.status = 401;
      return;
    }
    Response.set_content(Methods.handle(Request.body), "application/json");
  });
}

void operator_server::installMethods() {
  Methods.addMethod("status", [this](const auto &) { return status(); });
  Methods.addMethod("runners", [this](const auto &) {
    return inspectJson([this] { return Decisions.describeRunners(); });
  });
  Methods.addMethod("unknown", [this](const auto &) {
    return inspectJson([this] { return Decisions.describeUnknown(); });
  });
  Methods.addMethod("programs", [this](const auto &Parameters) {
    const auto Json = nlohmann::json::parse(Parameters);
    const std::string Tenant = Json.value("tenant", std::string());
    return inspectJson(
        [this, Tenant] { return Decisions.describePrograms(Tenant); });
  });
  Methods.addMethod("show", [this](const auto &Parameters) {
    return showProgram(Parameters);
  });
  Methods.addMethod(
      "end", [this](const auto &Parameters) { return endProgram(Parameters); });
  Methods.addMethod("resolve", [this](const auto &Parameters) {
    return resolveOutcome(Parameters);
  });
  Methods.addMethod("drain", [this](const auto &Parameters) {
    return drainRunner(Parameters, true);
  });
  Methods.addMethod("undrain", [this](const auto &Parameters) {
    return drainRunner(Parameters, false);
  });
}

std::string
operator_server::inspectJson(const std::function<nlohmann::json()> &Describe) {
  nlohmann::json Result;
  if (!Decisions.inspect([&] { Result["items"] = Describe(); }))
    throw rpc_failure("the scheduler did not answer in time");
  return Result.dump();
}

std::string operator_server::status() {
  nlohmann::json Result;
  Result["instance"] = Settings.Identity.Id;
  Result["domain"] = Settings.Identity.Domain;
  const auto View = Members.view();
  Result["members"] = nlohmann::json::array();
  for (const auto &[Id, Record] : View->Members) {
    constexpr std::array<const char *, 3> Names{"alive", "suspect", "dead"};
    Result["members"].push_back(
        {{"instance", Id},
         {"domain", Record.Update.Identity.Domain},
         {"status", Names[static_cast<std::size_t>(Record.Update.Status)]},
         {"leaving", Record.Update.Leaving}});
  }
  if (!Decisions.inspect(
          [&] { Result["shards"] = Decisions.describeShards(); }))
    throw rpc_failure("the scheduler did not answer in time");
  return Result.dump();
}

std::string operator_server::showProgram(const std::string &Parameters) {
  const program_id Program = requireProgram(nlohmann::json::parse(Parameters));
  const call_answer Answer =
      routed_request(Router, history_request{Program}).wait(RequestWait);
  requireSuccess(Answer);
  return Answer.Body;
}

std::string operator_server::endProgram(const std::string &Parameters) {
  const auto Json = nlohmann::json::parse(Parameters);
  const program_id Program = requireProgram(Json);
  const std::string By = requireText(Json, "by");
  const call_answer Answer =
      routed_request(Router, end_request{Program, end_reason::Operator})
          .wait(RequestWait);
  requireSuccess(Answer);
  logEvent(log_level::Info, "operator_ended_program",
           {{"program", formatProgramId(Program)}, {"by", By}});
  return nlohmann::json{{"ended", formatProgramId(Program)}}.dump();
}

std::string operator_server::resolveOutcome(const std::string &Parameters) {
  const auto Json = nlohmann::json::parse(Parameters);
  outcome_resolved Outcome;
  Outcome.Program = requireProgram(Json);
  Outcome.Call = Json.value("call", 0U);
  Outcome.ResolvedBy = requireText(Json, "by");
  Outcome.Reason = requireText(Json, "reason");
  const std::string Run = requireText(Json, "outcome");
  if (Run != "ran" && Run != "not_run")
    throw rpc_failure("outcome must be ran or not_run");
  Outcome.Run = Run == "ran" ? run_state::Ran : run_state::NotRun;
  Outcome.Response = Json.value("response", std::string("{}"));
  requireSuccess(routed_request(Router, Outcome).wait(RequestWait));
  logEvent(log_level::Info, "operator_resolved_outcome",
           {{"program", formatProgramId(Outcome.Program)},
            {"call", std::to_string(Outcome.Call)},
            {"outcome", Run},
            {"by", Outcome.ResolvedBy},
            {"reason", Outcome.Reason}});
  return nlohmann::json{{"resolved", true}}.dump();
}

std::string operator_server::drainRunner(const std::string &Parameters,
                                         bool Drained) {
  const auto Json = nlohmann::json::parse(Parameters);
  const std::string Runner = requireText(Json, "runner");
  const std::string By = requireText(Json, "by");
  bool Known = false;
  if (!Decisions.inspect(
          [&] { Known = Decisions.setDrained(Runner, Drained); }))
    throw rpc_failure("the scheduler did not answer in time");
  if (!Known)
    throw rpc_failure("no such runner: " + Runner);
  logEvent(log_level::Info, Drained ? "operator_drained" : "operator_undrained",
           {{"runner", Runner}, {"by", By}});
  return nlohmann::json{{"runner", Runner}, {"drained", Drained}}.dump();
}

} // namespace lentilhoist
