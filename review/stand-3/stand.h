// Small stand-ins for scripts of the third review: an HTTP server and client on
// plain sockets, the platform's store, and processes of the project.
#pragma once

#include <algorithm>
#include <arpa/inet.h>
#include <atomic>
#include <cerrno>
#include <chrono>
#include <condition_variable>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fcntl.h>
#include <fstream>
#include <functional>
#include <map>
#include <mutex>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <nlohmann/json.hpp>
#include <optional>
#include <poll.h>
#include <set>
#include <sstream>
#include <string>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>
#include <vector>

namespace stand {

using nlohmann::json;
using clock_type = std::chrono::steady_clock;

inline const clock_type::time_point Begin = clock_type::now();

/// \returns milliseconds since the program began.
inline double nowMs() {
  return std::chrono::duration<double, std::milli>(clock_type::now() - Begin)
      .count();
}

inline void sleepMs(double Ms) {
  std::this_thread::sleep_for(std::chrono::duration<double, std::milli>(Ms));
}

/// Writes a line to the record, with its time.
class record {
public:
  explicit record(const std::string &Path) : Out(Path) {}

  void line(const std::string &Text) {
    const std::lock_guard Lock(Mutex);
    char Time[32];
    std::snprintf(Time, sizeof(Time), "%10.1f ms  ", nowMs());
    Out << Time << Text << std::endl;
  }

private:
  std::mutex Mutex;
  std::ofstream Out;
};

inline sockaddr_in endpoint(const std::string &Ip, int Port) {
  sockaddr_in Address{};
  Address.sin_family = AF_INET;
  Address.sin_port = htons(static_cast<std::uint16_t>(Port));
  ::inet_pton(AF_INET, Ip.c_str(), &Address.sin_addr);
  return Address;
}

/// \returns a listening socket, or -1. A port of 0 takes a free one.
inline int listenOn(const std::string &Ip, int &Port) {
  const int Socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int One = 1;
  ::setsockopt(Socket, SOL_SOCKET, SO_REUSEADDR, &One, sizeof(One));
  sockaddr_in Address = endpoint(Ip, Port);
  if (::bind(Socket, reinterpret_cast<sockaddr *>(&Address), sizeof(Address)) !=
          0 ||
      ::listen(Socket, 256) != 0) {
    ::close(Socket);
    return -1;
  }
  socklen_t Length = sizeof(Address);
  ::getsockname(Socket, reinterpret_cast<sockaddr *>(&Address), &Length);
  Port = ntohs(Address.sin_port);
  return Socket;
}

/// \returns the first of Count free ports in a row on an address, or 0.
inline int freePorts(const std::string &Ip, int Count) {
  for (int First = 21000; First < 31000; First += Count) {
    std::vector<int> Sockets;
    for (int Port = First; Port < First + Count; ++Port) {
      int Asked = Port;
      const int Socket = listenOn(Ip, Asked);
      if (Socket < 0)
        break;
      Sockets.push_back(Socket);
    }
    for (const int Socket : Sockets)
      ::close(Socket);
    if (static_cast<int>(Sockets.size()) == Count)
      return First;
  }
  return 0;
}

inline bool writeAll(int Socket, const std::string &Bytes) {
  std::size_t Done = 0;
  while (Done < Bytes.size()) {
    const ssize_t Length =
        ::send(Socket, Bytes.data() + Done, Bytes.size() - Done, MSG_NOSIGNAL);
    if (Length <= 0)
      return false;
    Done += static_cast<std::size_t>(Length);
  }
  return true;
}

/// A request or a response.
struct message {
  std::string First; ///< The first line.
  std::map<std::string, std::string> Fields;
  std::string Body;

