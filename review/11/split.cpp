// Case 11: an instance that joins the replica set takes the place of the one
// that has joined just before, under the same version.

#include "stand.h"

#include <filesystem>
#include <memory>

using namespace stand;

namespace {

constexpr const char *SetKind = "lentilhoist-replicas";

/// A model server: answers each turn with three events.
struct model_server {
  explicit model_server(const std::string &GivenId)
      : Id(GivenId),
        Server("127.0.0.1", 0, [this](int Socket, const message &Request) {
          return handle(Socket, Request);
        }) {}

  bool handle(int Socket, const message &Request) {
    const std::string Attempt = Request.field("x-attempt-id");
    if (Request.field("x-expect-instance") != Id)
      return writeAll(Socket, answer(421, "",
                                     "X-Attempt-Id: " + Attempt +
                                         "\r\nX-Not-Executed: 1\r\n"));
    {
      const std::lock_guard Lock(Mutex);
      Bodies[Attempt] = Request.Body;
    }
    std::string Body;
    for (int Event = 1; Event <= 3; ++Event)
      Body += "id: " + std::to_string(Event) + "\ndata: word" +
              std::to_string(Event) + " of " + Attempt + "\n\n";
    return writeAll(Socket,
                    answer(200, Body,
                           "X-Attempt-Id: " + Attempt +
                               "\r\nContent-Type: text/event-stream\r\n"
                               "X-Weight-Versions: 1\r\nX-Server-Seal: " +
                               Id + ".1\r\nX-Server-Load: 1,0,12\r\n"));
  }

  std::string Id;
  std::mutex Mutex;
  std::map<std::string, std::string> Bodies; ///< By attempt.
  server Server;
};

struct answered {
  int Status = 0; ///< 0: no answer.
  bool Whole = false;
  std::string Text;
};

/// Sends one turn on a new channel and reads its answer.
answered sendTurn(const std::string &Ip, int Port, const std::string &Attempt,
                  const std::string &Previous) {
  answered Result;
  const int Socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const timeval Limit{5, 0};
  ::setsockopt(Socket, SOL_SOCKET, SO_RCVTIMEO, &Limit, sizeof(Limit));
  const sockaddr_in Address = endpoint(Ip, Port);
  const std::string Body = "input of " + Attempt + "\n";
  std::string Head = "POST /chat/4b HTTP/1.1\r\nHost: ficu95.example\r\n"
                     "X-Attempt-Id: " +
                     Attempt + "\r\nX-Program-Id: p-" + Attempt +
                     "\r\nX-Session-Id: s-" + Attempt +
                     "\r\n"
                     "X-Program-Deadline-Ms: 60000\r\nX-Token-Budget: 20000\r\n"
                     "X-Token-Usage: 1840,290\r\nX-Deadline-Ms: 4000\r\n"
                     "X-Prompt-Prefix: 5c1e07a2:512\r\nConnection: close\r\n"
                     "Content-Length: " +
                     std::to_string(Body.size()) + "\r\n";
  if (!Previous.empty())
    Head += "X-Previous-Turn: " + Previous + "\r\n";
  std::string Input;
  if (::connect(Socket, reinterpret_cast<const sockaddr *>(&Address),
                sizeof(Address)) == 0 &&
      writeAll(Socket, Head + "\r\n" + Body)) {
    char Buffer[16384];
    ssize_t Length;
    while ((Length = ::recv(Socket, Buffer, sizeof(Buffer), 0)) > 0)
      Input.append(Buffer, static_cast<std::size_t>(Length));
  }
  ::close(Socket);
  const std::size_t End = Input.find("\r\n\r\n");
  if (End == std::string::npos)
    return Result;
  Result.Status = std::atoi(Input.c_str() + 9);
  Result.Text = Input.substr(End + 4);
  Result.Whole = Result.Status == 200 && Result.Text.ends_with("0\r\n\r\n");
  return Result;
}

/// \returns a metrics page of a process.
std::string page(const std::string &Ip, int Port, const std::string &Path) {
  const int Socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const sockaddr_in Address = endpoint(Ip, Port);
  std::string Input;
  std::optional<message> Answer;
  if (::connect(Socket, reinterpret_cast<const sockaddr *>(&Address),
                sizeof(Address)) == 0 &&
      writeAll(Socket, "GET " + Path + " HTTP/1.1\r\nHost: x\r\n\r\n"))
    Answer = readMessage(Socket, Input);
  ::close(Socket);
  return Answer ? Answer->Body : std::string();
}

/// A machine of the deployment and its process.
struct machine {
  std::string Name;
  std::string Ip;
  int First = 0;
  json Settings;
  std::unique_ptr<process> Process;
};

const std::string Zones[] = {"palermo", "catania", "siracusa", "palermo"};

/// One try: the deployment with its store.
struct deployment {
  deployment(const std::string &GivenBin, const std::string &GivenFolder,
             record &GivenRecord)
      : Bin(GivenBin), Folder(GivenFolder), Record(GivenRecord),
        Store("127.0.0.1"), Model("i-7f3a91c2") {
    std::filesystem::create_directories(Folder);
    Store.put("config", "main",
              {{"version", 7},
               {"routes",
                {{{"name", "chat"},
                  {"host", "ficu95.example"},
                  {"path-prefix", "/chat/"},
                  {"type", "streaming"},
                  {"timeout-ms", 4000},
                  {"goal-ms", 300},
                  {"priority", 0},
                  {"service", "assistente"},
                  {"max-attempts", 2},
                  {"retained", true},
                  {"retention-s", 60.0},
                  {"sticky", true},
                  {"gap-target-ms", 150}}}},
               {"services",
                {{{"name", "assistente"},
                  {"max-conns", 150},
                  {"inference-engine",
                   {{"slots", 12},
                    {"kv-capacity-tokens", 160402},
                    {"chunk-tokens", 10}}}}}},
               {"limits",
                {{"max-header-bytes", 16384},
                 {"max-body-bytes", 4194304},
                 {"header-timeout-ms", 5000},
                 {"idle-timeout-ms", 10000}}}});
    Store.put("servers", Model.Id,
              {{"service", "assistente"},
               {"address", "127.0.0.1:" + std::to_string(Model.Server.port())},
               {"zone", "palermo"},
               {"version", "v1"},
               {"slots", 12},
               {"state", "ready"},
               {"cold-left-ms", 0},
               {"sequence", 1},
               {"born", 1700000000000}});
    for (int Number = 0; Number < 4; ++Number) {
      machine &Machine = Storage[Number];
      Machine.Ip = "127.0.0." + std::to_string(41 + Number);
      Machine.First = freePorts(Machine.Ip, 20);
      Machine.Name =
          "storage-" + Zones[Number] + "-" + std::to_string(Number < 3 ? 1 : 2);
      Machine.Settings = settings(
          Machine.Name, "history", Machine.Ip, Machine.First, Zones[Number],
          Number == 3 ? Store.latePort() : Store.port());
      Machine.Settings["listen"] = {
          {"control-plane",
           Machine.Ip + ":" + std::to_string(Machine.First + 16)}};
      Machine.Settings["data-dir"] = Folder + "/data-" + Machine.Name;
      Machine.Settings["fault-counted"] = true;
      // The spare machine of its zone, which is added.
      Machine.Settings["first-start"] = Number < 3;
      Machine.Settings["limits"] = {{"cpu-share", 0.22},
                                    {"memory-mb", 280},
                                    {"max-fds", 8200},
                                    {"disk-mb", 380}};
      std::filesystem::create_directories(
          Machine.Settings["data-dir"].get<std::string>());
    }
    for (int Number = 0; Number < 2; ++Number) {
      machine &Machine = Edges[Number];
      Machine.Ip = "127.0.0." + std::to_string(38 + Number);
      Machine.First = freePorts(Machine.Ip, 20);
      Machine.Name = "edge-palermo-" + std::to_string(Number + 1);
      Machine.Settings = settings(Machine.Name, "entry", Machine.Ip,
                                  Machine.First, "palermo", Store.port());
      Machine.Settings["listen"] = {
          {"frontend", Machine.Ip + ":" + std::to_string(Machine.First + 16)},
          {"ready", Machine.Ip + ":" + std::to_string(Machine.First + 17)}};
      Machine.Settings["data-dir"] = nullptr;
      Machine.Settings["limits"] = {{"cpu-share", 0.25},
                                    {"memory-mb", 260},
                                    {"max-fds", 4100},
                                    {"disk-mb", 0}};
    }
  }

