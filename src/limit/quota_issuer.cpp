#include "limit/quota_issuer.h"

#include "limit/rate_limit.h"

#include <cmath>

namespace lentilhoist {

namespace {

/// Longest time after which an instance asks again, because the quota may have
/// been raised.
constexpr double MaxQuotaDelaySeconds = 1;

double secondsBetween(instant From, instant To) {
  return std::max(
      0.0, std::chrono::duration<double>(To.Steady - From.Steady).count());
}

bool isStandIn(const quota_bucket &Bucket) { return Bucket.Position > 0; }

double fillRate(const quota_bucket &Bucket) {
  return isStandIn(Bucket)
             ? standInRate(Bucket.Quota) * QuotaStandInPart[Bucket.Position]
             : Bucket.Quota.PerSecond;
}

double capacityOf(const quota_bucket &Bucket) {
  const double Whole = quotaCapacity(Bucket.Quota);
  return isStandIn(Bucket)
             ? std::min(Whole, QuotaStandInCapacity[Bucket.Position])
             : Whole;
}

/// Adds the tokens of the time since the last call.
void fill(quota_bucket &Bucket, instant Now) {
  const double Elapsed = secondsBetween(Bucket.FilledAt, Now);
  Bucket.Tokens =
      std::min(capacityOf(Bucket), Bucket.Tokens + Elapsed * fillRate(Bucket));
  Bucket.FilledAt = Now;
}

double decayedDemand(const quota_bucket &Bucket, instant Now) {
  const double Time = std::chrono::duration<double>(QuotaDemandTime).count();
  return Bucket.Demand * std::exp(-secondsBetween(Bucket.DemandAt, Now) / Time);
}

void addDemand(quota_bucket &Bucket, double Requests, instant Now) {
  const double Time = std::chrono::duration<double>(QuotaDemandTime).count();
  Bucket.Demand = decayedDemand(Bucket, Now) + Requests / Time;
  Bucket.DemandAt = Now;
}

std::uint64_t roundUpMs(double Seconds) {
  return static_cast<std::uint64_t>(
      std::ceil(std::clamp(Seconds, 0.0, 3'600.0) * 1'000));
}

quota_bucket *findBucket(quota_issuer &Issuer, const quota_request &Request,
                         instant Now) {
  const auto Known = Issuer.Buckets.find(Request.Workspace);
  if (Known != Issuer.Buckets.end())
    return &Known->second;
  if (Issuer.Buckets.size() >= MaxQuotaBuckets)
    forgetIdleQuotas(Issuer, Now);
  if (Issuer.Buckets.size() >= MaxQuotaBuckets)
    return nullptr;
  quota_bucket &Bucket = Issuer.Buckets[Request.Workspace];
  Bucket.Quota = {Request.Version, Request.PerSecond, Request.Burst};
  Bucket.Tokens = Request.Position == 0 ? QuotaStartCredit : 0;
  Bucket.FilledAt = Issuer.Since;
  Bucket.Position = Request.Position;
  Bucket.DemandAt = Now;
  return &Bucket;
}

/// Adopts the role in which the issuer is asked. A stand-in may become the
/// first; what it did not issue as a stand-in is no credit then.
void adoptPosition(quota_bucket &Bucket, std::uint32_t Position, instant Now) {
  if (Position > 0) {
    const bool Lasting =
        isStandIn(Bucket) && Bucket.StandInUntil.Steady > Now.Steady;
    Bucket.Position = Lasting ? std::max(Bucket.Position, Position) : Position;
    Bucket.StandInUntil = later(Now, QuotaStandInTime);
  } else if (Bucket.StandInUntil.Steady <= Now.Steady) {
    Bucket.Position = 0;
  }
  Bucket.Tokens = std::min(Bucket.Tokens, capacityOf(Bucket));
}

void adoptQuota(quota_bucket &Bucket, const quota_request &Request) {
  if (Request.Version > Bucket.Quota.Version)
    Bucket.Quota = {Request.Version, Request.PerSecond, Request.Burst};
  Bucket.Tokens = std::min(Bucket.Tokens, capacityOf(Bucket));
}

std::uint32_t spareCount(const quota_bucket &Bucket, std::uint32_t Wanted) {
  if (isStandIn(Bucket) || Bucket.Tokens < capacityOf(Bucket) * QuotaSpareLevel)
    return 0;
  const auto Part = static_cast<std::uint32_t>(
      std::min(Bucket.Tokens * QuotaSparePart, double(MaxQuotaSpares)));
  return std::min(Wanted, Part);
}

/// Computes when a refused request may come back, so that those that were
/// refused at the same time don't return together.
std::uint64_t assignRetry(quota_bucket &Bucket, double Wait, instant Now) {
  const auto NextToken = std::chrono::duration_cast<microseconds>(
      std::chrono::duration<double>(std::min(Wait, 3'600.0)));
  const microseconds Earliest = Now.Steady + NextToken;
  const microseconds Latest =
      Now.Steady + std::max<microseconds>(MaxQuotaRetry, NextToken);
  const auto Interval =
      std::chrono::duration_cast<microseconds>(std::chrono::duration<double>(
          std::min(1 / Bucket.Quota.PerSecond, 3'600.0)));
  Bucket.RetryAt.Steady =
      std::clamp(Bucket.RetryAt.Steady + Interval, Earliest, Latest);
  return roundUpMs(
      std::chrono::duration<double>(Bucket.RetryAt.Steady - Now.Steady)
          .count());
}

} // namespace

bool isValid(const quota_request &Request) {
  return !Request.Workspace.empty() && isRateLimit(Request.PerSecond) &&
         Request.Burst >= 0 && Request.Burst <= MaxRateLimit &&
         Request.Position < QuotaStandInPart.size();
}

quota_reply issueQuota(quota_issuer &Issuer, const quota_request &Request,
                       instant Now) {
  quota_reply Reply;
  Reply.DelayMs = static_cast<std::uint64_t>(QuotaUndecidedDelay.count());
  if (!isValid(Request))
    return Reply;
  quota_bucket *Bucket = findBucket(Issuer, Request, Now);
  if (!Bucket)
    return Reply;
  // The time until now counts in the former role and by the former quota.
  fill(*Bucket, Now);
  adoptPosition(*Bucket, Request.Position, Now);
  adoptQuota(*Bucket, Request);
  addDemand(*Bucket,
            (Request.Again ? 0.0 : 1.0) + std::min(Request.Refused, 100'000U),
            Now);
  Bucket->Refused += Request.Refused;
  Reply.Version = Bucket->Quota.Version;
  Reply.PerSecond = Bucket->Quota.PerSecond;
  Reply.Burst = Bucket->Quota.Burst;
  Reply.Demand = Bucket->Demand;
  if (Bucket->Tokens >= 1) {
    Bucket->Tokens -= 1;
    const std::uint32_t Spares = spareCount(*Bucket, Request.Spares);
    Bucket->Tokens -= Spares;
    Bucket->Granted += 1 + Spares;
    Reply.Verdict = quota_verdict::Granted;
    Reply.Permits = 1 + Spares;
    Reply.DelayMs = 0;
    Reply.Tokens = Bucket->Tokens;
    return Reply;
  }
  const double Rate = fillRate(*Bucket);
  const double Wait =
      Rate > 0 ? (1 - Bucket->Tokens) / Rate : MaxQuotaDelaySeconds;
  Reply.DelayMs = roundUpMs(std::min(Wait, MaxQuotaDelaySeconds));
  Reply.Tokens = Bucket->Tokens;
  if (isStandIn(*Bucket) && Bucket->Demand <= Bucket->Quota.PerSecond)
    return Reply;
  ++Bucket->Refused;
  Reply.Verdict = quota_verdict::Refused;
  Reply.RetryMs = assignRetry(*Bucket, Wait, Now);
  return Reply;
}

void noteIssuerSet(quota_issuer &Issuer, std::uint64_t SetVersion,
                   instant Now) {
  if (SetVersion <= Issuer.SetVersion)
    return;
  Issuer.SetVersion = SetVersion;
  Issuer.Since = Now;
}

void forgetIdleQuotas(quota_issuer &Issuer, instant Now) {
  std::erase_if(Issuer.Buckets, [&](const auto &Item) {
    const quota_bucket &Bucket = Item.second;
    const double Capacity = quotaCapacity(Bucket.Quota);
    if (isStandIn(Bucket))
      return Now.Steady - Bucket.FilledAt.Steady > QuotaBucketLifetime;
    const bool Idle = Now.Steady - Bucket.FilledAt.Steady > QuotaBucketLifetime;
    const bool Full = Bucket.Tokens + secondsBetween(Bucket.FilledAt, Now) *
                                          Bucket.Quota.PerSecond >=
                      Capacity;
    const bool StartsFull =
        QuotaStartCredit +
            secondsBetween(Issuer.Since, Now) * Bucket.Quota.PerSecond >=
        Capacity;
    return Idle && Full && StartsFull;
  });
}

std::vector<quota_usage> listQuotas(const quota_issuer &Issuer,
                                    std::size_t Count, instant Now) {
  std::vector<quota_usage> Usages;
  Usages.reserve(Issuer.Buckets.size());
  for (const auto &[Workspace, Bucket] : Issuer.Buckets) {
    quota_bucket Filled = Bucket;
    fill(Filled, Now);
    Usages.push_back({Workspace, Bucket.Quota, Filled.Tokens,
                      decayedDemand(Bucket, Now), Bucket.Granted,
                      Bucket.Refused, isStandIn(Bucket)});
  }
  const std::size_t Listed = std::min(Count, Usages.size());
  std::partial_sort(
      Usages.begin(), Usages.begin() + static_cast<std::ptrdiff_t>(Listed),
      Usages.end(), [](const quota_usage &Left, const quota_usage &Right) {
        return Left.Demand != Right.Demand ? Left.Demand > Right.Demand
                                           : Left.Workspace < Right.Workspace;
      });
  Usages.resize(Listed);
  return Usages;
}

} // namespace lentilhoist
