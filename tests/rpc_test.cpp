#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include "operator/rpc_dispatcher.h"

#include <doctest/doctest.h>

using namespace lentilhoist;

TEST_CASE("a method is called with its parameters") {
  rpc_dispatcher Dispatcher;
  Dispatcher.addMethod("echo", [](const std::string &Json) { return Json; });
  Dispatcher.addMethod("fail", [](const std::string &) -> std::string {
    throw rpc_failure("no such runner");
  });
  rpc_client Client(
      [&](const std::string &Request) { return Dispatcher.handle(Request); });
  CHECK(Client.call("echo", R"({"a":1})") == R"({"a":1})");
  CHECK_THROWS_WITH(Client.call("fail", "{}"),
                    doctest::Contains("no such runner"));
  CHECK_THROWS_AS(Client.call("missing", "{}"), rpc_failure);
}

TEST_CASE("malformed requests are answered with an error") {
  rpc_dispatcher Dispatcher;
  CHECK(Dispatcher.handle("{").find("error") != std::string::npos);
  CHECK(Dispatcher.handle("[]").find("error") != std::string::npos);
}

TEST_CASE("a transport that fails is an error") {
  rpc_client Client([](const std::string &) -> std::string {
    throw rpc_failure("connection refused");
  });
  CHECK_THROWS_WITH(Client.call("status", "{}"),
                    doctest::Contains("connection refused"));
}
