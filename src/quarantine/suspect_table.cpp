#include "quarantine/suspect_table.h"

#include "core/hash.h"

#include <algorithm>

namespace lentilhoist {

namespace {

using std::chrono::duration_cast;

std::int64_t ageMs(instant Then, instant Now) {
  return std::max<std::int64_t>(
      0, duration_cast<milliseconds>(Now.Steady - Then.Steady).count());
}

instant agoMs(std::int64_t AgeMs, instant Now) {
  return {Now.Steady - milliseconds(AgeMs), Now.Unix - milliseconds(AgeMs)};
}

/// \returns when the evidence was last added to.
microseconds lastChange(const suspect &Suspect) {
  microseconds Last = microseconds::min();
  for (const crash_record &Crash : Suspect.Crashes)
    Last = std::max(Last, Crash.EndedAt.Steady);
  for (const auto &Time : {Suspect.CompletedAt, Suspect.TrialAt})
    if (Time)
      Last = std::max(Last, Time->Steady);
  return Last;
}

/// \returns the entry of a signature; null if the table is full.
suspect *findOrAdd(suspect_table &Table, request_signature Signature,
                   instant Now) {
  if (Table.Suspects.size() >= MaxSuspects)
    forgetOldSuspects(Table, Now);
  if (Table.Suspects.size() >= MaxSuspects &&
      !Table.Suspects.contains(Signature))
    return nullptr;
  return &Table.Suspects[Signature];
}

/// Drops what a later complete answer has refuted.
void dropRefuted(suspect &Suspect) {
  if (!Suspect.CompletedAt)
    return;
  std::erase_if(Suspect.Crashes, [&](const crash_record &Crash) {
    return Crash.EndedAt.Steady <= Suspect.CompletedAt->Steady;
  });
}

bool raise(std::optional<instant> &Time, instant To) {
  if (Time && Time->Steady >= To.Steady)
    return false;
  Time = To;
  return true;
}

/// Ages lose the time that a message takes: a difference below this says
/// nothing, and would be passed on forever.
constexpr seconds AgeTolerance{1};

bool raiseByAge(std::optional<instant> &Time, std::int64_t AgeMs, instant Now) {
  const instant To = agoMs(AgeMs, Now);
  if (Time && To.Steady - Time->Steady < AgeTolerance)
    return false;
  return raise(Time, To);
}

/// \returns a plausible age; negative if there is none.
std::int64_t boundedAge(std::int64_t AgeMs) {
  const std::int64_t Max = milliseconds(SuspectLifetime).count();
  return AgeMs > Max ? -1 : AgeMs;
}

} // namespace

const char *quarantineVerdictName(quarantine_verdict Verdict) {
  switch (Verdict) {
  case quarantine_verdict::Send:
    return "send";
  case quarantine_verdict::Isolate:
    return "isolate";
  case quarantine_verdict::Trial:
    return "trial";
  case quarantine_verdict::Reject:
    return "reject";
  }
  return "unknown";
}

request_signature signatureOf(std::string_view Method, std::string_view Host,
                              std::string_view Target, std::string_view Body) {
  return stableHash(Method,
                    stableHash(Host, stableHash(Target, stableHash(Body))));
}

bool recordCrash(suspect_table &Table, request_signature Signature,
                 const crash_record &Crash, instant Now) {
  suspect *Suspect = findOrAdd(Table, Signature, Now);
  if (!Suspect || (Suspect->CompletedAt &&
                   Crash.EndedAt.Steady <= Suspect->CompletedAt->Steady))
    return false;
  const auto Known = std::find_if(
      Suspect->Crashes.begin(), Suspect->Crashes.end(),
      [&](const crash_record &Other) {
        return Other.Runner == Crash.Runner && Other.BornMs == Crash.BornMs;
      });
  if (Known != Suspect->Crashes.end()) {
    const bool Changed = Crash.Early && !Known->Early;
    Known->Early = Known->Early || Crash.Early;
    return Changed;
  }
  if (Suspect->Crashes.size() < MaxCrashRecords) {
    Suspect->Crashes.push_back(Crash);
    return true;
  }
  const auto Oldest =
      std::min_element(Suspect->Crashes.begin(), Suspect->Crashes.end(),
                       [](const crash_record &Left, const crash_record &Right) {
                         return Left.EndedAt.Steady < Right.EndedAt.Steady;
                       });
  if (Oldest->EndedAt.Steady >= Crash.EndedAt.Steady)
    return false;
  *Oldest = Crash;
  return true;
}

bool recordCompletion(suspect_table &Table, request_signature Signature,
                      instant Now) {
  const auto Found = Table.Suspects.find(Signature);
  if (Found == Table.Suspects.end() || Found->second.Crashes.empty())
    return false;
  raise(Found->second.CompletedAt, Now);
  dropRefuted(Found->second);
  return true;
}

void recordTrial(suspect_table &Table, request_signature Signature,
                 instant Now) {
  if (suspect *Suspect = findOrAdd(Table, Signature, Now))
    raise(Suspect->TrialAt, Now);
}

quarantine_decision decideQuarantine(const suspect_table &Table,
                                     request_signature Signature, instant Now) {
  quarantine_decision Decision;
  const auto Found = Table.Suspects.find(Signature);
  if (Found == Table.Suspects.end() || Found->second.Crashes.empty())
    return Decision;
  const suspect &Suspect = Found->second;
  microseconds LastEnd = microseconds::min();
  bool TrialFailed = false;
  for (const crash_record &Crash : Suspect.Crashes) {
    LastEnd = std::max(LastEnd, Crash.EndedAt.Steady);
    Decision.EarlyCrashes += Crash.Early ? 1 : 0;
    TrialFailed =
        TrialFailed || (Crash.Early && Suspect.TrialAt &&
                        Crash.EndedAt.Steady >= Suspect.TrialAt->Steady);
  }
  Decision.Crashes = Suspect.Crashes.size();
  Decision.Verdict = quarantine_verdict::Isolate;
  if (Decision.Crashes < MinCrashes && Decision.EarlyCrashes < MinEarlyCrashes)
    return Decision;
  const bool Certain = TrialFailed || Decision.Crashes >= CertainCrashes;
  microseconds Until = LastEnd + (Certain ? LongQuarantine : FirstQuarantine);
  if (Suspect.TrialAt)
    Until = std::max(Until, Suspect.TrialAt->Steady + TrialTime);
  if (Until <= Now.Steady) {
    Decision.Verdict = quarantine_verdict::Trial;
    return Decision;
  }
  Decision.Verdict = quarantine_verdict::Reject;
  Decision.RetryIn = std::chrono::ceil<milliseconds>(Until - Now.Steady);
  return Decision;
}

bool mergeSuspects(suspect_table &Table,
                   const std::vector<suspect_notice> &Notices, instant Now) {
  bool Changed = false;
  for (const suspect_notice &Notice : Notices) {
    suspect *Suspect = findOrAdd(Table, Notice.Signature, Now);
    if (!Suspect)
      continue;
    if (const std::int64_t Age = boundedAge(Notice.CompletedAgeMs); Age >= 0) {
      Changed = raiseByAge(Suspect->CompletedAt, Age, Now) || Changed;
      dropRefuted(*Suspect);
    }
    if (const std::int64_t Age = boundedAge(Notice.TrialAgeMs); Age >= 0)
      Changed = raiseByAge(Suspect->TrialAt, Age, Now) || Changed;
    for (const crash_notice &Crash : Notice.Crashes)
      if (Crash.AgeMs <=
          static_cast<std::uint64_t>(milliseconds(SuspectLifetime).count()))
        Changed =
            recordCrash(Table, Notice.Signature,
                        {Crash.Runner, Crash.BornMs,
                         agoMs(static_cast<std::int64_t>(Crash.AgeMs), Now),
                         Crash.Early},
                        Now) ||
            Changed;
  }
  return Changed;
}

std::vector<suspect_notice> listSuspects(const suspect_table &Table,
                                         std::size_t Max,
                                         std::size_t MinCrashCount,
                                         instant Now) {
  std::vector<std::pair<microseconds, request_signature>> Newest;
  for (const auto &[Signature, Suspect] : Table.Suspects)
    if (Suspect.Crashes.size() >= MinCrashCount)
      Newest.emplace_back(lastChange(Suspect), Signature);
  const std::size_t Count = std::min(Newest.size(), Max);
  std::partial_sort(Newest.begin(),
                    Newest.begin() + static_cast<std::ptrdiff_t>(Count),
                    Newest.end(), std::greater<>());
  Newest.resize(Count);
  std::vector<suspect_notice> Notices;
  for (const auto &[Time, Signature] : Newest) {
    const suspect &Suspect = Table.Suspects.at(Signature);
    suspect_notice Notice;
    Notice.Signature = Signature;
    for (const crash_record &Crash : Suspect.Crashes)
      Notice.Crashes.push_back(
          {Crash.Runner, Crash.BornMs,
           static_cast<std::uint64_t>(ageMs(Crash.EndedAt, Now)), Crash.Early});
    if (Suspect.CompletedAt)
      Notice.CompletedAgeMs = ageMs(*Suspect.CompletedAt, Now);
    if (Suspect.TrialAt)
      Notice.TrialAgeMs = ageMs(*Suspect.TrialAt, Now);
    Notices.push_back(std::move(Notice));
  }
  return Notices;
}

void forgetOldSuspects(suspect_table &Table, instant Now) {
  std::erase_if(Table.Suspects, [&](const auto &Item) {
    const seconds Lifetime = Item.second.Crashes.size() < MinListedCrashes
                                 ? SingleCrashLifetime
                                 : SuspectLifetime;
    return lastChange(Item.second) < Now.Steady - Lifetime;
  });
}

} // namespace lentilhoist