  std::string field(const std::string &Name) const {
    const auto Found = Fields.find(Name);
    return Found == Fields.end() ? std::string() : Found->second;
  }
};

/// Reads one message with a length. Bytes behind it stay in Input.
inline std::optional<message> readMessage(int Socket, std::string &Input) {
  const auto More = [&] {
    char Buffer[16384];
    const ssize_t Length = ::recv(Socket, Buffer, sizeof(Buffer), 0);
    if (Length <= 0)
      return false;
    Input.append(Buffer, static_cast<std::size_t>(Length));
    return true;
  };
  std::size_t End;
  while ((End = Input.find("\r\n\r\n")) == std::string::npos)
    if (!More())
      return std::nullopt;
  message Message;
  std::istringstream Lines(Input.substr(0, End));
  std::string Line;
  std::getline(Lines, Line);
  Message.First = Line.substr(0, Line.find('\r'));
  while (std::getline(Lines, Line)) {
    const std::size_t Colon = Line.find(':');
    if (Colon == std::string::npos)
      continue;
    std::string Name = Line.substr(0, Colon);
    for (char &Char : Name)
      Char = static_cast<char>(std::tolower(static_cast<unsigned char>(Char)));
    std::size_t From = Colon + 1;
    while (From < Line.size() && Line[From] == ' ')
      ++From;
    std::string Value = Line.substr(From);
    while (!Value.empty() && Value.back() == '\r')
      Value.pop_back();
    Message.Fields[Name] = Value;
  }
  const std::size_t Length = static_cast<std::size_t>(
      std::atoll(Message.field("content-length").c_str()));
  while (Input.size() < End + 4 + Length)
    if (!More())
      return std::nullopt;
  Message.Body = Input.substr(End + 4, Length);
  Input.erase(0, End + 4 + Length);
  return Message;
}

/// Serves connections with one thread for each.
class server {
public:
  /// Answers a request; returns whether the connection stays open.
  using handler = std::function<bool(int Socket, const message &Request)>;

  server(const std::string &Ip, int GivenPort, handler GivenHandler)
      : Port(GivenPort), Handler(std::move(GivenHandler)) {
    Socket = listenOn(Ip, Port);
    if (Socket < 0) {
      std::perror("listen");
      std::exit(2);
    }
    std::thread([this] { run(); }).detach();
  }

  int port() const { return Port; }

  /// Refuses and ends all connections, as a process that has exited.
  void exit() {
    const std::lock_guard Lock(Mutex);
    Exited = true;
    ::shutdown(Socket, SHUT_RDWR);
    ::close(Socket);
    for (const int Peer : Peers)
      ::shutdown(Peer, SHUT_RDWR);
  }

private:
  void run() {
    for (;;) {
      const int Peer = ::accept4(Socket, nullptr, nullptr, SOCK_CLOEXEC);
      if (Peer < 0 && Exited)
        return;
      if (Peer < 0)
        continue;
      {
        const std::lock_guard Lock(Mutex);
        Peers.insert(Peer);
      }
      std::thread([this, Peer] {
        const int One = 1;
        ::setsockopt(Peer, IPPROTO_TCP, TCP_NODELAY, &One, sizeof(One));
        std::string Input;
        while (auto Request = readMessage(Peer, Input))
          if (!Handler(Peer, *Request))
            break;
        const std::lock_guard Lock(Mutex);
        Peers.erase(Peer);
        ::close(Peer);
      }).detach();
    }
  }

  int Port;
  int Socket = -1;
  std::atomic<bool> Exited = false;
  std::mutex Mutex;
  std::set<int> Peers;
  handler Handler;
};

inline std::string answer(int Status, const std::string &Body,
                          const std::string &Fields = "") {
  return "HTTP/1.1 " + std::to_string(Status) + " X\r\n" + Fields +
         "Content-Length: " + std::to_string(Body.size()) + "\r\n\r\n" + Body;
}

/// The platform's store, as PROTOCOL.md has it.
class store {
public:
  explicit store(const std::string &Ip)
      : Server(Ip, 0,
               [this](int Socket, const message &Request) {
                 return handle(Socket, Request, false);
               }),
        LateServer(Ip, 0, [this](int Socket, const message &Request) {
          return handle(Socket, Request, true);
        }) {}

  int port() const { return Server.port(); }
  /// The same store, for the machine whose list ends the wait of a write.
  int latePort() const { return LateServer.port(); }

  /// Executes a write of an object with a version once the kind has been listed
  /// at latePort(), or after 200 ms.
  void holdWrite(const std::string &Kind, std::int64_t Version) {
    const std::lock_guard Lock(Mutex);
    HeldKind = Kind;
    HeldVersion = Version;
  }

  /// \returns how many writes have been held.
  int held() {
    const std::lock_guard Lock(Mutex);
    return HeldWrites;
  }

  /// \returns the spec of an object, or null.
  json get(const std::string &Kind, const std::string &Name) {
    const std::lock_guard Lock(Mutex);
    const auto Found = Objects[Kind].find(Name);
    return Found == Objects[Kind].end() ? json() : specOf(Found->second);
  }

  /// Writes an object, as the operator or a server does.
  void put(const std::string &Kind, const std::string &Name, json Spec) {
    const std::lock_guard Lock(Mutex);
    write(Kind, Name, std::move(Spec), nullptr);
  }

