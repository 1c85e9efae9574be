#pragma once

#include "http/http_client.h"

#include <atomic>
#include <mutex>
#include <thread>
#include <vector>

namespace lentilhoist {

/// Stands where the platform's balancer does: spreads calls over the instances
/// that the lagging list names and that say that they are ready.
class load_balancer {
public:
  /// \param Platform the platform whose list is read.
  explicit load_balancer(endpoint Platform);
  ~load_balancer();
  load_balancer(const load_balancer &) = delete;
  load_balancer &operator=(const load_balancer &) = delete;

  /// \returns the next instance in turn; port 0 if there is none.
  endpoint next();

private:
  void run();
  std::vector<endpoint> readList();

  endpoint Platform;
  std::mutex Mutex;
  std::vector<endpoint> Ready;
  std::atomic<std::size_t> Turn{0};
  std::atomic<bool> Stopping{false};
  std::thread Thread;
};

} // namespace lentilhoist
