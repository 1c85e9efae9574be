#include "experiment/experiment.h"

#include "core/hash.h"
#include "forward/retry_policy.h"
#include "forward/send_timing.h"
#include "placement/placement.h"

#include <algorithm>
#include <cmath>
#include <fmt/format.h>
#include <functional>
#include <memory>
#include <queue>
#include <random>

namespace lentilhoist {

namespace {

/// As the daemon: a request without a place is placed again after this,
constexpr milliseconds HoldStep{30};
/// for this part of its caller's time at most.
constexpr double HoldPart = 0.4;
/// Tries of a caller for one turn.
constexpr int MaxTries = 4;
/// Pause of a caller whose turn has timed out; the platform's callers take 100
/// to 400 ms.
constexpr milliseconds TimeoutPause{250};
/// Parts that start prompts, for each kind.
constexpr int SharedParts = 3;
/// A window of the result.
constexpr double WindowSeconds = 2;
/// Above any rank, so that none waits.
constexpr int NoRankPriority = -1'000;
constexpr const char *ServiceName = "engines";

/// A program under way.
struct program {
  const program_kind *Kind = nullptr;
  std::uint64_t Number = 0;
  int Turns = 0;
  int Turn = 0; ///< Answered.
  int Tries = 0;
  std::vector<std::pair<double, double>> Tokens; ///< Input, output of turns.
  std::vector<double> Pauses;                    ///< Milliseconds.
  std::vector<prompt_part> Prompt;               ///< Of the turns so far.
  instant Began{};
  double AimMs = 0;
  std::size_t Instance = 0;
  std::string LastRunner;
  bool Done = false;
};

/// A turn on its way.
struct turn {
  std::shared_ptr<program> Program;
  request_traits Traits;
  instant Arrived{};
  std::size_t Instance = 0;
  std::size_t Engine = 0;
  bool Sent = false;
  bool Over = false;
  std::set<std::string> Tried;
  send_timing Timing;
};
using turn_ptr = std::shared_ptr<turn>;

/// One run. Everything happens at the time of an event, in order of arrival
/// among events of one time.
class simulation {
public:
  simulation(const scenario &GivenScenario, experiment_policy GivenPolicy,
             std::uint64_t GivenSeed)
      : Scenario(GivenScenario), Policy(GivenPolicy), Seed(GivenSeed),
        Random(GivenSeed) {
    for (int Index = 0; Index < Scenario.Engines; ++Index)
      Engines.emplace_back(Scenario.Engine);
    Stepping.resize(Engines.size());
    Directories.resize(static_cast<std::size_t>(Scenario.Instances));
    for (runner_directory &Directory : Directories)
      for (int Index = 0; Index < Scenario.Engines; ++Index)
        upsertRunner(Directory, entryOf(Index));
    for (std::size_t Index = 0; Index < Directories.size(); ++Index)
      Next.push_back(static_cast<int>(Random() % Engines.size()));
    Result.Windows.resize(
        static_cast<std::size_t>(Scenario.Seconds / WindowSeconds) + 1);
  }

  experiment_result run() {
    for (const program_kind &Kind : Scenario.Kinds) {
      Result.Kinds.push_back({.Name = Kind.Name});
      scheduleProgram(Kind, Result.Kinds.size() - 1);
    }
    while (!Events.empty()) {
      const event Event = Events.top();
      Events.pop();
      Now = Event.Time;
      Event.Action();
    }
    for (const engine_model &Engine : Engines) {
      Result.TokensRead += Engine.tokensRead();
      Result.TokensKept += Engine.tokensKept();
    }
    return Result;
  }

private:
  struct event {
    instant Time;
    std::uint64_t Order;
    std::function<void()> Action;
    /// The earliest comes first in a priority queue.
    bool operator<(const event &Other) const {
      return std::pair(Time.Steady, Order) >
             std::pair(Other.Time.Steady, Other.Order);
    }
  };

  void after(microseconds Wait, std::function<void()> Action) {
    Events.push({later(Now, Wait), ++Order, std::move(Action)});
  }

  static microseconds fromMs(double Ms) {
    return microseconds(std::llround(Ms * 1e3));
  }