  /// Removes an object.
  void remove(const std::string &Kind, const std::string &Name) {
    const std::lock_guard Lock(Mutex);
    erase(Kind, Name);
  }

  /// Ends the watches of a kind that wait, each with an orderly end of its
  /// channel.
  /// \returns how many there were.
  int cutWatches(const std::string &Kind) {
    const std::lock_guard Lock(Mutex);
    ++Cuts[Kind];
    Changed.notify_all();
    return Waiting[Kind];
  }

private:
  struct change {
    std::int64_t Revision;
    std::string Kind;
    json Event;
  };

  void write(const std::string &Kind, const std::string &Name, json Spec,
             json Status) {
    json &Object = Objects[Kind][Name];
    // A write that changes nothing does not increase the revision.
    if (!Object.is_null() && Object["spec"] == Spec &&
        Object["status"] == Status)
      return;
    const std::int64_t Created =
        Object.is_null() ? Revision + 1
                         : Object["metadata"]["created"].get<std::int64_t>();
    Object = {{"metadata",
               {{"name", Name},
                {"revision", ++Revision},
                {"created", Created},
                {"finalizers", json::array()},
                {"deletion-pending", false}}},
              {"spec", std::move(Spec)},
              {"status", std::move(Status)}};
    Log.push_back({Revision, Kind, {{"object", Object}, {"removed", false}}});
    Changed.notify_all();
  }

  void erase(const std::string &Kind, const std::string &Name) {
    const auto Found = Objects[Kind].find(Name);
    if (Found == Objects[Kind].end())
      return;
    json Object = Found->second;
    Objects[Kind].erase(Found);
    Object["metadata"]["revision"] = ++Revision;
    Log.push_back({Revision, Kind, {{"object", Object}, {"removed", true}}});
    Changed.notify_all();
  }

  /// \returns the spec of an object; one that was written as text is parsed.
  static json specOf(const json &Object) {
    const json &Spec = Object["spec"];
    return Spec.is_string()
               ? json::parse(Spec.get<std::string>(), nullptr, false)
               : Spec;
  }

  bool handle(int Socket, const message &Request, bool Late) {
    std::istringstream Words(Request.First);
    std::string Method;
    std::string Target;
    Words >> Method >> Target;
    std::map<std::string, std::string> Query;
    const std::size_t Mark = Target.find('?');
    if (Mark != std::string::npos) {
      std::istringstream Parts(Target.substr(Mark + 1));
      std::string Part;
      while (std::getline(Parts, Part, '&'))
        Query[Part.substr(0, Part.find('='))] = Part.substr(Part.find('=') + 1);
      Target.resize(Mark);
    }
    std::istringstream Path(Target);
    std::string Root;
    std::string Kind;
    std::string Name;
    std::string Part;
    std::getline(Path, Root, '/');
    std::getline(Path, Root, '/');
    std::getline(Path, Kind, '/');
    std::getline(Path, Name, '/');
    std::getline(Path, Part, '/');
    std::unique_lock Lock(Mutex);
    if (Method == "GET" && Name.empty() && Query.contains("watch"))
      return watch(Socket, Lock, Kind, std::atoll(Query["watch"].c_str()),
                   std::atoll(Query["wait-ms"].c_str()));
    json Answer;
    int Status = 200;
    if (Method == "GET" && Name.empty()) {
      Answer = {{"items", json::array()},
                {"truncated", false},
                {"store-revision", Revision}};
      for (const auto &[Id, Object] : Objects[Kind])
        Answer["items"].push_back(Object);
      if (Late && Kind == HeldKind) {
        ++HeldLists;
        Changed.notify_all();
      }
    } else {
      const json Body = json::parse(Request.Body, nullptr, false);
      if (Method == "PUT" && Kind == HeldKind && !Late && HeldLists == 0 &&
          specOf(Body)["version"] == HeldVersion) {
        ++HeldWrites;
        Changed.wait_for(Lock, std::chrono::milliseconds(200),
                         [&] { return HeldLists != 0; });
      }
      if (Method == "POST")
        Name = Body["metadata"]["name"].get<std::string>();
      const auto Found = Objects[Kind].find(Name);
      const bool Exists = Found != Objects[Kind].end();
      std::int64_t Wanted = 0;
      if (Body.is_object() && Body.contains("metadata") &&
          Body["metadata"].contains("revision") &&
          Body["metadata"]["revision"].is_number())
        Wanted = Body["metadata"]["revision"].get<std::int64_t>();
      if (Query.contains("revision"))
        Wanted = std::atoll(Query["revision"].c_str());
      if (Method == "POST" && Exists)
        Status = 409;
      else if (Method != "POST" && !Exists)
        Status = 404;
      else if (Method != "GET" && Method != "POST" && Wanted != 0 &&
               Found->second["metadata"]["revision"] != Wanted)
        Status = 409;
      else if (Method == "POST")
        write(Kind, Name, Body["spec"], nullptr);
      else if (Method == "PUT" && Part == "status")
        write(Kind, Name, Found->second["spec"], Body["status"]);
      else if (Method == "PUT")
        write(Kind, Name, Body["spec"], Found->second["status"]);
      else if (Method == "DELETE")
        erase(Kind, Name);
      if (Status != 404 && Objects[Kind].contains(Name))
        Answer = Objects[Kind][Name];
    }
    Lock.unlock();
    return writeAll(Socket, answer(Status, Answer.dump(),
                                   "Content-Type: application/json\r\n"));
  }

