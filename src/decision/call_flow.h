#pragma once

#include "decision/shard_owner.h"

namespace lentilhoist {

/// Creates a program; creating it again with equal arguments is harmless.
/// \param Request the program.
/// \param Ticket the waiting caller.
/// \param Now the present time.
/// \param[in,out] Owner the shard's owner.
/// \param[out] Actions gains the answer or the write that precedes it.
void onCreate(const create_request &Request, call_ticket Ticket, instant Now,
              shard_owner &Owner, action_list &Actions);

/// Takes a call: runs it, attaches to it, replays its answer or refuses it.
/// \param Request the call.
/// \param Ticket the waiting caller.
/// \param Now the present time.
/// \param[in,out] Owner the shard's owner.
/// \param[out] Actions gains what follows.
void onCall(const call_request &Request, call_ticket Ticket, instant Now,
            shard_owner &Owner, action_list &Actions);

/// Ends a program and its sub-agents.
/// \param Program the program.
/// \param Reason why it ends.
/// \param Ticket the waiting caller, 0 if none.
/// \param Now the present time.
/// \param[in,out] Owner the shard's owner.
/// \param[out] Actions gains the answer once durable, and the releases.
void onEnd(const program_id &Program, end_reason Reason, call_ticket Ticket,
           instant Now, shard_owner &Owner, action_list &Actions);

/// Reads a program's history as JSON.
/// \param Program the program.
/// \param Ticket the waiting caller.
/// \param Now the present time.
/// \param[in,out] Owner the shard's owner.
/// \param[out] Actions gains the answer, or the reads that it needs.
void onReadHistory(const program_id &Program, call_ticket Ticket, instant Now,
                   shard_owner &Owner, action_list &Actions);

/// Takes the result of an attempt that this owner started.
/// \param Program the program.
/// \param AttemptId the attempt; a result of any other attempt is ignored.
/// \param Result the result.
/// \param Now the present time.
/// \param[in,out] Owner the shard's owner, or its former owner.
/// \param[out] Actions gains what follows.
void onAttemptResult(const program_id &Program, const std::string &AttemptId,
                     const attempt_result &Result, instant Now,
                     shard_owner &Owner, action_list &Actions);

/// Takes the result of a call that a former owner ran.
/// \param Call the call.
/// \param Result the result.
/// \param Ticket the former owner, waiting for the result to be durable.
/// \param Now the present time.
/// \param[in,out] Owner the shard's owner.
/// \param[out] Actions gains what follows.
void onRemoteResult(const call_request &Call, const attempt_result &Result,
                    call_ticket Ticket, instant Now, shard_owner &Owner,
                    action_list &Actions);

/// Takes the new owner's confirmation of a deliver_result action.
/// \param Program the program.
/// \param Durable whether the new owner holds the result durably.
/// \param[in,out] Owner the former owner.
/// \param[out] Actions gains the answers of the waiting callers.
void onResultDelivered(const program_id &Program, bool Durable,
                       shard_owner &Owner, action_list &Actions);

/// Records the outcome of a call that was in doubt.
/// \param Outcome the record to append.
/// \param Ticket the waiting caller, 0 if none.
/// \param Now the present time.
/// \param[in,out] Owner the shard's owner.
/// \param[out] Actions gains the answer once durable.
void onOutcomeResolved(const outcome_resolved &Outcome, call_ticket Ticket,
                       instant Now, shard_owner &Owner, action_list &Actions);

/// Takes a runner's confirmation that it dropped a program's cache.
/// \param Program the program.
/// \param Runner the runner.
/// \param Now the present time.
/// \param[in,out] Owner the shard's owner.
/// \param[out] Actions gains the write.
void onCacheReleased(const program_id &Program, const std::string &Runner,
                     instant Now, shard_owner &Owner, action_list &Actions);

/// Releases what an engine still caches for programs of this shard that have
/// ended or are unknown: attempts of a crashed owner leave no record.
/// \param Runner the engine.
/// \param Sessions the programs that it caches, of any shard.
/// \param Owner the shard's owner.
/// \param[out] Actions gains the releases.
void onCacheListed(const std::string &Runner,
                   const std::vector<program_id> &Sessions,
                   const shard_owner &Owner, action_list &Actions);

/// Applies timeouts, wall-time limits and retention to the calls.
/// \param Now the present time.
/// \param[in,out] Owner the shard's owner.
/// \param[out] Actions gains what is due.
void onCallTick(instant Now, shard_owner &Owner, action_list &Actions);

/// Resumes calls that were held for texts or for an earlier call.
/// \param Now the present time.
/// \param[in,out] Owner the shard's owner.
/// \param[out] Actions gains what follows.
void retryHeldCalls(instant Now, shard_owner &Owner, action_list &Actions);

/// Takes up what a former owner left behind, once the takeover is durable.
/// \param Clean whether the former owner handed the shard over.
/// \param Now the present time.
/// \param[in,out] Owner the shard's owner.
/// \param[out] Actions gains the queries of outcomes in doubt.
void resumeAfterTakeover(bool Clean, instant Now, shard_owner &Owner,
                         action_list &Actions);

/// Goes on with the calls that waited for a commit.
/// \param Batch what became durable.
/// \param Number entry that became durable.
/// \param Now the present time.
/// \param[in,out] Owner the shard's owner.
/// \param[out] Actions gains what follows.
void onCommitted(const journal_batch &Batch, entry_number Number, instant Now,
                 shard_owner &Owner, action_list &Actions);

/// Settles the calls of a shard that was lost or handed over.
/// \param HandedOver whether the calls under way go on here.
/// \param[in,out] Owner the former owner.
/// \param[out] Actions gains the refusals of the calls that end.
void releaseCalls(bool HandedOver, shard_owner &Owner, action_list &Actions);

/// \param Code why the call is refused.
/// \param Detail what a person should read.
/// \returns an answer that says that the call did not run.
call_answer makeErrorAnswer(error_code Code, std::string Detail);

} // namespace lentilhoist
