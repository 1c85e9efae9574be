#include "limit/quota_stock.h"

#include <cmath>

namespace lentilhoist {

namespace {

/// Longest time that a refused request is told to wait beyond what the issuer
/// stated.
constexpr seconds MaxRetryTime{5};

constexpr std::size_t MaxLabelLength = 64;

microseconds toDuration(double Seconds) {
  return std::chrono::duration_cast<microseconds>(
      std::chrono::duration<double>(std::min(Seconds, 3'600.0)));
}

} // namespace

quota_stock &findStock(quota_table &Table, const std::string &Workspace,
                       instant Now) {
  const auto Known = Table.Stocks.find(Workspace);
  if (Known != Table.Stocks.end()) {
    Known->second.UsedAt = Now;
    return Known->second;
  }
  if (Table.Stocks.size() >= MaxQuotaStocks)
    std::erase_if(Table.Stocks, [&](const auto &Item) {
      return Now.Steady - Item.second.UsedAt.Steady > QuotaStockLifetime;
    });
  quota_stock &Stock = Table.Stocks[Workspace];
  Stock.UsedAt = Now;
  return Stock;
}

void noteRequest(quota_stock &Stock, instant Now) {
  const microseconds Age = Now.Steady - Stock.PeriodStart.Steady;
  if (Age >= QuotaPermitLife) {
    Stock.FormerRequests = Age < 2 * QuotaPermitLife ? Stock.Requests : 0;
    Stock.Requests = 0;
    Stock.PeriodStart = Now;
  }
  ++Stock.Requests;
}

std::optional<instant> takePermit(quota_stock &Stock, instant Now) {
  std::erase_if(Stock.Permits,
                [&](instant Until) { return Until.Steady <= Now.Steady; });
  if (Stock.Permits.empty())
    return std::nullopt;
  const instant Until = Stock.Permits.front();
  Stock.Permits.erase(Stock.Permits.begin());
  ++Stock.Granted;
  return Until;
}

std::optional<milliseconds> refuseKnown(quota_stock &Stock, const quota &Quota,
                                        instant Now) {
  if (Stock.RefusedVersion != Quota.Version ||
      Stock.RefusedUntil.Steady <= Now.Steady)
    return std::nullopt;
  ++Stock.Refused;
  ++Stock.UnreportedRefusals;
  const microseconds Next =
      Stock.RetryAt.Steady + toDuration(1 / Quota.PerSecond);
  const microseconds Latest =
      std::max<microseconds>(Now.Steady + MaxRetryTime, Stock.RetryAt.Steady);
  Stock.RetryAt.Steady = std::min(Next, Latest);
  return std::chrono::ceil<milliseconds>(Stock.RetryAt.Steady - Now.Steady);
}

quota_request makeQuotaRequest(quota_stock &Stock, const std::string &Workspace,
                               const quota &Quota, bool Again, instant Now) {
  quota_request Request;
  Request.Workspace = Workspace;
  Request.Version = Quota.Version;
  Request.PerSecond = Quota.PerSecond;
  Request.Burst = Quota.Burst;
  // Half of what came in the last period: a permit that lapses is lost to the
  // workspace.
  if (Now.Steady - Stock.PeriodStart.Steady < QuotaPermitLife)
    Request.Spares = std::max(Stock.FormerRequests, Stock.Requests) / 2;
  Request.Refused = Stock.UnreportedRefusals;
  Stock.UnreportedRefusals = 0;
  Request.Again = Again;
  return Request;
}

void applyQuotaReply(quota_stock &Stock, const quota_reply &Reply,
                     instant RequestedAt, instant Now) {
  Stock.Tokens = Reply.Tokens;
  Stock.Demand = Reply.Demand;
  Stock.DemandAt = Now;
  const auto Milli = [](std::uint64_t Value) {
    return milliseconds(
        static_cast<std::int64_t>(std::min<std::uint64_t>(Value, 3'600'000)));
  };
  if (Reply.Verdict == quota_verdict::Refused) {
    Stock.RefusedVersion = Reply.Version;
    Stock.RefusedUntil = later(Now, Milli(Reply.DelayMs));
    Stock.RetryAt = later(Now, Milli(Reply.RetryMs));
    ++Stock.Refused;
    return;
  }
  const instant Until = later(RequestedAt, QuotaPermitLife);
  if (Reply.Verdict != quota_verdict::Granted || Until.Steady <= Now.Steady)
    return;
  Stock.RefusedUntil = {};
  const auto Earlier = [](instant Left, instant Right) {
    return Left.Steady < Right.Steady;
  };
  const std::uint32_t Count = std::min<std::uint32_t>(Reply.Permits, 64);
  Stock.Permits.insert(std::upper_bound(Stock.Permits.begin(),
                                        Stock.Permits.end(), Until, Earlier),
                       Count, Until);
}

std::vector<std::string> largestWorkspaces(const quota_table &Table,
                                           std::size_t Count) {
  std::vector<std::pair<std::uint64_t, const std::string *>> Items;
  Items.reserve(Table.Stocks.size());
  for (const auto &[Workspace, Stock] : Table.Stocks)
    Items.emplace_back(Stock.Granted + Stock.Refused, &Workspace);
  const std::size_t Listed = std::min(Count, Items.size());
  std::partial_sort(Items.begin(),
                    Items.begin() + static_cast<std::ptrdiff_t>(Listed),
                    Items.end(), [](const auto &Left, const auto &Right) {
                      return Left.first != Right.first
                                 ? Left.first > Right.first
                                 : *Left.second < *Right.second;
                    });
  std::vector<std::string> Names;
  for (std::size_t Index = 0; Index < Listed; ++Index)
    Names.push_back(*Items[Index].second);
  return Names;
}

std::string labelOf(quota_table &Table, const std::string &Workspace,
                    instant Now) {
  if (Now.Steady - Table.LabelsChosenAt.Steady >= QuotaLabelInterval) {
    Table.LabelsChosenAt = Now;
    for (std::string &Name : largestWorkspaces(Table, QuotaLabelsAtOnce))
      if (Table.Labels.size() < MaxQuotaLabels)
        Table.Labels.insert(std::move(Name));
  }
  if (!Table.Labels.contains(Workspace))
    return OtherWorkspaces;
  std::string Label = Workspace.substr(0, MaxLabelLength);
  std::replace_if(
      Label.begin(), Label.end(),
      [](char Character) {
        return Character == '"' || Character == '\\' ||
               static_cast<unsigned char>(Character) < ' ';
      },
      '_');
  return Label;
}

bool isOverShare(const quota_stock &Stock, const quota &Quota, double Part,
                 instant Now) {
  const bool Known = Stock.DemandAt.Steady.count() != 0 &&
                     Now.Steady - Stock.DemandAt.Steady < QuotaDemandLife;
  if (!Known || !Quota.active() || Stock.Demand <= Quota.PerSecond)
    return false;
  return Part >= std::max(Quota.PerSecond / Stock.Demand, MinOrdinaryPart);
}

bool addOwnPermit(quota_stock &Stock, const quota &Quota, std::size_t Instances,
                  double Phase, instant Now) {
  const double PerSecond =
      standInRate(Quota) * QuotaOwnPart /
      static_cast<double>(std::max<std::size_t>(Instances, 1));
  if (PerSecond <= 0)
    return false;
  // Permits begin at fixed times, so that the sum over instances with different
  // phases keeps the rate at every moment.
  const double Interval = 1 / PerSecond;
  const double Time =
      std::chrono::duration<double>(Now.Steady).count() - Phase * Interval;
  const double Start =
      std::floor(Time / Interval) * Interval + Phase * Interval;
  const auto StartedAt = std::chrono::duration_cast<microseconds>(
      std::chrono::duration<double>(Start));
  if (Now.Steady - StartedAt > OwnPermitTime ||
      Stock.OwnPermitAt.Steady >= StartedAt)
    return false;
  Stock.OwnPermitAt = Now;
  Stock.Permits.push_back(later(Now, QuotaPermitLife));
  return true;
}

} // namespace lentilhoist
