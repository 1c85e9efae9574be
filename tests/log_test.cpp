#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include "log/log_limit.h"

#include <doctest/doctest.h>

using namespace lentilhoist;

namespace {

const instant Start{seconds(100), milliseconds(0)};

} // namespace

// Guards against a log that grows with what other parties send, and against
// lines that are suppressed without a count.
TEST_CASE("a few lines of a kind are written in a minute, and the others are "
          "counted") {
  log_limit Limit;
  std::uint64_t Written = 0;
  std::uint64_t Counted = 0;
  constexpr std::uint64_t Lines = 10'000;
  for (std::uint64_t Line = 0; Line < Lines; ++Line)
    if (const auto Suppressed =
            admitLine(Limit, "odd", later(Start, milliseconds(Line * 12)))) {
      ++Written;
      Counted += *Suppressed;
    }
  // 120 s are two windows.
  CHECK(Written == 2 * MaxLinesPerWindow);
  for (const suppressed_lines &Rest :
       takeSuppressed(Limit, later(Start, seconds(180)))) {
    CHECK(Rest.Kind == "odd");
    Counted += Rest.Count;
  }
  CHECK(Written + Counted == Lines);
  CHECK(takeSuppressed(Limit, later(Start, seconds(300))).empty());
}

TEST_CASE("kinds of lines don't suppress each other, and are bounded") {
  log_limit Limit;
  while (admitLine(Limit, "loud", Start))
    ;
  CHECK(admitLine(Limit, "quiet", Start) == 0);
  CHECK(takeSuppressed(Limit, Start).empty());
  for (int Kind = 0; Kind < 1'000; ++Kind)
    admitLine(Limit, std::to_string(Kind), Start);
  CHECK(Limit.Kinds.size() <= MaxLogKinds);
}

// The process-wide limit must hold for the lines of all callers together.
TEST_CASE("logLimited writes bounded lines") {
  for (int Line = 0; Line < 100; ++Line)
    logLimited(log_level::Warning, "test_line", {{"n", std::to_string(Line)}});
  logSuppressed();
}
