#pragma once

#include <string>
#include <utility>
#include <vector>

namespace lentilhoist {

/// Worth earned and owed in each window of one run.
struct window_series {
  std::string Name;
  std::vector<std::pair<double, double>> Windows;
};

/// Draws the share earned over time.
/// \param Title of the plot.
/// \param Series one line each.
/// \returns an SVG document.
std::string plotWindows(const std::string &Title,
                        const std::vector<window_series> &Series);

} // namespace lentilhoist
