#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include "core/bounded_ring.h"
#include "core/error_code.h"
#include "core/hash.h"
#include "core/program_id.h"

#include <doctest/doctest.h>
#include <string>

using namespace lentilhoist;

TEST_CASE("a program's identity survives its text form") {
  const program_id Program{7, 0x0123456789abcdefULL};
  CHECK(formatProgramId(Program) == "007-0123456789abcdef");
  CHECK(parseProgramId("007-0123456789abcdef") == Program);
}

TEST_CASE("malformed identities are rejected") {
  for (const char *Text : {"", "7-0123456789abcdef", "007_0123456789abcdef",
                           "007-0123456789abcdeg", "007-0123456789abcdef0",
                           "0x7-0123456789abcdef", "007--123456789abcdef"})
    CHECK_FALSE(parseProgramId(Text).has_value());
}

TEST_CASE("the hash is the same in every release") {
  CHECK(stableHash("lentil") == stableHash("lentil", 0));
  CHECK(stableHash("") == 0xef46db3751d8e999ULL);
  CHECK(stableHash("lentil") != stableHash("lentil", 1));
}

TEST_CASE("codes have names and statuses") {
  CHECK(errorCodeName(error_code::BudgetExhausted) == "budget_exhausted");
  CHECK(errorCodeName(error_code::Internal) == "internal");
  CHECK(httpStatus(error_code::Overloaded) == 429);
  CHECK(runStateName(run_state::OutcomeUnknown) == "outcome_unknown");
}

TEST_CASE("a full ring refuses") {
  bounded_ring<std::string> Ring(2);
  CHECK(Ring.push("a"));
  CHECK(Ring.push("b"));
  CHECK_FALSE(Ring.push("c"));
  CHECK(Ring.pop(std::chrono::microseconds(0)) == "a");
  CHECK(Ring.push("c"));
  CHECK(Ring.pop(std::chrono::microseconds(0)) == "b");
  CHECK(Ring.pop(std::chrono::microseconds(0)) == "c");
  CHECK_FALSE(Ring.pop(std::chrono::microseconds(0)).has_value());
}
