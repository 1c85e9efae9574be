#include "forward/transfer_gate.h"

#include <algorithm>
#include <asio/post.hpp>
#include <vector>

namespace lentilhoist {

transfer_window::~transfer_window() { Gate.release(OpenedAt); }

void transfer_gate::setMemory(std::size_t Bytes) {
  Windows.Limit =
      Bytes == 0 ? 0 : std::max<std::size_t>(1, Bytes / WindowBytes);
}

transfer_window_ptr transfer_gate::tryOpen(instant Now) {
  if (!Requests.empty() || !mayOpen(Windows))
    return nullptr;
  ++Windows.Open;
  return std::make_unique<transfer_window>(*this, Now);
}

transfer_gate::ticket transfer_gate::wait(const waiting_transfer &Waiting,
                                          on_turn OnTurn) {
  Requests[++LastTicket] = {Waiting, std::move(OnTurn)};
  // A window may have been closed while others were to be decided on.
  scheduleDecision();
  return LastTicket;
}

void transfer_gate::release(instant OpenedAt) {
  --Windows.Open;
  recordTransfer(Windows, std::chrono::duration_cast<milliseconds>(
                              readClock().Steady - OpenedAt.Steady));
  scheduleDecision();
}

/// Posted rather than called: a window is closed by whatever ends its request.
void transfer_gate::scheduleDecision() {
  if (DecisionScheduled || Requests.empty())
    return;
  DecisionScheduled = true;
  asio::post(Loop, [this] {
    DecisionScheduled = false;
    decide();
  });
}

void transfer_gate::decide() {
  std::vector<ticket> Listed;
  std::vector<waiting_transfer> Waiting;
  for (const auto &[Ticket, Request] : Requests) {
    Listed.push_back(Ticket);
    Waiting.push_back(Request.Waiting);
  }
  const instant Now = readClock();
  const transfer_decision Decision = decideTransfers(Windows, Waiting, Now);
  const auto Finish = [&](std::size_t Index, bool Opened) {
    // What is done for one request may end another one.
    auto Request = Requests.extract(Listed[Index]);
    if (Request.empty())
      return;
    if (Opened)
      ++Windows.Open;
    Request.mapped().OnTurn(
        Opened ? std::make_unique<transfer_window>(*this, Now) : nullptr);
  };
  for (const std::size_t Index : Decision.Reject)
    Finish(Index, false);
  for (const std::size_t Index : Decision.Open)
    Finish(Index, true);
  armTimer();
}

void transfer_gate::armTimer() {
  if (Requests.empty())
    return;
  const auto First =
      std::min_element(Requests.begin(), Requests.end(),
                       [](const auto &Left, const auto &Right) {
                         return Left.second.Waiting.GiveUpAt.Steady <
                                Right.second.Waiting.GiveUpAt.Steady;
                       });
  Timer.expires_at(
      asio::steady_timer::time_point(First->second.Waiting.GiveUpAt.Steady));
  Timer.async_wait([this](const asio::error_code &Error) {
    if (!Error)
      decide();
  });
}

} // namespace lentilhoist