  double seconds() const {
    return static_cast<double>(Now.Steady.count()) / 1e6;
  }

  runner_entry entryOf(int Index) const {
    runner_entry Entry;
    Entry.Id = fmt::format("engine-{:05d}", Index);
    Entry.Service = ServiceName;
    Entry.Domain = std::to_string(Index % Scenario.Domains);
    Entry.Slots = Scenario.Engine.Slots;
    return Entry;
  }

  std::string domainOf(std::size_t Instance) const {
    return std::to_string(Instance %
                          static_cast<std::size_t>(Scenario.Domains));
  }

  double exponential(double Mean) {
    return std::exponential_distribution<double>(1 / Mean)(Random);
  }

  /// Sizes spread by a factor of about 1.5 around their mean.
  double spread(double Mean) {
    constexpr double Sigma = 0.4;
    return std::lognormal_distribution<double>(
        std::log(Mean) - Sigma * Sigma / 2, Sigma)(Random);
  }

  void scheduleProgram(const program_kind &Kind, std::size_t Index) {
    double Rate = Kind.PerSecond;
    for (const traffic_burst &Burst : Scenario.Bursts)
      if (seconds() >= Burst.At && seconds() < Burst.At + Burst.For)
        Rate *= Burst.Times;
    // A rate that changes meanwhile is seen within a tenth of a second.
    const double Wait = Rate > 0 ? exponential(1 / Rate) : 1;
    const bool Begins = Wait <= 0.1;
    after(fromMs(std::min(Wait, 0.1) * 1e3), [this, &Kind, Index, Begins] {
      if (seconds() >= Scenario.Seconds)
        return;
      if (Begins)
        beginProgram(Kind, Index);
      scheduleProgram(Kind, Index);
    });
  }

  void beginProgram(const program_kind &Kind, std::size_t Index) {
    auto Program = std::make_shared<program>();
    Program->Kind = &Kind;
    Program->Number = ++Programs;
    Program->Turns =
        std::max(1, static_cast<int>(std::lround(spread(Kind.Turns))));
    Program->Began = Now;
    Program->Instance = Random() % Directories.size();
    if (Kind.SharedTokens > 0)
      Program->Prompt.push_back(
          {fmt::format("{}/{}", Kind.Name, Random() % SharedParts),
           static_cast<std::int64_t>(Kind.SharedTokens)});
    const engine_model_settings &Engine = Scenario.Engine;
    double Ideal = 0;
    for (int Turn = 0; Turn < Program->Turns; ++Turn) {
      const double Input = spread(Kind.InputTokens);
      const double Output = std::max(1.0, spread(Kind.OutputTokens));
      Program->Tokens.emplace_back(Input, Output);
      Program->Pauses.push_back(spread(Kind.PauseMs + 1));
      Ideal += static_cast<double>(Engine.FirstMs.count()) +
               Input / Engine.PrefillTokensPerMs + Output * Engine.StepMs +
               static_cast<double>(Scenario.Way.count()) +
               Program->Pauses.back();
    }
    Program->AimMs = Kind.AimFactor * Ideal + Kind.AimSlackMs;
    ++Result.Kinds[Index].Programs;
    Result.Kinds[Index].Owed += Kind.Worth;
    window(*Program).second += Kind.Worth;
    sendTurn(Program);
  }

  std::pair<double, double> &window(const program &Program) {
    const double Began = static_cast<double>(Program.Began.Steady.count());
    return Result
        .Windows[static_cast<std::size_t>(Began / 1e6 / WindowSeconds)];
  }

