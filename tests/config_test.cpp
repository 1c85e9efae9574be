#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include "config/route_table.h"

#include <algorithm>
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

TEST_CASE("route_table finds the longest matching path prefix of the host") {
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

TEST_CASE("chooseTarget selects targets in proportion to their weights") {
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

TEST_CASE("replacesConfig accepts only newer configuration versions") {
  configuration Config;
  Config.Version = 7;
  const auto Table = std::make_shared<const route_table>(Config);
  CHECK(replacesConfig(nullptr, 1));
  CHECK(replacesConfig(Table, 8));
  CHECK_FALSE(replacesConfig(Table, 7));
  CHECK_FALSE(replacesConfig(Table, 6));
}

namespace {

workspace makeWorkspace(std::string Name, const std::vector<const char *> &Keys,
                        std::optional<int> Priority = std::nullopt) {
  workspace Workspace;
  Workspace.Name = std::move(Name);
  Workspace.Priority = Priority;
  for (const char *Key : Keys)
    Workspace.Keys.push_back(digestOfKey(Key));
  return Workspace;
}

sent_key makeKey(const char *Key) { return {true, digestOfKey(Key)}; }

} // namespace

TEST_CASE("a key finds its workspace, one listed twice too") {
  configuration Config;
  Config.Workspaces = {makeWorkspace("a", {"ka", "ka", "kb"}),
                       makeWorkspace("b", {"kc"}), makeWorkspace("none", {})};
  const route_table Table(Config);
  CHECK(Table.keys().size() == 3);
  CHECK(Table.keys().conflicts().Keys == 0);
  CHECK(Table.keys().find(digestOfKey("ka"))->Name == "a");
  CHECK(Table.keys().find(digestOfKey("kb"))->Name == "a");
  CHECK(Table.keys().find(digestOfKey("kc"))->Name == "b");
  CHECK(Table.keys().find(digestOfKey("k")) == nullptr);
  CHECK(Table.keys().find(digestOfKey("")) == nullptr);
  CHECK(Table.keys().find(key_digest{}) == nullptr);
}

TEST_CASE("a key of two workspaces is valid for neither, and no other key is "
          "lost") {
  configuration Config;
  Config.Workspaces = {makeWorkspace("a", {"ka", "shared", "shared"}),
                       makeWorkspace("b", {"shared", "kb"}),
                       makeWorkspace("c", {"shared", "kc", "claimed"})};
  Config.ClaimedKeys = {digestOfKey("claimed"), digestOfKey("unused")};
  const route_table Table(Config);
  CHECK(Table.keys().find(digestOfKey("shared")) == nullptr);
  // A key of an entry that was left out must not become valid for another.
  CHECK(Table.keys().find(digestOfKey("claimed")) == nullptr);
  CHECK(Table.keys().find(digestOfKey("unused")) == nullptr);
  CHECK(Table.keys().find(digestOfKey("ka"))->Name == "a");
  CHECK(Table.keys().find(digestOfKey("kb"))->Name == "b");
  CHECK(Table.keys().find(digestOfKey("kc"))->Name == "c");
  CHECK(Table.keys().conflicts().Keys == 2);
  CHECK(Table.keys().conflicts().Workspaces.size() == 3);
}

TEST_CASE("30,000 keys of 10,000 workspaces are found, and the list of those "
          "that share keys is bounded") {
  configuration Config;
  Config.Workspaces.emplace();
  constexpr int Workspaces = 10'000;
  const auto KeyName = [](int Workspace, int Key) {
    return "key-" + std::to_string(Workspace) + "-" + std::to_string(Key);
  };
  for (int Index = 0; Index < Workspaces; ++Index) {
    workspace Workspace;
    Workspace.Name = std::to_string(Index);
    for (int Key = 0; Key < 3; ++Key)
      Workspace.Keys.push_back(digestOfKey(KeyName(Index, Key)));
    if (Index < 100)
      Workspace.Keys.push_back(digestOfKey("shared"));
    Config.Workspaces->push_back(std::move(Workspace));
  }
  const route_table Table(Config);
  CHECK(Table.keys().size() == 30'000);
  int Wrong = 0;
  for (int Index = 0; Index < Workspaces; ++Index)
    for (int Key = 0; Key < 3; ++Key) {
      const workspace *Found =
          Table.keys().find(digestOfKey(KeyName(Index, Key)));
      Wrong += !Found || Found->Name != std::to_string(Index) ? 1 : 0;
    }
  CHECK(Wrong == 0);
  CHECK(Table.keys().conflicts().Keys == 1);
  CHECK(Table.keys().conflicts().Workspaces.size() == MaxNamedWorkspaces);
}

TEST_CASE("decideAccess grants by key, public route and absent workspaces") {
  configuration Config;
  const auto Decide = [&](bool Public, const sent_key &Key) {
    const route_table Table(Config);
    const access_decision Decision =
        decideAccess(Table.config(), Table.keys(), Public, Key);
    return std::pair(Decision.Verdict,
                     Decision.Workspace ? Decision.Workspace->Name : "");
  };
  const std::pair<access_verdict, std::string> Open{access_verdict::Granted,
                                                    ""};
  const std::pair<access_verdict, std::string> Missing{
      access_verdict::MissingKey, ""};
  const std::pair<access_verdict, std::string> Unknown{
      access_verdict::UnknownKey, ""};
  const std::pair<access_verdict, std::string> OfA{access_verdict::Granted,
                                                   "a"};
  const sent_key Malformed{true, std::nullopt};
  CHECK(Decide(false, {}) == Open);
  CHECK(Decide(false, makeKey("ka")) == Open);
  CHECK(Decide(false, Malformed) == Open);
  // An empty list is not the same as none.
  Config.Workspaces.emplace();
  CHECK(Decide(false, {}) == Missing);
  CHECK(Decide(false, makeKey("ka")) == Unknown);
  CHECK(Decide(true, {}) == Open);
  Config.Workspaces->push_back(makeWorkspace("a", {"ka"}));
  CHECK(Decide(false, makeKey("ka")) == OfA);
  CHECK(Decide(true, makeKey("ka")) == OfA);
  CHECK(Decide(false, makeKey("kb")) == Unknown);
  // A public route needs no key, but a key that is sent must be known.
  CHECK(Decide(true, makeKey("kb")) == Unknown);
  CHECK(Decide(true, Malformed) == Unknown);
  CHECK(Decide(true, {}) == Open);
}

TEST_CASE("wipeText overwrites the text of a key") {
  std::string Text(64, 'k');
  const char *Bytes = Text.data();
  wipeText(Text);
  CHECK(Text.empty());
  CHECK(std::count(Bytes, Bytes + 64, 'k') == 0);
}

TEST_CASE("a workspace's priority replaces that of the route") {
  route Route;
  Route.Priority = 2;
  CHECK(priorityOf(Route, nullptr) == 2);
  const workspace Without = makeWorkspace("a", {});
  CHECK(priorityOf(Route, &Without) == 2);
  const workspace Highest = makeWorkspace("a", {}, 0);
  CHECK(priorityOf(Route, &Highest) == 0);
  const workspace Lower = makeWorkspace("a", {}, 7);
  CHECK(priorityOf(Route, &Lower) == 7);
}
