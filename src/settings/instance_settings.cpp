#include "settings/instance_settings.h"

#include <fmt/format.h>

namespace lentilhoist {

std::string describeInstanceSettings(const instance_settings &Settings) {
  return fmt::format(
      "name = \"{}\"\ndomain = \"{}\"\naddress = \"{}\"\n"
      "caller_address = \"{}\"\nreadiness_address = \"{}\"\n"
      "first_port = {}\nlast_port = {}\nstore_address = \"{}\"\n"
      "data_folder = \"{}\"\nfirst_start = {}\ndisks_lost = {}\n"
      "memory_bytes = {}\ndisk_bytes = {}\ngrace_time = \"{}ms\"\n"
      "registry_return_time = \"{}ms\"\n",
      Settings.Name, Settings.Domain, Settings.Address, Settings.CallerAddress,
      Settings.ReadinessAddress, Settings.FirstPort, Settings.LastPort,
      Settings.StoreAddress, Settings.DataFolder, Settings.FirstStart,
      Settings.DisksLost, Settings.MemoryBytes, Settings.DiskBytes,
      Settings.GraceTime.count(), Settings.RegistryReturnTime.count());
}

} // namespace lentilhoist
