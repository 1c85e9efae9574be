#pragma once

#include "core/instant.h"
#include "quarantine/suspect_message.h"

#include <cstdint>
#include <optional>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace lentilhoist {

/// A runner that ended while a request of the signature was at it.
struct crash_record {
  std::string Runner;
  std::int64_t BornMs = 0;
  instant EndedAt{};
  bool Early = false; ///< See crash_notice.
};

/// Evidence about requests of one signature.
struct suspect {
  std::vector<crash_record> Crashes;  ///< Since CompletedAt, by time.
  std::optional<instant> CompletedAt; ///< Last one answered in full.
  std::optional<instant> TrialAt;     ///< Last one sent as a trial.
};

/// Evidence against requests that may end runners. Instances exchange it over
/// the replicas of the history, which save it, so that it outlives restarts.
struct suspect_table {
  std::unordered_map<request_signature, suspect> Suspects;
};

/// What to do with a request.
enum class quarantine_verdict {
  Send,    ///< Nothing speaks against it.
  Isolate, ///< Was at a runner that ended: send it where it meets fewest
           ///< others.
  Trial,   ///< As Isolate; the only one of its signature for TrialTime.
  Reject,  ///< Has ended runners: don't send it.
};

/// \param Verdict the value to name.
/// \returns its stable text form.
const char *quarantineVerdictName(quarantine_verdict Verdict);

/// A verdict with what it rests on.
struct quarantine_decision {
  quarantine_verdict Verdict = quarantine_verdict::Send;
  milliseconds RetryIn{0}; ///< Reject: time until it may be sent again.
  std::size_t Crashes = 0;
  std::size_t EarlyCrashes = 0;
};

/// Ends of runners, each before it produced output for the request, from which
/// on requests of the signature are kept back: chance brings a sound request
/// rarely into two.
inline constexpr std::size_t MinEarlyCrashes = 2;
/// Ends of runners from which on they are kept back in any case.
inline constexpr std::size_t MinCrashes = 3;
/// Ends of runners that no trial is needed for.
inline constexpr std::size_t CertainCrashes = 5;
/// How long a request is kept back. Then one trial shows whether it is sound.
inline constexpr seconds FirstQuarantine{5};
/// How long it is kept back after a trial that ended its runner too, or after
/// CertainCrashes.
inline constexpr seconds LongQuarantine{600};
/// Time for the outcome of a trial to become known to all instances.
inline constexpr seconds TrialTime{3};
/// Evidence is forgotten after this time; a single end after a shorter one, as
/// most requests at a runner that ends are sound and come only once.
inline constexpr seconds SuspectLifetime{900};
inline constexpr seconds SingleCrashLifetime{60};
/// Bounds of the evidence that is kept and exchanged.
inline constexpr std::size_t MaxCrashRecords = 8;
inline constexpr std::size_t MaxSuspects = 4'096;
inline constexpr std::size_t MaxListedSuspects = 64;
/// Pings list only signatures from this number of ends on. Single ones are told
/// to the replicas once, which add them up.
inline constexpr std::size_t MinListedCrashes = 2;

/// \param Method the request's method.
/// \param Host its host.
/// \param Target its path and query.
/// \param Body its body as the caller sent it.
/// \returns its signature.
request_signature signatureOf(std::string_view Method, std::string_view Host,
                              std::string_view Target, std::string_view Body);

/// Records that a runner ended while a request was at it.
/// \param Table the table; updated.
/// \param Signature the request's signature.
/// \param Crash the runner and when it ended.
/// \param Now the current time.
/// \returns whether this is new.
bool recordCrash(suspect_table &Table, request_signature Signature,
                 const crash_record &Crash, instant Now);

/// Records that a request was answered in full, which clears its signature.
/// \param Table the table; updated.
/// \param Signature the request's signature.
/// \param Now the current time.
/// \returns whether there was evidence against it.
bool recordCompletion(suspect_table &Table, request_signature Signature,
                      instant Now);

/// Records that a trial is sent.
/// \param Table the table; updated.
/// \param Signature the request's signature.
/// \param Now the current time.
void recordTrial(suspect_table &Table, request_signature Signature,
                 instant Now);

/// Decides whether a request is sent.
/// \param Table the evidence.
/// \param Signature the request's signature.
/// \param Now the current time.
/// \returns the decision.
quarantine_decision decideQuarantine(const suspect_table &Table,
                                     request_signature Signature, instant Now);

/// Merges evidence of another instance.
/// \param Table the table; updated.
/// \param Notices the evidence.
/// \param Now the current time.
/// \returns whether anything was new.
bool mergeSuspects(suspect_table &Table,
                   const std::vector<suspect_notice> &Notices, instant Now);

/// Lists evidence for another instance.
/// \param Table the table.
/// \param Max most signatures to list.
/// \param MinCrashCount signatures with fewer ends of runners are left out.
/// \param Now the current time.
/// \returns the evidence, newest first.
std::vector<suspect_notice> listSuspects(const suspect_table &Table,
                                         std::size_t Max,
                                         std::size_t MinCrashCount,
                                         instant Now);

/// Forgets evidence older than SuspectLifetime.
/// \param Table the table; updated.
/// \param Now the current time.
void forgetOldSuspects(suspect_table &Table, instant Now);

} // namespace lentilhoist
