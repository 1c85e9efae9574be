#include "history/quorum.h"

#include "history/ownership.h"

#include <algorithm>
#include <utility>

namespace lentilhoist {

namespace {

bool isWithinWindow(instant Received, instant Now) {
  return Now.Steady - Received.Steady <= AnswerWindow;
}

bool countsTowardsQuorum(const quorum_round &Round, std::size_t Slot,
                         instant Now) {
  const auto &Answer = Round.Answers[Slot];
  return Answer && Answer->Status == replica_status::Done &&
         (Answer->SetReplicas == 0 ||
          Answer->SetReplicas == Round.SetReplicas) &&
         isWithinWindow(Round.ReceivedAt[Slot], Now);
}

std::uint64_t sizeOfTexts(const turn_record &Turn) {
  return Turn.TextBytes != 0 ? Turn.TextBytes
                             : Turn.Input.size() + Turn.Output.size();
}

} // namespace

quorum_round beginRound(const replica_set &Set) {
  quorum_round Round;
  Round.Needed = std::max(Set.writeQuorum(), Set.readQuorum());
  Round.SetReplicas = hashReplicas(Set);
  Round.Answers.resize(Set.Slots.size());
  Round.ReceivedAt.resize(Set.Slots.size());
  return Round;
}

void addAnswer(quorum_round &Round, std::size_t Slot, replica_reply Reply,
               instant Now) {
  Round.Answers[Slot] = std::move(Reply);
  Round.ReceivedAt[Slot] = Now;
}

bool hasQuorum(const quorum_round &Round, instant Now) {
  std::size_t Count = 0;
  for (std::size_t Slot = 0; Slot < Round.Answers.size(); ++Slot)
    Count += countsTowardsQuorum(Round, Slot, Now) ? 1 : 0;
  return Count >= Round.Needed;
}

bool isUnreadable(const quorum_round &Round) {
  const auto Unreadable = std::count_if(
      Round.Answers.begin(), Round.Answers.end(),
      [](const std::optional<replica_reply> &Answer) {
        return Answer && Answer->Status == replica_status::Unreadable;
      });
  return Round.Answers.size() - static_cast<std::size_t>(Unreadable) <
         Round.Needed;
}

std::vector<std::size_t> staleAnswerSlots(const quorum_round &Round,
                                          instant Now) {
  std::vector<std::size_t> Slots;
  for (std::size_t Slot = 0; Slot < Round.Answers.size(); ++Slot)
    if (Round.Answers[Slot] && !isWithinWindow(Round.ReceivedAt[Slot], Now))
      Slots.push_back(Slot);
  return Slots;
}

bool hasWholeTurns(const replica_reply &Reply) {
  return Reply.Status == replica_status::Done ||
         Reply.Status == replica_status::Incomplete;
}

merged_reservation mergeReservation(const quorum_round &Round,
                                    const std::string &Attempt,
                                    const std::string &Owner) {
  merged_reservation Result;
  bool Own = false;     // A replica knows the turn as one of this owner.
  bool Foreign = false; // A replica knows a turn as one of another owner.
  std::map<std::string, ledger_entry> Entries;
  for (const auto &Answer : Round.Answers) {
    if (!Answer)
      continue;
    Result.PreviousFound = Result.PreviousFound || Answer->PreviousFound;
    if (!Answer->PreviousRunner.Id.empty())
      Result.PreviousRunner = Answer->PreviousRunner;
    if (!mayRead(Answer->PreviousWorkspace, Owner))
      Foreign = true;
    else if (!Answer->PreviousWorkspace.empty())
      Own = true;
    for (const turn_record &Turn : Answer->Turns)
      if (!mayRead(Turn.Workspace, Owner))
        Foreign = true;
      else if (hasWholeTurns(*Answer))
        Result.Turns.push_back(Turn);
    for (const ledger_entry &Entry : Answer->Ledger) {
      const auto [Found, Added] = Entries.try_emplace(Entry.Attempt, Entry);
      if (!Added && Entry.Settled && !Found->second.Settled)
        Found->second = Entry;
    }
  }
  // A replica of an older build doesn't keep the owner, so that a turn without
  // one may be another's.
  Result.PreviousFound = Result.PreviousFound && (Own || !Foreign);
  if (!Result.PreviousFound) {
    Result.Turns.clear();
    Result.PreviousRunner = {};
  }
  for (const auto &[Id, Entry] : Entries)
    if (Id != Attempt)
      Result.OtherAttemptTokens += Entry.Tokens;
  return Result;
}

budget_decision checkBudget(std::uint64_t OtherAttemptTokens,
                            std::uint64_t MaxTokens, std::uint64_t Budget) {
  return OtherAttemptTokens <= Budget &&
                 MaxTokens <= Budget - OtherAttemptTokens
             ? budget_decision::Granted
             : budget_decision::Spent;
}

void limitTexts(std::map<std::string, turn_record> &Turns,
                std::size_t MaxBytes) {
  std::uint64_t Bytes = 0;
  for (const auto &[Id, Turn] : Turns)
    Bytes += sizeOfTexts(Turn);
  if (Bytes <= MaxBytes)
    return;
  for (auto &[Id, Turn] : Turns)
    if (Turn.TextBytes != 0)
      Turn = withoutTexts(Turn);
}

joined_chain joinChain(std::map<std::string, turn_record> &Turns,
                       const std::string &Last) {
  joined_chain Result;
  std::vector<turn_record *> Chain;
  std::size_t Bytes = 0;
  bool Whole = true;
  for (std::string Id = Last; !Id.empty();) {
    const auto Found = Turns.find(Id);
    // A chain longer than the number of turns is a cycle in corrupt records.
    if (Found == Turns.end() || Chain.size() > Turns.size()) {
      Result.Missing = Id;
      return Result;
    }
    Chain.push_back(&Found->second);
    Whole = Whole && hasTexts(Found->second);
    Bytes += Found->second.Input.size() + Found->second.Output.size();
    Id = Found->second.Previous;
  }
  if (!Whole) {
    for (auto Turn = Chain.rbegin(); Turn != Chain.rend(); ++Turn)
      Result.Parts.push_back({(*Turn)->Id, 0, sizeOfTexts(**Turn)});
    return Result;
  }
  Result.Text.reserve(Bytes);
  for (auto Turn = Chain.rbegin(); Turn != Chain.rend(); ++Turn) {
    Result.Text += std::exchange((*Turn)->Input, {});
    Result.Text += std::exchange((*Turn)->Output, {});
  }
  return Result;
}

} // namespace lentilhoist
