#pragma once

#include "core/instant.h"
#include "history/replica_message.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace lentilhoist {

/// Maximum age of an answer that counts towards a quorum, so that all counted
/// answers lie within this time of each other. A replica that loses its disk
/// after it has answered can be complete again in under a second, and its
/// earlier answer no longer describes what it holds.
inline constexpr milliseconds AnswerWindow{400};

/// Answers to one request that is sent to all replicas of a set.
struct quorum_round {
  std::size_t Needed = 0; ///< Answers of complete replicas that form a quorum.
  /// hashReplicas() of the set. Answers of replicas that know another set of
  /// the version don't count.
  std::uint64_t SetReplicas = 0;
  /// Latest answer of each slot.
  std::vector<std::optional<replica_reply>> Answers;
  std::vector<instant> ReceivedAt; ///< Arrival time of each answer.
};

/// Starts a round without answers.
/// \param Set the replica set that the request is sent to.
/// \returns a round that requires the larger of the write and read quorum.
quorum_round beginRound(const replica_set &Set);

/// Records an answer; replaces an earlier one of the same slot.
/// \param Round the round.
/// \param Slot index of the slot that answered.
/// \param Reply the answer.
/// \param Now the current time.
void addAnswer(quorum_round &Round, std::size_t Slot, replica_reply Reply,
               instant Now);

/// \param Round the round.
/// \param Now the current time.
/// \returns whether enough complete replicas have answered within AnswerWindow.
bool hasQuorum(const quorum_round &Round, instant Now);

/// \param Round the round.
/// \returns whether so many requests or replies can't be read that the others
/// form no quorum.
bool isUnreadable(const quorum_round &Round);

/// \param Round the round.
/// \param Now the current time.
/// \returns indices of the slots whose answer is older than AnswerWindow and
/// must be requested again.
std::vector<std::size_t> staleAnswerSlots(const quorum_round &Round,
                                          instant Now);

/// Result of a budget check.
enum class budget_decision {
  Granted,
  Spent, ///< The remaining budget is smaller than the maximum of the turn.
};

/// \param Reply an answer.
/// \returns whether its turns are whole. A replica that refuses may not have
/// been able to read them.
bool hasWholeTurns(const replica_reply &Reply);

/// Combined answers of a quorum to a reservation.
struct merged_reservation {
  std::uint64_t OtherAttemptTokens =
      0; ///< Reserved or used by the other attempts.
  bool PreviousFound = false;
  runner_incarnation PreviousRunner; ///< Runner of the turn that is continued.
  std::vector<turn_record> Turns;    ///< Of the chain; may repeat or lack some.
};

/// Merges the answers to a reservation. An entry that any replica reports as
/// settled is settled.
/// \param Round a round with a quorum.
/// \param Attempt the reserving attempt; its own entry is not counted.
/// \param Owner owner of the reservation, see mayRead(). Turns of others count
/// as not found; replicas of an older build return them.
/// \returns the merged reservation.
merged_reservation mergeReservation(const quorum_round &Round,
                                    const std::string &Attempt,
                                    const std::string &Owner = "");

/// \param OtherAttemptTokens tokens reserved or used by the other attempts of
/// the program.
/// \param MaxTokens maximum number of tokens that this attempt may generate.
/// \param Budget the program's budget in tokens.
/// \returns whether the maximum of the attempt fits into the budget.
budget_decision checkBudget(std::uint64_t OtherAttemptTokens,
                            std::uint64_t MaxTokens, std::uint64_t Budget);

/// Text of a chain of turns, as the next request needs it.
struct joined_chain {
  std::string Text;    ///< Inputs and outputs, oldest first.
  std::string Missing; ///< Id of the latest missing turn; empty if none is.
  /// The texts to read, oldest first, if some turns are listed without theirs;
  /// Text is empty then.
  std::vector<text_part> Parts;
};

/// Joins the texts of a chain.
/// \param[in,out] Turns the available turns by id. Once none is missing, their
/// texts are moved out one by one: a chain may take up much of the memory.
/// \param Last id of the last turn of the chain.
/// \returns the joined text, or its parts, or the id of a missing turn.
joined_chain joinChain(std::map<std::string, turn_record> &Turns,
                       const std::string &Last);

/// Frees the texts of turns if they are larger than a limit together. Those
/// whose size their replica doesn't state stay: it returns no parts of texts.
/// \param[in,out] Turns turns by id.
/// \param MaxBytes the limit, in bytes.
void limitTexts(std::map<std::string, turn_record> &Turns,
                std::size_t MaxBytes);

} // namespace lentilhoist