  bool watch(int Socket, std::unique_lock<std::mutex> &Lock,
             const std::string &Kind, std::int64_t From, std::int64_t WaitMs) {
    const auto Until = clock_type::now() + std::chrono::milliseconds(WaitMs);
    const int Cut = Cuts[Kind];
    ++Waiting[Kind];
    json Events = json::array();
    for (;;) {
      for (const change &Change : Log)
        if (Change.Revision > From && Change.Kind == Kind)
          Events.push_back(Change.Event);
      if (!Events.empty() || Cuts[Kind] != Cut ||
          Changed.wait_until(Lock, Until) == std::cv_status::timeout)
        break;
    }
    --Waiting[Kind];
    if (Events.empty() && Cuts[Kind] != Cut)
      return false; // The channel ends without an answer.
    const json Answer = {{"events", Events}, {"store-revision", Revision}};
    Lock.unlock();
    return writeAll(Socket, answer(200, Answer.dump(),
                                   "Content-Type: application/json\r\n"));
  }

  std::mutex Mutex;
  std::condition_variable Changed;
  std::int64_t Revision = 1;
  std::map<std::string, std::map<std::string, json>> Objects;
  std::vector<change> Log;
  std::map<std::string, int> Cuts;
  std::map<std::string, int> Waiting;
  std::string HeldKind;
  std::int64_t HeldVersion = 0;
  int HeldLists = 0;
  int HeldWrites = 0;
  server Server; ///< Last members: they serve the others.
  server LateServer;
};

/// A process of the project, ended with the object.
class process {
public:
  process(const std::string &Program, const std::string &Boot,
          const std::string &LogPath) {
    Id = ::fork();
    if (Id != 0)
      return;
    ::prctl(PR_SET_PDEATHSIG, SIGKILL); // Ends with the stand-in.
    const int Log =
        ::open(LogPath.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
    ::dup2(Log, 1);
    ::dup2(Log, 2);
    ::setenv("LENTILHOIST_BOOT", Boot.c_str(), 1);
    ::execl(Program.c_str(), Program.c_str(), static_cast<char *>(nullptr));
    ::_exit(127);
  }
  process(const process &) = delete;
  process &operator=(const process &) = delete;
  ~process() {
    ::kill(Id, SIGKILL);
    ::waitpid(Id, nullptr, 0);
  }

  bool running() const { return ::waitpid(Id, nullptr, WNOHANG) == 0; }

private:
  pid_t Id = -1;
};

/// Settings of a process as those of the conta-lidi deployment.
inline json settings(const std::string &Name, const std::string &Role,
                     const std::string &Ip, int FirstPort,
                     const std::string &Zone, int StorePort) {
  return {{"node-name", Name},
          {"role", Role},
          {"ip", Ip},
          {"zone", Zone},
          {"region", "sicilia"},
          {"port-range", {FirstPort, FirstPort + 15}},
          {"seeds", json::array()},
          {"first-start", true},
          {"fault-tolerance", {{"machines", 1}, {"zones", 0}, {"regions", 0}}},
          {"bounds",
           {{"contact-ms", 3000},
            {"catch-up-s", 5.9},
            {"drain-ms", 2000},
            {"grace-s", 8},
            {"config-apply-ms", 2000},
            {"recovery-s", 12}}},
          {"platform",
           {{"address", "127.0.0.1:" + std::to_string(StorePort)},
            {"form", "objects"},
            {"writes-per-s", 400},
            {"reads-per-s", 2000},
            {"history-s", 20},
            {"value-bytes", 1048576}}}};
}

} // namespace stand
