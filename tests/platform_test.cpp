#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include "config/route_table.h"
#include "fuzz.h"
#include "platform/config_decoder.h"
#include "platform/machine_settings.h"
#include "platform/request_headers.h"
#include "platform/store_protocol.h"
#include "settings/settings_error.h"

#include <algorithm>
#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

using namespace lentilhoist;
using namespace lentilhoist::platform;
using std::chrono::milliseconds;

namespace {

const char *const SettingsText = R"({"node-name":"edge-1","zone":"riga-a",
  "ip":"10.1.0.38","listen":{"frontend":"10.1.0.38:8149",
  "ready":"10.1.0.38:8141"},"port-range":[7380,7395],"first-start":true,
  "limits":{"memory-mb":110,"disk-mb":0},"data-dir":null,"new-field":[1],
  "fault-tolerance":{"machines":2},"bounds":{"grace-s":8},
  "platform":{"address":"10.200.1.7:8142"}})";

store_item makeRegistryItem(const std::string &Spec) {
  store_item Item;
  Item.Name = "i-1";
  Item.Spec = Spec;
  return Item;
}

http_request_head makeHead(http_fields Fields) {
  return {"POST", "/a/b", std::move(Fields)};
}

} // namespace

TEST_CASE("parseMachineSettings reads known fields and ignores unknown ones") {
  const auto Settings = parseMachineSettings(SettingsText, "node.json");
  CHECK(Settings.Name == "edge-1");
  CHECK(Settings.Domain == "riga-a");
  CHECK(Settings.CallerAddress == "10.1.0.38:8149");
  CHECK(Settings.FirstPort == 7'380);
  CHECK(Settings.FirstStart);
  CHECK(Settings.DataFolder.empty());
  CHECK(Settings.DisksLost == 2);
  CHECK(Settings.MemoryBytes == 110UL * 1024 * 1024);
}

TEST_CASE("limits on clients are read, and deployments without them keep the "
          "defaults") {
  const instance_settings Defaults;
  const auto Old = parseMachineSettings(SettingsText, "node.json");
  CHECK(Old.MaxDescriptors == 0);
  CHECK(Old.ClientMemoryPercent == Defaults.ClientMemoryPercent);
  CHECK(Old.MaxClientConnections == 0);
  std::string Text = SettingsText;
  Text.replace(Text.find(R"("disk-mb":0)"), 11,
               R"("disk-mb":0,"max-fds":3075)");
  Text.pop_back();
  const auto With = [&](const std::string &Clients) {
    return parseMachineSettings(
        Text + ",\"lentilhoist-clients\":" + Clients + "}", "node.json");
  };
  const auto New = With(R"({"memory-percent":30,"max-connections":77,
                            "stall-ms":400,"memory-wait-ms":900})");
  CHECK(New.MaxDescriptors == 3'075);
  CHECK(New.ClientMemoryPercent == 30);
  CHECK(New.MaxClientConnections == 77);
  CHECK(New.ClientStallTime == milliseconds(400));
  CHECK(New.ClientMemoryWait == milliseconds(900));
  // Not this system's member.
  CHECK(With("[1]").ClientMemoryPercent == Defaults.ClientMemoryPercent);
  for (const char *Bad : {R"({"memory-percent":0})", R"({"memory-percent":51})",
                          R"({"stall-ms":0})", R"({"memory-wait-ms":"x"})"})
    CHECK_THROWS_AS(With(Bad), settings_error);
}

TEST_CASE("unusable machine settings throw an error that names the file") {
  for (const char *Text :
       {"", "{}", "[1]", R"({"node-name":1})",
        R"({"node-name":"a","zone":"b","ip":"c","port-range":[0,1]})"})
    CHECK_THROWS_WITH_AS(parseMachineSettings(Text, "node.json"),
                         doctest::Contains("node.json"), settings_error);
  CHECK_THROWS_AS(readMachineSettings("/does/not/exist"), settings_error);
}

TEST_CASE("decodeConfig reads routes, services and limits") {
  const auto Config = decodeConfig(R"({"version":7,"routes":[
    {"name":"r1","host":"h","path-prefix":"/p/","type":"streaming",
     "timeout-ms":4000,"goal-ms":250,"priority":1,"max-attempts":2,
     "split":[{"service":"a","weight":90},{"service":"b","weight":10}],
     "retained":true,"retention-s":60.0,"sticky":true},
    {"name":"r2","host":"h","path-prefix":"/q/","type":"new-kind",
     "service":"b"}],
    "services":[{"name":"a","max-conns":150,"inference-engine":
      {"slots":12,"kv-capacity-tokens":107036,"chunk-tokens":10}}],
    "limits":{"max-header-bytes":100,"idle-timeout-ms":15000}})");
  REQUIRE(Config);
  CHECK(Config->Version == 7);
  REQUIRE(Config->Routes.size() == 2);
  const route &Turns = Config->Routes[0];
  CHECK(Turns.Kind == route_kind::Streaming);
  CHECK(Turns.KeepsHistory);
  CHECK(Turns.Retention == milliseconds(60'000));
  CHECK(Turns.Targets.size() == 2);
  CHECK(Turns.MaxAttempts == 2);
  // A route of an unknown kind must not be retried.
  CHECK(Config->Routes[1].Kind == route_kind::NonIdempotent);
  CHECK(Config->Services[0].Engine->TokensPerEvent == 10);
  CHECK(Config->Limits.MaxHeadBytes == 100);
  CHECK_FALSE(decodeConfig("{"));
  CHECK_FALSE(decodeConfig(R"({"version":1})"));
}

namespace {

const char *const SoundConfig = R"({"version":7,"routes":[
    {"name":"r1","host":"h","path-prefix":"/p/","type":"streaming",
     "timeout-ms":4000,"goal-ms":250,"priority":1,"max-attempts":2,
     "split":[{"service":"a","weight":90},{"service":"b","weight":10}],
     "retained":true,"retention-s":60.0,"sticky":true},
    {"name":"r2","host":"h","path-prefix":"/q/","type":"idempotent",
     "service":"b"}],
    "services":[{"name":"a","max-conns":150,"inference-engine":
      {"slots":12,"kv-capacity-tokens":107036,"chunk-tokens":10}},
      {"name":"b"}],
    "limits":{"max-header-bytes":100,"max-body-bytes":200,
      "header-timeout-ms":300,"idle-timeout-ms":400}})";

