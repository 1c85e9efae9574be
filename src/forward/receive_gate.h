#pragma once

#include "admission/memory_account.h"
#include "admission/pressure.h"

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <set>
#include <vector>

namespace lentilhoist {

/// Why a client whose request is being received gives way.
enum class give_way {
  Stalled,  ///< It makes the least progress, and others wait for memory.
  NoRoom,   ///< It has waited too long for memory.
  TooLarge, ///< What it needs exceeds the whole account.
};

/// \param Reason the value to name.
/// \returns its stable text form.
const char *giveWayName(give_way Reason);

/// A client whose request is being received.
class gated_receiver {
public:
  virtual ~gated_receiver() = default;
  /// \returns what is decided on.
  virtual receiver describe() const = 0;
  /// Charges what it waits for and goes on reading; there was room just now.
  virtual void resume() = 0;
  /// Ends the request without having run it.
  virtual void giveWay(give_way Reason) = 0;
};

/// Carries out the decisions of decidePressure() while clients wait for memory.
class receive_gate {
public:
  /// \param Loop the event loop.
  /// \param Account the memory held for clients; must outlive the gate.
  receive_gate(asio::io_context &Loop, memory_account &Account)
      : Account(Account), Timer(Loop) {}

  /// \param Limits the limits from now on.
  void setLimits(const pressure_limits &Given) { Limits = Given; }

  /// \param Receiver a client whose request begins; removed before it ends.
  void add(gated_receiver *Receiver) { Receivers.insert(Receiver); }

  /// \param Receiver a client whose request is complete or has ended.
  void remove(gated_receiver *Receiver);

  /// Notes that a client waits for memory.
  /// \param Receiver the client.
  /// \param Large whether it waits for a large body.
  void startWaiting(gated_receiver *Receiver, bool Large);

  /// Notes that a client waits no longer.
  /// \param Receiver the client.
  void stopWaiting(gated_receiver *Receiver);

  /// Drops clients that make the least progress, for their descriptors.
  /// \param Count how many at most.
  /// \returns how many were dropped.
  std::size_t dropStalled(std::size_t Count);

  /// \returns whether clients wait with large bodies; others queue after them.
  bool largeBodiesWait() const { return !WaitingLarge.empty(); }

  /// \returns the number of clients that wait.
  std::size_t waiting() const { return Waiting.size(); }

private:
  void arm();
  void relieve();
  std::vector<receiver>
  describeAll(const std::vector<gated_receiver *> &Listed) const;

  memory_account &Account;
  pressure_limits Limits;
  asio::steady_timer Timer;
  bool Armed = false;
  std::set<gated_receiver *> Receivers;
  std::set<gated_receiver *> Waiting;
  std::set<gated_receiver *> WaitingLarge;
};

} // namespace lentilhoist
