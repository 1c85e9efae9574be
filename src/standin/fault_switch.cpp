#include "standin/fault_switch.h"

#include <nlohmann/json.hpp>
#include <thread>

namespace lentilhoist {

namespace {

constexpr std::chrono::milliseconds SilencePoll{20};

void readFaults(const nlohmann::json &Json, fault_settings &Faults) {
  Faults.Refuse = Json.value("refuse", Faults.Refuse);
  Faults.DropAnswer = Json.value("drop_answer", Faults.DropAnswer);
  Faults.DelayMilliseconds = Json.value("delay_ms", Faults.DelayMilliseconds);
  Faults.HoldMilliseconds = Json.value("hold_ms", Faults.HoldMilliseconds);
  Faults.Outage = Json.value("outage", Faults.Outage);
  Faults.Silent = Json.value("silent", Faults.Silent);
}

bool isAdmin(const httplib::Request &Request) {
  return Request.path.rfind("/admin/", 0) == 0;
}

} // namespace

void fault_switch::install(http_server &Server, std::uint64_t Seed) {
  Random.seed(Seed);
  Server.routes().Post("/admin/faults", [this](const httplib::Request &Request,
                                               httplib::Response &Response) {
    const auto Json = nlohmann::json::parse(Request.body, nullptr, false);
    if (Json.is_discarded()) {
      Response.status = 400;
      return;
    }
    const std::lock_guard Lock(Mutex);
    readFaults(Json, Faults);
    SilentPorts = Faults.Silent ? OpenPorts : std::set<int>();
    Response.set_content("{}", "application/json");
  });
  Server.setGuard([this](const auto &Request, auto &Response) {
    return guard(Request, Response);
  });
}

bool fault_switch::guard(const httplib::Request &Request,
                         httplib::Response &Response) {
  if (isAdmin(Request))
    return false;
  int Delay = 0;
  bool Refused = false;
  {
    const std::lock_guard Lock(Mutex);
    OpenPorts.insert(Request.remote_port);
    Delay = Faults.DelayMilliseconds;
    Refused = Faults.Outage || draw(Faults.Refuse);
  }
  waitWhileSilent(Request);
  if (Delay > 0)
    std::this_thread::sleep_for(std::chrono::milliseconds(Delay));
  if (!Refused)
    return false;
  Response.status = 503;
  Response.set_header("X-Not-Run", "true");
  Response.set_content(R"({"error":"refused"})", "application/json");
  return true;
}

bool fault_switch::draw(double Share) {
  return Share > 0 && std::uniform_real_distribution<>(0, 1)(Random) < Share;
}

void fault_switch::maybeDropAnswer() {
  int Hold = 0;
  {
    const std::lock_guard Lock(Mutex);
    if (draw(Faults.DropAnswer))
      Hold = Faults.HoldMilliseconds;
  }
  if (Hold > 0)
    std::this_thread::sleep_for(std::chrono::milliseconds(Hold));
}

bool fault_switch::isSilent(const httplib::Request &Request) {
  const std::lock_guard Lock(Mutex);
  return SilentPorts.count(Request.remote_port) != 0;
}

void fault_switch::waitWhileSilent(const httplib::Request &Request) {
  while (isSilent(Request))
    std::this_thread::sleep_for(SilencePoll);
}

} // namespace lentilhoist
