#pragma once

#include "instance/membership_node.h"
#include "objects/object_store.h"

#include <atomic>
#include <thread>

namespace lentilhoist {

/// The thread that reads the platform's lagging list of instances and makes
/// them known to the group.
class instance_seeder {
public:
  /// \param Store the platform.
  /// \param Members takes the instances.
  instance_seeder(object_store &Store, membership_node &Members);
  ~instance_seeder() { stop(); }
  instance_seeder(const instance_seeder &) = delete;
  instance_seeder &operator=(const instance_seeder &) = delete;

  /// Reads the list once, waiting for the platform, then goes on.
  /// \param Patience longest wait for the first list.
  void start(std::chrono::milliseconds Patience);
  void stop();

private:
  bool readOnce();
  void run();

  object_store &Store;
  membership_node &Members;
  std::atomic<bool> Stopping{false};
  std::thread Thread;
};

} // namespace lentilhoist
