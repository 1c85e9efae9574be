#pragma once

#include "core/instant.h"
#include "forward/request_traits.h"

#include <cstdint>
#include <deque>
#include <list>
#include <string>
#include <unordered_map>
#include <vector>

namespace lentilhoist {

/// Figures of one model engine.
struct engine_model_settings {
  int Slots = 6;                      ///< Requests in a batch.
  int QueueLimit = 18;                ///< Waiting requests; more are refused.
  double StepMs = 2.92;               ///< A step of a batch of one.
  double StepGrowthMs = 0.0355;       ///< More for each request in the batch.
  double PrefillTokensPerMs = 122;    ///< Speed at which prompts are read.
  std::int64_t ChunkTokens = 4'096;   ///< Prompt tokens read in one step.
  std::int64_t MemoryTokens = 73'429; ///< Of requests and kept prompts.
  std::chrono::milliseconds FirstMs{40}; ///< Before a request enters a batch.
  std::chrono::milliseconds ReportLag{100}; ///< Age of a load report.
};

/// One request as an engine sees it.
struct engine_work {
  std::uint64_t Id = 0;
  std::vector<prompt_part> Prompt;
  std::int64_t OutputTokens = 0;
};

/// What happened in an engine during a step.
struct engine_step {
  instant End{};                         ///< When the step ends.
  std::vector<std::uint64_t> FirstToken; ///< Requests that began to answer.
  std::vector<std::uint64_t> Finished;
};

/// A model engine in virtual time: batches whose steps slow with their size,
/// prompts read in chunks between tokens, parts of prompts kept until memory
/// runs out (least recently used first), a queue in order of arrival, and load
/// reports that lag.
class engine_model {
public:
  explicit engine_model(const engine_model_settings &Settings);

  /// Takes a request into the queue.
  /// \param Work the request.
  /// \param Now the present time.
  /// \returns whether there was room.
  bool add(engine_work Work, instant Now);

  /// Drops a request whose caller has left.
  /// \param Id the request.
  void cancel(std::uint64_t Id);

  /// Runs one step.
  /// \param Now the present time, at which no other step runs.
  /// \returns the step; without an end if there is nothing to do.
  engine_step step(instant Now);

  /// \param Value duration of steps as a multiple of the usual one.
  void setMultiple(double Value) { Multiple = Value; }

  /// \returns whether a step would do something.
  bool busy() const { return !Running.empty() || !Waiting.empty(); }

  /// \param Now the present time.
  /// \returns the load that an answer tells.
  load_report report(instant Now) const;

  std::int64_t tokensRead() const { return Read; } ///< Of prompts.
  std::int64_t tokensKept() const { return Kept; } ///< Found in memory.

private:
  /// A request in the batch or in the queue.
  struct item {
    engine_work Work;
    instant Arrived{};
    std::int64_t Unread = 0;   ///< Prompt tokens to read.
    std::int64_t Made = 0;     ///< Generated tokens.
    std::int64_t Reserved = 0; ///< Memory of its own.
  };
  /// A part of a prompt that is kept.
  struct kept_part {
    std::int64_t Tokens = 0;
    std::list<std::string>::iterator Place;
  };
  /// The load at some time.
  struct load_sample {
    instant Time{};
    load_report Load;
  };

  void admit(instant Now);
  void keep(const prompt_part &Part);
  void makeRoom();
  load_report loadNow() const;

  engine_model_settings Settings;
  double Multiple = 1;
  std::vector<item> Running;
  std::deque<item> Waiting;
  std::list<std::string> Uses; ///< Kept parts, most recently used first.
  std::unordered_map<std::string, kept_part> Parts;
  std::int64_t PartTokens = 0;
  std::int64_t RunningTokens = 0;
  std::deque<load_sample> Samples;
  std::int64_t Read = 0;
  std::int64_t Kept = 0;
};

} // namespace lentilhoist
