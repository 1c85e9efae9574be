#pragma once

#include "decision/shard_owner.h"

namespace lentilhoist {

/// Steps shared by the source files that implement call_flow.h; internal to
/// the decision library.

/// Answers a caller.
/// \param Ticket waiting caller; nothing is done for 0.
/// \param Answer answer to send.
/// \param[out] Actions receives the answer.
void answer(call_ticket Ticket, call_answer Answer, action_list &Actions);

/// Answers from the state in memory, once it is verified that no other
/// instance has taken the shard in the meantime: when pending records are
/// committed, or, without pending records, after a check of the next journal
/// entry.
/// \param Ticket waiting caller; nothing is done for 0.
/// \param Answer answer to send.
/// \param Now current time.
/// \param[in,out] Owner owner of the shard.
/// \param[out] Actions receives the check of the journal.
void answerAfterOwnershipCheck(call_ticket Ticket, call_answer Answer,
                               instant Now, shard_owner &Owner,
                               action_list &Actions);

/// \param Owner a shard_owner that does not own its shard.
/// \returns an error answer that names the instance to ask, if it is known.
/// Its run state is OutcomeUnknown, as another owner may run the call.
call_answer makeNotOwnerAnswer(const shard_owner &Owner);

/// \param Call a completed call.
/// \param DurableCall last durable call of its program.
/// \returns the answer to the call as recorded.
call_answer answerFromHistory(const recorded_call &Call,
                              std::uint32_t DurableCall);

/// \param Program program of the shard.
/// \param Owner owner of the shard.
/// \returns the program's last completed call that is durable, 0 if none.
std::uint32_t durableCall(const program_state &Program,
                          const shard_owner &Owner);

/// \param Program program to check.
/// \param Now current time.
/// \returns whether the program has used up its wall-time budget.
bool wallTimeExhausted(const program_state &Program, instant Now);

/// Draws tokens from the durable reservation. Later reservations that are not
/// yet durable must cover the draw as well, as they replace the present one.
/// \param Tokens number of tokens.
/// \param[in,out] Grant the program's grant.
/// \returns whether the grant covers the draw; otherwise nothing is drawn.
bool drawTokens(std::uint64_t Tokens, token_grant &Grant);

/// Returns the tokens drawn for an attempt that never ran.
/// \param Tokens number of tokens.
/// \param[in,out] Grant the program's grant.
void returnTokens(std::uint64_t Tokens, token_grant &Grant);

/// \param Program program that issued the call.
/// \param Used tokens that the current call used or lost.
/// \param PromptTokens size of the next prompt without new messages, in
/// tokens.
/// \param Settings settings of the owner.
/// \returns the tokens to reserve for the calls after the current one, at most
/// what the budget leaves.
std::uint64_t tokensToReserveAhead(const program_state &Program,
                                   std::uint64_t Used,
                                   std::uint64_t PromptTokens,
                                   const owner_settings &Settings);

/// Appends a reservation and adds it to the program's pending reservations.
/// \param Record reservation to append.
/// \param[in,out] Owner owner of the shard.
/// \returns the entry that will hold the record.
entry_number appendReservation(const tokens_reserved &Record,
                               shard_owner &Owner);

/// Computes the token bounds of a model call and starts the call. If the
/// history is not in memory or the grant does not cover the bounds, the call
/// stays in stage Preparing until they are loaded or reserved.
/// \param Program program that issued the call.
/// \param[in,out] Call call to prepare.
/// \param Now current time.
/// \param[in,out] Owner owner of the shard.
/// \param[out] Actions receives the attempt, the reads or the write.
/// \returns false if the program's token budget does not cover the prompt.
bool prepareModelCall(const program_state &Program, active_call &Call,
                      instant Now, shard_owner &Owner, action_list &Actions);

/// \param Owner owner of the shard.
/// \returns the programs that have an active call. A copy, so that calls may
/// be added or removed while it is traversed.
std::vector<program_id> activePrograms(const shard_owner &Owner);

/// Continues a call in stage Preparing once its texts are loaded or its
/// records are durable.
/// \param Id program that issued the call.
/// \param[in,out] Call call to continue; may be removed.
/// \param Now current time.
/// \param[in,out] Owner owner of the shard.
/// \param[out] Actions receives the attempt or the write.
void resumePreparingCall(const program_id &Id, active_call &Call, instant Now,
                         shard_owner &Owner, action_list &Actions);

/// Withdraws the intent of a call that was never sent.
/// \param Refusal answer to the callers once the withdrawal is durable.
/// \param Now current time.
/// \param[in,out] Call call to withdraw.
/// \param[in,out] Owner owner of the shard.
/// \param[out] Actions receives the write.
void withdrawCall(const call_answer &Refusal, instant Now, active_call &Call,
                  shard_owner &Owner, action_list &Actions);

/// Starts the next attempt of a call.
/// \param Program program that issued the call.
/// \param[in,out] Call call to run; a model call has drawn its tokens.
/// \param Now current time.
/// \param[in,out] Owner owner of the shard.
/// \param[out] Actions receives the attempt.
void startAttempt(const program_state &Program, active_call &Call, instant Now,
                  shard_owner &Owner, action_list &Actions);

/// Removes a program's active call, answers its callers, ends the program if
/// that was requested during the call, and retries held calls.
/// \param Program program that issued the call.
/// \param Answer answer to all waiting callers.
/// \param Now current time.
/// \param[in,out] Owner owner of the shard.
/// \param[out] Actions receives the answers and the actions of the calls that
/// were held.
void finishCall(const program_id &Program, const call_answer &Answer,
                instant Now, shard_owner &Owner, action_list &Actions);

/// Appends the completion record of a call, which then waits in stage
/// Committing until the record is durable.
/// \param Result result to record.
/// \param Now current time.
/// \param[in,out] Call call to complete.
/// \param[in,out] Owner owner of the shard.
/// \param[out] Actions receives the write.
void completeCall(const attempt_result &Result, instant Now, active_call &Call,
                  shard_owner &Owner, action_list &Actions);

/// Starts to read all texts of a program's history that are not in memory.
/// \param Program program whose history is required.
/// \param[in,out] Owner owner of the shard.
/// \param[out] Actions receives the reads.
/// \returns whether all texts are already in memory.
bool ensureTextsLoaded(const program_state &Program, shard_owner &Owner,
                       action_list &Actions);

/// Starts to read an entry for its texts, unless a read is already in progress.
/// \param Number entry to read.
/// \param[in,out] Owner owner of the shard.
/// \param[out] Actions receives the read.
void loadEntry(entry_number Number, shard_owner &Owner, action_list &Actions);

/// \param Request call to hash.
/// \returns a hash of the fields that must match for a repeated request to be
/// the same call; never 0, which marks an unknown hash.
std::uint64_t requestHash(const call_request &Request);

/// Applies timeouts to the active and the orphaned calls.
/// \param Now current time.
/// \param[in,out] Owner owner of the shard.
/// \param[out] Actions receives the resulting cancellations, writes and
/// answers.
void expireCalls(instant Now, shard_owner &Owner, action_list &Actions);

/// Applies the result of an attempt to its call: completes, retries, withdraws
/// or ends the call.
/// \param Result result reported by the runner.
/// \param Now current time.
/// \param[in,out] Call call that the attempt belongs to; may be removed.
/// \param[in,out] Owner owner of the shard.
/// \param[out] Actions receives the write, the retry or the answers.
void applyAttemptResult(const attempt_result &Result, instant Now,
                        active_call &Call, shard_owner &Owner,
                        action_list &Actions);

} // namespace lentilhoist
