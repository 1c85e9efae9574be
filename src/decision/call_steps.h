#pragma once

#include "decision/shard_owner.h"

namespace lentilhoist {

/// Steps that several parts of the call flow share. Only the decision library
/// uses them.

/// \param Ticket the waiting caller.
/// \param Answer the answer.
/// \param[out] Actions gains the answer.
void answer(call_ticket Ticket, call_answer Answer, action_list &Actions);

/// Answers from the state alone, once it is sure that no other instance has
/// taken the shard meanwhile: with the commit that is under way, or after a
/// look at the next entry.
/// \param Ticket the waiting caller.
/// \param Answer the answer.
/// \param Now the present time.
/// \param[in,out] Owner the shard's owner.
/// \param[out] Actions gains the look at the journal.
void answerAfterOwnershipCheck(call_ticket Ticket, call_answer Answer,
                               instant Now, shard_owner &Owner,
                               action_list &Actions);

/// \param Owner an owner that does not own its shard.
/// \returns a refusal that names the instance to ask, where it is known.
call_answer makeNotOwnerAnswer(const shard_owner &Owner);

/// \param Call a completed call.
/// \param DurableCall last durable call of its program.
/// \returns the answer that its caller received or should have.
call_answer answerFromHistory(const recorded_call &Call,
                              std::uint32_t DurableCall);

/// \param Program the program.
/// \param Owner the shard's owner.
/// \returns the program's last durable call.
std::uint32_t durableCall(const program_state &Program,
                          const shard_owner &Owner);

/// \param Program the program.
/// \param Now the present time.
/// \returns whether the program has used up its wall time.
bool wallTimeExhausted(const program_state &Program, instant Now);

/// Draws from what is reserved durably.
/// \param Tokens how many.
/// \param[in,out] Grant the program's grant.
/// \returns whether the grant covers the draw; otherwise nothing is drawn.
bool drawTokens(std::uint64_t Tokens, token_grant &Grant);

/// Gives back a draw whose attempt never ran.
/// \param Tokens how many.
/// \param[in,out] Grant the program's grant.
void returnTokens(std::uint64_t Tokens, token_grant &Grant);

/// \param Program the program.
/// \param Used tokens that the present call has used or lost.
/// \param PromptTokens tokens that the next prompt starts from.
/// \param Settings the owner's settings.
/// \returns the tokens to reserve for the calls after the present one.
std::uint64_t tokensToReserveAhead(const program_state &Program,
                                   std::uint64_t Used,
                                   std::uint64_t PromptTokens,
                                   const owner_settings &Settings);

/// Appends a reservation and notes what it will allow to draw.
/// \param Record the reservation.
/// \param[in,out] Owner the shard's owner.
/// \returns the entry that will hold the record.
entry_number appendReservation(const tokens_reserved &Record,
                               shard_owner &Owner);

/// Bounds a model call's tokens and starts it; loads the history or reserves
/// first if it must.
/// \param Program the program.
/// \param[in,out] Call the call.
/// \param Now the present time.
/// \param[in,out] Owner the shard's owner.
/// \param[out] Actions gains the attempt or the write.
/// \returns whether the program can pay for the call.
bool prepareModelCall(const program_state &Program, active_call &Call,
                      instant Now, shard_owner &Owner, action_list &Actions);

/// \param Owner a shard's owner.
/// \returns the programs that have a call under way.
std::vector<program_id> activePrograms(const shard_owner &Owner);

/// Goes on with a call in stage Preparing that has what it waited for.
/// \param Id the program.
/// \param[in,out] Call the call.
/// \param Now the present time.
/// \param[in,out] Owner the shard's owner.
/// \param[out] Actions gains the attempt or the write.
void resumePreparingCall(const program_id &Id, active_call &Call, instant Now,
                         shard_owner &Owner, action_list &Actions);

/// Withdraws the intent of a call that was never sent.
/// \param Refusal what its callers are told.
/// \param Now the present time.
/// \param[in,out] Call the call.
/// \param[in,out] Owner the shard's owner.
/// \param[out] Actions gains the write.
void withdrawCall(const call_answer &Refusal, instant Now, active_call &Call,
                  shard_owner &Owner, action_list &Actions);

/// Starts the next attempt of a call.
/// \param Program the program.
/// \param[in,out] Call the call, which has drawn its tokens.
/// \param Now the present time.
/// \param[in,out] Owner the shard's owner.
/// \param[out] Actions gains the attempt.
void startAttempt(const program_state &Program, active_call &Call, instant Now,
                  shard_owner &Owner, action_list &Actions);

/// Ends a call without a result and answers its callers.
/// \param Program the program.
/// \param Answer the answer.
/// \param Now the present time.
/// \param[in,out] Owner the shard's owner.
/// \param[out] Actions gains the answers and what was waiting.
void finishCall(const program_id &Program, const call_answer &Answer,
                instant Now, shard_owner &Owner, action_list &Actions);

/// Appends the completion of a call and waits for it to be durable.
/// \param Result the result.
/// \param Now the present time.
/// \param[in,out] Call the call.
/// \param[in,out] Owner the shard's owner.
/// \param[out] Actions gains the write.
void completeCall(const attempt_result &Result, instant Now, active_call &Call,
                  shard_owner &Owner, action_list &Actions);

/// Reads the texts that a program's history lacks in memory.
/// \param Program the program.
/// \param[in,out] Owner the shard's owner.
/// \param[out] Actions gains the reads.
/// \returns whether all texts are in memory.
bool ensureTextsLoaded(const program_state &Program, shard_owner &Owner,
                       action_list &Actions);

/// Starts to read an entry for its texts, once.
/// \param Number the entry.
/// \param[in,out] Owner the shard's owner.
/// \param[out] Actions gains the read.
void loadEntry(entry_number Number, shard_owner &Owner, action_list &Actions);

/// \param Request a call.
/// \returns a hash of all that makes two issues of one call the same; not 0.
std::uint64_t requestHash(const call_request &Request);

/// Applies timeouts to the calls under way.
/// \param Now the present time.
/// \param[in,out] Owner the shard's owner.
/// \param[out] Actions gains what is due.
void expireCalls(instant Now, shard_owner &Owner, action_list &Actions);

/// Takes the result of an attempt of a call that this owner runs.
/// \param Result the result.
/// \param Now the present time.
/// \param[in,out] Call the call.
/// \param[in,out] Owner the shard's owner.
/// \param[out] Actions gains what follows.
void applyAttemptResult(const attempt_result &Result, instant Now,
                        active_call &Call, shard_owner &Owner,
                        action_list &Actions);

} // namespace lentilhoist
