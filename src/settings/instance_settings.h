#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace lentilhoist {

/// Settings of one process, from the machine that it runs on.
struct instance_settings {
  std::string Name;             ///< Unique name of the instance.
  std::string Domain;           ///< Failure domain.
  std::string Address;          ///< IP address of the machine.
  std::string CallerAddress;    ///< IP:PORT for callers; empty if not served.
  std::string ReadinessAddress; ///< IP:PORT for readiness; empty if none.
  std::string ReplicaAddress;   ///< IP:PORT of the history replica.
  /// Replica addresses for discovery without the store; may be out of date.
  std::vector<std::string> Seeds;
  std::uint16_t FirstPort = 0; ///< First port of the system's own range.
  std::uint16_t LastPort = 0;
  std::string StoreAddress;    ///< IP:PORT of the platform's store.
  std::string DataFolder;      ///< Folder on the disk; empty if there is none.
  bool FirstStart = false;     ///< The whole system starts with empty disks.
  std::uint32_t DisksLost = 1; ///< Disks that may be lost at the same time.
  std::size_t MemoryBytes = 0; ///< Memory limit of the process.
  std::size_t MaxDescriptors = 0; ///< Of the process; 0: no limit.
  /// Part of the memory for what is held for clients, in percent.
  unsigned ClientMemoryPercent = 25;
  /// Connections of clients at a time; 0: derived from MaxDescriptors.
  std::size_t MaxClientConnections = 0;
  /// While memory is short, clients without progress for so long give way.
  std::chrono::milliseconds ClientStallTime{500};
  /// Longest wait of a client for memory.
  std::chrono::milliseconds ClientMemoryWait{1'200};
  std::size_t DiskBytes = 0; ///< Size of the disk; 0 if there is none.
  std::chrono::milliseconds TerminationGracePeriod{
      8'000}; ///< Between SIGTERM and SIGKILL.
  /// Time after the store becomes available again within which registry entries
  /// that expired during its outage are registered anew.
  std::chrono::milliseconds RegistryRecoveryTime{2'000};

  bool operator==(const instance_settings &) const = default;
};

/// Formats the effective settings for display.
/// \param Settings the settings.
/// \returns the settings as TOML.
std::string describeInstanceSettings(const instance_settings &Settings);

} // namespace lentilhoist