  void sendTurn(const std::shared_ptr<program> &Program) {
    const auto [Input, Output] =
        Program->Tokens[static_cast<std::size_t>(Program->Turn)];
    auto Turn = std::make_shared<turn>();
    Turn->Program = Program;
    request_traits &Traits = Turn->Traits;
    Traits.Attempt = std::to_string(++Attempts);
    Traits.Prompt = Program->Prompt;
    Traits.Prompt.push_back(
        {fmt::format("{}/{}", Program->Number, Program->Turn),
         static_cast<std::int64_t>(Input)});
    for (const prompt_part &Part : Traits.Prompt)
      Traits.PromptTokens += Part.Tokens;
    Traits.OutputHint = static_cast<std::int64_t>(Output);
    if (Program->Turn > 0)
      Traits.PreviousTurn = "previous";
    const double Used =
        static_cast<double>((Now.Steady - Program->Began.Steady).count()) / 1e3;
    Traits.ProgramTimeLeft = milliseconds(
        static_cast<std::int64_t>(std::max(0.0, Program->AimMs - Used)));
    if (std::uniform_real_distribution<double>()(Random) >
        Scenario.SameInstance)
      Program->Instance = Random() % Directories.size();
    Turn->Instance = Program->Instance;
    Turn->Arrived = Now;
    after(Program->Kind->Timeout, [this, Turn] { timeOut(Turn); });
    if (Policy == experiment_policy::Product ||
        Policy == experiment_policy::NoRanks)
      if (const auto Found = directory(*Turn).Runners.find(Program->LastRunner);
          Found != directory(*Turn).Runners.end())
        recordContent(Found->second, Traits, Now);
    place(Turn);
  }

  runner_directory &directory(const turn &Turn) {
    return Directories[Turn.Instance];
  }

  std::string choose(turn &Turn) {
    runner_directory &Directory = directory(Turn);
    switch (Policy) {
    case experiment_policy::Product:
    case experiment_policy::NoRanks: {
      placement_query Question;
      Question.Service = ServiceName;
      Question.Domain = domainOf(Turn.Instance);
      Question.Request = &Turn.Traits;
      Question.Engine =
          engine_traits{Scenario.Engine.Slots, Scenario.Engine.MemoryTokens, 1};
      Question.Excluded = Turn.Tried;
      Question.Spread = stableHash(Turn.Traits.Attempt, Seed);
      Question.Priority = Policy == experiment_policy::Product
                              ? Turn.Program->Kind->Priority
                              : NoRankPriority;
      const placement_result Placed = placeRequest(Directory, Question, Now);
      Turn.Timing = startTiming(Placed, Scenario.Engine.Slots,
                                Turn.Traits.PromptTokens, Question.Engine, Now);
      return Placed.InBackoff ? "" : Placed.Runner;
    }
    case experiment_policy::LeastOutstanding: {
      // Instances begin at different engines: most have nothing outstanding.
      const runner_view *Best = nullptr;
      const int First = Next[Turn.Instance]++;
      for (int Index = 0; Index < Scenario.Engines; ++Index) {
        const runner_view &Runner = Directory.Runners.at(
            entryOf((First + Index) % Scenario.Engines).Id);
        if (!Turn.Tried.contains(Runner.Entry.Id) &&
            (!Best || Runner.Outstanding < Best->Outstanding))
          Best = &Runner;
      }
      return Best ? Best->Entry.Id : "";
    }
    case experiment_policy::RoundRobin:
      return entryOf(Next[Turn.Instance]++ % Scenario.Engines).Id;
    }
    return "";
  }

  void place(const turn_ptr &Turn) {
    if (Turn->Over)
      return;
    const std::string Id = choose(*Turn);
    if (!Id.empty()) {
      send(Turn, Id);
      return;
    }
    Turn->Tried.clear();
    const auto Whole = Turn->Program->Kind->Timeout;
    if (Now.Steady - Turn->Arrived.Steady > Whole * HoldPart)
      refuse(Turn);
    else
      after(HoldStep, [this, Turn] { place(Turn); });
  }

  microseconds oneWay(const turn &Turn) const {
    const bool Same =
        Turn.Engine % static_cast<std::size_t>(Scenario.Domains) ==
        Turn.Instance % static_cast<std::size_t>(Scenario.Domains);
    return Same ? Scenario.InDomain : Scenario.CrossDomain;
  }

  void send(const turn_ptr &Turn, const std::string &Id) {
    runner_view &View = directory(*Turn).Runners.at(Id);
    ++View.Outstanding;
    recordContent(View, Turn->Traits, Now);
    Turn->Tried.insert(Id);
    Turn->Sent = true;
    Turn->Program->LastRunner = Id;
    Turn->Engine = static_cast<std::size_t>(std::distance(
        directory(*Turn).Runners.begin(), directory(*Turn).Runners.find(Id)));
    after(oneWay(*Turn), [this, Turn] { arrive(Turn); });
  }