/// \returns the sound configuration with another value at a JSON pointer.
std::string configWith(const char *Pointer, const nlohmann::json &Value) {
  auto Json = nlohmann::json::parse(SoundConfig);
  Json[nlohmann::json::json_pointer(Pointer)] = Value;
  return Json.dump();
}

/// Values of every type, and numbers that no integer type holds.
const std::vector<nlohmann::json> &valuesOfAllTypes() {
  static const std::vector<nlohmann::json> Values{
      nullptr,   true,   -1,     1.5,
      1e300,     -1e300, "text", nlohmann::json::array({1}),
      {{"a", 1}}};
  return Values;
}

} // namespace

// Guards against an optional field of a wrong type that hides the whole
// configuration: the instance then keeps an old one, or has none.
TEST_CASE("a wrong type in an optional field of the configuration leaves the "
          "rest in force") {
  for (const char *Pointer : {"/routes/0/name",
                              "/routes/0/type",
                              "/routes/0/timeout-ms",
                              "/routes/0/goal-ms",
                              "/routes/0/priority",
                              "/routes/0/max-attempts",
                              "/routes/0/retained",
                              "/routes/0/retention-s",
                              "/routes/0/sticky",
                              "/routes/0/split/0/weight",
                              "/services/0/max-conns",
                              "/services/0/inference-engine",
                              "/services/0/inference-engine/slots",
                              "/services/0/inference-engine/kv-capacity-tokens",
                              "/services/0/inference-engine/chunk-tokens",
                              "/limits",
                              "/limits/max-header-bytes",
                              "/limits/max-body-bytes",
                              "/limits/header-timeout-ms",
                              "/limits/idle-timeout-ms",
                              "/services/1/name",
                              "/services/1"})
    for (const nlohmann::json &Value : valuesOfAllTypes()) {
      CAPTURE(Pointer);
      CAPTURE(Value.dump());
      const auto Config = decodeConfig(configWith(Pointer, Value));
      REQUIRE(Config);
      REQUIRE(Config->Routes.size() == 2);
      CHECK(Config->Routes[0].PathPrefix == "/p/");
      CHECK(Config->Routes[0].Targets.size() == 2);
      CHECK(Config->Routes[1].Kind == route_kind::Idempotent);
      REQUIRE(!Config->Services.empty());
      CHECK(Config->Services[0].Name == "a");
    }
  const caller_limits Defaults;
  CHECK(decodeConfig(configWith("/limits/max-body-bytes", "big"))
            ->Limits.MaxBodyBytes == Defaults.MaxBodyBytes);
  CHECK(decodeConfig(configWith("/limits/max-body-bytes", "big"))
            ->Limits.MaxHeadBytes == 100);
  CHECK(decodeConfig(configWith("/routes/0/max-attempts", "two"))
            ->Routes[0]
            .MaxAttempts == 1);
}

// Guards against a list of routes that is taken for an empty one: every request
// would get 404, which callers take as final.
TEST_CASE("a configuration without a readable version, list of routes or list "
          "of services is rejected") {
  for (const char *Pointer : {"/version", "/routes", "/services"})
    for (const nlohmann::json &Value :
         std::vector<nlohmann::json>{nullptr, true, "text", {{"a", 1}}}) {
      CAPTURE(Pointer);
      CAPTURE(Value.dump());
      CHECK_FALSE(decodeConfig(configWith(Pointer, Value)));
    }
}

// Guards against the store's lists being unreadable because of a member that
// is new or that the JSON library can't represent.
TEST_CASE("additions to store lists leave the objects in force") {
  const std::string Item =
      R"({"metadata":{"name":"a","revision":3},"spec":{"x":1}})";
  for (const char *Extra :
       {R"("new":1e999)", R"("new":{"items":7,"events":7})",
        R"("new":{"items":[],"events":[]})", R"("new":[{"items":[1]}])"}) {
    CAPTURE(Extra);
    const auto Page =
        decodePage(std::string("{") + Extra + R"(,"items":[)" + Item +
                   R"(],"truncated":false,"store-revision":9})");
    REQUIRE(Page);
    CHECK(Page->Items.size() == 1);
    CHECK(Page->Revision == 9);
    const auto Events = decodeEvents(
        std::string("{") + Extra + R"(,"events":[{"removed":false,"object":)" +
        Item + R"(}],"store-revision":9})");
    REQUIRE(Events);
    CHECK(Events->Events.size() == 1);
  }
}

// Guards against a list that is taken as whole, and a removal that is taken as
// a change, because a flag has another type: runners would be lost or kept.
TEST_CASE("flags of another type in store responses are not taken as false") {
  const std::string Item =
      R"({"metadata":{"name":"a","revision":3},"spec":{"x":1}})";
  const auto Page = decodePage(R"({"items":[)" + Item +
                               R"(],"truncated":"true","store-revision":9})");
  REQUIRE(Page);
  CHECK(Page->Truncated);
  // The page after the last object is empty and ends the list.
  const auto Last =
      decodePage(R"({"items":[],"truncated":"true","store-revision":9})");
  REQUIRE(Last);
  CHECK_FALSE(Last->Truncated);
  const auto Events = decodeEvents(R"({"events":[{"removed":"true","object":)" +
                                   Item + R"(}],"store-revision":9})");
  REQUIRE(Events);
  CHECK(Events->Events.empty());
  CHECK(Events->Unreadable == 1);
}

// Guards against an entry of another writer that is taken for a runner: one
// with a required field of another type names none.
TEST_CASE("decodeRunner rejects an entry whose failure domain is unreadable") {
  for (const nlohmann::json &Value : valuesOfAllTypes()) {
    if (Value.is_string())
      continue;
    CAPTURE(Value.dump());
    decode_notes Notes;
    CHECK_FALSE(decodeRunner(
        makeRegistryItem(nlohmann::json({{"service", "s"},
                                         {"address", "10.0.0.9:80"},
                                         {"zone", Value},
                                         {"slots", 12},
                                         {"state", "ready"}})
                             .dump()),
        &Notes));
    CHECK(joinNames(Notes) == "zone");
  }
}

