#pragma once

#include "core/instant.h"
#include "history/replica_message.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace lentilhoist {

/// Answers count for one quorum only if they came within this time of each
/// other: a replica that lost its disk after its answer can be back and
/// complete again in under a second.
inline constexpr milliseconds AnswerWindow{400};

/// The answers of one question to all replicas of a set.
struct quorum_round {
  std::size_t Needed = 0; ///< Complete answers that decide.
  /// Newest answer of each slot.
  std::vector<std::optional<replica_reply>> Answers;
  std::vector<instant> ReceivedAt; ///< When each answer came.
};

/// \param Set the replica set that is asked.
/// \returns a round that needs enough answers to be durable and certain.
quorum_round beginRound(const replica_set &Set);

/// Adds an answer.
/// \param Round the round.
/// \param Slot the slot that answered.
/// \param Reply its answer.
/// \param Now the present time.
void addAnswer(quorum_round &Round, std::size_t Slot, replica_reply Reply,
               instant Now);

/// \param Round the round.
/// \param Now the present time.
/// \returns whether enough complete replicas have answered close together.
bool hasQuorum(const quorum_round &Round, instant Now);

/// \param Round the round.
/// \param Now the present time.
/// \returns slots whose answer is too old to count and is to be asked again.
std::vector<std::size_t> staleAnswerSlots(const quorum_round &Round,
                                          instant Now);

/// Whether a program may hand out more tokens.
enum class budget_decision {
  Granted,
  Spent, ///< The budget does not hold the most that the turn may generate.
};

/// What a decided reservation says.
struct merged_reservation {
  std::uint64_t OthersTokens = 0; ///< Drawn by the program's other attempts.
  bool PreviousFound = false;
  runner_incarnation PreviousRunner; ///< Where the turn that is continued ran.
  std::vector<turn_record> Turns;    ///< Of the chain; may have gaps.
};

/// Merges the answers to a reservation. An entry that any replica knows as
/// settled is settled.
/// \param Round the decided round.
/// \param Attempt the attempt that reserves.
/// \returns the merged view.
merged_reservation mergeReservation(const quorum_round &Round,
                                    const std::string &Attempt);

/// \param OthersTokens tokens drawn by the program's other attempts.
/// \param Most most that this attempt may generate.
/// \param Budget the program's budget.
/// \returns whether the attempt fits.
budget_decision checkBudget(std::uint64_t OthersTokens, std::uint64_t Most,
                            std::uint64_t Budget);

/// A chain of turns as the next request needs it.
struct joined_chain {
  std::string Text;    ///< Inputs and outputs in order, oldest first.
  std::string Missing; ///< First turn, from the end, that is not at hand.
};

/// Joins a chain.
/// \param Turns the turns at hand.
/// \param Last the turn at its end.
/// \returns its text, or the id of a turn that is missing.
joined_chain joinChain(const std::map<std::string, turn_record> &Turns,
                       const std::string &Last);

} // namespace lentilhoist
