#pragma once

#include <condition_variable>
#include <cstddef>
#include <deque>
#include <functional>
#include <httplib.h>
#include <mutex>
#include <thread>
#include <vector>

namespace lentilhoist {

/// A thread for each connection, started on demand up to a limit. Connections
/// beyond it go to a few threads that only refuse, so that none waits unseen.
class worker_pool : public httplib::TaskQueue {
public:
  /// \param MaxWorkers connections to serve at once.
  explicit worker_pool(std::size_t MaxWorkers);

  void enqueue(std::function<void()> Task) override;
  void shutdown() override;

  /// \returns whether the calling thread must refuse what it reads.
  static bool isRefusing();

private:
  /// Threads of one kind and the tasks that wait for them.
  struct lane {
    std::size_t MaxThreads = 0;
    std::size_t Idle = 0;
    std::deque<std::function<void()>> Tasks;
    std::vector<std::thread> Threads;
  };

  void addTask(std::function<void()> Task, bool Refusing, lane &Lane);
  void run(bool Refusing, lane &Lane);

  std::mutex Mutex;
  std::condition_variable Wake;
  lane Serving;
  lane Shedding;
  bool Stopping = false;
};

} // namespace lentilhoist
