/// The callers of an exploration.
#include "explore/world.h"

#include "call/dispatch_request.h"
#include "decision/call_flow.h"

#include <fmt/format.h>

namespace lentilhoist {

namespace {

constexpr milliseconds LeastPatience{800};
constexpr milliseconds MostPatience{7'000};
constexpr milliseconds NetworkMost{20};
constexpr milliseconds RetryLeast{20};
constexpr milliseconds RetryMost{500};
constexpr std::size_t ProgramCount = 3;
constexpr std::uint64_t MostCalls = 6;
constexpr std::uint64_t TokenBudget = 6'000;

std::string joinMessages(const std::string &Joined, const std::string &Array) {
  const std::string Elements = Array.substr(1, Array.size() - 2);
  return Joined.empty() ? Elements : Joined + ',' + Elements;
}

} // namespace

void world::makePrograms() {
  for (std::size_t Index = 0; Index < ProgramCount; ++Index) {
    model_program Program;
    Program.Create.Program = {0, 100 + Index};
    Program.Create.Tenant = "tenant";
    Program.Create.Class = "class";
    const bool Child = Index > 0 && Choice.chance(300);
    Program.Create.HasParent = Child;
    Program.Create.Parent = {0, 100};
    Program.Create.Budget = {Child ? TokenBudget / 4 : TokenBudget, 50,
                             600'000};
    const std::uint64_t Count = 2 + Choice.below(MostCalls - 1);
    for (std::uint32_t Number = 1; Number <= Count; ++Number) {
      call_request Call;
      Call.Program = Program.Create.Program;
      Call.Call = Number;
      constexpr std::array Kinds{call_kind::Model, call_kind::ExclusiveService,
                                 call_kind::ExclusiveService,
                                 call_kind::IdempotentService};
      Call.Kind = Kinds[Choice.below(Kinds.size())];
      if (Call.Kind != call_kind::Model)
        Call.Service = "service";
      Call.Body = fmt::format(R"(["p{}c{}"])", Index, Number);
      Program.Calls.push_back(std::move(Call));
    }
    Programs.push_back(std::move(Program));
  }
}

void world::sendRequest(std::size_t Index, const owner_request &Request,
                        answer_handler OnAnswer) {
  const call_ticket Ticket = NextTicket++;
  Tickets[Ticket] = std::move(OnAnswer);
  Clock.after(Choice.between(LeastPatience, MostPatience), [this, Ticket] {
    const auto Found = Tickets.find(Ticket);
    if (Found == Tickets.end())
      return;
    const auto Handler = std::move(Found->second);
    Tickets.erase(Found);
    call_answer Silent = makeErrorAnswer(error_code::Timeout, "no answer");
    Silent.Run = run_state::OutcomeUnknown;
    Handler(Silent);
  });
  const bool Lost = FaultsOn && Choice.chance(30);
  if (Lost)
    return;
  Clock.after(Choice.between(milliseconds(0), NetworkMost),
              [this, Index, Request, Ticket] {
                onInstance(Index, [this, Index, Request, Ticket] {
                  action_list Actions;
                  shard_owner &Owner = Instances[Index].Owner;
                  dispatchRequest(Request, Ticket, Clock.now(), Owner, Actions);
                  const auto *Call = std::get_if<call_request>(&Request);
                  if (Call != nullptr &&
                      Settings.Planted == planted_fault::SendBeforeIntent)
                    sendBeforeIntent(Index, *Call);
                  perform(Index, Actions);
                });
              });
}

void world::createProgram(std::size_t Index) {
  const auto Again = [this, Index] {
    Clock.after(Choice.between(RetryLeast, RetryMost),
                [this, Index] { createProgram(Index); });
  };
  sendRequest(Choice.below(Instances.size()), Programs[Index].Create,
              [this, Index, Again](const call_answer &Answer) {
                model_program &Program = Programs[Index];
                if (Answer.Code == error_code::None) {
                  Program.Created = true;
                  issueCall(Index);
                } else if (Answer.Code == error_code::ProgramEnded ||
                           Answer.Code == error_code::BudgetExhausted) {
                  Program.Create.HasParent = false;
                  Again();
                } else {
                  Again();
                }
              });
}

void world::issueCall(std::size_t Index) {
  model_program &Program = Programs[Index];
  if (Program.Finished)
    return;
  if (Program.Next == Program.Calls.size()) {
    Program.Finished = true;
    endProgram(Index);
    return;
  }
  const call_request Request = Program.Calls[Program.Next];
  Program.Issue = NextIssue++;
  sendCall(Index, Request, Program.Issue);
  // The same call at the same time at another instance.
  if (FaultsOn && Choice.chance(150))
    sendCall(Index, Request, Program.Issue);
  // A broken caller that sends another body under the same number.
  if (FaultsOn && Choice.chance(50)) {
    call_request Other = Request;
    Other.Body = R"(["another body"])";
    const std::size_t To = Choice.below(Instances.size());
    Clock.after(milliseconds(400), [this, To, Other, Index] {
      const bool Known = Programs[Index].Next >= Other.Call;
      if (!Known)
        return;
      sendRequest(To, Other, [this, Other](const call_answer &Answer) {
        // An owner that does not know yet that it was replaced may run it, but
        // must not say that it is durable.
        if (Answer.Code == error_code::None &&
            Answer.CommittedThrough >= Other.Call)
          breach("a call with another body was answered as durable");
      });
    });
  }
}

void world::sendCall(std::size_t Index, const call_request &Request,
                     std::uint64_t Issue) {
  Programs[Index].OpenIssues.insert(Issue);
  sendRequest(Choice.below(Instances.size()), Request,
              [this, Index, Issue, Request](const call_answer &Answer) {
                onCallAnswer(Index, Issue, Request, Answer);
              });
}

void world::onCallAnswer(std::size_t Index, std::uint64_t Issue,
                         const call_request &Request,
                         const call_answer &Answer) {
  model_program &Program = Programs[Index];
  const bool Current = Program.Issue == Issue && !Program.Finished &&
                       Program.Next + 1 == Request.Call;
  note(fmt::format("caller of {}: call {} {} {} durable {}{}",
                   formatProgramId(Request.Program), Request.Call,
                   errorCodeName(Answer.Code), runStateName(Answer.Run),
                   Answer.CommittedThrough, Current ? "" : " (stale)"));
  if (!Current)
    return;
  const bool Settled = (Answer.Code == error_code::None ||
                        Answer.Code == error_code::OutcomeUnknown) &&
                       Answer.CommittedThrough >= Request.Call;
  if (Settled) {
    acceptAnswer(Index, Answer);
    return;
  }
  const bool Over = Answer.Code == error_code::BudgetExhausted ||
                    Answer.Code == error_code::ProgramEnded;
  if (Over) {
    Program.Finished = true;
    endProgram(Index);
    return;
  }
  if (Answer.Code == error_code::CallConflict ||
      Answer.Code == error_code::OutOfOrder) {
    breach(fmt::format("call {} of {} was refused: {}", Request.Call,
                       formatProgramId(Request.Program), Answer.Body));
    return;
  }
  Program.Issue = 0;
  Clock.after(Choice.between(RetryLeast, RetryMost),
              [this, Index] { issueCall(Index); });
}

void world::checkDurable(const model_program &Program,
                         const call_answer &Answer) {
  const auto Found = Store.Truth.Programs.find(Program.Create.Program);
  const bool Present = Found != Store.Truth.Programs.end() &&
                       Found->second.Calls.size() > Program.Next;
  if (!Present) {
    breach(fmt::format("call {} of {} was answered as durable but is not",
                       Program.Next + 1,
                       formatProgramId(Program.Create.Program)));
    return;
  }
  const recorded_call &Call = Found->second.Calls[Program.Next];
  const bool Same =
      Call.Response == Answer.Body || Answer.Run == run_state::OutcomeUnknown;
  if (!Same)
    breach(fmt::format("call {} of {} was answered with another response",
                       Program.Next + 1,
                       formatProgramId(Program.Create.Program)));
}

void world::acceptAnswer(std::size_t Index, const call_answer &Answer) {
  model_program &Program = Programs[Index];
  const call_request &Request = Program.Calls[Program.Next];
  checkDurable(Program, Answer);
  if (Request.Kind == call_kind::Model) {
    const std::string Expected = modelAnswer(Program.History, Request.Body);
    if (Answer.Body != Expected)
      breach(fmt::format("call {} of {} was answered for another history",
                         Request.Call, formatProgramId(Request.Program)));
    Program.History = joinMessages(Program.History, Request.Body);
    Program.History = joinMessages(Program.History, Answer.Body);
  }
  const int Runs = Runners.Runs[{Request.Program, Request.Call}];
  const bool Exclusive = Request.Kind == call_kind::ExclusiveService;
  if (Exclusive && Answer.Run == run_state::Ran && Runs != 1)
    breach(fmt::format("call {} of {} was answered but ran {} times",
                       Request.Call, formatProgramId(Request.Program), Runs));
  Program.Responses.push_back(Answer.Body);
  Program.Runs.push_back(Answer.Run);
  ++Program.Next;
  ++Result.Calls;
  Clock.after(Choice.between(milliseconds(10), milliseconds(3'000)),
              [this, Index] { issueCall(Index); });
}

void world::endProgram(std::size_t Index) {
  sendRequest(Choice.below(Instances.size()),
              end_request{Programs[Index].Create.Program, end_reason::Caller},
              [this, Index](const call_answer &Answer) {
                if (Answer.Code == error_code::None) {
                  Programs[Index].Ended = true;
                  return;
                }
                Clock.after(Choice.between(RetryLeast, RetryMost),
                            [this, Index] { endProgram(Index); });
              });
}

} // namespace lentilhoist
