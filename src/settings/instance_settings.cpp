#include "settings/instance_settings.h"

#include <fmt/format.h>

namespace lentilhoist {

namespace {

std::string quoteAll(const std::vector<std::string> &Texts) {
  std::string Out;
  for (const std::string &Text : Texts)
    Out += fmt::format("{}\"{}\"", Out.empty() ? "" : ", ", Text);
  return Out;
}

} // namespace

std::string describeInstanceSettings(const instance_settings &Settings) {
  return fmt::format(
      "name = \"{}\"\ndomain = \"{}\"\naddress = \"{}\"\n"
      "caller_address = \"{}\"\nreadiness_address = \"{}\"\n"
      "replica_address = \"{}\"\nseeds = [{}]\nfirst_port = {}\nlast_port = "
      "{}\nstore_address = \"{}\"\n"
      "data_folder = \"{}\"\nfirst_start = {}\ndisks_lost = {}\n"
      "memory_bytes = {}\nmax_descriptors = {}\nclient_memory_percent = {}\n"
      "max_client_connections = {}\nclient_stall_time = \"{}ms\"\n"
      "client_memory_wait = \"{}ms\"\ndisk_bytes = {}\ngrace_time = \"{}ms\"\n"
      "registry_return_time = \"{}ms\"\n",
      Settings.Name, Settings.Domain, Settings.Address, Settings.CallerAddress,
      Settings.ReadinessAddress, Settings.ReplicaAddress,
      quoteAll(Settings.Seeds), Settings.FirstPort, Settings.LastPort,
      Settings.StoreAddress, Settings.DataFolder, Settings.FirstStart,
      Settings.DisksLost, Settings.MemoryBytes, Settings.MaxDescriptors,
      Settings.ClientMemoryPercent, Settings.MaxClientConnections,
      Settings.ClientStallTime.count(), Settings.ClientMemoryWait.count(),
      Settings.DiskBytes, Settings.TerminationGracePeriod.count(),
      Settings.RegistryRecoveryTime.count());
}

} // namespace lentilhoist
