#pragma once

#include "standin/fault_switch.h"

#include <condition_variable>
#include <deque>
#include <list>
#include <map>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace lentilhoist {

/// Settings of the stand-in of a model engine.
struct engine_standin_settings {
  http_server_settings Server;
  std::string Name = "engine";
  std::string Model = "model";
  int Slots = 16;                     ///< Streams that run at once.
  double PrefillMicroseconds = 200;   ///< Per prompt token not in the cache.
  double DecodeMicroseconds = 25'000; ///< Per generated token.
  std::uint64_t CacheTokens = 200'000;
  int LoadLagMilliseconds = 200;  ///< Age of the published load report.
  int EventLagMilliseconds = 500; ///< Age of the published cache events.
  double EventGap = 0.05;         ///< Share of cache events never published.
  bool ChecksFencing = true;      ///< Refuses orders with an old number.
  std::uint64_t Seed = 1;
};

/// Stand-in of a model engine: admits as requests arrive, caches prefixes by
/// session in limited memory, streams tokens, resumes and cancels streams and
/// keeps a record of what it ran. The answer names a digest of the prompt, so
/// that a mixed history shows.
class engine_standin {
public:
  /// \param Settings where and how to serve.
  explicit engine_standin(engine_standin_settings Settings);

  /// Serves until stop().
  void start() { Server.start(); }
  void stop();

  /// \returns the port that is served.
  int port() const { return Server.port(); }

private:
  using clock = std::chrono::steady_clock;

  /// A change of the cache, as published late and with gaps.
  struct cache_event {
    std::uint64_t Number = 0;
    std::string Session;
    bool Held = false;
    clock::time_point VisibleAt;
  };

  /// One generation; it goes on without a connection.
  struct stream {
    std::string Id;
    std::string Session;
    std::uint64_t PromptTokens = 0;
    std::uint64_t CachedTokens = 0;
    std::vector<std::string> Tokens;
    bool Admitted = false;
    bool Done = false;
    bool Cancelled = false;
    clock::time_point FirstTokenAt;
    clock::time_point Finished;
  };
  using stream_pointer = std::shared_ptr<stream>;
  struct cache_line {
    std::uint64_t Tokens = 0;
    std::list<std::string>::iterator Recent;
  };

  void installCallRoutes();
  void installCacheRoutes();
  void complete(const httplib::Request &Request, httplib::Response &Response);
  void resume(const httplib::Request &Request, httplib::Response &Response);
  void sendStream(const stream_pointer &Stream, std::size_t From,
                  const httplib::Request &Request, httplib::Response &Response);
  bool sendToken(stream &Stream, std::size_t Index, httplib::DataSink &Sink);
  std::uint64_t availableTokens(const stream &Stream,
                                clock::time_point Now) const;
  void schedule();
  void admit(stream &Stream);
  void publishEvent(const std::string &Session, bool Held);
  nlohmann::json visibleEvents(std::uint64_t Since) const;
  void touchCache(const std::string &Session, std::uint64_t Tokens);
  void dropCache(const std::string &Session);
  void order(const httplib::Request &Request, httplib::Response &Response);
  nlohmann::json currentLoad() const;
  nlohmann::json laggingLoad();

  engine_standin_settings Settings;
  http_server Server;
  fault_switch Faults;
  mutable std::mutex Mutex;
  std::condition_variable Changed;
  bool Stopping = false;
  bool Draining = false;
  std::uint64_t FencingNumber = 0;
  std::map<std::string, stream_pointer> Streams;
  std::deque<stream_pointer> Waiting;
  std::vector<stream_pointer> Active;
  std::map<std::string, cache_line> Cache;
  std::list<std::string> Recency; ///< Sessions, the most recent first.
  std::uint64_t CacheUsed = 0;
  std::deque<cache_event> Events;
  std::uint64_t NextEvent = 1;
  std::mt19937_64 Random{1};
  std::deque<std::pair<clock::time_point, nlohmann::json>> Reports;
  std::map<std::string, std::uint64_t> Counters;
  std::map<std::string, std::uint64_t> SpentBySession;
  std::thread Scheduler;
};

} // namespace lentilhoist
