#pragma once

#include "core/instant.h"
#include "net/address.h"
#include "net/http_reader.h"
#include "net/listener.h"
#include "net/tcp_stream.h"

#include <algorithm>
#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <charconv>
#include <condition_variable>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace lentilhoist {

/// How a watched_store fails.
enum class store_fault {
  None,
  Silent,  ///< Takes calls and never answers them, also not afterwards.
  Busy,    ///< Refuses each new call with 503; calls that wait stay silent.
  Reset,   ///< Resets each connection on which a call arrives.
  Swallow, ///< Never answers long polls; all other calls are answered.
};

/// A stand-in of the platform's store on loopback, in a thread of its own: one
/// changing object for each kind, lists, long polls and faults. A connection on
/// which a call was not answered stays silent for good.
class watched_store {
public:
  explicit watched_store(std::uint16_t Port = 0)
      : Listener(Loop, {asio::ip::address_v4::loopback(), Port}, "store",
                 [this](asio::ip::tcp::socket Socket) {
                   accept(std::move(Socket));
                 }) {
    Thread = std::thread([this] { Loop.run(); });
  }
  ~watched_store() {
    Loop.stop();
    Thread.join();
  }
  watched_store(const watched_store &) = delete;
  watched_store &operator=(const watched_store &) = delete;

  std::string address() const {
    return "127.0.0.1:" + std::to_string(Listener.port());
  }

  /// \param Now how the store fails from now on.
  void fail(store_fault Now) {
    post([this, Now] {
      Fault = Now;
      // What waits when a silence begins is not answered any more.
      if (Now != store_fault::None)
        for (const auto &Poll : Polls)
          Poll->Timer.cancel();
      if (Now != store_fault::None)
        Polls.clear();
    });
  }

  /// \param Kind the kind whose list has this object from now on.
  /// \param Name the object's name.
  /// \param Spec its spec, JSON text.
  void serve(const std::string &Kind, const std::string &Name,
             const std::string &Spec) {
    post([this, Kind, Name, Spec] {
      Listed[Kind] = R"({"metadata":{"name":")" + Name + R"(","revision":)" +
                     std::to_string(Revision) + R"(},"spec":)" + Spec +
                     R"(,"status":null})";
    });
  }

  /// Changes the object of a kind and answers the calls that wait for it.
  void change(const std::string &Kind) {
    post([this, Kind] { changeNow(Kind); });
  }

  /// \param Kind the kind whose object may be replaced by calls, on condition
  /// of its revision.
  void acceptWrites(const std::string &Kind) {
    post([this, Kind] { WritableKind = Kind; });
  }

  /// \param Given spec of the objects that change from now on, JSON text.
  /// \param Name their name.
  void setSpec(const std::string &Given, const std::string &Name = "other") {
    post([this, Given, Name] {
      Spec = Given;
      ChangedName = Name;
    });
  }

  /// \returns whether a call of the process's watch has shown that it knows the
  /// last change of a kind.
  bool knowsLastChange(const std::string &Kind) {
    const std::lock_guard Lock(Mutex);
    return Known[Kind] >= Changed[Kind];
  }

  /// \returns whether a long poll of a kind waits.
  bool isWatched(const std::string &Kind) {
    const std::lock_guard Lock(Mutex);
    return Watched[Kind];
  }

  /// \returns the number of calls so far, current reads and stale ones.
  std::pair<int, int> calls() {
    const std::lock_guard Lock(Mutex);
    return {CurrentReads, StaleReads};
  }

private:
  struct connection {
    std::shared_ptr<tcp_stream> Stream;
    http_reader Reader{http_message::Request};
    bool Silent = false;
  };
  struct poll {
    explicit poll(asio::io_context &Loop) : Timer(Loop) {}
    std::shared_ptr<connection> Caller;
    std::string Kind;
    std::int64_t From = 0;
    asio::steady_timer Timer;
  };

  /// Runs in the store's thread and returns when it is done.
  void post(const std::function<void()> &Work) {
    std::mutex DoneMutex;
    std::unique_lock Done(DoneMutex);
    std::condition_variable Signal;
    bool Ready = false;
    asio::post(Loop, [&] {
      Work();
      publish();
      const std::lock_guard Lock(DoneMutex);
      Ready = true;
      Signal.notify_one();
    });
    Signal.wait(Done, [&] { return Ready; });
  }

  void changeNow(const std::string &Kind) {
    Changes[Kind] = ++Revision;
    if (Kind == WritableKind)
      Listed[Kind] = changedObject(Kind);
    for (auto Poll = Polls.begin(); Poll != Polls.end();) {
      const auto Waiting = *Poll;
      if (Waiting->Kind != Kind) {
        ++Poll;
        continue;
      }
      Poll = Polls.erase(Poll);
      Waiting->Timer.cancel();
      respondEvents(*Waiting);
    }
  }

  /// Executes a call that replaces the changing object.
  void replaceObject(connection &Connection, const std::string &Body) {
    const auto Call = nlohmann::json::parse(Body);
    const bool Holds = Call.at("metadata").at("revision").get<std::int64_t>() ==
                       Changes[WritableKind];
    if (Holds) {
      Spec = Call.at("spec").dump();
      changeNow(WritableKind);
      publish();
    }
    respond(Connection, Holds ? 200 : 409, changedObject(WritableKind));
  }

