#include "standin/service_standin.h"

#include <fmt/format.h>
#include <thread>

namespace lentilhoist {

service_standin::service_standin(service_standin_settings Given)
    : Settings(std::move(Given)), Server(Settings.Server) {
  Faults.install(Server, Settings.Seed);
  httplib::Server &Routes = Server.routes();
  Routes.Post("/run", [this](const auto &Request, auto &Response) {
    run(Request, Response);
    Faults.maybeDropAnswer();
  });
  Routes.Get("/outcome", [this](const auto &Request, auto &Response) {
    outcome(Request, Response);
  });
  Routes.Get("/load", [this](const auto &, auto &Response) {
    Response.set_content(load().dump(), "application/json");
  });
  Routes.Post("/admin/drain", [this](const auto &, auto &) {
    const std::lock_guard Lock(Mutex);
    Draining = true;
  });
  Routes.Get("/admin/record", [this](const auto &, auto &Response) {
    const std::lock_guard Lock(Mutex);
    nlohmann::json All = nlohmann::json::array();
    for (const execution &Done : Executions)
      All.push_back({{"key", Done.Key}, {"body", Done.Body}});
    Response.set_content(All.dump(), "application/json");
  });
}

void service_standin::run(const httplib::Request &Request,
                          httplib::Response &Response) {
  execution Done;
  Done.Key = Request.get_header_value("Idempotency-Key");
  Done.Body = Request.body;
  {
    const std::lock_guard Lock(Mutex);
    ++Running;
  }
  std::this_thread::sleep_for(
      std::chrono::milliseconds(Settings.WorkMilliseconds));
  const std::lock_guard Lock(Mutex);
  --Running;
  Done.Response =
      fmt::format(R"({{"receipt":"{}-{}"}})", Settings.Name, Executions.size());
  ByKey[Done.Key] = Executions.size();
  Executions.push_back(Done);
  Response.set_content(Done.Response, "application/json");
}

void service_standin::outcome(const httplib::Request &Request,
                              httplib::Response &Response) {
  const std::lock_guard Lock(Mutex);
  const auto Found = ByKey.find(Request.get_param_value("key"));
  if (!Settings.KnowsKeys || Found == ByKey.end()) {
    Response.status = Settings.KnowsKeys ? 404 : 501;
    return;
  }
  Response.set_content(Executions[Found->second].Response, "application/json");
}

nlohmann::json service_standin::load() {
  const std::lock_guard Lock(Mutex);
  return {{"running", Running},
          {"waiting", 0},
          {"slots", Settings.Slots},
          {"draining", Draining}};
}

} // namespace lentilhoist
