#pragma once

// Needed by the header of the quantiles, which does not include it.
#include <sstream>

#include <array>
#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square_quantile.hpp>
#include <boost/accumulators/statistics/max.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>
#include <chrono>
#include <cstdint>
#include <map>
#include <mutex>
#include <string>

namespace lentilhoist {

/// Counters, gauges and latency histograms of one process, in the text format
/// of Prometheus. Safe to use from any thread.
class metrics {
public:
  /// \param Name the counter's name with its labels.
  /// \param Amount what to add.
  void count(const std::string &Name, std::uint64_t Amount = 1);

  /// \param Name the gauge's name with its labels.
  /// \param Value its present value.
  void gauge(const std::string &Name, double Value);

  /// Adds a latency to the histogram of a tenant and class.
  /// \param Name the histogram's name.
  /// \param Tenant the tenant.
  /// \param Class the class.
  /// \param Latency the latency.
  void observe(const std::string &Name, const std::string &Tenant,
               const std::string &Class, std::chrono::microseconds Latency);

  /// \returns all values as text.
  std::string render() const;

private:
  using accumulator = boost::accumulators::accumulator_set<
      double, boost::accumulators::stats<
                  boost::accumulators::tag::count,
                  boost::accumulators::tag::sum, boost::accumulators::tag::max,
                  boost::accumulators::tag::extended_p_square_quantile>>;
  static constexpr std::array<double, 10> BucketSeconds{
      0.001, 0.0025, 0.005, 0.01, 0.025, 0.1, 0.33, 1, 5, 30};

  /// Values of one tenant and class.
  struct histogram {
    histogram();
    accumulator Values;
    std::array<std::uint64_t, BucketSeconds.size()> Buckets{};
  };

  mutable std::mutex Mutex;
  std::map<std::string, std::uint64_t> Counters;
  std::map<std::string, double> Gauges;
  std::map<std::string, std::map<std::string, histogram>> Histograms;
};

} // namespace lentilhoist
