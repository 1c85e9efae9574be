#pragma once

// Stand-ins of the platform's store, of runners and of a client, and the
// processes under test, for the scripts of the second review.

#include <arpa/inet.h>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <functional>
#include <map>
#include <mutex>
#include <netinet/tcp.h>
#include <nlohmann/json.hpp>
#include <poll.h>
#include <string>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>
#include <vector>

namespace stage {

using json = nlohmann::json;
using steady = std::chrono::steady_clock;

inline steady::time_point Start = steady::now();

inline double elapsed() {
  return std::chrono::duration<double>(steady::now() - Start).count();
}

inline void sleepMs(int Ms) {
  std::this_thread::sleep_for(std::chrono::milliseconds(Ms));
}

/// Writes record.txt, one line an event.
class record {
public:
  explicit record(const std::string &Path) : File(Path) {}
  void line(const std::string &Text) {
    const std::lock_guard Lock(Mutex);
    char Time[32];
    std::snprintf(Time, sizeof Time, "%8.3f  ", elapsed());
    File << Time << Text << std::endl;
  }

private:
  std::mutex Mutex;
  std::ofstream File;
};

inline sockaddr_in endpoint(const std::string &Ip, int Port) {
  sockaddr_in Address{};
  Address.sin_family = AF_INET;
  Address.sin_port = htons(static_cast<std::uint16_t>(Port));
  inet_pton(AF_INET, Ip.c_str(), &Address.sin_addr);
  return Address;
}

/// \returns a listening socket, or -1.
inline int listenAt(const std::string &Ip, int Port) {
  const int Socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int One = 1;
  ::setsockopt(Socket, SOL_SOCKET, SO_REUSEADDR, &One, sizeof One);
  const sockaddr_in Address = endpoint(Ip, Port);
  if (::bind(Socket, reinterpret_cast<const sockaddr *>(&Address),
             sizeof Address) != 0 ||
      ::listen(Socket, 256) != 0) {
    ::close(Socket);
    return -1;
  }
  return Socket;
}

/// \param WindowBytes size of the receive buffer; 0: the usual one.
/// \returns a connected socket, or -1.
inline int connectTo(const std::string &Ip, int Port, int WindowBytes = 0) {
  const int Socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  if (WindowBytes != 0)
    ::setsockopt(Socket, SOL_SOCKET, SO_RCVBUF, &WindowBytes,
                 sizeof WindowBytes);
  const sockaddr_in Address = endpoint(Ip, Port);
  if (::connect(Socket, reinterpret_cast<const sockaddr *>(&Address),
                sizeof Address) != 0) {
    ::close(Socket);
    return -1;
  }
  const int One = 1;
  ::setsockopt(Socket, IPPROTO_TCP, TCP_NODELAY, &One, sizeof One);
  return Socket;
}

inline bool sendAll(int Socket, std::string_view Bytes) {
  while (!Bytes.empty()) {
    const ssize_t Length =
        ::send(Socket, Bytes.data(), Bytes.size(), MSG_NOSIGNAL);
    if (Length <= 0)
      return false;
    Bytes.remove_prefix(static_cast<std::size_t>(Length));
  }
  return true;
}

/// An HTTP message; of a request, Line is "METHOD TARGET HTTP/1.1".
struct message {
  std::string Line;
  std::map<std::string, std::string> Fields; ///< Names in lower case.
  std::string Body;
  bool Whole = false; ///< It has come to its end.

  std::string field(const std::string &Name) const {
    const auto Found = Fields.find(Name);
    return Found == Fields.end() ? std::string() : Found->second;
  }
  int status() const {
    return Line.size() > 12 ? std::atoi(Line.c_str() + 9) : 0;
  }
  std::string target() const {
    const std::size_t Begin = Line.find(' ') + 1;
    return Line.substr(Begin, Line.find(' ', Begin) - Begin);
  }
};

/// Reads messages from a connection.
class reader {
public:
  explicit reader(int GivenSocket) : Socket(GivenSocket) {}

