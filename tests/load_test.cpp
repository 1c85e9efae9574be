#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include "broken_responses.h"
#include "closing_server.h"
#include "load/promise_check.h"
#include "load/tool_call.h"

#include <doctest/doctest.h>

using namespace lentilhoist;

// Guards against a run whose promises are checked against a broken record.
TEST_CASE("a broken response is no page, and a record that can't be read is a "
          "breach") {
  for (const std::string &Broken : brokenResponses("", "[]")) {
    closing_server Runner(Broken, false);
    const endpoint Address{"127.0.0.1", Runner.port()};
    INFO(Broken);
    CHECK_FALSE(getPage(Address, "/admin/record", {}));
    load_settings Settings;
    Settings.Services = {Address};
    CHECK(checkPromises(Settings, {}).Breaches.size() == 1);
  }
  closing_server Runner("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n[]",
                        false);
  load_settings Settings;
  Settings.Services = {{"127.0.0.1", Runner.port()}};
  CHECK(checkPromises(Settings, {}).Breaches.empty());
}
