#pragma once

#include <cmath>
#include <utility>
#include <vector>

namespace lentilhoist {

/// A straight line through measured points.
struct linear_fit {
  double Base = 0;
  double Slope = 0;
  double Residual = 0; ///< Root of the mean square, as a share of the mean.
};

/// Fits a line by least squares.
/// \param Points pairs of size and figure, at least two.
/// \returns the line.
inline linear_fit
fitLine(const std::vector<std::pair<double, double>> &Points) {
  double SumX = 0;
  double SumY = 0;
  double SumXX = 0;
  double SumXY = 0;
  for (const auto &[X, Y] : Points) {
    SumX += X;
    SumY += Y;
    SumXX += X * X;
    SumXY += X * Y;
  }
  const auto Count = static_cast<double>(Points.size());
  linear_fit Fit;
  Fit.Slope = (Count * SumXY - SumX * SumY) / (Count * SumXX - SumX * SumX);
  Fit.Base = (SumY - Fit.Slope * SumX) / Count;
  double Squares = 0;
  for (const auto &[X, Y] : Points) {
    const double Error = Y - (Fit.Base + Fit.Slope * X);
    Squares += Error * Error;
  }
  Fit.Residual = std::sqrt(Squares / Count) / (SumY / Count);
  return Fit;
}

} // namespace lentilhoist
