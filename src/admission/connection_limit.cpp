#include "admission/connection_limit.h"

#include <algorithm>

namespace lentilhoist {

namespace {

/// Connections over the limit that are rejected with a response, as a fraction
/// (1/N) of the limit. Those beyond them are closed without one.
constexpr std::size_t RejectionDivisor = 8;

} // namespace

std::size_t clientConnectionLimit(std::size_t MaxDescriptors) {
  if (MaxDescriptors == 0)
    return 0;
  const std::size_t Usable =
      MaxDescriptors > FileDescriptors ? MaxDescriptors - FileDescriptors : 0;
  return std::max<std::size_t>(1, Usable / ClientDescriptorDivisor);
}

accept_step decideAccept(std::size_t Open, std::size_t Limit) {
  if (Limit == 0 || Open <= Limit)
    return accept_step::Serve;
  return Open <= Limit + Limit / RejectionDivisor ? accept_step::MakeRoom
                                                  : accept_step::Close;
}

std::vector<std::size_t>
chooseIdle(const std::vector<idle_connection> &Connections, std::size_t Count,
           instant Now) {
  std::vector<std::size_t> Chosen;
  for (std::size_t Index = 0; Index < Connections.size(); ++Index) {
    const idle_connection &Each = Connections[Index];
    const milliseconds Least =
        Each.Served ? KeptConnectionTime : NewConnectionTime;
    if (Now.Steady - Each.Since.Steady >= Least)
      Chosen.push_back(Index);
  }
  std::stable_sort(Chosen.begin(), Chosen.end(),
                   [&](std::size_t Left, std::size_t Right) {
                     const idle_connection &A = Connections[Left];
                     const idle_connection &B = Connections[Right];
                     if (A.Served != B.Served)
                       return !A.Served;
                     return A.Since.Steady < B.Since.Steady;
                   });
  if (Chosen.size() > Count)
    Chosen.resize(Count);
  return Chosen;
}

} // namespace lentilhoist
