#include "load/load_balancer.h"

#include "load/tool_call.h"

#include <nlohmann/json.hpp>

namespace lentilhoist {

namespace {

constexpr std::chrono::milliseconds RefreshInterval{200};
constexpr http_timeouts ProbeTimeouts{std::chrono::milliseconds(200),
                                      std::chrono::milliseconds(500),
                                      std::chrono::milliseconds(500)};

bool isReady(const endpoint &Instance) {
  return getPage(Instance, "/healthz", ProbeTimeouts).has_value();
}

} // namespace

load_balancer::load_balancer(endpoint Given) : Platform(std::move(Given)) {
  Ready = readList();
  Thread = std::thread([this] { run(); });
}

load_balancer::~load_balancer() {
  Stopping = true;
  Thread.join();
}

endpoint load_balancer::next() {
  const std::lock_guard Lock(Mutex);
  if (Ready.empty())
    return {};
  return Ready[Turn++ % Ready.size()];
}

std::vector<endpoint> load_balancer::readList() {
  std::vector<endpoint> Found;
  const auto Answer = getPage(Platform, "/instances", ProbeTimeouts);
  if (!Answer)
    return Found;
  const auto Json = nlohmann::json::parse(*Answer, nullptr, false);
  if (!Json.is_object() || !Json.contains("instances"))
    return Found;
  for (const auto &Item : Json["instances"]) {
    const endpoint Instance{Item.value("address", std::string()),
                            Item.value("caller_port", 0)};
    if (Instance.Port != 0 && isReady(Instance))
      Found.push_back(Instance);
  }
  return Found;
}

void load_balancer::run() {
  while (!Stopping) {
    std::this_thread::sleep_for(RefreshInterval);
    auto Found = readList();
    const std::lock_guard Lock(Mutex);
    if (!Found.empty())
      Ready = std::move(Found);
  }
}

} // namespace lentilhoist
