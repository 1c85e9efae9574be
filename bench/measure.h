#pragma once

#include "bench/fit.h"

#include <ctime>
#include <fmt/format.h>
#include <malloc.h>

namespace lentilhoist {

/// \returns processor time of this process.
inline double cpuSeconds() {
  timespec Time{};
  ::clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &Time);
  return static_cast<double>(Time.tv_sec) +
         static_cast<double>(Time.tv_nsec) / 1e9;
}

/// \returns memory that is allocated, large blocks included.
inline double heapMegabytes() {
  const struct mallinfo2 Heap = ::mallinfo2();
  return static_cast<double>(Heap.uordblks + Heap.hblkhd) / 1e6;
}

/// Prints the line through measured points.
/// \param What the figure.
/// \param Unit its unit.
/// \param Points pairs of size and figure.
inline void printFit(const char *What, const char *Unit,
                     const std::vector<std::pair<double, double>> &Points) {
  const linear_fit Fit = fitLine(Points);
  fmt::print("  fit {}: {:.4g} + {:.4g} x size {}, residual {:.1f}%\n", What,
             Fit.Base, Fit.Slope, Unit, Fit.Residual * 100);
}

} // namespace lentilhoist