  /// \param Until when to give up.
  /// \returns whether a head was read; Whole tells about the body.
  bool read(message &Message, steady::time_point Until) {
    Message = {};
    while (Buffer.find("\r\n\r\n") == std::string::npos)
      if (!more(Until))
        return false;
    const std::size_t End = Buffer.find("\r\n\r\n");
    parseHead(Message, Buffer.substr(0, End));
    Buffer.erase(0, End + 4);
    if (Message.field("transfer-encoding") == "chunked")
      Message.Whole = readChunks(Message.Body, Until);
    else
      Message.Whole = readLength(
          Message.Body,
          std::strtoul(Message.field("content-length").c_str(), nullptr, 10),
          Until);
    return true;
  }

private:
  static void parseHead(message &Message, const std::string &Head) {
    std::size_t Begin = Head.find("\r\n");
    Message.Line = Head.substr(0, Begin);
    while (Begin != std::string::npos) {
      Begin += 2;
      const std::size_t End = Head.find("\r\n", Begin);
      const std::string Text = Head.substr(Begin, End - Begin);
      const std::size_t Colon = Text.find(':');
      std::string Name = Text.substr(0, Colon);
      for (char &Char : Name)
        Char = static_cast<char>(std::tolower(Char));
      const std::size_t Value = Text.find_first_not_of(' ', Colon + 1);
      if (Colon != std::string::npos)
        Message.Fields[Name] =
            Value == std::string::npos ? std::string() : Text.substr(Value);
      Begin = End;
    }
  }

  bool more(steady::time_point Until) {
    const auto Left = std::chrono::duration_cast<std::chrono::milliseconds>(
                          Until - steady::now())
                          .count();
    pollfd Waiting{Socket, POLLIN, 0};
    if (Left <= 0 || ::poll(&Waiting, 1, static_cast<int>(Left)) <= 0)
      return false;
    char Bytes[65536];
    const ssize_t Length = ::recv(Socket, Bytes, sizeof Bytes, 0);
    if (Length <= 0)
      return false;
    Buffer.append(Bytes, static_cast<std::size_t>(Length));
    return true;
  }

  bool readLength(std::string &Body, std::size_t Length,
                  steady::time_point Until) {
    while (Buffer.size() < Length)
      if (!more(Until))
        return false;
    Body = Buffer.substr(0, Length);
    Buffer.erase(0, Length);
    return true;
  }

  bool readChunks(std::string &Body, steady::time_point Until) {
    for (;;) {
      while (Buffer.find("\r\n") == std::string::npos)
        if (!more(Until))
          return false;
      const std::size_t Length = std::strtoul(Buffer.c_str(), nullptr, 16);
      Buffer.erase(0, Buffer.find("\r\n") + 2);
      std::string Chunk;
      if (!readLength(Chunk, Length + 2, Until))
        return false;
      if (Length == 0)
        return true;
      Body.append(Chunk, 0, Length);
    }
  }

  int Socket;
  std::string Buffer;
};

/// Accepts connections and serves each in a thread of its own.
class server {
public:
  /// \param Serve called with each request; returns the bytes of the answer, or
  /// nothing to close the connection.
  using handler = std::function<std::string(const message &, int Socket)>;

  void start(const std::string &Ip, int Port, handler Serve) {
    const int Listener = listenAt(Ip, Port);
    if (Listener < 0) {
      std::fprintf(stderr, "cannot listen at %s:%d\n", Ip.c_str(), Port);
      std::_Exit(2);
    }
    std::thread([Listener, Serve] {
      for (;;) {
        const int Socket = ::accept4(Listener, nullptr, nullptr, SOCK_CLOEXEC);
        if (Socket < 0)
          continue;
        const int One = 1;
        ::setsockopt(Socket, IPPROTO_TCP, TCP_NODELAY, &One, sizeof One);
        std::thread([Socket, Serve] {
          reader Reader(Socket);
          message Request;
          while (
              Reader.read(Request, steady::now() + std::chrono::seconds(100)) &&
              Request.Whole) {
            const std::string Answer = Serve(Request, Socket);
            if (Answer.empty() || !sendAll(Socket, Answer))
              break;
          }
          ::close(Socket);
        }).detach();
      }
    }).detach();
  }
};

inline std::string response(int Status, const std::string &Fields,
                            const std::string &Body) {
  return "HTTP/1.1 " + std::to_string(Status) + " S\r\n" + Fields +
         "Content-Length: " + std::to_string(Body.size()) + "\r\n\r\n" + Body;
}

inline std::string chunk(const std::string &Bytes) {
  char Length[24];
  std::snprintf(Length, sizeof Length, "%zx\r\n", Bytes.size());
  return Length + Bytes + "\r\n";
}

/// The platform's store: objects, revisions, lists and watches.
class store {
public:
  void start(const std::string &Ip, int Port) {
    Server.start(Ip, Port, [this](const message &Request, int) {
      return serve(Request);
    });
  }

