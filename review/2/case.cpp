// A runner that answers a long request early, without a length, crashes in the
// middle of its answer. The caller must not get a whole answer.

#include "../common/stand.h"

using namespace review;

namespace {

constexpr std::size_t BodyBytes = 4'000'000; // max-body-bytes is 4,194,304.
constexpr std::size_t AnswerBytes = 800;
constexpr std::size_t FirstBytes = 300; ///< Sent before the crash.
constexpr int Requests = 4;
constexpr int Runners = 8; ///< One of them crashes at a time.

std::string answerOf(const std::string &Attempt) {
  std::string Body;
  while (Body.size() < AnswerBytes)
    Body += "booked for " + Attempt + "\n";
  return Body.substr(0, AnswerBytes);
}

/// A runner process: `case runner PORT WHOLE ID`. It begins to answer once it
/// has read the first part of a body. If it is told to answer whole, it keeps
/// the connection, reads the rest of the body, ends its answer and closes.
int runRunner(int Port, bool Whole, const std::string &Id) {
  const int Listener = listenOn(Port, 65'536);
  if (Listener < 0)
    return 2;
  for (;;) {
    const int Socket = ::accept(Listener, nullptr, nullptr);
    if (Socket < 0)
      continue;
    if (::fork() != 0) {
      ::close(Socket);
      continue;
    }
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    reader Reader(Socket);
    message Request;
    if (!Reader.readHead(Request))
      ::_exit(0);
    const std::string Attempt = Request.field("X-Attempt-Id");
    if (const std::string Expected = Request.field("X-Expect-Instance");
        !Expected.empty() && Expected != Id) {
      sendAll(Socket, responseText(421, {{"X-Instance-Id", Id}}, ""));
      ::_exit(0);
    }
    const std::size_t Length = std::stoul(Request.field("Content-Length"));
    const std::size_t First = std::min<std::size_t>(Length, 100'000);
    Reader.readLength(First, Request.Body);
    const std::string Answer = answerOf(Attempt);
    sendAll(Socket, "HTTP/1.1 200 OK\r\nX-Attempt-Id: " + Attempt +
                        "\r\nX-Server-Seal: 3e1b.07.5a2.800.0.c9f2a4d1\r\n"
                        "Connection: close\r\n\r\n" +
                        Answer.substr(0, FirstBytes));
    std::printf("half %s\n", Attempt.c_str());
    std::fflush(stdout);
    if (!Whole)
      for (;;)
        ::pause();
    sleepMs(200);
    Reader.readLength(Length - First, Request.Body);
    sendAll(Socket, Answer.substr(FirstBytes));
    ::close(Socket);
    ::_exit(0);
  }
}

/// A runner process and what it prints.
struct runner_process {
  std::string Id;
  int Port = 0;
  pid_t Process = 0;
  int Output = -1;
};

runner_process startRunner(const char *Self, bool Whole) {
  int Pipe[2];
  if (::pipe(Pipe) != 0)
    giveUp("no pipe");
  runner_process Runner;
  Runner.Id = "i-" + newId();
  Runner.Port = freePorts(1);
  Runner.Process = ::fork();
  if (Runner.Process == 0) {
    ::setpgid(0, 0);
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    ::dup2(Pipe[1], 1);
    for (int File = 3; File < 1024; ++File)
      ::close(File);
    const std::string PortText = std::to_string(Runner.Port);
    ::execl(Self, Self, "runner", PortText.c_str(), Whole ? "1" : "0",
            Runner.Id.c_str(), static_cast<char *>(nullptr));
    ::_exit(127);
  }
  ::close(Pipe[1]);
  Runner.Output = Pipe[0];
  Deployment.Processes.insert(Runner.Process);
  return Runner;
}

/// Waits until a runner has sent the first part of an answer.
/// \returns its place; the number of runners if none does in time.
std::size_t awaitHalf(const std::vector<runner_process> &Pool) {
  std::vector<pollfd> Outputs;
  for (const runner_process &Runner : Pool)
    Outputs.push_back({Runner.Output, POLLIN, 0});
  ::poll(Outputs.data(), Outputs.size(), 5'000);
  for (std::size_t Place = 0; Place < Pool.size(); ++Place) {
    char Text[64];
    if ((Outputs[Place].revents & POLLIN) != 0 &&
        ::read(Pool[Place].Output, Text, sizeof(Text)) > 0)
      return Place;
  }
  return Pool.size();
}

/// The runner serves a request in a process of its own; both are killed.
void crash(runner_process &Runner) {
  ::kill(-Runner.Process, SIGKILL);
  ::waitpid(Runner.Process, nullptr, 0);
  Deployment.Processes.erase(Runner.Process);
  ::close(Runner.Output);
}

} // namespace

int main(int Argc, char **Argv) {
  if (Argc == 5 && std::string(Argv[1]) == "runner")
    return runRunner(std::atoi(Argv[2]), std::string(Argv[3]) == "1", Argv[4]);
  beginScript(Argc, Argv);
  store Store(freePorts(1));
  Store.put("config", "main", configOf(7).dump());
  std::vector<runner_process> Pool;
  const auto Add = [&] {
    runner_process Runner = startRunner("/proc/self/exe", !Trouble);
    sleepMs(100);
    registerRunner(Store, Runner.Id, "app", Runner.Port,
                   Pool.size() % 2 == 0 ? "palermo" : "catania", 6);
    Pool.push_back(Runner);
  };
  for (int Index = 0; Index < Runners; ++Index)
    Add();
  startDeployment(Store, {"edge-1", "edge-2"});
  sleepMs(1'000);
  int Broken = 0;
  int Whole = 0;
  for (int Index = 0; Index < Requests; ++Index) {
    const machine &Edge =
        Deployment.Machines[Index % 2 == 0 ? "edge-1" : "edge-2"];
    const std::string Attempt = newId();
    const int Socket = connectTo(Edge.CallerPort);
    if (Socket < 0)
      giveUp("the entry instance refuses a connection");
    record("caller sends booking %s, %zu bytes, to %s", Attempt.c_str(),
           BodyBytes, Edge.Name.c_str());
    std::thread Crash([&] {
      const std::size_t Place = awaitHalf(Pool);
      if (Place == Pool.size())
        return;
      record("runner %s has answered booking %s with %zu of %zu bytes",
             Pool[Place].Id.c_str(), Attempt.c_str(), FirstBytes, AnswerBytes);
      if (!Trouble)
        return;
      sleepMs(200);
      record("runner %s crashes", Pool[Place].Id.c_str());
      crash(Pool[Place]);
      Store.lapse(Pool[Place].Id);
      Pool.erase(Pool.begin() + static_cast<std::ptrdiff_t>(Place));
    });
    const auto Answer =
        ask(Socket,
            requestText("POST", "/book/" + Attempt, "ficu95.example",
                        {{"X-Attempt-Id", Attempt}, {"X-Deadline-Ms", "3500"}},
                        std::string(BodyBytes, 'b')),
            milliseconds(5'000));
    Crash.join();
    ::close(Socket);
    if (!Answer) {
      record("caller: booking %s: the connection closed without an answer",
             Attempt.c_str());
    } else {
      const bool Right = Answer->Body == answerOf(Attempt);
      record("caller: booking %s: status %d, sealed %s, %zu bytes, "
             "content-length '%s', complete %s, the runner's whole body %s",
             Attempt.c_str(), Answer->Status,
             Answer->field("X-Server-Seal").empty() ? "no" : "yes",
             Answer->Body.size(), Answer->field("Content-Length").c_str(),
             Answer->Complete ? "yes" : "no", Right ? "yes" : "no");
      if (Answer->Status / 100 == 2 && Answer->Complete)
        ++(Right ? Whole : Broken);
    }
    // A runner is back after some seconds.
    sleepMs(2'000);
    if (Trouble)
      Add();
    sleepMs(3'000);
  }
  record("answers that look complete: %d whole, %d cut off, of %d requests",
         Whole, Broken, Requests);
  if (!Trouble && Whole != Requests)
    giveUp("the undisturbed requests were not all answered");
  finish(Broken > 0 ? 1 : 0);
}