// Guards against a header that is dropped because it says more than expected.
// A token budget that is dropped is not enforced.
TEST_CASE("decodeCallerRequest reads the known part of longer headers") {
  const auto Traits =
      decodeCallerRequest(makeHead({{"X-Attempt-Id", "a1"},
                                    {"X-Deadline-Ms", "3999, soft"},
                                    {"X-Token-Usage", "1840, 290, 17"},
                                    {"X-Token-Budget", "2320;soft=1"},
                                    {"X-Length-Hint", "40 ,60"},
                                    {"X-Prompt-Prefix", "aa:800:k, bb:410;z,"
                                                        "cc:many, dd:3"}}));
  REQUIRE(Traits);
  CHECK(Traits->Deadline == milliseconds(3'999));
  CHECK(Traits->PromptTokens == 1'840);
  CHECK(Traits->MaxOutputTokens == 290);
  CHECK(Traits->TokenBudget == 2'320);
  CHECK(Traits->OutputHint == 40);
  // Segments count only as an unbroken prefix.
  REQUIRE(Traits->Prompt.size() == 2);
  CHECK(Traits->Prompt[0].Tokens == 800);
  CHECK(Traits->Prompt[1].Tokens == 410);
  CHECK(decodeCallerRequest(
            makeHead({{"X-Attempt-Id", "a"}, {"X-Token-Budget", "2320.9"}}))
            ->TokenBudget == 2'320);
  CHECK_FALSE(decodeCallerRequest(
                  makeHead({{"X-Attempt-Id", "a"}, {"X-Token-Budget", "-1"}}))
                  ->TokenBudget);
}

TEST_CASE("decodeRunnerResponse reads load and keep-alive time with spaces and "
          "parameters") {
  const auto Traits =
      decodeRunnerResponse({200,
                            {{"X-Server-Load", "3 , 1 , 8 "},
                             {"Keep-Alive", "max=9, timeout=7 ;x=1"}}});
  REQUIRE(Traits.Load);
  CHECK(Traits.Load->Slots == 8);
  CHECK(Traits.KeepAlive == std::chrono::seconds(7));
}

// Guards against an entry that hides the whole configuration, and against one
// whose omission sends its requests to a route with a shorter path, with other
// services and another access rule.
TEST_CASE("an entry of routes that can't be read keeps its path, or is left "
          "out if it is no route") {
  for (const nlohmann::json &Split : std::vector<nlohmann::json>{
           7, {7}, {{{"weight", 1}}}, {{{"service", 7}}}}) {
    CAPTURE(Split.dump());
    const auto Config = decodeConfig(configWith("/routes/0/split", Split));
    REQUIRE(Config);
    REQUIRE(Config->Routes.size() == 2);
    CHECK(Config->Routes[0].Unreadable);
    CHECK_FALSE(Config->Routes[1].Unreadable);
    CHECK_FALSE(Config->UnknownRoutes);
  }
  // The rest of a split takes the requests of a part that can't be read.
  const auto Part =
      decodeConfig(configWith("/routes/0/split/0/service", nullptr));
  REQUIRE(Part);
  CHECK_FALSE(Part->Routes[0].Unreadable);
  CHECK(Part->Routes[0].Targets.size() == 1);
  for (const nlohmann::json &Entry : std::vector<nlohmann::json>{
           7, nullptr, {7}, {{"name", "n"}, {"grpc", "x"}}}) {
    CAPTURE(Entry.dump());
    const auto Config = decodeConfig(configWith("/routes/0", Entry));
    REQUIRE(Config);
    REQUIRE(Config->Routes.size() == 1);
    CHECK(Config->Routes[0].Name == "r2");
    CHECK(Config->UnknownRoutes);
  }
  for (const char *Pointer : {"/routes/0/host", "/routes/0/path-prefix"})
    for (const nlohmann::json &Value :
         std::vector<nlohmann::json>{nullptr, 7, {7}}) {
      CAPTURE(Pointer);
      CHECK_FALSE(decodeConfig(configWith(Pointer, Value)));
    }
}

// Guards against content that is ignored without a trace, or with a trace that
// grows with the message.
TEST_CASE("decoders name what they could not read, and only so much") {
  const auto namesIn = [](const std::string &Spec) {
    decode_notes Notes;
    decodeConfig(Spec, &Notes);
    return joinNames(Notes);
  };
  CHECK(namesIn(SoundConfig).empty());
  CHECK(namesIn(configWith("/routes/0/priority", "high")) ==
        "routes[0].priority");
  CHECK(namesIn(configWith("/routes/0/type", "new")) == "routes[0].type");
  CHECK(namesIn(configWith("/routes/0/host", 7)) == "routes[0].host,routes[0]");
  CHECK(namesIn(configWith("/services/0/inference-engine/slots", -1)) ==
        "services[0].inference-engine.slots");
  CHECK(namesIn(configWith("/limits/idle-timeout-ms", true)) ==
        "limits.idle-timeout-ms");
  CHECK(namesIn(configWith("/routes", nullptr)) == "routes");
  decode_notes Many;
  decodeConfig(configWith("/services", nlohmann::json(std::vector(500, 7))),
               &Many);
  CHECK(Many.Count == 500);
  CHECK(Many.Names.size() == MaxUnreadNames);

  decode_notes Entry;
  decodeRunner(makeRegistryItem(R"({"service":1,"address":"10.0.0.9:80",
    "zone":"z","slots":0,"state":"ready"})"),
               &Entry);
  CHECK(joinNames(Entry) == "service,slots");

  decode_notes Caller;
  decodeCallerRequest(makeHead({{"X-Attempt-Id", "a"},
                                {"X-Deadline-Ms", "soon"},
                                {"X-Token-Usage", "7"},
                                {"X-Token-Budget", "much"}}),
                      &Caller);
  CHECK(joinNames(Caller) == "X-Deadline-Ms,X-Token-Budget,X-Token-Usage");

  decode_notes Runner;
  decodeRunnerResponse({200,
                        {{"X-Server-Load", "3,x,8"},
                         {"Server-Limit", "much"},
                         {"Keep-Alive", "timeout=long"}}},
                       &Runner);
  CHECK(joinNames(Runner) == "X-Server-Load,Server-Limit,Keep-Alive");
  decode_notes Sound;
  decodeRunnerResponse(
      {200, {{"X-Server-Load", "3,1,8,250,new"}, {"Keep-Alive", "max=3, new"}}},
      &Sound);
  decodeRunnerResponse({200, {}}, &Sound);
  CHECK(Sound.Count == 0);
}

TEST_CASE("decodeRunner rejects malformed entries of other writers") {
  const nlohmann::json ValidEntry = {
      {"service", "s"}, {"address", "10.0.0.9:80"}, {"zone", "z"},
      {"slots", 12},    {"state", "ready"},         {"born", 1'700}};
  const auto Runner = decodeRunner(makeRegistryItem(ValidEntry.dump()));
  REQUIRE(Runner);
  CHECK(Runner->Id == "i-1");
  CHECK(Runner->BornMs == 1'700);
  const auto with = [&](const char *Field, const nlohmann::json &Value) {
    nlohmann::json Changed = ValidEntry;
    Changed[Field] = Value;
    return decodeRunner(makeRegistryItem(Changed.dump()));
  };
  CHECK(with("state", "draining")->Draining);
  CHECK_FALSE(with("state", "resting"));
  CHECK_FALSE(with("state", 3));
  CHECK_FALSE(with("address", "nowhere"));
  CHECK_FALSE(with("address", nullptr));
  CHECK_FALSE(with("slots", "many"));
  CHECK_FALSE(with("slots", 0));
  CHECK_FALSE(with("born", 1.5));
  CHECK_FALSE(decodeRunner(makeRegistryItem("\xff\xfe")));
  CHECK_FALSE(decodeRunner(makeRegistryItem("[]")));
}

TEST_CASE("encodeRunnerRequest removes reserved and hop-by-hop headers of the "
          "caller") {
  const auto Head =
      encodeRunnerRequest(makeHead({{"Host", "h"},
                                    {"X-Attempt-Id", "1"},
                                    {"X-Kv-Hold", "stolen"},
                                    {"x-pin-ms", "4000"},
                                    {"X-KV-BACKUP", "10.0.0.1:1"},
                                    {"Kv-From", "10.0.0.1:1/2"},
                                    {"Kv-Fetch", "10.0.0.1:1"},
                                    {"X-Expect-Instance", "other"},
                                    {"X-Deadline-Ms", "9000"},
                                    {"Connection", "keep-alive, X-Hop"},
                                    {"X-Hop", "1"},
                                    {"X-Custom", "kept"}}),
                          {"i-1", milliseconds(1'234)});
  std::vector<std::string> Names;
  for (const http_field &Field : Head.Fields)
    Names.push_back(Field.Name);
  CHECK(Names == std::vector<std::string>{"Host", "X-Attempt-Id", "X-Custom",
                                          "X-Deadline-Ms",
                                          "X-Expect-Instance"});
  CHECK(fieldValue(Head.Fields, "X-Deadline-Ms") == "1234");
  CHECK(fieldValue(Head.Fields, "X-Expect-Instance") == "i-1");
}

TEST_CASE(
    "decodeCallerRequest parses headers and ignores malformed optional ones") {
  const auto Traits =
      decodeCallerRequest(makeHead({{"X-Attempt-Id", "a1"},
                                    {"X-Deadline-Ms", "3999.5"},
                                    {"X-Token-Usage", "1840,290"},
                                    {"X-Token-Budget", "2320"},
                                    {"X-Previous-Turn", "p1"},
                                    {"X-Prompt-Prefix", "aa:800, bb:410"}}));
  REQUIRE(Traits);
  CHECK(Traits->Deadline == milliseconds(3'999));
  CHECK(Traits->PromptTokens == 1'840);
  CHECK(Traits->MaxOutputTokens == 290);
  CHECK(Traits->TokenBudget == 2'320);
  CHECK(Traits->PreviousTurn == "p1");
  REQUIRE(Traits->Prompt.size() == 2);
  CHECK(Traits->Prompt[1].Id == "bb");
  CHECK(Traits->Prompt[1].Tokens == 410);
  CHECK_FALSE(decodeCallerRequest(makeHead({{"Host", "h"}})));
  const auto Malformed =
      decodeCallerRequest(makeHead({{"X-Attempt-Id", "a"},
                                    {"X-Deadline-Ms", "soon"},
                                    {"X-Prompt-Prefix", "aa:many"}}));
  CHECK_FALSE(Malformed->Deadline);
  CHECK(Malformed->Prompt.empty());
}

TEST_CASE(
    "decodeRunnerResponse reads execution status, load and keep-alive time") {
  http_response_head Head{200,
                          {{"X-Attempt-Id", "a"},
                           {"X-Server-Seal", "s"},
                           {"X-Server-Load", "3,1,8"},
                           {"Keep-Alive", "timeout=7"},
                           {"Content-Type", "text/event-stream"}}};
  const auto Answer = decodeRunnerResponse(Head);
  CHECK(Answer.Sealed);
  CHECK(Answer.Events);
  CHECK_FALSE(Answer.NotExecuted);
  CHECK(Answer.Load->Waiting == 1);
  CHECK(Answer.KeepAlive == std::chrono::seconds(7));
  Head.Status = 421;
  CHECK(decodeRunnerResponse(Head).NotExecuted);
  CHECK(decodeRunnerResponse({503, {{"X-Not-Executed", "1"}}}).NotExecuted);
  CHECK_FALSE(decodeRunnerResponse({503, {}}).NotExecuted);
}

// Guards against a report that is dropped because it says more than expected:
// every placement was then made without one.
TEST_CASE("decodeRunnerResponse reads load reports with further figures") {
  const auto reportOf = [](const char *Text) {
    return decodeRunnerResponse({200, {{"X-Server-Load", Text}}}).Load;
  };
  for (const char *Text : {"3,1,8", "3,1,8,250", "3, 1, 8, 250, 7, later"}) {
    CAPTURE(Text);
    const auto Report = reportOf(Text);
    REQUIRE(Report);
    CHECK(Report->Running == 3);
    CHECK(Report->Waiting == 1);
    CHECK(Report->Slots == 8);
  }
  CHECK_FALSE(reportOf("3,1,8")->Slowdown);
  CHECK(reportOf("3,1,8,250")->Slowdown == 2.5);
  for (const char *Text :
       {"3,1,8,", "3,1,8,0", "3,1,8,-1", "3,1,8,nan", "3,1,8,1e9", "3,1,8,x"}) {
    CAPTURE(Text);
    REQUIRE(reportOf(Text));
    CHECK_FALSE(reportOf(Text)->Slowdown);
  }
  for (const char *Text : {"", "3", "3,1", "3,,8", "a,1,8,100", "3,1,8x,100"}) {
    CAPTURE(Text);
    CHECK_FALSE(reportOf(Text));
  }
}

// Guards against a limit that is dropped, or read from a damaged header.
TEST_CASE("decodeRunnerResponse reads the rate limit and rejects malformed "
          "ones") {
  const auto limitOf = [](const char *Text) {
    return decodeRunnerResponse({200, {{"Server-Limit", Text}}}).RateLimit;
  };
  CHECK(limitOf("6.125") == 6.125);
  CHECK(limitOf("40") == 40.0);
  for (const char *Text :
       {"", "0", "-1", "nan", "inf", "1e300", "6 a second", "6,1"})
    CHECK_FALSE(limitOf(Text));
  CHECK_FALSE(decodeRunnerResponse({200, {}}).RateLimit);
  const auto Passed = encodeCallerResponse({200, {{"Server-Limit", "6"}}});
  CHECK_FALSE(findField(Passed.Fields, "Server-Limit"));
}

TEST_CASE(
    "decodeRunnerResponse reads that the runner leaves, which is for this "
    "instance alone") {
  const http_response_head Head{200, {{"server-leaving", "1"}}};
  CHECK(decodeRunnerResponse(Head).Leaving);
  CHECK(decodeRunnerResponse({503, Head.Fields}).Leaving);
  for (const char *Text : {"", "0", "yes", "1.5"})
    CHECK_FALSE(
        decodeRunnerResponse({200, {{"Server-Leaving", Text}}}).Leaving);
  CHECK_FALSE(decodeRunnerResponse({200, {}}).Leaving);
  CHECK_FALSE(findField(encodeCallerResponse(Head).Fields, "Server-Leaving"));
}

TEST_CASE(
    "encodeErrorResponse sets Retry-After in seconds if a time is given") {
  const auto Head = encodeErrorResponse(503, "a", milliseconds(250));
  CHECK(fieldValue(Head.Fields, "Retry-After") == "0.250");
  CHECK(fieldValue(Head.Fields, "X-Attempt-Id") == "a");
  CHECK_FALSE(findField(encodeErrorResponse(504, "", milliseconds(0)).Fields,
                        "Retry-After"));
}

TEST_CASE("store lists and changes are decoded, malformed ones rejected") {
  const auto Page = decodePage(
      R"({"items":[{"metadata":{"name":"a","revision":3},"spec":{"x":1}},
          {"spec":1},"odd"],"truncated":true,"store-revision":9})");
  REQUIRE(Page);
  CHECK(Page->Items.size() == 1);
  CHECK(Page->Truncated);
  CHECK(Page->Revision == 9);
  CHECK(Page->Items[0].Spec == R"({"x":1})");
  CHECK_FALSE(decodePage("{}"));
  CHECK_FALSE(decodePage("nothing"));
  const auto Events = decodeEvents(
      R"({"events":[{"removed":true,"object":{"metadata":{"name":"a"}}}],
          "store-revision":12})");
  REQUIRE(Events);
  CHECK(Events->Events[0].Removed);
  CHECK(Events->Revision == 12);
  CHECK_FALSE(decodeEvents(R"({"events":[]})"));
}

namespace {

const std::string SoundSpec =
    R"({"service":"s","address":"10.0.0.1:80","zone":"z","version":"v1",)"
    R"("slots":4,"state":"ready","cold-left-ms":0,"sequence":1,"born":7})";

std::string nestedLists(std::size_t Depth) {
  return std::string(Depth, '[') + std::string(Depth, ']');
}

/// Values that another writer may leave in a field, or in place of an entry.
std::vector<std::string> oddValues() {
  return {"null",
          "true",
          "-1",
          "0",
          "1.5",
          "1e999",
          "-1e999",
          "99999999999999999999",
          "9223372036854775808",
          "4294967297",
          "NaN",
          "\"\"",
          "\"\\udcff\"",
          "\"\xff\xfe\"",
          "\"\x01\"",
          "\"a\\u0000b\"",
          "\"10.0.0.1:70000\"",
          "\"10.0.0.1:-1\"",
          "\"10.0.0.1:0\"",
          "\"10.0.0.1\"",
          "{}",
          "[]",
          "{\"a\":{\"a\":[1,{}]}}",
          "[{\"metadata\":{\"name\":\"inner\",\"revision\":9}}]",
          nestedLists(65),
          nestedLists(100'000)};
}

/// Texts that are no JSON value.
std::vector<std::string> brokenTexts() {
  return {"",
          "xyz",
          "\xff\xfe",
          "{",
          "}",
          "[",
          "]",
          "{]",
          "\"",
          "{\"service\":\"s\"",
          "{\"service\":\"s",
          "{\"service\":\"s\"}}",
          "[1,2",
          "{\"a\":[{\"b\":",
          "{\"a\":\"",
          "\"}",
          "\":1}",
          "x\"",
          std::string(100'000, '['),
          std::string(1'000, '{')};
}

std::string itemText(const std::string &Name, const std::string &Spec) {
  return "{\"metadata\":{\"name\":\"" + Name +
         "\",\"revision\":5,\"finalizers\":[]},\"spec\":" + Spec +
         ",\"status\":null}";
}

std::string joinTexts(const std::vector<std::string> &Texts) {
  std::string Joined;
  for (const std::string &Text : Texts)
    Joined += (Joined.empty() ? "" : ", ") + Text;
  return Joined;
}

/// \returns the sound runners of a list and of a watch's changes, which must be
/// the same ones, by name. An odd entry is at the given place.
std::vector<std::string> soundRunners(const std::string &OddSpec,
                                      std::size_t Place) {
  std::vector<std::string> Items{itemText("a", SoundSpec),
                                 itemText("b", SoundSpec)};
  Items.insert(Items.begin() + static_cast<std::ptrdiff_t>(Place),
               itemText("odd", OddSpec));
  const auto Page = decodePage("{\"items\":[" + joinTexts(Items) +
                               "],\"truncated\":false,\"store-revision\":12}");
  std::vector<std::string> Changes;
  for (const std::string &Item : Items)
    Changes.push_back("{\"removed\":false,\"object\":" + Item + "}");
  const auto Events = decodeEvents("{\"store-revision\":12,\"events\":[" +
                                   joinTexts(Changes) + "]}");
  REQUIRE(Page);
  REQUIRE(Events);
  CHECK(Page->Revision == 12);
  CHECK(Events->Revision == 12);
  std::vector<std::string> Names;
  for (const store_item &Item : Page->Items)
    if (decodeRunner(Item))
      Names.push_back(Item.Name);
  std::vector<std::string> Changed;
  for (const store_event &Event : Events->Events)
    if (!Event.Removed && decodeRunner(Event.Item))
      Changed.push_back(Event.Item.Name);
  CHECK(Names == Changed);
  return Names;
}

} // namespace

// Guards against an entry of another writer that makes the lists and watches of
// all runners unreadable.
TEST_CASE("an entry of another writer, whatever its form, leaves the others in "
          "force") {
  const std::vector<std::string> Others{"a", "b"};
  std::vector<std::string> Specs = brokenTexts();
  for (const std::string &Value : oddValues())
    if (Value.size() < 1'000)
      Specs.push_back(Value);
  for (const std::string &Spec : Specs)
    for (std::size_t Place = 0; Place < 3; ++Place) {
      INFO("at " << Place << ": " << Spec.substr(0, 80));
      CHECK(soundRunners(Spec, Place) == Others);
    }
}

// Guards against two entries without an end that together look like one entry,
// which hides what is between them.
TEST_CASE("two entries without an end leave the one between them in force") {
  for (const std::string &First : brokenTexts())
    for (const std::string &Second : brokenTexts()) {
      const auto Page = decodePage(
          "{\"items\":[" +
          joinTexts({itemText("x", First), itemText("a", SoundSpec),
                     itemText("y", Second), itemText("b", SoundSpec)}) +
          "],\"truncated\":false,\"store-revision\":12}");
      INFO(First.substr(0, 40), " and ", Second.substr(0, 40));
      REQUIRE(Page);
      std::vector<std::string> Names;
      for (const store_item &Item : Page->Items)
        if (decodeRunner(Item))
          Names.push_back(Item.Name);
      CHECK(Names == std::vector<std::string>{"a", "b"});
    }
}

// Guards against a process that ends because a deeply nested value is copied or
// written recursively.
TEST_CASE("no value of a field of an entry ends the process or names a runner "
          "that its type doesn't allow") {
  const auto Sound = nlohmann::ordered_json::parse(SoundSpec);
  CHECK(decodeRunner(makeRegistryItem(SoundSpec)));
  for (const auto &[Field, Former] : Sound.items())
    for (const std::string &Value : oddValues()) {
      const std::string Member = "\"" + Field + "\":";
      std::string Spec = SoundSpec;
      const std::size_t Begin = Spec.find(Member) + Member.size();
      Spec.replace(Begin, Former.dump().size(), Value);
      INFO(Field << ": " << Value.substr(0, 80));
      const auto Runner = decodeRunner(makeRegistryItem(Spec));
      if (Field == "address" || Field == "state" || Field == "slots")
        CHECK_FALSE(Runner);
      if (Field == "born")
        CHECK(Runner.has_value() == (Value == "0" || Value == "4294967297"));
      // The odd entry may be a runner if only a field that isn't read is odd.
      auto Names = soundRunners(Spec, 1);
      std::erase(Names, "odd");
      CHECK(Names == std::vector<std::string>{"a", "b"});
    }
}

TEST_CASE("a list of which nothing can be read is not an empty one") {
  const std::string Odd = "{\"metadata\":7,\"spec\":{}}";
  CHECK_FALSE(decodePage("{\"items\":[" + Odd +
                         "],\"truncated\":true,\"store-revision\":3}"));
  CHECK_FALSE(decodePage("{\"items\":[" + itemText("a", SoundSpec)));
  CHECK_FALSE(decodePage("{\"items\":7,\"store-revision\":3}"));
  CHECK_FALSE(decodePage("{\"truncated\":false,\"store-revision\":3}"));
}

TEST_CASE("names of objects are encoded in calls to the store") {
  CHECK(listRequest("servers", "a&watch=1 b/\r\n%", false).Head.Target ==
        "/objects/servers?after=a%26watch%3D1%20b%2F%0D%0A%25");
  CHECK(readRequest("servers", "i-7f.~_").Head.Target ==
        "/objects/servers/i-7f.~_");
}

TEST_CASE("store and retirement statuses map to their outcome") {
  CHECK(decodeStoreStatus(201) == store_status::Done);
  CHECK(decodeStoreStatus(409) == store_status::Conflict);
  CHECK(decodeStoreStatus(410) == store_status::HistoryGone);
  CHECK(decodeStoreStatus(429) == store_status::Refused);
  CHECK(decodeStoreStatus(503) == store_status::Refused);
  CHECK(decodeStoreStatus(500) == store_status::Unknown);
  CHECK(isRetirementStarted(encodeRetirementStatus(false)));
  CHECK_FALSE(isRetirementCompleted(encodeRetirementStatus(false)));
  CHECK(isRetirementCompleted(encodeRetirementStatus(true)));
  CHECK_FALSE(isRetirementStarted("null"));
}

TEST_CASE(
    "damaged configurations, registry entries, store answers, headers and "
    "settings are rejected or read") {
  fuzz({R"({"version":7,"routes":[{"name":"r","host":"h","path-prefix":"/a/",
    "type":"streaming","timeout-ms":1500,"goal-ms":250,"priority":1,
    "max-attempts":2,"retained":true,"retention-s":20,"sticky":true,
    "split":[{"service":"s","weight":2.5}]}],"services":[{"name":"s",
    "max-conns":10,"inference-engine":{"slots":4,"kv-capacity-tokens":1000,
    "chunk-tokens":10}}],"limits":{"max-header-bytes":8192,
    "max-body-bytes":65536,"header-timeout-ms":2000,"idle-timeout-ms":9000}})"},
       [](const std::string &Bytes) { decodeConfig(Bytes); });
  fuzz({R"({"service":"s","address":"10.1.0.2:80","zone":"a","slots":4,
    "state":"ready","born":17,"cold-left-ms":0,"sequence":4})"},
       [](const std::string &Bytes) { decodeRunner(makeRegistryItem(Bytes)); });
  const std::string Object =
      R"({"metadata":{"name":"a","revision":7},"spec":{"x":1},"status":null})";
  fuzz({Object}, [](const std::string &Bytes) { decodeItem(Bytes); });
  fuzz({R"({"items":[)" + Object + R"(],"truncated":true,"store-revision":9})"},
       [](const std::string &Bytes) { decodePage(Bytes); });
  fuzz({R"({"events":[{"object":)" + Object +
        R"(,"removed":true}],"store-revision":9})"},
       [](const std::string &Bytes) { decodeEvents(Bytes); });
  fuzz({SettingsText}, [](const std::string &Bytes) {
    parseMachineSettings(Bytes, "node.json");
  });
  for (const char *Name :
       {"X-Deadline-Ms", "X-Token-Usage", "X-Prompt-Prefix", "X-Token-Budget",
        "X-Program-Deadline-Ms", "X-Server-Load", "Keep-Alive"})
    fuzz({"4000", "1840,290", "5c1e07a2:800,91bd3f06:410", "3,0,8",
          "timeout=5, max=100"},
         [&](const std::string &Bytes) {
           const http_fields Fields{{"X-Attempt-Id", "1"}, {Name, Bytes}};
           decodeCallerRequest({"GET", "/", Fields});
           decodeRunnerResponse({200, Fields});
         });
}

namespace {

std::string withTenants(const std::string &Tenants) {
  return R"({"version":1,"routes":[{"name":"r","host":"h","path-prefix":"/"}],
    "services":[],"tenants":)" +
         Tenants + "}";
}

} // namespace

TEST_CASE("decodeConfig reads workspaces and public routes") {
  const auto Config = decodeConfig(R"({"version":1,"routes":[
    {"name":"r1","host":"h","path-prefix":"/","public":true},
    {"name":"r2","host":"h","path-prefix":"/a/","public":false},
    {"name":"r3","host":"h","path-prefix":"/b/"},
    {"name":"r4","host":"h","path-prefix":"/c/","public":"true"}],
    "services":[],"tenants":[
    {"name":"a","api-keys":["k1","k2"],"priority":0,"rate-per-s":2.5,
     "burst":10,"later":{}},
    {"name":"b"}]})");
  REQUIRE(Config);
  CHECK(Config->Routes[0].Public);
  CHECK_FALSE(Config->Routes[1].Public);
  CHECK_FALSE(Config->Routes[2].Public);
  // What can't be read must not open a route.
  CHECK_FALSE(Config->Routes[3].Public);
  REQUIRE(Config->Workspaces);
  REQUIRE(Config->Workspaces->size() == 2);
  const workspace &First = Config->Workspaces->front();
  CHECK(First.Name == "a");
  CHECK(First.Priority == 0);
  CHECK(First.RatePerSecond == 2.5);
  CHECK(First.Burst == 10);
  CHECK(First.Keys ==
        std::vector<key_digest>{digestOfKey("k1"), digestOfKey("k2")});
  CHECK_FALSE(Config->Workspaces->back().Priority);
  CHECK(Config->Workspaces->back().RatePerSecond == 0);
  CHECK(Config->WorkspaceFaults.Entries + Config->WorkspaceFaults.Keys +
            Config->WorkspaceFaults.Fields + Config->WorkspaceFaults.Repeated ==
        0);
}

TEST_CASE("an absent list of workspaces, an empty one and an unreadable one "
          "differ") {
  CHECK_FALSE(
      decodeConfig(R"({"version":1,"routes":[],"services":[]})")->Workspaces);
  CHECK(decodeConfig(withTenants("[]"))->Workspaces->empty());
  // Taken as absent, it would open all routes.
  for (const char *Unreadable : {"null", "{}", R"("a")", "0", "true"})
    CHECK_FALSE(decodeConfig(withTenants(Unreadable)));
}

TEST_CASE("faulty entries of workspaces are omitted and counted, and their "
          "keys become valid for no other") {
  const auto Config = decodeConfig(withTenants(R"([
    {"name":"","api-keys":["stolen","k0"]},
    {"api-keys":["k0"]},
    {"name":7,"api-keys":"k0"},
    {"name":"a ","api-keys":["k0"]},
    {"name":"a\r\nX-Evil: 1","api-keys":["k0"]},
    7,
    {"name":"a","api-keys":["k1","",3,null,"k1"]},
    {"name":"b","api-keys":["stolen","k2"],"priority":-1,"rate-per-s":"5",
     "burst":-3},
    {"name":"c","api-keys":"k3"},
    {"name":"a","api-keys":["k4","k1"],"priority":3}])"));
  REQUIRE(Config);
  const route_table Table(*Config);
  const auto Owner = [&](const char *Key) {
    const workspace *Found = Table.keys().find(digestOfKey(Key));
    return Found ? Found->Name : std::string("none");
  };
  CHECK(Config->Workspaces->size() == 3);
  CHECK(Owner("stolen") == "none");
  CHECK(Owner("k0") == "none");
  CHECK(Owner("") == "none");
  CHECK(Owner("k1") == "a");
  CHECK(Owner("k2") == "b");
  CHECK(Owner("k3") == "c");
  // Entries of the same name are one workspace; the first sets its limits.
  CHECK(Owner("k4") == "a");
  CHECK_FALSE(Config->Workspaces->front().Priority);
  CHECK_FALSE(Config->Workspaces->at(1).Priority);
  CHECK(Config->Workspaces->at(1).RatePerSecond == 0);
  const workspace_faults &Faults = Config->WorkspaceFaults;
  CHECK(Faults.Entries == 6);
  CHECK(Faults.Keys == 3);
  CHECK(Faults.Fields == 3);
  CHECK(Faults.Repeated == 1);
  CHECK(Faults.Workspaces == std::vector<std::string>{"a", "b", "a"});
}

TEST_CASE("a configuration of 4 MB with 30,000 keys is decoded") {
  nlohmann::json Tenants = nlohmann::json::array();
  for (int Index = 0; Index < 10'000; ++Index) {
    nlohmann::json Keys = nlohmann::json::array();
    for (int Key = 0; Key < 3; ++Key)
      Keys.push_back(std::string(110, 'k') + std::to_string(Index) + "-" +
                     std::to_string(Key));
    Tenants.push_back({{"name", "workspace-" + std::to_string(Index)},
                       {"api-keys", Keys},
                       {"priority", Index % 3},
                       {"rate-per-s", 5},
                       {"burst", 10}});
  }
  const std::string Text = withTenants(Tenants.dump());
  CHECK(Text.size() > 4'000'000);
  const auto Config = decodeConfig(Text);
  REQUIRE(Config);
  const route_table Table(*Config);
  CHECK(Table.keys().size() == 30'000);
  const workspace *Last =
      Table.keys().find(digestOfKey(std::string(110, 'k') + "9999-2"));
  REQUIRE(Last);
  CHECK(Last->Name == "workspace-9999");
}

TEST_CASE("takeKey removes the key's header and rejects ambiguous ones") {
  http_request_head Head = makeHead(
      {{"Host", "h"}, {"authorization", "bEARER  secret"}, {"X-Tenant", "b"}});
  sent_key Key = takeKey(Head);
  CHECK(Key.Sent);
  CHECK(Key.Digest == digestOfKey("secret"));
  CHECK(Head.Fields.size() == 2);
  Head = makeHead({{"Host", "h"}});
  CHECK_FALSE(takeKey(Head).Sent);
  for (const char *Malformed :
       {"", "Bearer", "Bearer ", "secret", "Basic c2VjcmV0"}) {
    Head = makeHead({{"Authorization", Malformed}});
    Key = takeKey(Head);
    CHECK(Key.Sent);
    CHECK_FALSE(Key.Digest);
    CHECK(Head.Fields.empty());
  }
  Head = makeHead(
      {{"Authorization", "Bearer one"}, {"Authorization", "Bearer two"}});
  Key = takeKey(Head);
  CHECK(Key.Sent);
  CHECK_FALSE(Key.Digest);
  CHECK(Head.Fields.empty());
}

TEST_CASE("encodeRunnerRequest states the workspace, whatever the caller sent, "
          "and passes its headers on where there are no workspaces") {
  const auto Caller = makeHead({{"Authorization", "Bearer secret"},
                                {"x-tenant", "other"},
                                {"X-TENANT", "another"},
                                {"Connection", "X-Tenant"}});
  const auto Plain =
      makeHead({{"Authorization", "Bearer secret"}, {"x-tenant", "other"}});
  const auto Encode = [](const http_request_head &Head,
                         std::optional<std::string> Workspace) {
    return encodeRunnerRequest(Head,
                               {"i-1", milliseconds(1), std::move(Workspace)})
        .Fields;
  };
  const auto Count = [](const http_fields &Fields, std::string_view Name) {
    return std::count_if(Fields.begin(), Fields.end(),
                         [&](const http_field &Field) {
                           return sameFieldName(Field.Name, Name);
                         });
  };
  for (const auto &Head : {Caller, Plain}) {
    const http_fields Named = Encode(Head, "a");
    CHECK(Count(Named, "X-Tenant") == 1);
    CHECK(fieldValue(Named, "X-Tenant") == "a");
    CHECK(Count(Named, "Authorization") == 0);
    const http_fields Nameless = Encode(Head, "");
    CHECK(Count(Nameless, "X-Tenant") == 0);
    CHECK(Count(Nameless, "Authorization") == 0);
  }
  const http_fields Passed = Encode(Plain, std::nullopt);
  CHECK(fieldValue(Passed, "Authorization") == "Bearer secret");
  CHECK(fieldValue(Passed, "X-Tenant") == "other");
}

TEST_CASE("a configuration without keys admits the same callers") {
  const std::string Text = withTenants(R"([
    {"name":"a","api-keys":["secret-1","shared"],"priority":1,"later":[1.5]},
    {"name":"b","api-keys":["shared",3,""],"rate-per-s":2.5,"burst":7},
    {"name":"","api-keys":["secret-claimed"]},
    {"name":"c","api-keys":["secret-claimed","secret-3"]}])");
  const auto Stored = removeKeys(Text);
  REQUIRE(Stored);
  CHECK(Stored->find("secret") == std::string::npos);
  CHECK(Stored->find("shared") == std::string::npos);
  const auto Config = decodeConfig(*Stored);
  REQUIRE(Config);
  const route_table Table(*Config);
  const auto Owner = [&](const std::string &Key) {
    const workspace *Found = Table.keys().find(digestOfKey(Key));
    return Found ? Found->Name : std::string("none");
  };
  CHECK(Owner("secret-1") == "a");
  CHECK(Owner("secret-3") == "c");
  CHECK(Owner("shared") == "none");
  CHECK(Owner("secret-claimed") == "none");
  // What is stored is no key itself.
  CHECK(Owner(formatDigest(portableDigest("secret-1"))) == "none");
  CHECK(Config->Workspaces->front().Priority == 1);
  CHECK(Config->Workspaces->at(1).RatePerSecond == 2.5);
  // Replicas compare backups, so the text must be the same each time.
  CHECK(removeKeys(Text) == Stored);
  CHECK(removeKeys(*Stored) == Stored);
  const std::string Without = R"({"version":1, "routes":[],"services":[]})";
  CHECK(removeKeys(Without) == Without);
  for (const char *Unreadable : {"{", "[]", R"({"tenants":"secret"})"})
    CHECK_FALSE(removeKeys(Unreadable));
  // An entry that is none must not keep the others from being backed up.
  const auto Rest = decodeConfig(
      removeKeys(withTenants(R"(["secret",{"name":"a","api-keys":["k"]}])"))
          .value_or(""));
  REQUIRE(Rest);
  CHECK(Rest->Workspaces->size() == 1);
  CHECK(Rest->WorkspaceFaults.Entries == 1);
}

TEST_CASE("parseDigest reads what formatDigest writes, and nothing else") {
  const key_digest Digest = portableDigest("k");
  const std::string Text = formatDigest(Digest);
  CHECK(Text.size() == 64);
  CHECK(parseDigest(Text) == Digest);
  CHECK_FALSE(parseDigest(Text.substr(1)));
  CHECK_FALSE(parseDigest(Text + "0"));
  CHECK_FALSE(parseDigest(std::string(64, 'g')));
  CHECK_FALSE(parseDigest(""));
}