  /// Writes an object as the operator or a runner does.
  void put(const std::string &Kind, const std::string &Name, const json &Spec) {
    const std::lock_guard Lock(Mutex);
    write(Kind, Name, Spec, nullptr, true);
  }

private:
  struct object {
    json Spec, Status;
    std::int64_t Revision = 0;
  };
  struct event {
    std::int64_t Revision;
    std::string Kind;
    json Object;
  };

  static json describe(const std::string &Name, const object &Object) {
    return {{"metadata",
             {{"name", Name},
              {"revision", Object.Revision},
              {"created", 1},
              {"finalizers", json::array()},
              {"deletion-pending", false}}},
            {"spec", Object.Spec},
            {"status", Object.Status}};
  }

  json write(const std::string &Kind, const std::string &Name, const json &Spec,
             const json &ObjectStatus, bool IsSpec) {
    object &Object = Objects[Kind][Name];
    json &Changed = IsSpec ? Object.Spec : Object.Status;
    const json &Given = IsSpec ? Spec : ObjectStatus;
    if (Object.Revision == 0 || Changed != Given) {
      Changed = Given;
      Object.Revision = ++Revision;
      Events.push_back({Revision, Kind, describe(Name, Object)});
      Signal.notify_all();
    }
    return describe(Name, Object);
  }

  static std::string parameter(const std::string &Query,
                               const std::string &Name) {
    const std::size_t At = ("&" + Query).find("&" + Name + "=");
    if (At == std::string::npos)
      return "";
    const std::size_t Begin = At + Name.size() + 1;
    return Query.substr(Begin, Query.find('&', Begin) - Begin);
  }

  static std::string answer(int Code, const json &Body) {
    return response(Code, "Content-Type: application/json\r\n", Body.dump());
  }

  std::string serve(const message &Request) {
    const std::string Target = Request.target();
    const std::size_t Mark = Target.find('?');
    const std::string Query =
        Mark == std::string::npos ? "" : Target.substr(Mark + 1);
    std::vector<std::string> Parts; // "objects", kind, name, "status"
    const std::string Path = Target.substr(0, Mark);
    for (std::size_t Begin = 1; Begin <= Path.size();) {
      const std::size_t End = std::min(Path.find('/', Begin), Path.size());
      Parts.push_back(Path.substr(Begin, End - Begin));
      Begin = End + 1;
    }
    if (Parts.size() < 2)
      return answer(404, json::object());
    const std::string &Kind = Parts[1];
    std::unique_lock Lock(Mutex);
    if (Request.Line.starts_with("GET") && Parts.size() == 2 &&
        !parameter(Query, "watch").empty())
      return watch(Kind, Query, Lock);
    if (Request.Line.starts_with("GET") && Parts.size() == 2) {
      json Items = json::array();
      for (const auto &[Name, Object] : Objects[Kind])
        if (Name > parameter(Query, "after"))
          Items.push_back(describe(Name, Object));
      return answer(200, {{"items", Items},
                          {"truncated", false},
                          {"store-revision", Revision}});
    }
    if (Request.Line.starts_with("GET")) {
      const auto Found = Objects[Kind].find(Parts[2]);
      return Found == Objects[Kind].end()
                 ? answer(404, json::object())
                 : answer(200, describe(Found->first, Found->second));
    }
    const json Body = json::parse(Request.Body, nullptr, false);
    if (!Body.is_object())
      return answer(400, json::object());
    const json Metadata = Body.value("metadata", json::object());
    const bool Creates = Request.Line.starts_with("POST");
    const std::string Name = Creates ? Metadata.value("name", "") : Parts.at(2);
    const auto Found = Objects[Kind].find(Name);
    const bool Exists = Found != Objects[Kind].end();
    if (!Creates && !Exists)
      return answer(404, json::object());
    const bool Stale = Exists && Metadata.contains("revision") &&
                       Metadata["revision"] != Found->second.Revision;
    if ((Creates && Exists) || Stale)
      return answer(409, describe(Name, Found->second));
    const bool IsStatus = Parts.size() == 4;
    return answer(200, write(Kind, Name, Body.value("spec", json()),
                             Body.value("status", json()), !IsStatus));
  }

