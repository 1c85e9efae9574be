#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include "broken_responses.h"
#include "closing_server.h"
#include "ctl/command_table.h"
#include "ctl/daemon_call.h"

#include <doctest/doctest.h>

using namespace lentilhoist;

TEST_CASE("arguments are bound by name") {
  const ctl_command *Resolve = findCommand("resolve");
  REQUIRE(Resolve != nullptr);
  const auto Bound = bindArguments(
      *Resolve, {"000-0000000000000001", "3", "ran", "seen in the till"});
  CHECK(Bound["program"] == "000-0000000000000001");
  CHECK(Bound["call"] == 3);
  CHECK(Bound["reason"] == "seen in the till");
}

TEST_CASE("missing and surplus arguments are named") {
  CHECK_THROWS_WITH(bindArguments(*findCommand("show"), {}),
                    "show: missing argument program");
  CHECK_THROWS_WITH(bindArguments(*findCommand("status"), {"x"}),
                    "status: unexpected argument 'x'");
  CHECK_THROWS_WITH(
      bindArguments(*findCommand("resolve"), {"p", "three", "ran", "r"}),
      "call must be a whole number");
  CHECK(bindArguments(*findCommand("programs"), {}).empty());
  CHECK(findCommand("destroy") == nullptr);
}

TEST_CASE("results are rendered as tables") {
  const auto Result = nlohmann::json::parse(
      R"({"instance":"a","items":[{"runner":"r1","slots":16}],"none":[]})");
  const std::string Text = renderTable(Result);
  CHECK(Text.find("instance: a\n") != std::string::npos);
  CHECK(Text.find("runner  slots  \nr1      16     \n") != std::string::npos);
  CHECK(Text.find("none: none\n") != std::string::npos);
}

TEST_CASE("the completion script names every command") {
  for (const ctl_command &Command : ctlCommands())
    CHECK(completionScript().find(Command.Name) != std::string::npos);
}

TEST_CASE("commands for the platform's daemons read pages") {
  for (const char *Name : {"entry", "engines", "replica", "metrics"}) {
    INFO(Name);
    const ctl_command *Command = findCommand(Name);
    REQUIRE(Command != nullptr);
    CHECK(Command->Page.starts_with("/"));
    CHECK_FALSE(Command->Changes);
  }
  CHECK(findCommand("status")->Page.empty());
}

// Guards against an operator acting on a broken response (incident 025).
TEST_CASE("a broken response of a daemon is no answer") {
  for (const std::string &Broken : brokenResponses("", "{}")) {
    closing_server Daemon(Broken, false);
    const endpoint Address{"127.0.0.1", Daemon.port()};
    INFO(Broken);
    CHECK_THROWS_AS(readPage(Address, "/entry"), no_answer);
    CHECK_THROWS_AS(callMethod(Address, "{}", "token"), no_answer);
  }
  closing_server Daemon("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}",
                        false);
  const endpoint Address{"127.0.0.1", Daemon.port()};
  CHECK(readPage(Address, "/entry") == "{}");
  CHECK(callMethod(Address, "{}", "token") == "{}");
  CHECK(readPage({"localhost", Daemon.port()}, "/entry") == "{}");
  CHECK_THROWS_AS(readPage({"no host", Daemon.port()}, "/entry"), no_answer);
  closing_server Wary("HTTP/1.1 401 Unauthorized\r\nContent-Length: 0\r\n\r\n",
                      false);
  CHECK_THROWS_AS(callMethod({"127.0.0.1", Wary.port()}, "{}", "token"),
                  no_answer);
}
