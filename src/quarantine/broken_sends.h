#pragma once

#include "quarantine/suspect_table.h"

#include <map>
#include <string>
#include <utility>
#include <vector>

namespace lentilhoist {

/// A send to a runner whose connection broke before the answer was complete.
struct broken_send {
  request_signature Signature = 0;
  instant BrokenAt{};
  bool Early = false; ///< No output had arrived.
};

/// Broken sends by the runner's ID and incarnation, until it is known whether
/// the runner has ended or only the connection.
struct broken_sends {
  std::map<std::pair<std::string, std::int64_t>, std::vector<broken_send>>
      ByRunner;
};

/// Time after a connection broke within which a sign that the runner has ended
/// refers to it. Covers the registration of the next incarnation.
inline constexpr seconds MaxConfirmationDelay{6};
/// Broken sends that are kept for one runner.
inline constexpr std::size_t MaxBrokenSends = 64;

/// Records a broken send.
/// \param Broken the sends; updated.
/// \param Runner the runner's ID.
/// \param BornMs its incarnation.
/// \param Send the send.
void recordBroken(broken_sends &Broken, const std::string &Runner,
                  std::int64_t BornMs, const broken_send &Send);

/// Records that a runner has ended: what was at it is evidence from then on.
/// \param Broken the sends; those of the runner are removed.
/// \param Table the evidence; updated.
/// \param Runner the runner's ID.
/// \param BornMs the incarnation that has ended.
/// \param Now the current time.
/// \returns signatures with new evidence.
std::vector<request_signature> confirmCrash(broken_sends &Broken,
                                            suspect_table &Table,
                                            const std::string &Runner,
                                            std::int64_t BornMs, instant Now);

/// Drops sends whose runner has shown no sign of an end in time.
/// \param Broken the sends; updated.
/// \param Now the current time.
void dropUnconfirmed(broken_sends &Broken, instant Now);

} // namespace lentilhoist