  void arrive(const turn_ptr &Turn) {
    if (Turn->Over)
      return;
    engine_work Work;
    Work.Id = std::stoull(Turn->Traits.Attempt);
    Work.Prompt = Turn->Traits.Prompt;
    Work.OutputTokens = Turn->Traits.OutputHint;
    if (!Engines[Turn->Engine].add(std::move(Work), Now)) {
      after(oneWay(*Turn), [this, Turn] {
        if (Turn->Over)
          return;
        recordRefusal(release(*Turn), Now);
        place(Turn);
      });
      return;
    }
    OnEngine[std::stoull(Turn->Traits.Attempt)] = Turn;
    startStep(Turn->Engine);
  }

  /// \returns the duration of work at an engine, as a multiple.
  double multipleOf(std::size_t Engine) const {
    double Multiple = 1;
    if (!Scenario.DomainTimes.empty())
      Multiple = Scenario.DomainTimes[Engine % Scenario.DomainTimes.size()];
    const slow_moments &Slow = Scenario.SlowMoments;
    if (Slow.Share <= 0)
      return Multiple;
    // Periods of engines begin at different times.
    const std::int64_t Length = microseconds(Slow.Period).count();
    const auto Offset =
        static_cast<std::int64_t>(stableHash(std::to_string(Engine), Seed) %
                                  static_cast<std::uint64_t>(Length));
    const std::int64_t Period = (Now.Steady.count() + Offset) / Length;
    const std::uint64_t Draw =
        stableHash(fmt::format("{}/{}", Engine, Period), Seed);
    constexpr std::uint64_t Parts = 10'000;
    const double Part = static_cast<double>(Draw % Parts) / Parts;
    return Part < Slow.Share ? Multiple * Slow.Times : Multiple;
  }

  void startStep(std::size_t Engine) {
    if (Stepping[Engine] || !Engines[Engine].busy())
      return;
    Stepping[Engine] = true;
    Engines[Engine].setMultiple(multipleOf(Engine));
    const engine_step Step = Engines[Engine].step(Now);
    after(Step.End.Steady - Now.Steady, [this, Engine, Step] {
      Stepping[Engine] = false;
      for (const std::uint64_t Id : Step.FirstToken)
        onFirstToken(Id);
      for (const std::uint64_t Id : Step.Finished)
        onFinished(Id);
      startStep(Engine);
    });
  }

  void onFirstToken(std::uint64_t Id) {
    const auto Found = OnEngine.find(Id);
    if (Found == OnEngine.end())
      return;
    const turn_ptr Turn = Found->second;
    load_report Load = Engines[Turn->Engine].report(Now);
    if (Scenario.ReportSlowdown)
      Load.Slowdown = multipleOf(Turn->Engine);
    after(oneWay(*Turn), [this, Turn, Load] {
      if (Turn->Over)
        return;
      recordEvents(Turn->Timing, 1, Now);
      recordLoad(directory(*Turn), view(*Turn), Load, Now);
    });
  }

  void onFinished(std::uint64_t Id) {
    const auto Found = OnEngine.find(Id);
    if (Found == OnEngine.end())
      return;
    const turn_ptr Turn = Found->second;
    OnEngine.erase(Found);
    after(oneWay(*Turn), [this, Turn] { observe(*Turn); });
    after(oneWay(*Turn) + Scenario.Way, [this, Turn] { finish(Turn); });
  }

  void observe(turn &Turn) {
    if (Turn.Over || !Scenario.LearnSpeeds)
      return;
    recordEvents(Turn.Timing,
                 static_cast<std::uint64_t>(Turn.Traits.OutputHint), Now);
    recordWork(directory(Turn), view(Turn),
               observedWork(Turn.Timing, view(Turn).Load, true, Now), Now);
  }

  runner_view &view(const turn &Turn) {
    return directory(Turn).Runners.at(
        entryOf(static_cast<int>(Turn.Engine)).Id);
  }

