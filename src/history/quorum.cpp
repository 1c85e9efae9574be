#include "history/quorum.h"

#include <algorithm>

namespace lentilhoist {

namespace {

bool isRecent(instant Answered, instant Now) {
  return Now.Steady - Answered.Steady <= AnswerWindow;
}

bool counts(const quorum_round &Round, std::size_t Slot, instant Now) {
  const auto &Answer = Round.Answers[Slot];
  return Answer && Answer->Status == replica_status::Done &&
         isRecent(Round.ReceivedAt[Slot], Now);
}

} // namespace

quorum_round beginRound(const replica_set &Set) {
  quorum_round Round;
  Round.Needed = std::max(Set.writeQuorum(), Set.readQuorum());
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
    Count += counts(Round, Slot, Now) ? 1 : 0;
  return Count >= Round.Needed;
}

std::vector<std::size_t> staleAnswerSlots(const quorum_round &Round,
                                          instant Now) {
  std::vector<std::size_t> Slots;
  for (std::size_t Slot = 0; Slot < Round.Answers.size(); ++Slot)
    if (Round.Answers[Slot] && !isRecent(Round.ReceivedAt[Slot], Now))
      Slots.push_back(Slot);
  return Slots;
}

merged_reservation mergeReservation(const quorum_round &Round,
                                    const std::string &Attempt) {
  merged_reservation View;
  std::map<std::string, ledger_entry> Entries;
  for (const auto &Answer : Round.Answers) {
    if (!Answer)
      continue;
    View.PreviousFound = View.PreviousFound || Answer->PreviousFound;
    if (!Answer->PreviousRunner.Id.empty())
      View.PreviousRunner = Answer->PreviousRunner;
    View.Turns.insert(View.Turns.end(), Answer->Turns.begin(),
                      Answer->Turns.end());
    for (const ledger_entry &Entry : Answer->Ledger) {
      const auto [Found, Added] = Entries.try_emplace(Entry.Attempt, Entry);
      if (!Added && Entry.Settled && !Found->second.Settled)
        Found->second = Entry;
    }
  }
  for (const auto &[Id, Entry] : Entries)
    if (Id != Attempt)
      View.OthersTokens += Entry.Tokens;
  return View;
}

budget_decision checkBudget(std::uint64_t OthersTokens, std::uint64_t Most,
                            std::uint64_t Budget) {
  return OthersTokens <= Budget && Most <= Budget - OthersTokens
             ? budget_decision::Granted
             : budget_decision::Spent;
}

joined_chain joinChain(const std::map<std::string, turn_record> &Turns,
                       const std::string &Last) {
  joined_chain View;
  std::vector<const turn_record *> Chain;
  for (std::string Id = Last; !Id.empty();) {
    const auto Found = Turns.find(Id);
    // More turns than are at hand can only be a cycle of broken records.
    if (Found == Turns.end() || Chain.size() > Turns.size()) {
      View.Missing = Id;
      return View;
    }
    Chain.push_back(&Found->second);
    Id = Found->second.Previous;
  }
  for (auto Turn = Chain.rbegin(); Turn != Chain.rend(); ++Turn) {
    View.Text += (*Turn)->Input;
    View.Text += (*Turn)->Output;
  }
  return View;
}

} // namespace lentilhoist
