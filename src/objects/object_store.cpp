#include "objects/object_store.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace lentilhoist {

namespace {

constexpr int StatusConflict = 412;
constexpr int StatusNotFound = 404;

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

[[noreturn]] void failStatus(const std::string &What, int Status) {
  throw platform_error(fmt::format("{}: status {}", What, Status));
}

} // namespace

object_store::object_store(endpoint Given, http_timeouts Timeouts)
    : Target(std::move(Given)), Clients(Timeouts) {}

httplib::Result object_store::get(const std::string &Path) {
  auto Client = Clients.acquire(Target);
  auto Answer = Client->Get(Path);
  if (!Answer)
    throw platform_error(
        fmt::format("GET {}: {}", Path, httplib::to_string(Answer.error())));
  Clients.release(Target, std::move(Client));
  return Answer;
}

update_status object_store::put(const std::string &Key,
                                const std::string &Value,
                                const httplib::Headers &Condition) {
  auto Client = Clients.acquire(Target);
  const auto Answer = Client->Put("/objects/" + Key, Condition, Value,
                                  "application/octet-stream");
  if (!Answer)
    throw platform_error(
        fmt::format("PUT {}: {}", Key, httplib::to_string(Answer.error())));
  Clients.release(Target, std::move(Client));
  if (Answer->status == StatusConflict)
    return update_status::Conflict;
  if (!isSuccess(Answer->status))
    failStatus("PUT " + Key, Answer->status);
  return update_status::Done;
}

update_status object_store::create(const std::string &Key,
                                   const std::string &Value) {
  return put(Key, Value, {{"If-None-Match", "*"}});
}

update_status object_store::update(const std::string &Key,
                                   const std::string &Value,
                                   const std::string &Version) {
  return put(Key, Value, {{"If-Match", Version}});
}

std::optional<stored_object> object_store::read(const std::string &Key) {
  const auto Answer = get("/objects/" + Key);
  if (Answer->status == StatusNotFound)
    return std::nullopt;
  if (!isSuccess(Answer->status))
    failStatus("GET " + Key, Answer->status);
  return stored_object{Answer->body, Answer->get_header_value("ETag")};
}

void object_store::remove(const std::string &Key) {
  auto Client = Clients.acquire(Target);
  const auto Answer = Client->Delete("/objects/" + Key);
  if (!Answer)
    throw platform_error("DELETE " + Key + " was not answered");
  Clients.release(Target, std::move(Client));
  if (!isSuccess(Answer->status) && Answer->status != StatusNotFound)
    failStatus("DELETE " + Key, Answer->status);
}

std::vector<std::string> object_store::listKeys(const std::string &Prefix,
                                                const std::string &After) {
  std::vector<std::string> Keys;
  std::string Last = After;
  for (bool More = true; More;) {
    const auto Answer =
        get(fmt::format("/objects?prefix={}&after={}", Prefix, Last));
    if (!isSuccess(Answer->status))
      failStatus("list " + Prefix, Answer->status);
    const auto Json = parseList(Answer->body, "keys");
    for (const auto &Item : Json["keys"])
      Keys.push_back(requireText(Item, "key"));
    More = Json.value("more", false) && !Keys.empty();
    if (More)
      Last = Keys.back();
  }
  return Keys;
}

std::vector<listed_instance> object_store::listInstances() {
  const auto Answer = get("/instances");
  if (!isSuccess(Answer->status))
    failStatus("list instances", Answer->status);
  std::vector<listed_instance> Instances;
  const auto Json = parseList(Answer->body, "instances");
  for (const auto &Item : Json["instances"]) {
    listed_instance Instance;
    Instance.Id = requireText(Item, "id");
    Instance.Domain = Item.value("domain", std::string());
    Instance.Region = Item.value("region", std::string());
    Instance.Address = requireText(Item, "address");
    Instance.LinkPort = Item.value("link_port", 0);
    Instance.Leaving = Item.value("state", std::string()) == "leaving";
    Instances.push_back(std::move(Instance));
  }
  return Instances;
}

} // namespace lentilhoist