  void start(machine &Machine) {
    const std::string Boot = Folder + "/" + Machine.Name + ".json";
    std::ofstream(Boot) << Machine.Settings.dump(1);
    Machine.Process = std::make_unique<process>(
        Bin + "/lentilhoist-" +
            (Machine.Settings["role"] == "entry" ? "edge" : "history"),
        Boot, Folder + "/" + Machine.Name + ".log");
    Machine.Settings["first-start"] = false;
  }

  void kill(machine &Machine) { Machine.Process.reset(); }

  void end() {
    for (machine &Machine : Storage)
      kill(Machine);
    for (machine &Machine : Edges)
      kill(Machine);
  }

  /// \returns the set in the store, as its version and members.
  std::string set() {
    const json Spec = Store.get(SetKind, "main");
    if (!Spec.is_object())
      return "none";
    std::string Text = "version " + Spec["version"].dump() + ":";
    for (const json &Slot : Spec["slots"])
      Text += " " + Slot["node"].get<std::string>();
    return Text;
  }

  bool waitForVersion(int Version, double LimitMs) {
    for (const double End = nowMs() + LimitMs; nowMs() < End; sleepMs(1)) {
      const json Spec = Store.get(SetKind, "main");
      if (Spec.is_object() && Spec["version"].get<int>() >= Version)
        return true;
    }
    return false;
  }

  std::string replicasOf(const machine &Edge) {
    const json Status =
        json::parse(page(Edge.Ip, Edge.First, "/status"), nullptr, false);
    if (!Status.is_object())
      return "unknown";
    std::string Text = "version " + Status["replica_set_version"].dump() + ":";
    for (const json &Slot : Status["replicas"])
      Text += " " + Slot["node"].get<std::string>();
    return Text;
  }

