#pragma once

#include "load/load_balancer.h"
#include "load/load_settings.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <nlohmann/json.hpp>
#include <random>
#include <string>
#include <vector>

namespace lentilhoist {

/// How a call ended for its caller.
enum class load_outcome { Answered, NotRun, Unknown, Failed };

/// One side effect as its caller saw it.
struct side_effect {
  std::string Body;
  load_outcome Outcome = load_outcome::Failed;
};

/// What happened to one program.
struct program_report {
  std::string Tenant;
  std::string Class;
  std::string Program;
  std::uint64_t TokenBudget = 0;
  std::chrono::microseconds StartedAt{0};  ///< From the start of the run.
  std::chrono::microseconds Latency{0};    ///< Whole program.
  std::chrono::microseconds FirstToken{0}; ///< Of the first model call.
  std::vector<std::chrono::microseconds> FirstTokens; ///< Of each model call.
  std::vector<side_effect> SideEffects;
  std::map<std::string, int> Refusals; ///< By error code.
  std::vector<std::string> Breaches;   ///< Promises that did not hold.
  int CutStreams = 0; ///< Streams without an end, killed ones apart.
  int Retries = 0;
  int Uncommitted = 0; ///< Answers that were not durable when they came.
  bool Finished = false;
};

/// Runs one program against the instances, as its caller would.
class program_runner {
public:
  /// \param Settings the run's settings.
  /// \param Class the kind of program.
  /// \param Balancer spreads the calls.
  /// \param Seed decides everything about the program.
  program_runner(const load_settings &Settings, const load_class &Class,
                 load_balancer &Balancer, std::uint64_t Seed);

  /// Runs the program to its end.
  /// \param Parent the program's parent, empty if none.
  /// \returns what happened.
  program_report run(const std::string &Parent);

  /// \returns the reports of the sub-agents that ran.
  const std::vector<program_report> &children() const { return Children; }

private:
  struct http_answer {
    int Status = 0;
    std::string Body;
    bool Complete = false;
    std::chrono::microseconds FirstByte{0};
    int Port = 0;
    int CommittedThrough = -1; ///< Negative if the answer does not say.
  };

  bool create(const std::string &Parent);
  bool callModel();
  void callService();
  void runChild();
  void checkHistory();
  void end();
  http_answer send(const std::string &Method, const std::string &Path,
                   const std::string &Body, bool Stream);
  http_answer sendUntilAnswered(const std::string &Method,
                                const std::string &Path,
                                const std::string &Body, bool Stream);
  /// What a streamed answer says.
  struct stream_content {
    std::string Text;
    int CommittedThrough = 0;
  };

  static stream_content readStream(const std::string &Body);
  http_answer callUntilCommitted(const std::string &Path,
                                 const std::string &Body, bool Stream);
  bool acceptStream(const http_answer &Answer, const nlohmann::json &Messages);
  void noteRefusal(const std::string &Body);
  int randomBetween(int Least, int Most);
  bool drawShare(double Share);
  void pause();

  const load_settings &Settings;
  const load_class &Class;
  load_balancer &Balancer;
  std::mt19937_64 Random;
  std::uint64_t Seed;
  program_report Report;
  std::vector<program_report> Children;
  nlohmann::json History = nlohmann::json::array();
  std::vector<std::string> ServiceBodies; ///< By call, empty for model calls.
  int NextCall = 1;
};

} // namespace lentilhoist