  std::string changedObject(const std::string &Kind) {
    return R"({"metadata":{"name":")" + ChangedName + R"(","revision":)" +
           std::to_string(Changes[Kind]) + R"(},"spec":)" + Spec +
           R"(,"status":null})";
  }

  void publish() {
    const std::lock_guard Lock(Mutex);
    Changed = Changes;
    Watched.clear();
    for (const auto &Poll : Polls)
      if (!Poll->Caller->Stream->closed())
        Watched[Poll->Kind] = true;
  }

  void accept(asio::ip::tcp::socket Socket) {
    const auto Connection = std::make_shared<connection>();
    Connection->Stream =
        std::make_shared<tcp_stream>(std::move(Socket), socket_settings{});
    tcp_stream::handlers Handlers;
    Handlers.OnBytes = [this, Weak = std::weak_ptr<connection>(Connection)](
                           std::string_view Bytes) {
      if (const auto Self = Weak.lock())
        onBytes(Self, Bytes);
    };
    Connection->Stream->setHandlers(std::move(Handlers));
    Connection->Stream->start();
    Connections.push_back(Connection);
  }

  static std::string parameter(const std::string &Target,
                               const std::string &Name) {
    const std::size_t At = Target.find(Name + "=");
    if (At == std::string::npos)
      return "";
    const std::size_t Begin = At + Name.size() + 1;
    return Target.substr(Begin, Target.find('&', Begin) - Begin);
  }

  static std::int64_t number(const std::string &Text) {
    std::int64_t Value = 0;
    std::from_chars(Text.data(), Text.data() + Text.size(), Value);
    return Value;
  }

  void onBytes(const std::shared_ptr<connection> &Connection,
               std::string_view Bytes) {
    Connection->Reader.feed(Bytes);
    if (!Connection->Reader.complete())
      return;
    const std::string Target = Connection->Reader.request().Target;
    const bool Put = Connection->Reader.request().Method == "PUT";
    const std::string Body = Connection->Reader.takeBody();
    Connection->Reader.reset();
    // "/objects/KIND?..."
    const std::size_t Begin = Target.find('/', 1) + 1;
    const std::string Kind =
        Target.substr(Begin, Target.find_first_of("/?", Begin) - Begin);
    const std::int64_t From = number(parameter(Target, "watch"));
    const std::int64_t WaitMs = number(parameter(Target, "wait-ms"));
    const bool Stale = Target.find("serializable") != std::string::npos;
    const bool Long = From > 0 && WaitMs > 1'000;
    {
      const std::lock_guard Lock(Mutex);
      ++(Stale ? StaleReads : CurrentReads);
      if ((!Stale || Long) && From > 0)
        Known[Kind] = std::max(Known[Kind], From);
    }
    if (Fault == store_fault::Silent || (Fault == store_fault::Swallow && Long))
      Connection->Silent = true;
    if (Connection->Silent)
      return;
    if (Fault == store_fault::Reset) {
      Connection->Stream->abort();
      return;
    }
    if (Fault == store_fault::Busy) {
      respond(*Connection, 503, "{}");
      return;
    }
    if (Put && Kind == WritableKind) {
      replaceObject(*Connection, Body);
      return;
    }
    if (From == 0) {
      respond(*Connection, 200,
              R"({"items":[)" + Listed[Kind] +
                  R"(],"truncated":false,"store-revision":)" +
                  std::to_string(Revision) + "}");
      return;
    }
    const auto Poll = std::make_shared<poll>(Loop);
    Poll->Caller = Connection;
    Poll->Kind = Kind;
    Poll->From = From;
    if (Changes[Kind] > From) {
      respondEvents(*Poll);
      return;
    }
    Polls.push_back(Poll);
    Poll->Timer.expires_after(milliseconds(WaitMs));
    Poll->Timer.async_wait([this, Poll](const asio::error_code &Error) {
      if (Error)
        return;
      std::erase(Polls, Poll);
      respondEvents(*Poll);
      publish();
    });
    publish();
  }

  void respondEvents(const poll &Poll) {
    std::string Events;
    if (Changes[Poll.Kind] > Poll.From)
      Events = R"({"removed":false,"object":)" + changedObject(Poll.Kind) + "}";
    respond(*Poll.Caller, 200,
            R"({"events":[)" + Events + R"(],"store-revision":)" +
                std::to_string(Revision) + "}");
  }

  static void respond(connection &Connection, int Status,
                      const std::string &Body) {
    Connection.Stream->write(
        encodeResponseHead({Status, {{"Content-Type", "application/json"}}},
                           body_framing::Length, Body.size(), false) +
        Body);
  }

  asio::io_context Loop;
  listener Listener;
  std::list<std::shared_ptr<connection>> Connections;
  std::vector<std::shared_ptr<poll>> Polls;
  store_fault Fault = store_fault::None;
  std::int64_t Revision = 5;
  std::string Spec = "{}";
  std::string ChangedName = "other";
  std::string WritableKind;
  std::map<std::string, std::int64_t> Changes; ///< Last revision, by kind.
  std::map<std::string, std::string> Listed;   ///< The one object, by kind.

  std::mutex Mutex; ///< Guards what follows, which tests read.
  std::map<std::string, std::int64_t> Changed;
  std::map<std::string, std::int64_t> Known;
  std::map<std::string, bool> Watched;
  int CurrentReads = 0;
  int StaleReads = 0;

  std::thread Thread;
};

} // namespace lentilhoist
