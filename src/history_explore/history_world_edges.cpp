#include "history_explore/history_world.h"

#include <algorithm>

namespace lentilhoist {

namespace {

constexpr std::uint64_t MostTokens = 90;
constexpr std::uint64_t RetentionMs = 60'000;
/// As in the client.
constexpr milliseconds AskAgainDelay{150};
constexpr milliseconds ReserveLimit{1'500};
constexpr milliseconds CommitLimit{3'000};

bool holdsTurn(const replica_reply &Reply, const std::string &Id) {
  return std::any_of(Reply.Turns.begin(), Reply.Turns.end(),
                     [&](const turn_record &Turn) { return Turn.Id == Id; });
}

} // namespace

void history_world::refreshEdges() {
  for (std::size_t Index = 0; Index < Edges.size(); ++Index)
    if (!StoreDown && Stored && Choice.chance(700))
      adoptSet(Index, *Stored);
  if (FaultsOn)
    Clock.after(milliseconds(700), [this] { refreshEdges(); });
}

/// Adopts a set as the client does.
/// \returns whether its version or its replicas are others.
bool history_world::adoptSet(std::size_t Edge, const replica_set &Set) {
  replica_set &Known = Edges[Edge].Set;
  const bool Later = Settings.Planted == planted_history_fault::IgnoredConflict
                         ? Set.Version > Known.Version
                         : isLaterSet(Set, Known);
  if (!Set.Established || !Later)
    return false;
  const bool Changed =
      Set.Version != Known.Version || !hasSameReplicas(Set, Known);
  Known = Set;
  Edges[Edge].SetChanges += Changed ? 1 : 0;
  return Changed;
}

void history_world::ask(std::size_t Edge, replica_request Request,
                        milliseconds Limit,
                        std::function<void(const quorum_round *)> OnDone) {
  auto Question = std::make_shared<model_question>();
  Question->Edge = Edge;
  Question->Life = Edges[Edge].Life;
  Question->Request = std::move(Request);
  Question->OnDone = std::move(OnDone);
  Clock.after(Limit, [this, Question] { finish(Question, false); });
  askAll(Question);
  askAgain(Question);
}

void history_world::askAll(const question_ptr &Question) {
  const replica_set &Set = Edges[Question->Edge].Set;
  Question->Round = beginRound(Set);
  if (Settings.Planted == planted_history_fault::SmallQuorum)
    --Question->Round.Needed;
  Question->SetChanges = Edges[Question->Edge].SetChanges;
  for (std::size_t Slot = 0; Slot < Set.Slots.size(); ++Slot)
    askOne(Question, Slot);
}

void history_world::askOne(const question_ptr &Question, std::size_t Slot) {
  const model_edge &Edge = Edges[Question->Edge];
  replica_request Message = Question->Request;
  Message.SetVersion = Edge.Set.Version;
  Message.SetReplicas = hashReplicas(Edge.Set);
  request(
      Edge.Cut, Edge.Set.Slots[Slot].Address, std::move(Message),
      [this, Question, Slot, Changes = Edge.SetChanges](replica_reply Reply) {
        if (Question->Done || Question->SetChanges != Changes ||
            Edges[Question->Edge].Life != Question->Life)
          return;
        for (const replica_set &Set : Reply.Set)
          if (adoptSet(Question->Edge, Set)) {
            askAll(Question);
            return;
          }
        if (Reply.Status == replica_status::OldSet)
          return;
        if (Settings.Planted == planted_history_fault::IncompleteCounts &&
            Reply.Status == replica_status::Incomplete)
          Reply.Status = replica_status::Done;
        addAnswer(Question->Round, Slot, std::move(Reply), Clock.now());
        if (hasQuorum(Question->Round, Clock.now()))
          finish(Question, true);
      });
}

void history_world::askAgain(const question_ptr &Question) {
  Clock.after(AskAgainDelay, [this, Question] {
    if (Question->Done || Edges[Question->Edge].Life != Question->Life)
      return;
    if (Edges[Question->Edge].SetChanges != Question->SetChanges)
      askAll(Question);
    for (const std::size_t Slot :
         staleAnswerSlots(Question->Round, Clock.now()))
      Question->Round.Answers[Slot].reset();
    for (std::size_t Slot = 0; Slot < Question->Round.Answers.size(); ++Slot) {
      const auto &Answer = Question->Round.Answers[Slot];
      if (!Answer || Answer->Status != replica_status::Done)
        askOne(Question, Slot);
    }
    askAgain(Question);
  });
}

void history_world::finish(const question_ptr &Question, bool Decided) {
  if (Question->Done)
    return;
  Question->Done = true;
  const auto OnDone = std::exchange(Question->OnDone, nullptr);
  if (Edges[Question->Edge].Life == Question->Life)
    OnDone(Decided ? &Question->Round : nullptr);
}

void history_world::scheduleTurn() {
  if (!FaultsOn)
    return;
  Clock.after(Choice.between(milliseconds(5), milliseconds(120)), [this] {
    const std::size_t Program = Choice.below(Programs.size());
    const auto &Turns = Programs[Program].Turns;
    if (Choice.chance(50))
      startTurn(Program, "no-such-turn", "", false);
    else if (Turns.empty() || Choice.chance(150))
      startTurn(Program, "", "", true);
    else {
      const model_turn &Last = Turns[Choice.below(Turns.size())];
      startTurn(Program, Last.Id, Last.Text, true);
    }
    scheduleTurn();
  });
}

void history_world::startTurn(std::size_t Program, const std::string &Previous,
                              const std::string &Text, bool Known) {
  const std::size_t Edge = Choice.below(Edges.size());
  if (!Edges[Edge].Up || !Edges[Edge].Set.Established)
    return;
  turn_record Turn;
  Turn.Id = "t" + std::to_string(NextId++);
  Turn.Previous = Previous;
  Turn.Program = Programs[Program].Name;
  Turn.Input = "<" + Turn.Id + ">";
  Turn.RetentionMs = RetentionMs;
  Programs[Program].Attempts[Turn.Id] = MostTokens;
  const std::uint64_t Tokens = Choice.below(MostTokens + 1);
  if (Settings.Planted == planted_history_fault::LateReservation)
    Programs[Program].Delivered += Tokens;
  replica_request Request;
  Request.Operation = replica_operation::Reserve;
  Request.Program = Turn.Program;
  Request.Entry = {Turn.Id, MostTokens, false};
  Request.RetentionMs = RetentionMs;
  Request.Previous = Previous;
  Request.WantChain = true;
  ask(Edge, std::move(Request), ReserveLimit,
      [this, Edge, Program, Turn, Text, Known, Tokens,
       Before = Programs[Program].Attempts](const quorum_round *Round) {
        model_budget &Budget = Programs[Program];
        if (!Round) {
          ++Result.Refused;
          settle(Edge, Program, Turn.Id, 0);
          return;
        }
        const merged_reservation View = mergeReservation(*Round, Turn.Id);
        if (checkBudget(View.OtherAttemptTokens, MostTokens, Budget.Budget) ==
            budget_decision::Spent) {
          // Answers show some moment between the question and now: what was
          // settled meanwhile may still have counted with its most.
          std::uint64_t Sum = 0;
          for (const auto &[Attempt, Tokens] : Budget.Attempts) {
            const auto Earlier = Before.find(Attempt);
            Sum += std::max(Tokens, Earlier == Before.end() ? MostTokens
                                                            : Earlier->second);
          }
          if (Sum <= Budget.Budget)
            breach(Turn.Id + " was refused though the budget of " +
                   Budget.Name + " holds it");
          ++Result.Spent;
          settle(Edge, Program, Turn.Id, 0);
          return;
        }
        if (!Turn.Previous.empty() && !View.PreviousFound) {
          if (Known)
            breach("the acknowledged turn " + Turn.Previous + " was denied");
          settle(Edge, Program, Turn.Id, 0);
          return;
        }
        if (!Known) {
          breach("a turn that never was is known");
          return;
        }
        std::map<std::string, turn_record> Turns;
        for (const turn_record &Part : View.Turns)
          Turns.emplace(Part.Id, Part);
        readChain(Edge, Turn.Previous, std::move(Turns),
                  [this, Edge, Program, Turn, Text,
                   Tokens](std::optional<std::string> Chain) {
                    if (!Chain) {
                      settle(Edge, Program, Turn.Id, 0);
                      return;
                    }
                    if (*Chain != Text) {
                      breach("the chain of " + Turn.Previous + " is \"" +
                             *Chain + "\" instead of \"" + Text + "\"");
                      return;
                    }
                    handOut(Edge, Program, Turn, *Chain, Tokens);
                  });
      });
}

void history_world::readChain(
    std::size_t Edge, const std::string &Previous,
    std::map<std::string, turn_record> Turns,
    std::function<void(std::optional<std::string>)> OnDone) {
  const joined_chain View = joinChain(Turns, Previous);
  if (View.Missing.empty()) {
    OnDone(View.Text);
    return;
  }
  replica_request Request;
  Request.Operation = replica_operation::Read;
  Request.Turns = {View.Missing};
  ask(Edge, std::move(Request), ReserveLimit,
      [this, Edge, Previous, Turns, OnDone,
       Missing = View.Missing](const quorum_round *Round) mutable {
        bool Found = false;
        if (Round)
          for (const auto &Answer : Round->Answers) {
            if (!Answer)
              continue;
            Found = Found || holdsTurn(*Answer, Missing);
            for (const turn_record &Turn : Answer->Turns)
              Turns.emplace(Turn.Id, Turn);
          }
        if (Round && !Found)
          breach("the acknowledged turn " + Missing + " is lost");
        if (!Found) {
          OnDone(std::nullopt);
          return;
        }
        readChain(Edge, Previous, std::move(Turns), std::move(OnDone));
      });
}

void history_world::handOut(std::size_t Edge, std::size_t Program,
                            turn_record Turn, std::string Chain,
                            std::uint64_t Tokens) {
  const std::uint64_t Life = Edges[Edge].Life;
  // Some of it has reached the caller whatever happens to the instance.
  const bool Late = Settings.Planted == planted_history_fault::LateReservation;
  Programs[Program].Delivered += Late ? 0 : Tokens;
  checkBudgets();
  Clock.after(Choice.between(milliseconds(20), milliseconds(300)),
              [this, Edge, Program, Turn = std::move(Turn),
               Chain = std::move(Chain), Tokens, Life]() mutable {
                if (Edges[Edge].Life != Life)
                  return;
                if (Choice.chance(100)) { // The runner breaks off.
                  settle(Edge, Program, Turn.Id, Tokens);
                  return;
                }
                Turn.Tokens = Tokens;
                Turn.Output = "[" + Turn.Id + "]\n";
                commit(Edge, Program, Turn, Chain);
              });
}

void history_world::commit(std::size_t Edge, std::size_t Program,
                           const turn_record &Turn, const std::string &Chain) {
  replica_request Request;
  Request.Operation = replica_operation::Commit;
  Request.Program = Turn.Program;
  Request.Turn = Turn;
  ask(Edge, std::move(Request), CommitLimit,
      [this, Program, Turn, Chain](const quorum_round *Round) {
        if (!Round)
          return;
        Programs[Program].Attempts[Turn.Id] = Turn.Tokens;
        Programs[Program].Turns.push_back(
            {Turn.Id, Turn.Previous, Chain + Turn.Input + Turn.Output});
        ++Result.Turns;
      });
}

void history_world::settle(std::size_t Edge, std::size_t Program,
                           const std::string &Attempt, std::uint64_t Tokens) {
  replica_request Request;
  Request.Operation = replica_operation::Settle;
  Request.Program = Programs[Program].Name;
  Request.Entry = {Attempt, Tokens, true};
  Request.RetentionMs = RetentionMs;
  ask(Edge, std::move(Request), CommitLimit,
      [this, Program, Attempt, Tokens](const quorum_round *Round) {
        if (Round)
          Programs[Program].Attempts[Attempt] = Tokens;
      });
}

void history_world::checkBudgets() {
  for (const model_budget &Program : Programs)
    if (Program.Delivered > Program.Budget + MostTokens)
      breach(Program.Name + " has handed out " +
             std::to_string(Program.Delivered) + " of " +
             std::to_string(Program.Budget));
}

/// Every acknowledged turn can be continued once all faults are over.
void history_world::checkAtTheEnd() {
  for (std::size_t Program = 0; Program < Programs.size(); ++Program)
    for (const model_turn &Turn : Programs[Program].Turns) {
      replica_request Request;
      Request.Operation = replica_operation::Read;
      Request.Turns = {Turn.Id};
      const std::size_t Edge = Choice.below(Edges.size());
      ask(Edge, std::move(Request), seconds(10),
          [this, Id = Turn.Id](const quorum_round *Round) {
            if (!Round) {
              breach("the replicas do not answer for " + Id);
              return;
            }
            const bool Found =
                std::any_of(Round->Answers.begin(), Round->Answers.end(),
                            [&](const auto &Answer) {
                              return Answer && holdsTurn(*Answer, Id);
                            });
            if (!Found)
              breach("the acknowledged turn " + Id + " is lost at the end");
          });
    }
}

} // namespace lentilhoist
