#pragma once

#include "call/answer_channel.h"
#include "call/caller_request.h"
#include "daemon/scheduler.h"
#include "instance/membership_node.h"
#include "instance/peer_link.h"

#include <chrono>
#include <memory>
#include <string>

namespace lentilhoist {

/// Finds the owner of a program's shard and passes requests to it.
class request_router {
public:
  /// \param Settings the daemon's settings.
  /// \param Members the view of the group.
  /// \param Link the link to other instances.
  /// \param Local takes requests for shards of this instance.
  request_router(const daemon_settings &Settings, membership_node &Members,
                 peer_link &Link, scheduler &Local);

  /// Sends a request to the owner that the view names, or to the one that an
  /// earlier owner named.
  /// \param Request the request.
  /// \param Hint name of the owner, empty if unknown.
  /// \param Sink where the answer goes.
  void send(const owner_request &Request, const std::string &Hint,
            std::shared_ptr<answer_sink> Sink);

  /// \returns a shard for a new program, by preference one of this instance.
  shard_index chooseShard();

  /// \returns how long to look for an owner.
  microseconds routeWait() const { return Settings.RouteWait; }

private:
  const daemon_settings &Settings;
  membership_node &Members;
  peer_link &Link;
  scheduler &Local;
  std::atomic<std::uint32_t> NextShard{0};
};

/// One request on its way, seen from the thread that serves the caller. The
/// same call may safely be issued again, so a request that meets an instance
/// that does not own the shard is sent anew.
class routed_request {
public:
  /// \param Router the router.
  /// \param Request the request; it is sent at once.
  routed_request(request_router &Router, owner_request Request);

  /// Waits for the next piece of the answer.
  /// \returns text that the caller has not seen, or the final answer.
  answer_item next();

  /// Waits for the final answer and skips the text.
  /// \param Timeout longest wait.
  /// \returns the answer.
  call_answer wait(std::chrono::milliseconds Timeout);

private:
  void send(const std::string &Hint);
  std::optional<answer_item> accept(answer_item Item);
  bool mayRetry(const call_answer &Answer) const;

  request_router &Router;
  owner_request Request;
  std::shared_ptr<answer_channel> Channel;
  std::uint32_t Sends = 0;
  microseconds SearchUntil{0};
};

} // namespace lentilhoist
