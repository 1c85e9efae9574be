#pragma once

#include "history/replica_message.h"
#include "history/replica_set.h"
#include "limit/permit_issuer.h"
#include "limit/quota_issuer.h"

#include <string_view>
#include <vector>

namespace lentilhoist {

/// Orders the replicas as issuers of permits for a runner or a workspace. The
/// order is the same on all instances that know the same set (rendezvous
/// hashing), and spreads runners and workspaces over the replicas.
/// \param Set the replica set.
/// \param Name the runner's ID or the workspace's name.
/// \returns indices of the slots, the preferred issuer first.
std::vector<std::size_t> issuerOrder(const replica_set &Set,
                                     std::string_view Name);

/// Adds to the reply to a ping the decisions on the permits that it requests
/// and the limits known.
/// \param Issuer the replica's issuer; updated.
/// \param Request the ping.
/// \param Reply the reply; updated.
/// \param Now the current time.
void answerPermitRequests(permit_issuer &Issuer, const replica_request &Request,
                          replica_reply &Reply, instant Now);

/// Adds to the reply to a ping the decisions on the permits of workspaces that
/// it requests.
/// \param Issuer the replica's issuer; updated.
/// \param Request the ping.
/// \param Reply the reply; updated.
/// \param Now the current time.
void answerQuotaRequests(quota_issuer &Issuer, const replica_request &Request,
                         replica_reply &Reply, instant Now);

} // namespace lentilhoist
