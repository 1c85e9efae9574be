#include "experiment/window_plot.h"

#include <array>
#include <fmt/format.h>

namespace lentilhoist {

namespace {

// Sizes in pixels.
constexpr double Width = 640;
constexpr double Height = 320;
constexpr double Margin = 40;
constexpr std::array<const char *, 4> Colors{"#1b6ca8", "#c0392b", "#27ae60",
                                             "#8e44ad"};

std::string escaped(const std::string &Text) {
  std::string Out;
  for (const char Letter : Text)
    Out += Letter == '&'   ? "&amp;"
           : Letter == '<' ? "&lt;"
                           : std::string(1, Letter);
  return Out;
}

} // namespace

std::string plotWindows(const std::string &Title,
                        const std::vector<window_series> &Series) {
  std::string Svg = fmt::format(
      "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"{0}\" "
      "height=\"{1}\" font-family=\"sans-serif\" font-size=\"12\">\n"
      "<rect width=\"{0}\" height=\"{1}\" fill=\"white\"/>\n"
      "<text x=\"{2}\" y=\"20\">{3}: worth earned of worth owed, by the time "
      "at which programs began</text>\n",
      Width, Height, Margin, escaped(Title));
  for (const double Share : {0.0, 0.5, 1.0}) {
    const double Y = Height - Margin - Share * (Height - 2 * Margin);
    Svg += fmt::format("<line x1=\"{0}\" y1=\"{1:.1f}\" x2=\"{2}\" "
                       "y2=\"{1:.1f}\" stroke=\"#ccc\"/>\n"
                       "<text x=\"10\" y=\"{1:.1f}\">{3}</text>\n",
                       Margin, Y, Width - Margin, Share);
  }
  for (std::size_t Line = 0; Line < Series.size(); ++Line) {
    const auto &Windows = Series[Line].Windows;
    const char *Color = Colors.at(Line % Colors.size());
    std::string Points;
    for (std::size_t At = 0; At < Windows.size(); ++At) {
      const auto &[Earned, Owed] = Windows[At];
      if (Owed <= 0)
        continue;
      Points +=
          fmt::format("{:.1f},{:.1f} ",
                      Margin + (Width - 2 * Margin) * static_cast<double>(At) /
                                   static_cast<double>(Windows.size()),
                      Height - Margin - Earned / Owed * (Height - 2 * Margin));
    }
    Svg += fmt::format("<polyline points=\"{}\" fill=\"none\" stroke=\"{}\" "
                       "stroke-width=\"2\"/>\n"
                       "<text x=\"{}\" y=\"{}\" fill=\"{}\">{}</text>\n",
                       Points, Color, Margin + 150 * static_cast<double>(Line),
                       Height - 10, Color, escaped(Series[Line].Name));
  }
  return Svg + "</svg>\n";
}

} // namespace lentilhoist
