#pragma once

#include "decision/owner_settings.h"
#include "decision/runner_table.h"
#include "http/http_client.h"
#include "membership/membership.h"
#include "runner/model_client.h"
#include "settings/settings_error.h"

#include <string>
#include <vector>

namespace lentilhoist {

/// Settings of one daemon.
struct daemon_settings {
  member_identity Identity; ///< Name, link address and place.
  std::string CallerAddress = "127.0.0.1";
  int CallerPort = 8080;
  std::size_t MaxConnections = 512; ///< Callers served at once.
  std::string OperatorAddress = "127.0.0.1";
  int OperatorPort = 8081;
  endpoint Platform;
  http_timeouts PlatformTimeouts{};
  std::size_t PlatformThreads = 16;
  double WritesPerSecond = 200; ///< Of the whole fleet, shared by shards.
  std::string TokenFile;        ///< Shared secret; empty for none.
  std::uint16_t Shards = 16;
  std::size_t AttemptThreads = 256;           ///< Attempts that run at once.
  microseconds RouteWait{seconds(10)};        ///< Search for a shard's owner.
  microseconds SettleTime{milliseconds(500)}; ///< Before a shard is moved.
  microseconds DrainTime{seconds(30)};        ///< Longest graceful shutdown.
  std::chrono::milliseconds SimulatedLinkDelay{0}; ///< For experiments.
  std::string LogLevel = "info";
  owner_settings Owner;
  dispatch_settings Dispatch;
  membership_settings Membership;
  model_client_settings Engine;
  std::vector<runner_settings> Runners;
};

/// Reads and checks a settings file.
/// \param Path the file.
/// \returns the settings.
/// \throws settings_error naming the file, the line and what was expected.
daemon_settings readDaemonSettings(const std::string &Path);

/// Reads settings from text; used by readDaemonSettings and by tests.
/// \param Text the text.
/// \param Name name of the file for messages.
/// \returns the settings.
/// \throws settings_error as above.
daemon_settings parseDaemonSettings(const std::string &Text,
                                    const std::string &Name);

/// \param Settings the settings.
/// \returns the effective settings as TOML.
std::string describeDaemonSettings(const daemon_settings &Settings);

/// Reads a secret from a file that only its owner may read.
/// \param Path the file; empty for no secret.
/// \returns the secret.
/// \throws settings_error if the file is missing, empty or open to others.
std::string readToken(const std::string &Path);

} // namespace lentilhoist
