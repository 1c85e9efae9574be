#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include "settings/daemon_settings.h"

#include <cstdio>
#include <doctest/doctest.h>
#include <fstream>
#include <sys/stat.h>

using namespace lentilhoist;

namespace {

const std::string Minimal = "[instance]\n"
                            "name = \"a\"\n"
                            "domain = \"riga-a\"\n"
                            "link_port = 7301\n"
                            "[platform]\n"
                            "endpoint = \"127.0.0.1:7000\"\n";

std::string errorOf(const std::string &Text) {
  try {
    (void)parseDaemonSettings(Text, "test.toml");
  } catch (const settings_error &Error) {
    return Error.what();
  }
  return {};
}

} // namespace

TEST_CASE("the least settings give the defaults") {
  const daemon_settings Settings = parseDaemonSettings(Minimal, "test.toml");
  CHECK(Settings.Identity.Id == "a");
  CHECK(Settings.Shards == 16);
  CHECK(Settings.Owner.SendWindow == seconds(2));
  CHECK(Settings.Owner.WritesPerSecond == doctest::Approx(12.5));
}

TEST_CASE("errors name the file, the line and what was expected") {
  CHECK(errorOf(Minimal + "[shards]\ncuont = 3\n") ==
        "test.toml:8: shards.cuont: unknown key");
  CHECK(errorOf(Minimal + "[shards]\nsend_window = 250\n")
            .find("test.toml:8: shards.send_window: expected a time with its "
                  "unit") == 0);
  CHECK(errorOf(Minimal + "[shards]\nsend_window = \"2 weeks\"\n")
            .find("expected a time") != std::string::npos);
  CHECK(errorOf(Minimal + "[shards]\nsend_window = \"10ms\"\n")
            .find("from \"100ms\" to \"1min\"") != std::string::npos);
  CHECK(errorOf(Minimal + "[shards]\ncount = 0\n") ==
        "test.toml:8: shards.count: expected a whole number from 1 to 999");
  CHECK(errorOf(Minimal + "[shards]\ncount = \"8\"\n").find("whole number") !=
        std::string::npos);
  CHECK(errorOf("[instance]\nname = \"a\"\n").find("instance.domain") !=
        std::string::npos);
  CHECK(errorOf("[instance\n").find("test.toml:1") == 0);
}

TEST_CASE("runners are checked") {
  const std::string Runner =
      "[[runner]]\nname = \"r\"\nkind = \"engine\"\npool = \"m\"\n"
      "domain = \"d\"\nendpoint = \"127.0.0.1:1\"\n";
  CHECK(parseDaemonSettings(Minimal + Runner, "t").Runners.size() == 1);
  CHECK(errorOf(Minimal + Runner + Runner).find("defined twice") !=
        std::string::npos);
  CHECK(errorOf(Minimal + "[[runner]]\nname = \"r\"\nkind = \"x\"\npool = "
                          "\"m\"\ndomain = \"d\"\nendpoint = \"1.1.1.1:1\"\n")
            .find("engine") != std::string::npos);
}

TEST_CASE("a token file must be private") {
  const std::string Path = "settings_test.token";
  std::ofstream(Path) << "secret\n";
  ::chmod(Path.c_str(), 0644);
  CHECK_THROWS_AS(readToken(Path), settings_error);
  ::chmod(Path.c_str(), 0600);
  CHECK(readToken(Path) == "secret");
  std::remove(Path.c_str());
  CHECK_THROWS_AS(readToken(Path), settings_error);
  CHECK(readToken("").empty());
}
