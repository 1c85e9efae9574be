#include "http/worker_pool.h"

namespace lentilhoist {

namespace {

constexpr std::size_t SheddingThreads = 4;

thread_local bool Refusing = false;

} // namespace

worker_pool::worker_pool(std::size_t MaxWorkers) {
  Serving.MaxThreads = MaxWorkers;
  Shedding.MaxThreads = SheddingThreads;
}

void worker_pool::enqueue(std::function<void()> Task) {
  const std::lock_guard Lock(Mutex);
  const bool Full = Serving.Threads.size() >= Serving.MaxThreads &&
                    Serving.Idle <= Serving.Tasks.size();
  if (Full)
    addTask(std::move(Task), true, Shedding);
  else
    addTask(std::move(Task), false, Serving);
  Wake.notify_all();
}

void worker_pool::addTask(std::function<void()> Task, bool MustRefuse,
                          lane &Lane) {
  Lane.Tasks.push_back(std::move(Task));
  const bool Short = Lane.Idle < Lane.Tasks.size();
  if (Short && Lane.Threads.size() < Lane.MaxThreads)
    Lane.Threads.emplace_back(
        [this, MustRefuse, &Lane] { run(MustRefuse, Lane); });
}

void worker_pool::run(bool MustRefuse, lane &Lane) {
  Refusing = MustRefuse;
  std::unique_lock Lock(Mutex);
  for (;;) {
    ++Lane.Idle;
    Wake.wait(Lock, [&] { return Stopping || !Lane.Tasks.empty(); });
    --Lane.Idle;
    if (Lane.Tasks.empty())
      return;
    const auto Task = std::move(Lane.Tasks.front());
    Lane.Tasks.pop_front();
    Lock.unlock();
    Task();
    Lock.lock();
  }
}

void worker_pool::shutdown() {
  {
    const std::lock_guard Lock(Mutex);
    Stopping = true;
  }
  Wake.notify_all();
  for (std::thread &Thread : Serving.Threads)
    Thread.join();
  for (std::thread &Thread : Shedding.Threads)
    Thread.join();
}

bool worker_pool::isRefusing() { return Refusing; }

} // namespace lentilhoist
