#include "standin/weights_standin.h"

#include <nlohmann/json.hpp>
#include <thread>

namespace lentilhoist {

weights_standin::weights_standin(weights_standin_settings Given)
    : Settings(std::move(Given)), Server(Settings.Server),
      Gate(Settings.LoadsPerSecond) {
  Faults.install(Server, Settings.Seed);
  Server.routes().Get(R"(/weights/(.+))", [this](const auto &, auto &Response) {
    if (!Gate.take(1)) {
      ++Refusals;
      Response.status = 429;
      Response.set_header("Retry-After", "1");
      return;
    }
    ++Loads;
    std::this_thread::sleep_for(
        std::chrono::milliseconds(Settings.LoadMilliseconds));
    Response.set_content("weights", "application/octet-stream");
  });
  Server.routes().Get("/admin/counters", [this](const auto &, auto &Response) {
    const nlohmann::json Counters = {{"loads", Loads.load()},
                                     {"refusals", Refusals.load()}};
    Response.set_content(Counters.dump(), "application/json");
  });
}

} // namespace lentilhoist