  std::string Bin;
  std::string Folder;
  record &Record;
  store Store;
  model_server Model;
  machine Storage[4];
  machine Edges[2];
};

std::string describe(const answered &Answer) {
  return std::to_string(Answer.Status) + (Answer.Whole ? " whole" : "") +
         (Answer.Status != 0 && Answer.Status != 200
              ? " " + Answer.Text.substr(0, Answer.Text.find('\n'))
              : "");
}

} // namespace

int main(int ArgCount, char **Args) {
  if (ArgCount != 5) {
    std::fprintf(stderr, "usage: split BIN FOLDER RECORD TROUBLE\n");
    return 2;
  }
  const bool Trouble = std::string(Args[4]) != "0";
  record Record(Args[3]);
  Record.line(Trouble ? "with the disruption" : "without the disruption");
  // The threads of a deployment live as long as the program.
  deployment *Play = nullptr;
  bool Split = false;
  for (int Try = 1; Try <= 150 && !Split; ++Try) {
    if (Play != nullptr)
      Play->end();
    Play = new deployment(
        Args[1], std::string(Args[2]) + "/" + std::to_string(Try), Record);
    deployment &D = *Play;
    Record.line("all machines start, try " + std::to_string(Try));
    // All machines start within 0.3 s.
    D.Store.holdWrite(SetKind, 3);
    D.start(D.Storage[0]);
    D.start(D.Edges[0]);
    D.waitForVersion(1, 2000);
    D.start(D.Storage[1]);
    D.waitForVersion(2, 2000);
    D.start(D.Storage[2]);
    for (const double End = nowMs() + 1000;
         D.Store.held() == 0 && nowMs() < End;)
      sleepMs(1);
    const double HeldAt = nowMs();
    D.start(D.Storage[3]);
    D.waitForVersion(3, 1000);
    Record.line("the store executes a write that took " +
                std::to_string(static_cast<int>(nowMs() - HeldAt)) +
                " ms more than usual, and holds " + D.set());
    sleepMs(100);
    D.start(D.Edges[1]);
    sleepMs(200);
    Record.line("the store holds " + D.set());
    for (const machine &Edge : D.Edges)
      Record.line(Edge.Name + " uses " + D.replicasOf(Edge));
    Split = D.replicasOf(D.Edges[0]) != D.replicasOf(D.Edges[1]);
  }
  deployment &D = *Play;
  machine &A = D.Storage[0];
  machine &B = D.Storage[1];
  const auto Turn = [&](int Edge, const std::string &Attempt,
                        const std::string &Previous) {
    const machine &Machine = D.Edges[Edge];
    const double Sent = nowMs();
    const answered Answer =
        sendTurn(Machine.Ip, Machine.First + 16, Attempt, Previous);
    char Text[160];
    std::snprintf(Text, sizeof(Text),
                  "turn %s after %s at %s, sent at %.1f ms: ", Attempt.c_str(),
                  Previous.empty() ? "none" : Previous.c_str(),
                  Machine.Name.c_str(), Sent);
    Record.line(Text + describe(Answer));
    return Answer;
  };
  sleepMs(6000); // More than contact-ms and catch-up-s.
  const bool Serves = Turn(0, "a1", "").Whole && Turn(1, "a2", "a1").Whole &&
                      Turn(0, "a3", "a2").Whole;
  if (Trouble) {
    D.kill(B);
    Record.line(B.Name + " is killed");
    sleepMs(300);
  }
  const bool Accepted = Turn(0, "x1", "a3").Whole;
  if (Trouble) {
    D.kill(D.Edges[0]);
    D.kill(A);
    Record.line(D.Edges[0].Name + " and " + A.Name + " are killed");
    D.start(B);
    Record.line(B.Name + " is back");
  }
  int NotFound = 0;
  int Count = 0;
  double BackAt = nowMs() + 2800;
  for (const double End = nowMs() + 6000; nowMs() < End;) {
    if (Trouble && BackAt != 0 && nowMs() >= BackAt) {
      D.start(A);
      D.start(D.Edges[0]);
      Record.line(A.Name + " and " + D.Edges[0].Name + " are back");
      BackAt = 0;
    }
    const answered Answer = Turn(1, "y" + std::to_string(++Count), "x1");
    NotFound += Answer.Status == 404 || Answer.Status == 410 ? 1 : 0;
    sleepMs(200);
  }
  Record.line("the store holds " + D.set());
  Record.line(std::to_string(NotFound) + " of " + std::to_string(Count) +
              " turns after x1, which was answered whole, got 404");
  D.end();
  const bool Played = Split && Serves && Accepted;
  if (!Played)
    Record.line(std::string("the case could not run: ") +
                (Split ? "" : "no split ") + (Serves ? "" : "not served ") +
                (Accepted ? "" : "x1 not answered"));
  const int Code = !Played ? 2 : NotFound > 0 ? 1 : 0;
  Record.line("exit " + std::to_string(Code));
  std::_Exit(Code);
}
