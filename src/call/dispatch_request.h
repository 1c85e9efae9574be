#pragma once

#include "call/caller_request.h"
#include "decision/shard_owner.h"

namespace lentilhoist {

/// Feeds a request to the decision function of its kind.
/// \param Request the request.
/// \param Ticket the waiting caller.
/// \param Now the present time.
/// \param[in,out] Owner the hold on the program's shard.
/// \param[out] Actions gains what follows.
void dispatchRequest(const owner_request &Request, call_ticket Ticket,
                     instant Now, shard_owner &Owner, action_list &Actions);

} // namespace lentilhoist
