#pragma once

#include "history/replica_message.h"
#include "quarantine/suspect_table.h"

namespace lentilhoist {

/// Takes the evidence of a ping, and adds the replica's own to the reply.
/// \param Table the replica's evidence; updated.
/// \param Request the ping.
/// \param Reply the reply; updated.
/// \param Now the current time.
/// \returns whether the ping told anything new.
bool exchangeSuspects(suspect_table &Table, const replica_request &Request,
                      replica_reply &Reply, instant Now);

/// Adds the evidence about one signature to a reply.
/// \param Table the replica's evidence.
/// \param Signature the signature; 0 if the request has none.
/// \param Reply the reply; updated.
/// \param Now the current time.
void answerSuspect(const suspect_table &Table, request_signature Signature,
                   replica_reply &Reply, instant Now);

} // namespace lentilhoist
