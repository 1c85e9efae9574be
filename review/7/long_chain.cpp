// A line of turns is continued at an entry instance that has been restarted.

#include "../stage/stage.h"

#include <set>

using namespace stage;

namespace {

constexpr int LineTurns = 5;
/// Below max-body-bytes, 4,194,304.
constexpr std::size_t InputBytes = 3'600'000;
/// Of each input, an attachment: the whole line fits into an engine's memory.
constexpr int InputTokens = 30'000;
constexpr int MaxTries = 8;
constexpr const char *Host = "lidi.example";

/// The runners: they answer each turn with two events, and note what they ran.
class runners {
public:
  explicit runners(record &GivenRecord) : Record(GivenRecord) {}

  void start(int Port) {
    for (int Index = 0; Index < 2; ++Index)
      Servers[Index].start(ip(Index), Port,
                           [this, Index](const message &Request, int) {
                             return run(Request, Index);
                           });
  }

  static std::string ip(int Index) {
    return "127.0.31." + std::to_string(Index + 1);
  }

  bool ran(const std::string &Attempt) {
    const std::lock_guard Lock(Mutex);
    return Bodies.contains(Attempt);
  }
  std::size_t bodyHash(const std::string &Attempt) {
    const std::lock_guard Lock(Mutex);
    return Bodies[Attempt];
  }

private:
  std::string run(const message &Request, int Index) {
    const std::string Attempt = Request.field("x-attempt-id");
    const std::string Id = "i-" + std::to_string(Index);
    if (Request.target() == "/healthz")
      return response(200, "X-Instance-Id: " + Id + "\r\n", "");
    if (Request.field("x-expect-instance") != Id)
      return response(421, "X-Instance-Id: " + Id + "\r\n", "");
    Record.line("runner " + Id + " runs " + Attempt + ", " +
                std::to_string(Request.Body.size()) + " bytes");
    {
      const std::lock_guard Lock(Mutex);
      Bodies[Attempt] = std::hash<std::string>()(Request.Body);
    }
    return "HTTP/1.1 200 OK\r\nX-Attempt-Id: " + Attempt +
           "\r\nX-Server-Seal: s." + Attempt +
           "\r\nX-Server-Load: 1,0,12\r\nKeep-Alive: timeout=5\r\n"
           "Content-Type: text/event-stream\r\n"
           "Transfer-Encoding: chunked\r\n\r\n" +
           chunk("id: 1\ndata: one " + Attempt + "\n\n") +
           chunk("id: 2\ndata: two " + Attempt + "\n\n") + chunk("");
  }

