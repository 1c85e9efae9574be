#pragma once

#include "limit/quota.h"
#include "limit/quota_message.h"

#include <string>
#include <unordered_map>
#include <vector>

namespace lentilhoist {

/// Token bucket of one workspace.
struct quota_bucket {
  quota Quota;
  double Tokens = 0;
  instant FilledAt{}; ///< When Tokens was computed.
  /// Position in the order of issuers since then. Above 0, the bucket is a
  /// stand-in's.
  std::uint32_t Position = 0;
  instant StandInUntil{}; ///< Stays a stand-in at least until then.
  instant RetryAt{};      ///< Time stated to the last refused request.
  double Demand = 0;      ///< Requests a second, decaying; see QuotaDemandTime.
  instant DemandAt{};
  std::uint64_t Granted = 0;
  std::uint64_t Refused = 0;
};

/// Issues permits for requests of workspaces with a quota. All instances ask
/// the same issuer for a workspace, so that the sum of their requests keeps the
/// quota. It addresses clients that send several times their quota through many
/// instances. The state is small and is not saved.
struct quota_issuer {
  std::uint64_t SetVersion = 0; ///< Newest set of issuers that is known.
  /// Start of this process or of that set. A workspace that was not seen since
  /// has used nothing since.
  instant Since{};
  std::unordered_map<std::string, quota_bucket> Buckets; ///< By workspace.
};

/// An issuer stays a stand-in for this long after it was asked as one. During
/// a change of the set, instances that know of it ask the new first issuer as a
/// stand-in, and those that have just started ask it as the first.
inline constexpr milliseconds QuotaStandInTime{1'000};
/// Permits in one reply beyond the one that was requested.
inline constexpr std::uint32_t MaxQuotaSpares = 8;
/// Spares are issued from a bucket that is at least this full.
inline constexpr double QuotaSpareLevel = 0.5;
/// Part of the tokens that one reply may take as spares.
inline constexpr double QuotaSparePart = 0.125;
/// Longest time that a refused request is told to wait. Demand and quota may
/// change within a window.
inline constexpr milliseconds MaxQuotaRetry{5'000};
/// Delay before another request after one that can't be decided on.
inline constexpr milliseconds QuotaUndecidedDelay{100};
/// Time constant of the demand of a workspace.
inline constexpr seconds QuotaDemandTime{2};
/// Workspaces that an issuer keeps at most; the design target is 10,000.
inline constexpr std::size_t MaxQuotaBuckets = 32'768;
/// A bucket is forgotten after this time without requests if it is full.
inline constexpr seconds QuotaBucketLifetime{60};

/// \param Request a request of an instance.
/// \returns whether its content is plausible.
bool isValid(const quota_request &Request);

/// Decides on a request for a permit.
/// \param Issuer the issuer; updated.
/// \param Request the request.
/// \param Now the current time.
/// \returns the decision, with the newest quota known.
quota_reply issueQuota(quota_issuer &Issuer, const quota_request &Request,
                       instant Now);

/// Notes the set of issuers that a sender knows. Until a set is known, another
/// issuer may have issued permits for any workspace.
/// \param Issuer the issuer; updated.
/// \param SetVersion version of the set.
/// \param Now the current time.
void noteIssuerSet(quota_issuer &Issuer, std::uint64_t SetVersion, instant Now);

/// Forgets buckets that are full and were not used lately; a new bucket would
/// have the same content.
/// \param Issuer the issuer; updated.
/// \param Now the current time.
void forgetIdleQuotas(quota_issuer &Issuer, instant Now);

/// State of one workspace's quota, for operators.
struct quota_usage {
  std::string Workspace;
  quota Quota;
  double Tokens = 0;
  double Demand = 0; ///< Requests a second, the refused ones included.
  std::uint64_t Granted = 0;
  std::uint64_t Refused = 0;
  bool StandIn = false;
};

/// \param Issuer the issuer.
/// \param Count number of workspaces to list.
/// \param Now the current time.
/// \returns the workspaces with the largest demand, in descending order.
std::vector<quota_usage> listQuotas(const quota_issuer &Issuer,
                                    std::size_t Count, instant Now);

} // namespace lentilhoist
