#include "metrics/metrics.h"

#include <fmt/format.h>

namespace lentilhoist {

namespace {

namespace acc = boost::accumulators;

constexpr std::array<double, 3> Quantiles{0.5, 0.95, 0.99};

std::string escapeLabel(const std::string &Text) {
  std::string Escaped;
  for (const char Letter : Text) {
    if (Letter == '"' || Letter == '\\')
      Escaped += '\\';
    Escaped += Letter == '\n' ? ' ' : Letter;
  }
  return Escaped;
}

} // namespace

metrics::histogram::histogram()
    : Values(acc::extended_p_square_probabilities = Quantiles) {}

void metrics::count(const std::string &Name, std::uint64_t Amount) {
  const std::lock_guard Lock(Mutex);
  Counters[Name] += Amount;
}

void metrics::gauge(const std::string &Name, double Value) {
  const std::lock_guard Lock(Mutex);
  Gauges[Name] = Value;
}

void metrics::observe(const std::string &Name, const std::string &Tenant,
                      const std::string &Class,
                      std::chrono::microseconds Latency) {
  const double Seconds = std::chrono::duration<double>(Latency).count();
  const std::string Labels = fmt::format(
      R"(tenant="{}",class="{}")", escapeLabel(Tenant), escapeLabel(Class));
  const std::lock_guard Lock(Mutex);
  histogram &Histogram = Histograms[Name][Labels];
  Histogram.Values(Seconds);
  for (std::size_t Index = 0; Index < BucketSeconds.size(); ++Index) {
    if (Seconds <= BucketSeconds[Index])
      ++Histogram.Buckets[Index];
  }
}

std::string metrics::render() const {
  const std::lock_guard Lock(Mutex);
  std::string Text;
  for (const auto &[Name, Value] : Counters)
    Text += fmt::format("{} {}\n", Name, Value);
  for (const auto &[Name, Value] : Gauges)
    Text += fmt::format("{} {}\n", Name, Value);
  for (const auto &[Name, Group] : Histograms) {
    Text += fmt::format("# TYPE {} histogram\n", Name);
    for (const auto &[Labels, Histogram] : Group) {
      for (std::size_t Index = 0; Index < BucketSeconds.size(); ++Index)
        Text += fmt::format("{}_bucket{{{},le=\"{}\"}} {}\n", Name, Labels,
                            BucketSeconds[Index], Histogram.Buckets[Index]);
      const auto Count = acc::count(Histogram.Values);
      Text +=
          fmt::format("{}_bucket{{{},le=\"+Inf\"}} {}\n", Name, Labels, Count);
      Text += fmt::format("{}_sum{{{}}} {}\n", Name, Labels,
                          acc::sum(Histogram.Values));
      Text += fmt::format("{}_count{{{}}} {}\n", Name, Labels, Count);
      for (const double Probability : Quantiles)
        Text += fmt::format(
            "{}_quantile{{{},quantile=\"{}\"}} {}\n", Name, Labels, Probability,
            acc::quantile(Histogram.Values,
                          acc::quantile_probability = Probability));
    }
  }
  return Text;
}

} // namespace lentilhoist