  record &Record;
  server Servers[2];
  std::mutex Mutex;
  std::map<std::string, std::size_t> Bodies;
};

std::string outputOf(const std::string &Attempt) {
  return "one " + Attempt + "\n" + "two " + Attempt + "\n";
}

/// Sends a turn on a new connection.
/// \returns the status, 0 if the connection ended without a whole answer.
int sendTurn(record &Record, const deployment &Deployment,
             const std::string &Attempt, const std::string &Program,
             const std::string &Previous, const std::string &Body, int Tokens,
             double *RetryAfter = nullptr) {
  const int Socket = connectTo(deployment::entryIp(0), Deployment.callerPort());
  if (Socket < 0) {
    Record.line("client: " + Attempt + " has no connection");
    return 0;
  }
  std::string Head =
      "POST /chat/1 HTTP/1.1\r\nHost: " + std::string(Host) +
      "\r\nX-Attempt-Id: " + Attempt + "\r\nX-Program-Id: " + Program +
      "\r\nX-Session-Id: " + Program +
      "\r\nX-Program-Deadline-Ms: 90000\r\nX-Token-Budget: 5000\r\n"
      "X-Token-Usage: " +
      std::to_string(Tokens) +
      ",80\r\nX-Model: m\r\nX-Deadline-Ms: 4000\r\n"
      "Content-Length: " +
      std::to_string(Body.size()) + "\r\n";
  if (!Previous.empty())
    Head += "X-Previous-Turn: " + Previous + "\r\n";
  Record.line("client: sends " + Attempt +
              (Previous.empty() ? "" : " after " + Previous) + ", " +
              std::to_string(Body.size()) + " bytes");
  sendAll(Socket, Head + "\r\n" + Body);
  message Answer;
  const bool Read = reader(Socket).read(
      Answer, steady::now() + std::chrono::milliseconds(4500));
  ::close(Socket);
  const int Status = Read && Answer.Whole ? Answer.status() : 0;
  Record.line("client: " + Attempt + " gets " + std::to_string(Status) +
              (Status >= 400 ? " " + Answer.Body.substr(0, 60) : ""));
  if (RetryAfter)
    *RetryAfter = std::atof(Answer.field("retry-after").c_str());
  return Status;
}

json configuration() {
  return {{"version", 1},
          {"routes",
           {{{"name", "chat"},
             {"host", Host},
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
             {"health-path", "/healthz"},
             {"max-conns", 150},
             {"inference-engine",
              {{"slots", 12},
               {"kv-capacity-tokens", 160402},
               {"chunk-tokens", 10}}}}}},
          {"limits",
           {{"max-header-bytes", 16384},
            {"max-body-bytes", 4194304},
            {"header-timeout-ms", 3000},
            {"idle-timeout-ms", 15000}}}};
}

int play(const std::string &Folder, record &Record, deployment &Deployment) {
  const char *Switch = std::getenv("TROUBLE");
  const bool Trouble = !Switch || std::string(Switch) != "0";
  Deployment.choosePorts();
  auto &Runners = *new runners(Record); // Its threads end with the process.
  Runners.start(Deployment.Port + 24);
  std::map<std::string, json> Entries;
  for (int Index = 0; Index < 2; ++Index)
    Entries["i-" + std::to_string(Index)] = {
        {"service", "assistente"},
        {"address",
         runners::ip(Index) + ":" + std::to_string(Deployment.Port + 24)},
        {"zone", Index == 0 ? "palermo" : "catania"},
        {"version", "v1"},
        {"slots", 12},
        {"state", "ready"},
        {"cold-left-ms", 0},
        {"born", 1'700'000'000'000},
        {"sequence", 1}};
  Deployment.start(Folder, configuration(), Entries);
  if (!Deployment.awaitReady(0, 15'000) || !Deployment.awaitReady(1, 15'000)) {
    Record.line("the deployment is not ready");
    return 2;
  }
  Deployment.notFirstStart();
  Record.line("ready");
  std::string Chain;
  std::string Previous;
  for (int Turn = 1; Turn <= LineTurns; ++Turn) {
    const std::string Attempt = "line" + std::to_string(Turn);
    const std::string Input(InputBytes, static_cast<char>('a' + Turn));
    if (sendTurn(Record, Deployment, Attempt, "line", Previous, Input,
                 Turn * InputTokens) != 200) {
      Record.line("the line of turns could not be built up");
      return 2;
    }
    Chain += Input + outputOf(Attempt);
    Previous = Attempt;
  }
  const auto LastAnswer = steady::now();
  if (Trouble) {
    process &Entry = Deployment.Entries[0];
    Record.line("SIGTERM to entry instance 0");
    Entry.signal(SIGTERM);
    if (!Entry.wait(8'000)) {
      Record.line("it has not ended within grace-s");
      return 2;
    }
    Entry.start();
    Record.line("entry instance 0 is started again");
  } else {
    sleepMs(4'000);
  }
  if (!Deployment.awaitReady(0, 15'000)) {
    Record.line("entry instance 0 is not ready");
    return 2;
  }
  sleepMs(4'000); // contact-ms and more: the machine is in touch again.
  int Tries = 0;
  int FirstTurns = 0;
  int FirstTurnsRan = 0;
  bool Reached = false;
  const std::size_t Expected = std::hash<std::string>()(Chain + "go on");
  while (Tries < MaxTries && !Reached) {
    const std::string Attempt = "next" + std::to_string(++Tries);
    double RetryAfter = 0;
    sendTurn(Record, Deployment, Attempt, "line", Previous, "go on",
             LineTurns * InputTokens + 10, &RetryAfter);
    Reached = Runners.ran(Attempt);
    if (Reached && Runners.bodyHash(Attempt) != Expected) {
      Record.line("UNASKED: its body is not the chain and the new input");
      return 1;
    }
    // At most a third of the time left.
    sleepMs(100 + static_cast<int>(std::min(RetryAfter, 1.0) * 1000));
    for (int First = 0; First < 2; ++First) {
      const std::string Name = "first" + std::to_string(++FirstTurns);
      sendTurn(Record, Deployment, Name, Name, "", "hello", 10);
      FirstTurnsRan += Runners.ran(Name) ? 1 : 0;
    }
  }
  const double Age =
      std::chrono::duration<double>(steady::now() - LastAnswer).count();
  Record.line("tries " + std::to_string(Tries) +
              (Reached ? ", the last one" : ", none") +
              " reached a runner; first turns " + std::to_string(FirstTurns) +
              ", of which " + std::to_string(FirstTurnsRan) +
              " reached one; the turn is " + std::to_string(Age) + " s old");
  if (Reached)
    return 0;
  const bool Judged = Age < 60 && FirstTurnsRan * 10 >= FirstTurns * 9;
  Record.line(Judged ? "LOST" : "not judged: first turns did not run either");
  return Judged ? 1 : 2;
}

} // namespace

int main(int Count, char **Args) {
  if (Count != 3)
    return 2;
  record Record(Args[2]);
  deployment Deployment;
  const int Result = play(Args[1], Record, Deployment);
  Deployment.end();
  std::_Exit(Result);
}
