#include "objects/object_store.h"

#include "log/log.h"

#include <fmt/format.h>
#include <limits>
#include <nlohmann/json.hpp>

namespace lentilhoist {

namespace {

constexpr int StatusConflict = 412;
constexpr int StatusNotFound = 404;
/// Far above the size of any object or list: a response without end is given
/// up.
constexpr std::size_t MaxObjectBytes = std::size_t{16} * 1024 * 1024;

bool isSuccess(int Status) { return Status >= 200 && Status < 300; }

nlohmann::json parseAnswer(const std::string &Body) {
  auto Json = nlohmann::json::parse(Body, nullptr, false);
  if (Json.is_discarded())
    throw platform_error("the platform's answer is not JSON");
  return Json;
}

/// Reads a list of the answer.
/// \throws platform_error if the answer is not what the protocol says.
nlohmann::json parseList(const std::string &Body, const char *Field) {
  auto Json = parseAnswer(Body);
  if (!Json.is_object() || !Json.contains(Field) || !Json[Field].is_array())
    throw platform_error(
        fmt::format("the platform's answer has no list of {}", Field));
  return Json;
}

std::string requireText(const nlohmann::json &Item, const char *Field) {
  if (!Item.is_object() || !Item.contains(Field) || !Item[Field].is_string())
    throw platform_error(
        fmt::format("an item of the platform's answer has no {}", Field));
  return Item[Field].get<std::string>();
}

/// \returns what an item says; nothing if a field is missing or of another
/// type.
std::optional<listed_instance> readInstance(const nlohmann::json &Item) {
  try {
    listed_instance Instance;
    Instance.Id = Item.at("id").get<std::string>();
    Instance.Address = Item.at("address").get<std::string>();
    Instance.Domain = Item.value("domain", std::string());
    Instance.Region = Item.value("region", std::string());
    Instance.Leaving = Item.value("state", std::string()) == "leaving";
    const auto Port = Item.value("link_port", nlohmann::json(0U));
    if (!Port.is_number_unsigned() ||
        Port.get<std::uint64_t>() > std::numeric_limits<std::uint16_t>::max())
      return std::nullopt;
    Instance.LinkPort = Port.get<int>();
    return Instance;
  } catch (const nlohmann::json::exception &) {
    return std::nullopt;
  }
}

[[noreturn]] void failStatus(const std::string &What, int Status) {
  throw platform_error(fmt::format("{}: status {}", What, Status));
}

} // namespace

object_store::object_store(endpoint Given, http_timeouts Timeouts)
    : Target(std::move(Given)), Limits(limitsOf(Timeouts)),
      Connections(Target) {
  Limits.MaxBodyBytes = MaxObjectBytes;
}

call_result object_store::call(http_request_head Head,
                               const std::string &Body) {
  Head.Fields.push_back(
      {"Host", fmt::format("{}:{}", Target.Address, Target.Port)});
  auto Connection = Connections.acquire();
  call_result Answer = Connection->call(Head, Body, Limits);
  Connections.release(std::move(Connection));
  if (Answer.End != call_end::Complete)
    throw platform_error(fmt::format("{} {}: {}", Head.Method, Head.Target,
                                     callEndName(Answer.End)));
  return Answer;
}

call_result object_store::get(const std::string &Path) {
  return call({"GET", Path, {}});
}

update_status object_store::put(const std::string &Key,
                                const std::string &Value,
                                http_field Condition) {
  const call_result Answer = call(
      {"PUT",
       "/objects/" + Key,
       {{"Content-Type", "application/octet-stream"}, std::move(Condition)}},
      Value);
  if (Answer.Head.Status == StatusConflict)
    return update_status::Conflict;
  if (!isSuccess(Answer.Head.Status))
    failStatus("PUT " + Key, Answer.Head.Status);
  return update_status::Done;
}

update_status object_store::create(const std::string &Key,
                                   const std::string &Value) {
  return put(Key, Value, {"If-None-Match", "*"});
}

update_status object_store::update(const std::string &Key,
                                   const std::string &Value,
                                   const std::string &Version) {
  return put(Key, Value, {"If-Match", Version});
}

std::optional<stored_object> object_store::read(const std::string &Key) {
  call_result Answer = get("/objects/" + Key);
  if (Answer.Head.Status == StatusNotFound)
    return std::nullopt;
  if (!isSuccess(Answer.Head.Status))
    failStatus("GET " + Key, Answer.Head.Status);
  return stored_object{std::move(Answer.Body),
                       std::string(fieldValue(Answer.Head.Fields, "ETag"))};
}

void object_store::remove(const std::string &Key) {
  const int Status = call({"DELETE", "/objects/" + Key, {}}).Head.Status;
  if (!isSuccess(Status) && Status != StatusNotFound)
    failStatus("DELETE " + Key, Status);
}

std::vector<std::string> object_store::listKeys(const std::string &Prefix,
                                                const std::string &After) {
  std::vector<std::string> Keys;
  std::string Last = After;
  for (bool More = true; More;) {
    const call_result Answer =
        get(fmt::format("/objects?prefix={}&after={}", Prefix, Last));
    if (!isSuccess(Answer.Head.Status))
      failStatus("list " + Prefix, Answer.Head.Status);
    const auto Json = parseList(Answer.Body, "keys");
    for (const auto &Item : Json["keys"])
      Keys.push_back(requireText(Item, "key"));
    More = Json.value("more", false) && !Keys.empty();
    if (More)
      Last = Keys.back();
  }
  return Keys;
}

std::vector<listed_instance> object_store::listInstances() {
  const call_result Answer = get("/instances");
  if (!isSuccess(Answer.Head.Status))
    failStatus("list instances", Answer.Head.Status);
  std::vector<listed_instance> Instances;
  const auto Json = parseList(Answer.Body, "instances");
  std::size_t Unreadable = 0;
  for (const auto &Item : Json["instances"])
    if (auto Instance = readInstance(Item))
      Instances.push_back(std::move(*Instance));
    else
      ++Unreadable;
  if (Unreadable > 0)
    logEvent(log_level::Warning, "instance_entries_unreadable",
             {{"count", std::to_string(Unreadable)}});
  if (Unreadable > 0 && Instances.empty())
    throw platform_error("no item of the platform's list can be read");
  return Instances;
}

} // namespace lentilhoist
