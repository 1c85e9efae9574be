#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include "metrics/metrics.h"

#include <doctest/doctest.h>

using namespace lentilhoist;

TEST_CASE("values are rendered as text") {
  metrics Measures;
  Measures.count("requests_total");
  Measures.count("requests_total", 2);
  Measures.gauge("depth", 4.5);
  for (int Index = 1; Index <= 100; ++Index)
    Measures.observe("latency", "t\"x", "c", std::chrono::milliseconds(Index));
  const std::string Text = Measures.render();
  CHECK(Text.find("requests_total 3\n") != std::string::npos);
  CHECK(Text.find("depth 4.5\n") != std::string::npos);
  CHECK(Text.find(R"(latency_count{tenant="t\"x",class="c"} 100)") !=
        std::string::npos);
  CHECK(Text.find(R"(latency_bucket{tenant="t\"x",class="c",le="0.01"} 10)") !=
        std::string::npos);
  CHECK(Text.find("quantile=\"0.99\"") != std::string::npos);
}
