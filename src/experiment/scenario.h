#pragma once

#include "experiment/engine_model.h"

#include <string>
#include <vector>

namespace lentilhoist {

/// A kind of program: turns in a line with pauses between them.
struct program_kind {
  std::string Name = "program";
  int Priority = 0;
  double PerSecond = 10; ///< Programs that begin, at all instances together.
  double Worth = 1;
  double LateWorth = 0.1;    ///< Inside twice the aim.
  double Turns = 5;          ///< Mean.
  double InputTokens = 500;  ///< Mean of a turn.
  double OutputTokens = 70;  ///< Mean of a turn.
  double SharedTokens = 512; ///< Start of each prompt, one of three.
  double PauseMs = 60;       ///< Mean between turns, with the calls of tools.
  double AimFactor = 1.3;    ///< Aim: times the time on idle engines,
  double AimSlackMs = 300;   ///< and this.
  std::chrono::milliseconds Timeout{3'000}; ///< Of a turn.
};

/// More of all traffic for a while.
struct traffic_burst {
  double At = 0; ///< Seconds.
  double For = 0;
  double Times = 1;
};

/// Slow moments of engines: each is slow for a random part of the periods.
struct slow_moments {
  double Share = 0; ///< Of the periods.
  double Times = 1; ///< Duration of work in them, as a multiple.
  std::chrono::milliseconds Period{600};
};

/// An installation and its traffic.
struct scenario {
  std::string Name = "scenario";
  int Instances = 12;
  int Engines = 12;
  int Domains = 3;
  double Seconds = 30;
  engine_model_settings Engine;
  std::chrono::microseconds CrossDomain{4'400}; ///< One way.
  std::chrono::microseconds InDomain{200};
  std::chrono::milliseconds Way{64}; ///< A turn, besides the engine.
  /// Duration of work by failure domain, as a multiple; 1 for all if empty.
  std::vector<double> DomainTimes;
  slow_moments SlowMoments;
  bool ReportSlowdown = false; ///< Load reports state the present multiple.
  bool LearnSpeeds = true;     ///< Instances learn the speed of engines.
  double SameInstance = 0.9;   ///< Share of turns that come where the last did.
  std::vector<program_kind> Kinds;
  std::vector<traffic_burst> Bursts;
};

/// Reads a scenario.
/// \param Path a TOML file.
/// \returns the scenario.
/// \throws settings_error if it is none.
scenario readScenario(const std::string &Path);

} // namespace lentilhoist