  runner_view &release(turn &Turn) {
    runner_view &View = view(Turn);
    View.Outstanding -= Turn.Sent ? 1 : 0;
    Turn.Sent = false;
    return View;
  }

  void finish(const turn_ptr &Turn) {
    if (Turn->Over)
      return;
    Turn->Over = true;
    recordSuccess(release(*Turn));
    program &Program = *Turn->Program;
    // The next prompt has this turn's input and output.
    Program.Prompt = Turn->Traits.Prompt;
    Program.Prompt.back().Tokens += Turn->Traits.OutputHint;
    const double Pause = Program.Pauses[static_cast<std::size_t>(Program.Turn)];
    ++Program.Turn;
    Program.Tries = 0;
    if (Program.Turn == Program.Turns)
      endProgram(Program);
    else
      after(fromMs(Pause),
            [this, Shared = Turn->Program] { sendTurn(Shared); });
  }

  void endProgram(program &Program) {
    kind_result &Kind = kindOf(Program);
    const double Ms =
        static_cast<double>((Now.Steady - Program.Began.Steady).count()) / 1e3;
    double Earned = 0;
    if (Ms <= Program.AimMs) {
      ++Kind.InAim;
      Earned = Program.Kind->Worth;
    } else {
      ++Kind.Late;
      Earned = Ms <= 2 * Program.AimMs ? Program.Kind->LateWorth : 0;
    }
    Kind.Earned += Earned;
    window(Program).first += Earned;
  }

  kind_result &kindOf(const program &Program) {
    return Result
        .Kinds[static_cast<std::size_t>(Program.Kind - Scenario.Kinds.data())];
  }

  void refuse(const turn_ptr &Turn) {
    ++Result.Refusals;
    Turn->Over = true;
    retry(Turn, retryAfter(proxy_error::RunnersFull, Random()));
  }

  void timeOut(const turn_ptr &Turn) {
    if (Turn->Over)
      return;
    Turn->Over = true;
    const std::uint64_t Id = std::stoull(Turn->Traits.Attempt);
    Engines[Turn->Engine].cancel(Id);
    OnEngine.erase(Id);
    release(*Turn);
    retry(Turn, TimeoutPause);
  }

  void retry(const turn_ptr &Turn, milliseconds Wait) {
    program &Program = *Turn->Program;
    if (++Program.Tries < MaxTries)
      after(Wait, [this, Shared = Turn->Program] { sendTurn(Shared); });
    else
      ++kindOf(Program).Failed;
  }

  const scenario &Scenario;
  experiment_policy Policy;
  std::uint64_t Seed;
  std::mt19937_64 Random;
  instant Now{};
  std::priority_queue<event> Events;
  std::uint64_t Order = 0;
  std::uint64_t Programs = 0;
  std::uint64_t Attempts = 0;
  std::vector<engine_model> Engines;
  std::vector<bool> Stepping;
  std::vector<runner_directory> Directories; ///< Of each instance.
  std::vector<int> Next;                     ///< Round robin, by instance.
  std::unordered_map<std::uint64_t, turn_ptr> OnEngine;
  experiment_result Result;
};

} // namespace

experiment_result runExperiment(const scenario &Scenario,
                                experiment_policy Policy, std::uint64_t Seed) {
  return simulation(Scenario, Policy, Seed).run();
}

double earnedShare(const experiment_result &Result) {
  double Earned = 0;
  double Owed = 0;
  for (const kind_result &Kind : Result.Kinds) {
    Earned += Kind.Earned;
    Owed += Kind.Owed;
  }
  return Owed > 0 ? Earned / Owed : 1;
}

double worstWindows(const experiment_result &Result) {
  std::vector<double> Shares;
  for (const auto &[Earned, Owed] : Result.Windows)
    if (Owed > 0)
      Shares.push_back(Earned / Owed);
  std::sort(Shares.begin(), Shares.end());
  if (Shares.empty())
    return 1;
  return Shares.size() == 1 ? Shares[0] : (Shares[0] + Shares[1]) / 2;
}

} // namespace lentilhoist
