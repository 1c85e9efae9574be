// A line of turns goes on for longer than retention-s while replicas miss
// turns and one machine is replaced.

#include "../stage/stage.h"

using namespace stage;

namespace {

/// How long the operator has turns kept.
constexpr double RetentionS = 20;
/// catch-up-s and contact-ms together.
constexpr int RecoveryMs = 9'000;
constexpr int MaxTries = 6;
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
int sendTurn(record &Record, const deployment &Deployment, std::size_t Entry,
             const std::string &Attempt, const std::string &Program,
             const std::string &Previous, const std::string &Body, int Tokens,
             double *RetryAfter = nullptr) {
  const int Socket =
      connectTo(deployment::entryIp(Entry), Deployment.callerPort());
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
  Record.line("client: sends " + Attempt + " to entry instance " +
              std::to_string(Entry) +
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
             {"retention-s", RetentionS},
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

/// One line of turns, and what was said in it.
struct line {
  record &Record;
  deployment &Deployment;
  std::string Chain;
  std::string Previous;
  int Turns = 0;

  bool say(std::size_t Entry) {
    const std::string Attempt = "line" + std::to_string(++Turns);
    const std::string Input = "input of " + Attempt + "\n";
    if (sendTurn(Record, Deployment, Entry, Attempt, "line", Previous, Input,
                 100) != 200)
      return false;
    Chain += Input + outputOf(Attempt);
    Previous = Attempt;
    return true;
  }
};

/// Waits until a time since the start.
void sleepUntil(double Seconds) {
  while (elapsed() < Seconds)
    sleepMs(20);
}

/// One turn is said while a replica is down, and the entry instance that has
/// taken it is killed before the replica is back.
bool sayWithout(line &Line, std::size_t Replica, bool Trouble) {
  if (!Trouble)
    return Line.say(0);
  deployment &Deployment = Line.Deployment;
  Line.Record.line("SIGKILL to replica " + std::to_string(Replica));
  Deployment.Replicas[Replica].end();
  sleepMs(500);
  const bool Said = Line.say(0);
  Line.Record.line("SIGKILL to entry instance 0");
  Deployment.Entries[0].end();
  Deployment.Replicas[Replica].start();
  Deployment.Entries[0].start();
  Line.Record.line("both are started again");
  return Said && Deployment.awaitReady(0, 5'000);
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
  line Line{Record, Deployment, {}, {}, 0};
  const double Begin = elapsed();
  bool Said = Line.say(0);
  Said = Said && sayWithout(Line, 0, Trouble);
  sleepUntil(Begin + 11);
  Said = Said && sayWithout(Line, 1, Trouble);
  sleepUntil(Begin + 22);
  Said = Said && Line.say(0);
  sleepUntil(Begin + 38);
  Said = Said && Line.say(0);
  const double LastAnswer = elapsed();
  if (!Said) {
    Record.line("a turn of the line was not answered");
    return 2;
  }
  sleepUntil(Begin + 44);
  if (Trouble) {
    Record.line("replica 2 is gone for good, and a new one comes");
    Deployment.Replicas[2].end();
    sleepMs(1'000);
    Deployment.addReplica("siracusa");
  }
  sleepMs(RecoveryMs);
  int Tries = 0;
  int FirstTurns = 0;
  int FirstTurnsRan = 0;
  bool Reached = false;
  const std::size_t Expected = std::hash<std::string>()(Line.Chain + "go on");
  while (Tries < MaxTries && !Reached) {
    const std::string Attempt = "next" + std::to_string(++Tries);
    double RetryAfter = 0;
    sendTurn(Record, Deployment, 1, Attempt, "line", Line.Previous, "go on",
             100, &RetryAfter);
    Reached = Runners.ran(Attempt);
    if (Reached && Runners.bodyHash(Attempt) != Expected) {
      Record.line("UNASKED: its body is not the chain and the new input");
      return 1;
    }
    sleepMs(20 + static_cast<int>(std::min(RetryAfter, 1.0) * 1000));
    for (int First = 0; First < 2; ++First) {
      const std::string Name = "first" + std::to_string(++FirstTurns);
      sendTurn(Record, Deployment, 1, Name, Name, "", "hello", 10);
      FirstTurnsRan += Runners.ran(Name) ? 1 : 0;
    }
    if (elapsed() - LastAnswer > RetentionS)
      break;
  }
  const double Age = elapsed() - LastAnswer;
  Record.line("tries " + std::to_string(Tries) +
              (Reached ? ", the last one" : ", none") +
              " reached a runner; first turns " + std::to_string(FirstTurns) +
              ", of which " + std::to_string(FirstTurnsRan) +
              " reached one; the turn is " + std::to_string(Age) + " s old");
  if (Reached)
    return 0;
  const bool Judged =
      Tries >= 5 && Age < RetentionS && FirstTurnsRan * 10 >= FirstTurns * 9;
  Record.line(Judged ? "LOST" : "not judged");
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
