#pragma once

#include "limit/quota.h"
#include "limit/quota_message.h"

#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace lentilhoist {

/// What one instance knows of a workspace's quota, and its permits.
struct quota_stock {
  std::vector<instant> Permits;    ///< When each lapses, the earliest first.
  std::int64_t RefusedVersion = 0; ///< Configuration of the last refusal.
  instant RefusedUntil{};          ///< No request is granted before.
  instant RetryAt{};               ///< Time stated to the last refused request.
  std::uint32_t UnreportedRefusals = 0; ///< Refused without asking the issuer.
  instant PeriodStart{};      ///< Of the period in which requests are counted.
  std::uint32_t Requests = 0; ///< In this period.
  std::uint32_t FormerRequests = 0; ///< In the period before.
  instant OwnPermitAt{}; ///< Last permit that the instance gave itself.
  std::string Issuer;    ///< Address, of the last reply.
  double Tokens = 0;     ///< Of the issuer.
  double Demand = 0;     ///< Requests a second over all instances.
  instant DemandAt{};    ///< Of the last reply; zero without one.
  instant UsedAt{};
  std::uint64_t Granted = 0;
  std::uint64_t Refused = 0;
};

/// All workspaces that one instance has requests of.
struct quota_table {
  std::unordered_map<std::string, quota_stock> Stocks; ///< By workspace.
  std::set<std::string> Labels; ///< Workspaces with counters of their own.
  instant LabelsChosenAt{};
};

/// Workspaces that an instance keeps at most before it forgets idle ones.
inline constexpr std::size_t MaxQuotaStocks = 16'384;
/// Workspaces that have counters of their own.
inline constexpr std::size_t MaxQuotaLabels = 32;
/// Largest workspaces that get one at a time; the others are left for those
/// that grow later.
inline constexpr std::size_t QuotaLabelsAtOnce = 8;
/// Interval at which they are chosen.
inline constexpr seconds QuotaLabelInterval{30};
/// Label of the other workspaces together.
inline constexpr const char *OtherWorkspaces = "other";
/// A stock without requests for this long is idle.
inline constexpr seconds QuotaStockLifetime{60};
/// A permit that an instance gives itself is for a request that comes within
/// this time. Instances that are cut off at the same time thus don't all have
/// one saved.
inline constexpr milliseconds OwnPermitTime{1'000};

/// \param Table the table; updated.
/// \param Workspace name.
/// \param Now the current time.
/// \returns the stock of the workspace, added if there is none.
quota_stock &findStock(quota_table &Table, const std::string &Workspace,
                       instant Now);

/// Counts a new request, to estimate how many permits are used within the life
/// of one.
/// \param Stock the stock; updated.
/// \param Now the current time.
void noteRequest(quota_stock &Stock, instant Now);

/// Uses a permit.
/// \param Stock the stock; updated.
/// \param Now the current time.
/// \returns when it lapses; nothing if there is none.
std::optional<instant> takePermit(quota_stock &Stock, instant Now);

/// Refuses a request while the issuer has no permits.
/// \param Stock the stock; updated.
/// \param Quota the quota in force.
/// \param Now the current time.
/// \returns time until the rate allows the request; nothing if the issuer has
/// to be asked.
std::optional<milliseconds> refuseKnown(quota_stock &Stock, const quota &Quota,
                                        instant Now);

/// \param Stock the stock; its unreported refusals are taken.
/// \param Workspace name.
/// \param Quota the quota in force.
/// \param Again whether the same request has asked before.
/// \param Now the current time.
/// \returns a request for a permit; its position is not set.
quota_request makeQuotaRequest(quota_stock &Stock, const std::string &Workspace,
                               const quota &Quota, bool Again, instant Now);

/// Applies an issuer's reply.
/// \param Stock the stock; updated.
/// \param Reply the reply.
/// \param RequestedAt when the request was sent; the lives of permits count
/// from then.
/// \param Now the current time.
void applyQuotaReply(quota_stock &Stock, const quota_reply &Reply,
                     instant RequestedAt, instant Now);

/// Selects the label of a workspace in counters. A workspace keeps its label,
/// so that no counter decreases.
/// \param Table the table; the labels are updated.
/// \param Workspace name.
/// \param Now the current time.
/// \returns the name without characters that have a meaning in a label if the
/// workspace is one of the largest of this instance; else OtherWorkspaces.
std::string labelOf(quota_table &Table, const std::string &Workspace,
                    instant Now);

/// \param Table the table.
/// \param Count number of workspaces to list.
/// \returns the names of those with the most requests, in descending order.
std::vector<std::string> largestWorkspaces(const quota_table &Table,
                                           std::size_t Count);

/// The issuer's figure of a workspace's demand says nothing after this time.
inline constexpr seconds QuotaDemandLife{2};
/// Least part of a workspace's requests that are never over its share. It is
/// served at least a quarter as often as all workspaces together.
inline constexpr double MinOrdinaryPart = 0.3;

/// Decides which requests of a workspace wait behind those of others while
/// there is too little capacity: what it sends beyond its rate. All instances
/// have the demand from the same issuer, so that they decide alike.
/// \param Stock the stock.
/// \param Quota the quota in force.
/// \param Part from 0 up to 1, evenly spread over the requests.
/// \param Now the current time.
/// \returns whether the request is one of those.
bool isOverShare(const quota_stock &Stock, const quota &Quota, double Part,
                 instant Now);

/// Adds a permit while no issuer can be reached, if this instance's share of
/// the rate allows one: as if all instances were in the same state.
/// \param Stock the stock; updated.
/// \param Quota the quota in force.
/// \param Instances number of instances.
/// \param Phase from 0 up to 1, different on each instance and for each
/// workspace: where in the interval between its permits the instance begins.
/// \param Now the current time.
/// \returns whether a permit was added.
bool addOwnPermit(quota_stock &Stock, const quota &Quota, std::size_t Instances,
                  double Phase, instant Now);

} // namespace lentilhoist
