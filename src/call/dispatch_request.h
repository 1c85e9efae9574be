#pragma once

#include "call/caller_request.h"
#include "decision/shard_owner.h"

namespace lentilhoist {

/// Passes a request to the decision function of its type.
/// \param Request request to handle.
/// \param Ticket waiting caller.
/// \param Now current time.
/// \param[in,out] Owner owner of the program's shard.
/// \param[out] Actions receives the resulting actions.
void dispatchRequest(const owner_request &Request, call_ticket Ticket,
                     instant Now, shard_owner &Owner, action_list &Actions);

} // namespace lentilhoist
