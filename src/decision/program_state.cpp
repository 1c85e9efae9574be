#include "decision/program_state.h"

#include <cassert>

namespace lentilhoist {

namespace {

/// Tokens that a chat template adds around the messages of one turn.
constexpr std::uint64_t TemplateTokens = 64;

} // namespace

std::uint64_t usedTokens(const program_state &Program) {
  return Program.SpentTokens + Program.LostTokens + Program.ReservedTokens +
         Program.CarvedTokens;
}

std::uint64_t freeTokens(const program_state &Program) {
  const std::uint64_t Used = usedTokens(Program);
  assert(Used <= Program.Budget.Tokens);
  return Program.Budget.Tokens - Used;
}

std::uint32_t nextCall(const program_state &Program) {
  return static_cast<std::uint32_t>(Program.Calls.size()) + 1;
}

bool hasOpenIntent(const program_state &Program) {
  return !Program.Calls.empty() &&
         Program.Calls.back().Progress == call_progress::Intended;
}

std::uint64_t promptBound(const program_state &Program, std::size_t NewBytes) {
  std::uint64_t HistoryTokens = 0;
  for (const recorded_call &Call : Program.Calls) {
    if (Call.Kind == call_kind::Model && Call.Run == run_state::Ran)
      HistoryTokens = Call.PromptTokens + Call.GeneratedTokens;
  }
  return HistoryTokens + NewBytes + TemplateTokens;
}

} // namespace lentilhoist
