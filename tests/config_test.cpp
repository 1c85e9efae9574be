#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include "config/route_table.h"

#include <doctest/doctest.h>
#include <map>

using namespace lentilhoist;

namespace {

route makeRoute(std::string Name, std::string Host, std::string Prefix) {
  route Route;
  Route.Name = std::move(Name);
  Route.Host = std::move(Host);
  Route.PathPrefix = std::move(Prefix);
  return Route;
}

} // namespace

TEST_CASE("the longest prefix of the path on its host is chosen") {
  configuration Config;
  Config.Routes = {makeRoute("all", "a.example", "/"),
                   makeRoute("long", "a.example", "/x/y/"),
                   makeRoute("short", "a.example", "/x/"),
                   makeRoute("other", "b.example", "/x/")};
  const route_table Table(Config);
  CHECK(Table.find("a.example", "/x/y/z")->Name == "long");
  CHECK(Table.find("A.Example:80", "/x/z")->Name == "short");
  CHECK(Table.find("a.example", "/x")->Name == "all");
  CHECK(Table.find("b.example", "/x/y/z")->Name == "other");
  CHECK(Table.find("b.example", "/y") == nullptr);
  CHECK(Table.find("c.example", "/x/") == nullptr);
}

TEST_CASE("targets are chosen by their weights") {
  route Route;
  Route.Targets = {{"a", 90}, {"none", 0}, {"b", 10}};
  std::map<std::string, int> Counts;
  constexpr int Samples = 10'000;
  for (int Index = 0; Index < Samples; ++Index)
    ++Counts[std::string(chooseTarget(
        Route, 0x9e3779b97f4a7c15ULL * static_cast<std::uint64_t>(Index)))];
  CHECK(Counts["none"] == 0);
  CHECK(Counts["b"] > Samples / 10 - Samples / 50);
  CHECK(Counts["b"] < Samples / 10 + Samples / 50);
  CHECK(chooseTarget(Route, ~0ULL) == "b");
  Route.Targets.clear();
  CHECK(chooseTarget(Route, 1).empty());
}

TEST_CASE("versions of the configuration only rise") {
  configuration Config;
  Config.Version = 7;
  const auto Table = std::make_shared<const route_table>(Config);
  CHECK(replacesConfig(nullptr, 1));
  CHECK(replacesConfig(Table, 8));
  CHECK_FALSE(replacesConfig(Table, 7));
  CHECK_FALSE(replacesConfig(Table, 6));
}
