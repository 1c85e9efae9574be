#include "daemon/instance_seeder.h"

#include "log/log.h"

namespace lentilhoist {

namespace {

constexpr std::chrono::milliseconds RetryInterval{500};
constexpr std::chrono::milliseconds ReadInterval{3'000};
constexpr std::chrono::milliseconds StopPoll{100};

} // namespace

instance_seeder::instance_seeder(object_store &GivenStore,
                                 membership_node &GivenMembers)
    : Store(GivenStore), Members(GivenMembers) {}

void instance_seeder::start(std::chrono::milliseconds Patience) {
  const auto Until = std::chrono::steady_clock::now() + Patience;
  while (!readOnce() && std::chrono::steady_clock::now() < Until)
    std::this_thread::sleep_for(RetryInterval);
  Thread = std::thread([this] { run(); });
}

void instance_seeder::stop() {
  Stopping = true;
  if (Thread.joinable())
    Thread.join();
}

bool instance_seeder::readOnce() {
  try {
    std::vector<member_identity> Identities;
    for (const listed_instance &Listed : Store.listInstances()) {
      if (Listed.Leaving)
        continue;
      Identities.push_back({Listed.Id, Listed.Address,
                            static_cast<std::uint16_t>(Listed.LinkPort),
                            Listed.Domain, Listed.Region});
    }
    Members.seed(std::move(Identities));
    return true;
  } catch (const std::exception &Error) {
    logEvent(log_level::Warning, "instance_list_unreadable",
             {{"reason", Error.what()}});
    return false;
  }
}

void instance_seeder::run() {
  auto Next = std::chrono::steady_clock::now() + ReadInterval;
  while (!Stopping) {
    std::this_thread::sleep_for(StopPoll);
    if (std::chrono::steady_clock::now() < Next)
      continue;
    Next += ReadInterval;
    readOnce();
  }
}

} // namespace lentilhoist