  std::string watch(const std::string &Kind, const std::string &Query,
                    std::unique_lock<std::mutex> &Lock) {
    const std::int64_t From = std::stoll(parameter(Query, "watch"));
    const std::string Wait = parameter(Query, "wait-ms");
    const auto Until = steady::now() + std::chrono::milliseconds(
                                           Wait.empty() ? 0 : std::stoll(Wait));
    json Found = json::array();
    const auto Collect = [&] {
      for (const event &Event : Events)
        if (Event.Kind == Kind && Event.Revision > From)
          Found.push_back({{"object", Event.Object}, {"removed", false}});
      return !Found.empty();
    };
    Signal.wait_until(Lock, Until, Collect);
    return answer(200, {{"events", Found}, {"store-revision", Revision}});
  }

  server Server;
  std::mutex Mutex;
  std::condition_variable Signal;
  std::int64_t Revision = 1;
  std::map<std::string, std::map<std::string, object>> Objects;
  std::vector<event> Events;
};

/// A machine's process under test.
struct process {
  std::string Program;
  std::string Settings;
  pid_t Pid = 0;

  void start() {
    Pid = ::fork();
    if (Pid != 0)
      return;
    ::prctl(PR_SET_PDEATHSIG, SIGKILL); // None outlives the script.
    ::setenv("LENTILHOIST_BOOT", Settings.c_str(), 1);
    const std::string Log = Settings + ".log";
    (void)!std::freopen(Log.c_str(), "a", stdout);
    (void)!std::freopen(Log.c_str(), "a", stderr);
    ::execl(Program.c_str(), Program.c_str(), nullptr);
    std::_Exit(127);
  }
  void signal(int Number) const { ::kill(Pid, Number); }
  /// \returns whether the process has ended within the time.
  bool wait(int Ms) {
    for (int Waited = 0; Waited <= Ms; Waited += 20) {
      if (Pid == 0 || ::waitpid(Pid, nullptr, WNOHANG) == Pid) {
        Pid = 0;
        return true;
      }
      sleepMs(20);
    }
    return false;
  }
  void end() {
    if (Pid == 0)
      return;
    signal(SIGKILL);
    wait(2000);
  }
};

/// Two entry instances, three replicas and the platform's store, in three
/// failure domains and each machine at a loopback address of its own.
struct deployment {
  std::string Folder;
  int Port = 0; ///< First of the ports, the same on all machines.
  int EntryMemoryMb = 260;
  store Store;
  std::vector<process> Replicas, Entries;

  static std::string replicaIp(std::size_t Index) {
    return "127.0.21." + std::to_string(Index + 1);
  }
  static std::string entryIp(std::size_t Index) {
    return "127.0.11." + std::to_string(Index + 1);
  }
  static constexpr const char *StoreIp = "127.0.41.1";
  int callerPort() const { return Port + 20; }

  json settings(const std::string &Name, const std::string &Ip,
                const std::string &Zone, bool Entry, bool First) const {
    const auto At = [&](int Offset) {
      return Ip + ":" + std::to_string(Port + Offset);
    };
    json Seeds = json::array();
    for (std::size_t Index = 0; Index < 3; ++Index)
      Seeds.push_back(replicaIp(Index) + ":" + std::to_string(Port + 22));
    return {
        {"node-name", Name},
        {"role", Entry ? "entry" : "history"},
        {"machine-class", Entry ? "edge" : "storage"},
        {"ip", Ip},
        {"zone", Zone},
        {"region", "sicilia"},
        {"zones",
         {{"palermo", "sicilia"},
          {"catania", "sicilia"},
          {"siracusa", "sicilia"}}},
        {"listen", Entry ? json{{"frontend", At(20)}, {"ready", At(21)}}
                         : json{{"control-plane", At(22)}}},
        {"port-range", {Port, Port + 15}},
        {"seeds", Seeds},
        {"first-start", First},
        {"fault-counted", !Entry},
        {"limits",
         {{"cpu-share", 0.25},
          {"cpu-cores", 1},
          {"memory-mb", Entry ? EntryMemoryMb : 280},
          {"max-fds", 4100},
          {"link-mbps", 1000.0},
          {"disk-mb", Entry ? 0 : 380}}},
        {"data-dir", Entry ? json() : json(Folder + "/" + Name)},
        {"fault-tolerance", {{"machines", 1}}},
        {"bounds", {{"contact-ms", 3000}, {"grace-s", 8}, {"drain-ms", 2000}}},
        {"platform",
         {{"address", std::string(StoreIp) + ":" + std::to_string(Port + 23)},
          {"form", "objects"},
          {"writes-per-s", 400},
          {"reads-per-s", 2000},
          {"history-s", 20},
          {"value-bytes", 1048576}}}};
  }

