#include "forward/receive_gate.h"

#include <array>
#include <utility>
#include <vector>

namespace lentilhoist {

namespace {

/// Interval of decisions while clients wait. Each looks at all clients whose
/// requests are being received, some thousands at most.
constexpr milliseconds DecisionInterval{20};

constexpr std::array<std::pair<give_way, const char *>, 3> Names{
    {{give_way::Stalled, "memory_stalled"},
     {give_way::NoRoom, "memory_full"},
     {give_way::TooLarge, "memory_exceeded"}}};

} // namespace

const char *giveWayName(give_way Reason) {
  for (const auto &[Value, Name] : Names)
    if (Value == Reason)
      return Name;
  return "unknown";
}

void receive_gate::remove(gated_receiver *Receiver) {
  stopWaiting(Receiver);
  Receivers.erase(Receiver);
}

void receive_gate::startWaiting(gated_receiver *Receiver, bool Large) {
  Receivers.insert(Receiver);
  Waiting.insert(Receiver);
  if (Large)
    WaitingLarge.insert(Receiver);
  arm();
}

void receive_gate::stopWaiting(gated_receiver *Receiver) {
  Waiting.erase(Receiver);
  WaitingLarge.erase(Receiver);
}

void receive_gate::arm() {
  if (Armed)
    return;
  Armed = true;
  Timer.expires_after(DecisionInterval);
  Timer.async_wait([this](const asio::error_code &Error) {
    if (Error)
      return;
    Armed = false;
    relieve();
    if (!Waiting.empty())
      arm();
  });
}

std::vector<receiver>
receive_gate::describeAll(const std::vector<gated_receiver *> &Listed) const {
  std::vector<receiver> Described;
  Described.reserve(Listed.size());
  for (const gated_receiver *Each : Listed)
    Described.push_back(Each->describe());
  return Described;
}

std::size_t receive_gate::dropStalled(std::size_t Count) {
  const std::vector<gated_receiver *> Listed(Receivers.begin(),
                                             Receivers.end());
  std::size_t Dropped = 0;
  for (const std::size_t Index :
       stalledOrder(describeAll(Listed), Limits.StallTime, readClock())) {
    if (Dropped == Count)
      break;
    if (!Receivers.contains(Listed[Index]))
      continue;
    Listed[Index]->giveWay(give_way::Stalled);
    ++Dropped;
  }
  return Dropped;
}

void receive_gate::relieve() {
  if (Waiting.empty())
    return;
  const std::vector<gated_receiver *> Listed(Receivers.begin(),
                                             Receivers.end());
  const pressure_decision Decision =
      decidePressure(Account, describeAll(Listed), Limits, readClock());
  // What is done to one client may end another one.
  for (const std::size_t Index : Decision.Drop)
    if (Receivers.contains(Listed[Index]))
      Listed[Index]->giveWay(give_way::Stalled);
  for (const std::size_t Index : Decision.Reject)
    if (Receivers.contains(Listed[Index]))
      Listed[Index]->giveWay(give_way::NoRoom);
  for (const std::size_t Index : Decision.Admit)
    if (Receivers.contains(Listed[Index]))
      Listed[Index]->resume();
}

} // namespace lentilhoist
