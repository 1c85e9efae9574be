#pragma once

#include "decision/shard_owner.h"

namespace lentilhoist {

/// Creates a program. Idempotent: a repeated request with equal arguments
/// succeeds without a new record.
/// \param Request program to create.
/// \param Ticket waiting caller.
/// \param Now current time.
/// \param[in,out] Owner owner of the program's shard.
/// \param[out] Actions receives the answer, or the write that must be durable
/// before it.
void onCreate(const create_request &Request, call_ticket Ticket, instant Now,
              shard_owner &Owner, action_list &Actions);

/// Handles a call: starts it, holds it, attaches the caller to the active call
/// with the same number, replays a recorded answer or rejects the call.
/// \param Request call to handle.
/// \param Ticket waiting caller.
/// \param Now current time.
/// \param[in,out] Owner owner of the program's shard.
/// \param[out] Actions receives the attempt, the write or the answer.
void onCall(const call_request &Request, call_ticket Ticket, instant Now,
            shard_owner &Owner, action_list &Actions);

/// Ends a program and its sub-agents.
/// \param Program program to end.
/// \param Reason cause, stored in the journal.
/// \param Ticket waiting caller, 0 if none.
/// \param Now current time.
/// \param[in,out] Owner owner of the program's shard.
/// \param[out] Actions receives the cache releases, and the answer once the
/// end is durable.
void onEnd(const program_id &Program, end_reason Reason, call_ticket Ticket,
           instant Now, shard_owner &Owner, action_list &Actions);

/// Answers with a program's history as JSON.
/// \param Program program to describe.
/// \param Ticket waiting caller.
/// \param Now current time.
/// \param[in,out] Owner owner of the program's shard.
/// \param[out] Actions receives the answer, or the journal reads that it
/// requires.
void onReadHistory(const program_id &Program, call_ticket Ticket, instant Now,
                   shard_owner &Owner, action_list &Actions);

/// Handles the result of an attempt that this owner started.
/// \param Program program that issued the call.
/// \param AttemptId attempt; a result is ignored unless its attempt is current
/// or belongs to an orphaned call.
/// \param Result result reported by the runner.
/// \param Now current time.
/// \param[in,out] Owner current or former owner of the shard.
/// \param[out] Actions receives the write, the retry or the answers.
void onAttemptResult(const program_id &Program, const std::string &AttemptId,
                     const attempt_result &Result, instant Now,
                     shard_owner &Owner, action_list &Actions);

/// Handles the result of a call that a former owner ran.
/// \param Call call that was run.
/// \param Result its result.
/// \param Ticket the former owner, which waits until the result is durable.
/// \param Now current time.
/// \param[in,out] Owner owner of the program's shard.
/// \param[out] Actions receives the write or the answer.
void onRemoteResult(const call_request &Call, const attempt_result &Result,
                    call_ticket Ticket, instant Now, shard_owner &Owner,
                    action_list &Actions);

/// Handles the new owner's response to a deliver_result action.
/// \param Program program that issued the call.
/// \param Durable whether the result is durable at the new owner.
/// \param[in,out] Owner former owner of the shard.
/// \param[out] Actions receives the answers to the waiting callers.
void onResultDelivered(const program_id &Program, bool Durable,
                       shard_owner &Owner, action_list &Actions);

/// Records the outcome of a call that was completed with an unknown outcome.
/// \param Outcome record to append.
/// \param Ticket waiting caller, 0 if none.
/// \param Now current time.
/// \param[in,out] Owner owner of the program's shard.
/// \param[out] Actions receives the write, and the answer once it is durable.
void onOutcomeResolved(const outcome_resolved &Outcome, call_ticket Ticket,
                       instant Now, shard_owner &Owner, action_list &Actions);

/// Handles a runner's confirmation that it dropped a program's cache.
/// \param Program program whose cache was dropped.
/// \param Runner name of the runner.
/// \param Now current time.
/// \param[in,out] Owner owner of the program's shard.
/// \param[out] Actions receives the write.
void onCacheReleased(const program_id &Program, const std::string &Runner,
                     instant Now, shard_owner &Owner, action_list &Actions);

/// Releases the cache that an engine still holds for programs of this shard
/// that have ended or are unknown. Attempts of a crashed owner may leave such
/// caches without a journal record.
/// \param Runner name of the engine.
/// \param Sessions programs that the engine caches, of any shard.
/// \param Owner owner of the shard.
/// \param[out] Actions receives the releases.
void onCacheListed(const std::string &Runner,
                   const std::vector<program_id> &Sessions,
                   const shard_owner &Owner, action_list &Actions);

/// Applies call timeouts, wall-time limits and the retention period.
/// \param Now current time.
/// \param[in,out] Owner owner of the shard.
/// \param[out] Actions receives the resulting cancellations, writes and
/// answers.
void onCallTick(instant Now, shard_owner &Owner, action_list &Actions);

/// Retries calls that were held until texts were loaded or an earlier call
/// completed.
/// \param Now current time.
/// \param[in,out] Owner owner of the shard.
/// \param[out] Actions receives the resulting attempts, writes and answers.
void retryHeldCalls(instant Now, shard_owner &Owner, action_list &Actions);

/// Resumes or settles calls from before the takeover, once the takeover record
/// is durable.
/// \param CleanHandover whether the former owner handed the shard over.
/// \param Now current time.
/// \param[in,out] Owner owner of the shard.
/// \param[out] Actions receives the resulting cancellations, writes and
/// answers.
void resumeAfterTakeover(bool CleanHandover, instant Now, shard_owner &Owner,
                         action_list &Actions);

/// Continues the calls that waited for a commit.
/// \param Batch batch that became durable.
/// \param Number entry that holds the batch.
/// \param Now current time.
/// \param[in,out] Owner owner of the shard.
/// \param[out] Actions receives the resulting attempts, writes and answers.
void onCommitted(const journal_batch &Batch, entry_number Number, instant Now,
                 shard_owner &Owner, action_list &Actions);

/// Ends, continues or delivers the active calls of a shard that was lost or
/// handed over, and answers the callers of held calls.
/// \param HandedOver whether running calls may finish at this instance.
/// \param[in,out] Owner former owner of the shard.
/// \param[out] Actions receives the error answers to the calls that end, and
/// the deliveries of results.
void releaseCalls(bool HandedOver, shard_owner &Owner, action_list &Actions);

/// \param Code error code, which also determines the HTTP status.
/// \param Detail human-readable message for the body.
/// \returns an error answer with run_state::NotRun.
call_answer makeErrorAnswer(error_code Code, std::string Detail);

} // namespace lentilhoist