  /// Chooses ports that are free, starts the store and then all processes.
  void start(const std::string &GivenFolder, const json &Config,
             const std::map<std::string, json> &Runners) {
    Folder = GivenFolder;
    Store.start(StoreIp, Port + 23);
    Store.put("config", "main", Config);
    for (const auto &[Name, Spec] : Runners)
      Store.put("servers", Name, Spec);
    const char *Zones[] = {"palermo", "catania", "siracusa"};
    for (std::size_t Index = 0; Index < 3; ++Index)
      Replicas.push_back(
          add("target/bin/lentilhoist-history",
              settings("storage-" + std::to_string(Index), replicaIp(Index),
                       Zones[Index], false, true)));
    for (std::size_t Index = 0; Index < 2; ++Index)
      Entries.push_back(
          add("target/bin/lentilhoist-edge",
              settings("edge-" + std::to_string(Index), entryIp(Index),
                       Zones[Index], true, true)));
    for (auto *Group : {&Replicas, &Entries})
      for (process &Each : *Group)
        Each.start();
  }

  /// Finds a range of ports at which nothing listens.
  void choosePorts() {
    for (Port = 21000 + ::getpid() % 7000;; Port += 40) {
      bool Free = true;
      for (int Offset = 0; Free && Offset < 40; ++Offset) {
        const int Socket = listenAt("0.0.0.0", Port + Offset);
        Free = Socket >= 0;
        if (Free)
          ::close(Socket);
      }
      if (Free)
        return;
    }
  }

  process add(const std::string &Program, const json &Settings) const {
    const std::string Name = Settings["node-name"];
    ::mkdir((Folder + "/" + Name).c_str(), 0700);
    const std::string Path = Folder + "/" + Name + ".json";
    std::ofstream(Path) << Settings.dump(2);
    return {Program, Path};
  }

  /// From now on processes start with `first-start` set to false.
  void notFirstStart() const {
    for (const auto *Group : {&Replicas, &Entries})
      for (const process &Each : *Group) {
        json Settings = json::parse(std::ifstream(Each.Settings));
        Settings["first-start"] = false;
        std::ofstream(Each.Settings) << Settings.dump(2);
      }
  }

  /// Starts a new machine with a disk, at an address of its own.
  void addReplica(const std::string &Zone) {
    const std::size_t Index = Replicas.size();
    Replicas.push_back(add("target/bin/lentilhoist-history",
                           settings("storage-" + std::to_string(Index),
                                    replicaIp(Index), Zone, false, false)));
    Replicas.back().start();
  }

  bool ready(std::size_t Entry) const {
    const int Socket = connectTo(entryIp(Entry), Port + 21);
    if (Socket < 0)
      return false;
    sendAll(Socket, "GET /readyz HTTP/1.1\r\nHost: n\r\n\r\n");
    message Answer;
    const bool Read =
        reader(Socket).read(Answer, steady::now() + std::chrono::seconds(1));
    ::close(Socket);
    return Read && Answer.status() == 200;
  }

  bool awaitReady(std::size_t Entry, int Ms) const {
    for (int Waited = 0; Waited <= Ms; Waited += 100) {
      if (ready(Entry))
        return true;
      sleepMs(100);
    }
    return false;
  }

  /// Ends all processes that are still running.
  void end() {
    for (auto *Group : {&Entries, &Replicas})
      for (process &Each : *Group)
        Each.end();
  }
};

} // namespace stage
