#pragma once

#include "admission/transfer_order.h"

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>

namespace lentilhoist {

class transfer_gate;

/// The right of a request to hold a part of its texts; ends with the object.
class transfer_window {
public:
  /// \param Gate the gate that opened it; must outlive the window.
  /// \param OpenedAt the current time.
  transfer_window(transfer_gate &Gate, instant OpenedAt)
      : Gate(Gate), OpenedAt(OpenedAt) {}
  ~transfer_window();
  transfer_window(const transfer_window &) = delete;
  transfer_window &operator=(const transfer_window &) = delete;

private:
  transfer_gate &Gate;
  instant OpenedAt;
};

using transfer_window_ptr = std::unique_ptr<transfer_window>;

/// Carries out the decisions of decideTransfers().
class transfer_gate {
public:
  /// Memory that one window stands for: a part that is being sent, one that is
  /// being read, and the copies that are made of it on the way.
  static constexpr std::size_t WindowBytes = 512UL * 1024UL;
  /// Size of a part.
  static constexpr std::size_t PartBytes = WindowBytes / 2;

  /// Receives the window, or nothing if the request is rejected.
  using on_turn = std::function<void(transfer_window_ptr)>;
  /// Names a request that waits.
  using ticket = std::uint64_t;

  /// \param Loop the event loop.
  explicit transfer_gate(asio::io_context &Loop) : Loop(Loop), Timer(Loop) {}

  /// \param Bytes memory for all windows; 0: no limit. There is always one
  /// window, whatever the memory.
  void setMemory(std::size_t Bytes);

  /// \param Now the current time.
  /// \returns a window, unless there is none or others wait.
  transfer_window_ptr tryOpen(instant Now);

  /// Lets a request wait for a window.
  /// \param Waiting when it arrived and gives up.
  /// \param OnTurn called once from the event loop, unless it is cancelled.
  /// \returns names the request, for cancel().
  ticket wait(const waiting_transfer &Waiting, on_turn OnTurn);

  /// \param Ticket a request that waits no longer.
  void cancel(ticket Ticket) { Requests.erase(Ticket); }

  /// \returns how long a further request is expected to wait.
  milliseconds expectedWait() const {
    return lentilhoist::expectedWait(Windows, Requests.size());
  }

  std::size_t open() const { return Windows.Open; }
  std::size_t waiting() const { return Requests.size(); }

private:
  friend class transfer_window;
  struct request {
    waiting_transfer Waiting;
    on_turn OnTurn;
  };

  void release(instant OpenedAt);
  void scheduleDecision();
  void decide();
  void armTimer();

  asio::io_context &Loop;
  asio::steady_timer Timer; ///< Of the next request that gives up.
  transfer_windows Windows;
  std::map<ticket, request> Requests;
  ticket LastTicket = 0;
  bool DecisionScheduled = false;
};

} // namespace lentilhoist
