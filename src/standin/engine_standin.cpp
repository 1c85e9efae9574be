#include "standin/engine_standin.h"

#include "core/hash.h"

#include <algorithm>
#include <fmt/format.h>

namespace lentilhoist {

namespace {

constexpr std::chrono::microseconds SchedulerStep{500};
constexpr std::chrono::seconds FinishedStreamLife{60};
constexpr std::uint64_t BytesPerToken = 4;

std::chrono::microseconds toMicroseconds(double Value) {
  return std::chrono::microseconds(static_cast<std::int64_t>(Value));
}

std::uint64_t countTokens(const nlohmann::json &Messages) {
  std::uint64_t Bytes = 0;
  for (const auto &Message : Messages)
    Bytes += Message.value("content", std::string()).size() + BytesPerToken;
  return Bytes / BytesPerToken + 1;
}

/// Tokens of the answer; the first names the digest of the prompt.
std::vector<std::string> makeAnswer(const nlohmann::json &Messages,
                                    std::uint64_t Count) {
  const std::uint64_t Digest = stableHash(Messages.dump());
  std::vector<std::string> Tokens;
  Tokens.push_back(fmt::format("[{:016x}]", Digest));
  for (std::uint64_t Index = 1; Index < Count; ++Index)
    Tokens.push_back(fmt::format(" w{}", (Digest + Index) % 997));
  return Tokens;
}

void answerError(int Status, const char *Text, httplib::Response &Response) {
  Response.status = Status;
  Response.set_content(nlohmann::json{{"error", Text}}.dump(),
                       "application/json");
}

} // namespace

engine_standin::engine_standin(engine_standin_settings Given)
    : Settings(std::move(Given)), Server(Settings.Server) {
  Faults.install(Server, Settings.Seed);
  installCallRoutes();
  installCacheRoutes();
  Scheduler = std::thread([this] {
    std::unique_lock Lock(Mutex);
    while (!Stopping) {
      schedule();
      Changed.wait_for(Lock, SchedulerStep);
    }
  });
}

void engine_standin::stop() {
  {
    const std::lock_guard Lock(Mutex);
    Stopping = true;
  }
  Changed.notify_all();
  Server.stop();
  if (Scheduler.joinable())
    Scheduler.join();
}

void engine_standin::installCallRoutes() {
  httplib::Server &Routes = Server.routes();
  Routes.Post("/v1/chat/completions",
              [this](const auto &Request, auto &Response) {
                complete(Request, Response);
              });
  Routes.Get("/v1/streams", [this](const auto &Request, auto &Response) {
    resume(Request, Response);
  });
  Routes.Delete("/v1/streams", [this](const auto &Request, auto &) {
    const std::lock_guard Lock(Mutex);
    const auto Found = Streams.find(Request.get_param_value("id"));
    if (Found != Streams.end())
      Found->second->Cancelled = true;
  });
  Routes.Get("/load", [this](const auto &, auto &Response) {
    Response.set_content(laggingLoad().dump(), "application/json");
  });
  Routes.Post("/admin/drain", [this](const auto &, auto &) {
    const std::lock_guard Lock(Mutex);
    Draining = true;
  });
  Routes.Get("/admin/record", [this](const auto &, auto &Response) {
    const std::lock_guard Lock(Mutex);
    nlohmann::json Record = {{"counters", Counters},
                             {"spent", SpentBySession},
                             {"cache_sessions", nlohmann::json::array()}};
    for (const auto &[Session, Line] : Cache)
      Record["cache_sessions"].push_back(Session);
    Response.set_content(Record.dump(), "application/json");
  });
}

void engine_standin::installCacheRoutes() {
  httplib::Server &Routes = Server.routes();
  Routes.Delete("/v1/cache", [this](const auto &Request, auto &) {
    const std::lock_guard Lock(Mutex);
    dropCache(Request.get_param_value("session"));
  });
  Routes.Get("/v1/cache", [this](const auto &, auto &Response) {
    const std::lock_guard Lock(Mutex);
    nlohmann::json Sessions = nlohmann::json::array();
    for (const auto &[Session, Line] : Cache)
      Sessions.push_back({{"session", Session}, {"tokens", Line.Tokens}});
    Response.set_content(Sessions.dump(), "application/json");
  });
  Routes.Get("/v1/cache/events", [this](const auto &Request, auto &Response) {
    const auto Since = static_cast<std::uint64_t>(
        std::atoll(Request.get_param_value("since").c_str()));
    const std::lock_guard Lock(Mutex);
    Response.set_content(visibleEvents(Since).dump(), "application/json");
  });
  Routes.Get("/v1/cache/export", [this](const auto &Request, auto &Response) {
    const std::string Session = Request.get_param_value("session");
    const std::lock_guard Lock(Mutex);
    const auto Found = Cache.find(Session);
    if (Found == Cache.end()) {
      answerError(404, "no such session", Response);
      return;
    }
    const nlohmann::json Exported = {{"session", Session},
                                     {"tokens", Found->second.Tokens}};
    Response.set_content(Exported.dump(), "application/json");
  });
  Routes.Post("/v1/cache/import", [this](const auto &Request, auto &Response) {
    const auto Json = nlohmann::json::parse(Request.body, nullptr, false);
    if (!Json.is_object() || !Json.contains("session")) {
      answerError(400, "malformed cache", Response);
      return;
    }
    const std::lock_guard Lock(Mutex);
    ++Counters["cache_imports"];
    touchCache(Json.value("session", std::string()),
               Json.value("tokens", std::uint64_t(0)));
  });
  Routes.Post("/v1/orders", [this](const auto &Request, auto &Response) {
    order(Request, Response);
  });
}

void engine_standin::order(const httplib::Request &Request,
                           httplib::Response &Response) {
  const auto Json = nlohmann::json::parse(Request.body, nullptr, false);
  if (Json.is_discarded()) {
    answerError(400, "malformed order", Response);
    return;
  }
  const auto Number = Json.value("fencing_number", std::uint64_t(0));
  const std::lock_guard Lock(Mutex);
  if (Settings.ChecksFencing && Number < FencingNumber) {
    answerError(409, "old fencing number", Response);
    return;
  }
  FencingNumber = std::max(FencingNumber, Number);
  Settings.Model = Json.value("model", Settings.Model);
  Response.set_content("{}", "application/json");
}

void engine_standin::complete(const httplib::Request &Request,
                              httplib::Response &Response) {
  const auto Json = nlohmann::json::parse(Request.body, nullptr, false);
  if (Json.is_discarded() || !Json.contains("messages")) {
    answerError(400, "malformed request", Response);
    return;
  }
  const auto &Messages = Json["messages"];
  auto Stream = std::make_shared<stream>();
  Stream->Id = Request.get_header_value("X-Attempt-Id");
  Stream->Session = Request.get_header_value("X-Session-Id");
  Stream->PromptTokens = countTokens(Messages);
  const auto Max = Json.value("max_tokens", std::uint64_t(16));
  Stream->Tokens = makeAnswer(Messages, std::max<std::uint64_t>(Max, 1));
  {
    const std::lock_guard Lock(Mutex);
    if (Draining) {
      Response.set_header("X-Not-Run", "true");
      answerError(503, "draining", Response);
      return;
    }
    ++Counters["requests"];
    if (!Stream->Id.empty())
      Streams[Stream->Id] = Stream;
    Waiting.push_back(Stream);
    schedule();
  }
  sendStream(Stream, 0, Request, Response);
}

void engine_standin::resume(const httplib::Request &Request,
                            httplib::Response &Response) {
  stream_pointer Stream;
  {
    const std::lock_guard Lock(Mutex);
    const auto Found = Streams.find(Request.get_param_value("id"));
    if (Found != Streams.end())
      Stream = Found->second;
    ++Counters["resumes"];
  }
  if (!Stream) {
    answerError(404, "no such stream", Response);
    return;
  }
  const auto From = static_cast<std::size_t>(
      std::atoll(Request.get_param_value("from").c_str()));
  sendStream(Stream, From, Request, Response);
}

void engine_standin::sendStream(const stream_pointer &Stream, std::size_t From,
                                const httplib::Request &Request,
                                httplib::Response &Response) {
  auto Next = std::make_shared<std::size_t>(From);
  // The provider outlives the request, of which it needs the connection.
  httplib::Request Origin;
  Origin.remote_port = Request.remote_port;
  Response.set_chunked_content_provider(
      "text/event-stream",
      [this, Stream, Next, Origin](std::size_t, httplib::DataSink &Sink) {
        Faults.waitWhileSilent(Origin);
        if (!sendToken(*Stream, *Next, Sink))
          return false;
        ++*Next;
        return true;
      });
}

std::uint64_t engine_standin::availableTokens(const stream &Stream,
                                              clock::time_point Now) const {
  if (!Stream.Admitted || Now < Stream.FirstTokenAt)
    return 0;
  const auto Elapsed =
      std::chrono::duration<double, std::micro>(Now - Stream.FirstTokenAt)
          .count();
  const double Count = 1 + Elapsed / std::max(Settings.DecodeMicroseconds, 1.0);
  return std::min<std::uint64_t>(static_cast<std::uint64_t>(Count),
                                 Stream.Tokens.size());
}

bool engine_standin::sendToken(stream &Stream, std::size_t Index,
                               httplib::DataSink &Sink) {
  std::unique_lock Lock(Mutex);
  while (!Stopping && !Stream.Cancelled && Index < Stream.Tokens.size() &&
         availableTokens(Stream, clock::now()) <= Index) {
    Changed.wait_for(Lock, SchedulerStep * 4);
  }
  if (Stopping || Stream.Cancelled)
    return false;
  std::string Event;
  if (Index < Stream.Tokens.size()) {
    const nlohmann::json Chunk = {
        {"choices",
         {{{"index", 0}, {"delta", {{"content", Stream.Tokens[Index]}}}}}}};
    Event = "data: " + Chunk.dump() + "\n\n";
  } else {
    const nlohmann::json Chunk = {
        {"choices", {{{"index", 0}, {"finish_reason", "stop"}}}},
        {"usage",
         {{"prompt_tokens", Stream.PromptTokens},
          {"completion_tokens", Stream.Tokens.size()},
          {"cached_tokens", Stream.CachedTokens}}}};
    Event = "data: " + Chunk.dump() + "\n\ndata: [DONE]\n\n";
  }
  Lock.unlock();
  if (!Sink.write(Event.data(), Event.size()))
    return false;
  if (Index >= Stream.Tokens.size())
    Sink.done();
  return true;
}

void engine_standin::schedule() {
  const auto Now = clock::now();
  const auto Finished = [&](const stream_pointer &Stream) {
    const bool Complete =
        availableTokens(*Stream, Now) == Stream->Tokens.size();
    if (!Complete && !Stream->Cancelled)
      return false;
    Stream->Done = true;
    Stream->Finished = Now;
    SpentBySession[Stream->Session] +=
        Stream->PromptTokens + availableTokens(*Stream, Now);
    touchCache(Stream->Session,
               Stream->PromptTokens + availableTokens(*Stream, Now));
    return true;
  };
  Active.erase(std::remove_if(Active.begin(), Active.end(), Finished),
               Active.end());
  while (!Waiting.empty() &&
         Active.size() < static_cast<std::size_t>(Settings.Slots)) {
    const stream_pointer Stream = Waiting.front();
    Waiting.pop_front();
    if (Stream->Cancelled)
      continue;
    admit(*Stream);
    Active.push_back(Stream);
  }
  for (auto Next = Streams.begin(); Next != Streams.end();) {
    const bool Old =
        Next->second->Done && Now - Next->second->Finished > FinishedStreamLife;
    Next = Old ? Streams.erase(Next) : std::next(Next);
  }
}

void engine_standin::admit(stream &Stream) {
  const auto Found = Cache.find(Stream.Session);
  if (Found != Cache.end())
    Stream.CachedTokens = std::min(Found->second.Tokens, Stream.PromptTokens);
  const std::uint64_t Uncached = Stream.PromptTokens - Stream.CachedTokens;
  Counters["prompt_tokens"] += Stream.PromptTokens;
  Counters["computed_prompt_tokens"] += Uncached;
  Stream.Admitted = true;
  Stream.FirstTokenAt =
      clock::now() + toMicroseconds(Settings.PrefillMicroseconds *
                                        static_cast<double>(Uncached) +
                                    Settings.DecodeMicroseconds);
}

void engine_standin::publishEvent(const std::string &Session, bool Held) {
  constexpr std::size_t MaxEvents = 10'000;
  const std::uint64_t Number = NextEvent++;
  if (std::uniform_real_distribution<>(0, 1)(Random) < Settings.EventGap)
    return;
  Events.push_back({Number, Session, Held,
                    clock::now() + std::chrono::milliseconds(
                                       Settings.EventLagMilliseconds)});
  if (Events.size() > MaxEvents)
    Events.pop_front();
}

nlohmann::json engine_standin::visibleEvents(std::uint64_t Since) const {
  const auto Now = clock::now();
  nlohmann::json Visible = nlohmann::json::array();
  for (const cache_event &Event : Events) {
    if (Event.Number > Since && Event.VisibleAt <= Now)
      Visible.push_back({{"number", Event.Number},
                         {"session", Event.Session},
                         {"held", Event.Held}});
  }
  return Visible;
}

void engine_standin::touchCache(const std::string &Session,
                                std::uint64_t Tokens) {
  dropCache(Session);
  Recency.push_front(Session);
  Cache[Session] = {Tokens, Recency.begin()};
  CacheUsed += Tokens;
  publishEvent(Session, true);
  while (CacheUsed > Settings.CacheTokens && !Recency.empty()) {
    const std::string Oldest = Recency.back();
    ++Counters["cache_evictions"];
    dropCache(Oldest);
  }
}

void engine_standin::dropCache(const std::string &Session) {
  const auto Found = Cache.find(Session);
  if (Found == Cache.end())
    return;
  CacheUsed -= Found->second.Tokens;
  Recency.erase(Found->second.Recent);
  Cache.erase(Found);
  publishEvent(Session, false);
}

nlohmann::json engine_standin::currentLoad() const {
  return {{"running", Active.size()},  {"waiting", Waiting.size()},
          {"slots", Settings.Slots},   {"model", Settings.Model},
          {"cache_tokens", CacheUsed}, {"draining", Draining}};
}

nlohmann::json engine_standin::laggingLoad() {
  const std::lock_guard Lock(Mutex);
  const auto Now = clock::now();
  const auto Lag = std::chrono::milliseconds(Settings.LoadLagMilliseconds);
  Reports.emplace_back(Now, currentLoad());
  while (Reports.size() > 1 && Reports[1].first <= Now - Lag)
    Reports.pop_front();
  return Reports.front().second;
}

} // namespace lentilhoist
