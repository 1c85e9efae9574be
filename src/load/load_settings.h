#pragma once

#include "http/http_client.h"

#include <cstdint>
#include <string>
#include <vector>

namespace lentilhoist {

/// One kind of program that the load tool runs.
struct load_class {
  std::string Tenant = "gaisa-loki";
  std::string Class = "customer";
  double Share = 1.0; ///< Weight among the classes.
  int MinTurns = 3;
  int MaxTurns = 8;
  int PromptWords = 40; ///< Words that each turn adds.
  int MaxTokens = 24;
  int MinPauseMilliseconds = 5; ///< Tool pause between turns.
  int MaxPauseMilliseconds = 40;
  double SideEffectShare = 0.3; ///< Turns followed by an exclusive call.
  double SubAgentShare = 0.15;  ///< Turns that run a sub-agent.
};

/// Settings of one run of the load tool.
struct load_settings {
  endpoint Platform;
  std::string Service = "shop-app"; ///< Service that side effects go to.
  std::vector<endpoint> Engines;    ///< Whose records are checked.
  std::vector<endpoint> Services;   ///< Whose records are checked.
  std::vector<load_class> Classes{load_class()};
  int Programs = 50;
  int Concurrency = 50;
  double RampSeconds = 1.0; ///< Programs start spread over this time.
  std::uint64_t Seed = 1;
  int KilledPort = 0; ///< Caller port of an instance that is killed on purpose.
  std::string TraceFile; ///< Where to write what happened; empty for nowhere.
};

} // namespace lentilhoist
