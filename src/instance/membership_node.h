#pragma once

#include "membership/membership.h"

#include <array>
#include <asio.hpp>
#include <atomic>
#include <functional>
#include <memory>
#include <mutex>
#include <thread>
#include <vector>

namespace lentilhoist {

/// Runs the membership protocol over UDP on a thread of its own and publishes
/// the view.
class membership_node {
public:
  /// \param Initial the view to start from; its Self says where to bind.
  explicit membership_node(membership Initial);
  ~membership_node();
  membership_node(const membership_node &) = delete;
  membership_node &operator=(const membership_node &) = delete;

  /// Binds the port and runs.
  /// \throws std::system_error if the port can't be bound.
  void start();

  /// Joins the thread.
  void stop();

  /// Makes instances known that the platform lists, and waits until the view
  /// shows them.
  /// \param Identities the instances.
  void seed(std::vector<member_identity> Identities);

  /// Announces that this instance will go.
  void leave();

  /// \returns the latest view; cheap.
  std::shared_ptr<const membership> view() const;

  /// \returns datagram bytes sent so far.
  std::uint64_t sentBytes() const { return SentBytes; }

private:
  void receive();
  void tick();
  void flush(const std::vector<outgoing_datagram> &Datagrams);
  void publish();

  asio::io_context Context;
  asio::ip::udp::socket Socket;
  asio::steady_timer Timer;
  asio::ip::udp::endpoint Sender;
  std::array<char, 2'048> Buffer{};
  membership Group;
  mutable std::mutex Mutex;
  std::shared_ptr<const membership> View;
  std::atomic<std::uint64_t> SentBytes{0};
  std::thread Thread;
};

} // namespace lentilhoist
