#pragma once

#include "limit/permit_message.h"
#include "limit/rate_limit.h"

#include <array>
#include <vector>

namespace lentilhoist {

/// Permission to send one request to a runner that limits its rate.
struct permit {
  instant From;  ///< Not to be used before.
  instant Until; ///< Lapses at this time.
};

/// What one instance knows of a runner's limit, and its permits for it.
struct permit_stock {
  rate_limit Limit;
  std::vector<permit> Permits;
  /// A request for a spare permit is under way since then; zero if none is.
  instant SpareRequestedAt{};
  instant QueueEnd{}; ///< When the issuer's queue ends, by its latest reply.
  /// By rank: requests for permits are refused until then.
  std::array<instant, PermitRankNames.size()> RefusedUntil{};
};

/// A permit lapses this long after its start, so that one that was issued to
/// an instance without use for it doesn't add to the rate of a later time.
inline constexpr milliseconds PermitLifetime{500};
/// A reply that took longer is taken as lost: the permit in it may have lapsed.
inline constexpr milliseconds PermitReplyTimeout{300};

/// \param Stock the stock.
/// \param Now the current time.
/// \returns whether a request may be sent now.
bool maySend(const permit_stock &Stock, instant Now);

/// \param Stock the stock.
/// \param Now the current time.
/// \returns expected wait for a permit, in milliseconds.
double queueDelayMs(const permit_stock &Stock, instant Now);

/// Uses up the permit that lapses first; does nothing without a limit.
/// \param Stock the stock; updated.
/// \param Now the current time.
void usePermit(permit_stock &Stock, instant Now);

/// \param Stock the stock.
/// \param Rank rank of the request for a permit.
/// \param Now the current time.
/// \returns whether it makes sense to request a permit: the runner limits its
/// rate, the rank is not refused, and a spare permit is not held or requested.
bool shouldRequest(const permit_stock &Stock, permit_rank Rank, instant Now);

/// Applies the decision on a request for a permit.
/// \param Stock the stock; updated.
/// \param Rank rank of the request.
/// \param Reply the decision.
/// \param RequestedAt when the request was sent.
/// \param Now the current time.
/// \returns whether the limit has changed.
bool applyReply(permit_stock &Stock, permit_rank Rank,
                const permit_reply &Reply, instant RequestedAt, instant Now);

/// Applies a limit that another instance has told of.
/// \param Stock the stock; updated.
/// \param PerSecond the limit; 0: none.
/// \param AgeMs time since the runner stated it.
/// \param Now the current time.
/// \returns whether the limit has changed.
bool applyNotice(permit_stock &Stock, double PerSecond, std::uint64_t AgeMs,
                 instant Now);

} // namespace lentilhoist
