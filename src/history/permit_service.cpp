#include "history/permit_service.h"

#include "core/hash.h"

#include <algorithm>
#include <numeric>

namespace lentilhoist {

namespace {

/// Permits that one message may request.
constexpr std::size_t MaxPermitsPerMessage = 16;

/// A sender of an older set may ask another replica than the others do.
bool isCurrentPing(const replica_request &Request, const replica_reply &Reply) {
  const bool Current = Reply.Status == replica_status::Done ||
                       Reply.Status == replica_status::Incomplete;
  return Request.Operation == replica_operation::Ping && Current;
}

} // namespace

std::vector<std::size_t> issuerOrder(const replica_set &Set,
                                     std::string_view Name) {
  const std::uint64_t Seed = stableHash(Name);
  std::vector<std::uint64_t> Scores;
  for (const replica_slot &Slot : Set.Slots)
    Scores.push_back(stableHash(Slot.Address, Seed));
  std::vector<std::size_t> Order(Set.Slots.size());
  std::iota(Order.begin(), Order.end(), std::size_t{0});
  std::stable_sort(Order.begin(), Order.end(),
                   [&](std::size_t Left, std::size_t Right) {
                     return Scores[Left] > Scores[Right];
                   });
  return Order;
}

void answerPermitRequests(permit_issuer &Issuer, const replica_request &Request,
                          replica_reply &Reply, instant Now) {
  if (!isCurrentPing(Request, Reply))
    return;
  const std::size_t Count =
      std::min(Request.Permits.size(), MaxPermitsPerMessage);
  for (std::size_t Index = 0; Index < Count; ++Index)
    Reply.Permits.push_back(issuePermit(Issuer, Request.Permits[Index], Now));
  if (Request.Permits.empty() && Request.Quotas.empty())
    Reply.Limits = listLimits(Issuer, Now);
}

void answerQuotaRequests(quota_issuer &Issuer, const replica_request &Request,
                         replica_reply &Reply, instant Now) {
  if (!isCurrentPing(Request, Reply))
    return;
  noteIssuerSet(Issuer, Request.SetVersion, Now);
  const std::size_t Count =
      std::min(Request.Quotas.size(), MaxPermitsPerMessage);
  for (std::size_t Index = 0; Index < Count; ++Index)
    Reply.Quotas.push_back(issueQuota(Issuer, Request.Quotas[Index], Now));
}

} // namespace lentilhoist
