#pragma once

#include <array>
#include <cstdint>
#include <msgpack.hpp>
#include <string>
#include <string_view>

namespace lentilhoist {

/// An instance's request for permission to send one request of a workspace.
struct quota_request {
  std::string Workspace;     ///< Name.
  std::int64_t Version = 0;  ///< Of the configuration that states the quota.
  double PerSecond = 0;      ///< Quota as known to the instance.
  double Burst = 0;          ///< Requests beyond the rate at a time.
  std::uint32_t Spares = 0;  ///< Further permits that it has use for.
  std::uint32_t Refused = 0; ///< Requests that it refused since the last one.
  /// Position of the receiver in the order of issuers; all before it are
  /// unreachable for the sender.
  std::uint32_t Position = 0;
  bool Again = false; ///< The sender asks again for the same request.
  MSGPACK_DEFINE(Workspace, Version, PerSecond, Burst, Spares, Refused,
                 Position, Again)
};

/// An issuer's decision on a quota_request.
enum class quota_verdict {
  /// The request is malformed, there is no room, or a stand-in has issued its
  /// part although the workspace may be within its quota.
  Undecided,
  Granted,
  Refused, ///< The quota is used up.
};

/// Names of quota_verdict in log lines.
inline constexpr std::array<std::string_view, 3> QuotaVerdictNames{
    "undecided", "granted", "refused"};

/// Reply to a quota_request.
struct quota_reply {
  quota_verdict Verdict = quota_verdict::Undecided;
  std::uint32_t Permits = 0; ///< Granted: 1 and the spares.
  /// Not granted: time until another request for a permit may succeed.
  std::uint64_t DelayMs = 0;
  /// Refused: time until the rate allows this request, if those that were
  /// refused earlier come first.
  std::uint64_t RetryMs = 0;
  std::int64_t Version = 0; ///< Of the newest quota known.
  double PerSecond = 0;
  double Burst = 0;
  double Tokens = 0; ///< Left after this decision.
  double Demand = 0; ///< Requests a second, the refused ones included.
  MSGPACK_DEFINE(Verdict, Permits, DelayMs, RetryMs, Version, PerSecond, Burst,
                 Tokens, Demand)
};

} // namespace lentilhoist

MSGPACK_ADD_ENUM(lentilhoist::quota_verdict)
