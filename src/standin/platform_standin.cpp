#include "standin/platform_standin.h"

#include <algorithm>

namespace lentilhoist {

namespace {

constexpr std::size_t MaxValueBytes = 1U << 20U;
constexpr std::size_t MaxChanges = 100'000;
constexpr std::size_t MaxListed = 1'000;
constexpr int MaxWatchMilliseconds = 30'000;

std::string quoteVersion(std::uint64_t Version) {
  return '"' + std::to_string(Version) + '"';
}

int intParam(const httplib::Request &Request, const char *Name, int Default) {
  if (!Request.has_param(Name))
    return Default;
  return std::atoi(Request.get_param_value(Name).c_str());
}

bool startsWith(const std::string &Text, const std::string &Prefix) {
  return Text.compare(0, Prefix.size(), Prefix) == 0;
}

void answerJson(const nlohmann::json &Json, httplib::Response &Response) {
  Response.set_content(Json.dump(), "application/json");
}

} // namespace

platform_standin::platform_standin(platform_standin_settings Given)
    : Settings(std::move(Given)), Server(Settings.Server),
      Writes(Settings.WritesPerSecond), Reads(Settings.ReadsPerSecond) {
  Faults.install(Server, Settings.Seed);
  installObjectRoutes();
  installInstanceRoutes();
}

void platform_standin::stop() {
  {
    const std::lock_guard Lock(Mutex);
    Stopping = true;
  }
  Changed.notify_all();
  Server.stop();
}

platform_standin::handler platform_standin::limited(rate_gate &Gate,
                                                    handler Handle) {
  return [this, &Gate, Handle = std::move(Handle)](
             const httplib::Request &Request, httplib::Response &Response) {
    if (Gate.take(1)) {
      Handle(Request, Response);
      return;
    }
    const std::lock_guard Lock(Mutex);
    ++Counters["limited"];
    Response.status = 429;
  };
}

void platform_standin::installObjectRoutes() {
  httplib::Server &Routes = Server.routes();
  Routes.Put(R"(/objects/(.+))",
             limited(Writes, [this](const auto &Request, auto &Response) {
               put(Request, Response);
               Faults.maybeDropAnswer();
             }));
  Routes.Get(R"(/objects/(.+))",
             limited(Reads, [this](const auto &Request, auto &Response) {
               get(Request, Response);
             }));
  Routes.Delete(R"(/objects/(.+))",
                limited(Writes, [this](const auto &Request, auto &Response) {
                  remove(Request, Response);
                }));
  Routes.Get("/objects",
             limited(Reads, [this](const auto &Request, auto &Response) {
               list(Request, Response);
             }));
  Routes.Get("/watch",
             limited(Reads, [this](const auto &Request, auto &Response) {
               watch(Request, Response);
             }));
  Routes.Get("/admin/counters", [this](const auto &, auto &Response) {
    const std::lock_guard Lock(Mutex);
    answerJson(Counters, Response);
  });
}

void platform_standin::recordChange(const std::string &Key) {
  Changes.push_back({Revision, Key});
  if (Changes.size() > MaxChanges)
    Changes.pop_front();
  Changed.notify_all();
}

void platform_standin::put(const httplib::Request &Request,
                           httplib::Response &Response) {
  const std::string Key = Request.matches[1];
  const std::lock_guard Lock(Mutex);
  ++Counters["writes"];
  Counters["written_bytes"] += Request.body.size();
  if (Request.body.size() > MaxValueBytes) {
    Response.status = 413;
    return;
  }
  const auto Found = Objects.find(Key);
  const bool Absent = Found == Objects.end();
  const std::string IfMatch = Request.get_header_value("If-Match");
  const bool MustBeAbsent = Request.get_header_value("If-None-Match") == "*";
  const bool Mismatch =
      (MustBeAbsent && !Absent) ||
      (!IfMatch.empty() &&
       (Absent || quoteVersion(Found->second.Version) != IfMatch));
  if (Mismatch) {
    ++Counters["conflicts"];
    Response.status = 412;
    return;
  }
  Objects[Key] = {Request.body, ++Revision};
  recordChange(Key);
  Response.status = Absent ? 201 : 200;
  Response.set_header("ETag", quoteVersion(Revision));
}

void platform_standin::get(const httplib::Request &Request,
                           httplib::Response &Response) {
  const std::string Key = Request.matches[1];
  const std::lock_guard Lock(Mutex);
  ++Counters["reads"];
  const auto Found = Objects.find(Key);
  if (Found == Objects.end()) {
    Response.status = 404;
    return;
  }
  Response.set_header("ETag", quoteVersion(Found->second.Version));
  Response.set_content(Found->second.Value, "application/octet-stream");
}

void platform_standin::remove(const httplib::Request &Request,
                              httplib::Response &Response) {
  const std::string Key = Request.matches[1];
  const std::lock_guard Lock(Mutex);
  ++Counters["writes"];
  ++Counters["deletes"];
  if (Objects.erase(Key) == 0) {
    Response.status = 404;
    return;
  }
  ++Revision;
  recordChange(Key);
  Response.status = 204;
}

void platform_standin::list(const httplib::Request &Request,
                            httplib::Response &Response) {
  const std::string Prefix = Request.get_param_value("prefix");
  const std::string After = Request.get_param_value("after");
  const std::lock_guard Lock(Mutex);
  ++Counters["reads"];
  nlohmann::json Keys = nlohmann::json::array();
  auto Next =
      After.empty() ? Objects.lower_bound(Prefix) : Objects.upper_bound(After);
  bool More = false;
  for (; Next != Objects.end() && startsWith(Next->first, Prefix); ++Next) {
    if (Keys.size() == MaxListed) {
      More = true;
      break;
    }
    Keys.push_back({{"key", Next->first}, {"version", Next->second.Version}});
  }
  answerJson({{"keys", Keys}, {"more", More}, {"revision", Revision}},
             Response);
}

void platform_standin::watch(const httplib::Request &Request,
                             httplib::Response &Response) {
  const std::string Prefix = Request.get_param_value("prefix");
  const auto Since = static_cast<std::uint64_t>(
      std::atoll(Request.get_param_value("since").c_str()));
  const int Timeout =
      std::min(intParam(Request, "timeout_ms", 1'000), MaxWatchMilliseconds);
  std::unique_lock Lock(Mutex);
  ++Counters["reads"];
  ++Counters["watches"];
  nlohmann::json Found = nlohmann::json::array();
  const auto Collect = [&] {
    for (const change &Change : Changes) {
      if (Change.Revision <= Since || !startsWith(Change.Key, Prefix))
        continue;
      const auto Object = Objects.find(Change.Key);
      const bool Absent = Object == Objects.end();
      Found.push_back({{"key", Change.Key},
                       {"deleted", Absent},
                       {"version", Absent ? 0 : Object->second.Version},
                       {"value", Absent ? "" : Object->second.Value}});
    }
    return Stopping || !Found.empty();
  };
  if (!Changes.empty() && Since + 1 < Changes.front().Revision) {
    Response.status = 410;
    return;
  }
  Changed.wait_for(Lock, std::chrono::milliseconds(Timeout), Collect);
  answerJson({{"revision", Revision}, {"changes", Found}}, Response);
}

void platform_standin::applyInstanceChanges() {
  const auto Now = std::chrono::steady_clock::now();
  while (!InstanceChanges.empty() && InstanceChanges.front().VisibleAt <= Now) {
    const instance_change &Change = InstanceChanges.front();
    if (Change.Description.is_null())
      Instances.erase(Change.Id);
    else
      Instances[Change.Id] = Change.Description;
    InstanceChanges.pop_front();
  }
}

void platform_standin::installInstanceRoutes() {
  httplib::Server &Routes = Server.routes();
  Routes.Get("/instances", [this](const auto &, auto &Response) {
    const std::lock_guard Lock(Mutex);
    ++Counters["reads"];
    applyInstanceChanges();
    nlohmann::json All = nlohmann::json::array();
    for (const auto &[Id, Description] : Instances)
      All.push_back(Description);
    answerJson({{"instances", All}}, Response);
  });
  Routes.Put(R"(/admin/instances/([^/]+))", [this](const auto &Request,
                                                   auto &Response) {
    auto Json = nlohmann::json::parse(Request.body, nullptr, false);
    if (Json.is_discarded()) {
      Response.status = 400;
      return;
    }
    const std::string Id = Request.matches[1];
    Json["id"] = Id;
    const std::lock_guard Lock(Mutex);
    InstanceChanges.push_back(
        {std::chrono::steady_clock::now() +
             std::chrono::milliseconds(Settings.InstanceLagMilliseconds),
         Id, Json});
  });
  Routes.Delete(
      R"(/admin/instances/([^/]+))", [this](const auto &Request, auto &) {
        const std::string Id = Request.matches[1];
        const std::lock_guard Lock(Mutex);
        InstanceChanges.push_back(
            {std::chrono::steady_clock::now() +
                 std::chrono::milliseconds(Settings.InstanceLagMilliseconds),
             Id, nullptr});
      });
}

} // namespace lentilhoist
