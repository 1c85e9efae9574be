#include "net/event_parser.h"

#include <optional>

namespace lentilhoist {

namespace {

constexpr std::string_view EventEnd = "\n\n";
constexpr std::string_view DataField = "data:";

/// Joins the data lines of an event; nothing if it has none.
std::optional<std::string> dataOf(std::string_view Event) {
  std::optional<std::string> Data;
  while (!Event.empty()) {
    const std::size_t End = Event.find('\n');
    std::string_view Line = Event.substr(0, End);
    Event.remove_prefix(End == std::string_view::npos ? Event.size() : End + 1);
    if (!Line.starts_with(DataField))
      continue;
    Line.remove_prefix(DataField.size());
    if (Line.starts_with(' '))
      Line.remove_prefix(1);
    if (Data)
      *Data += '\n';
    else
      Data.emplace();
    *Data += Line;
  }
  return Data;
}

} // namespace

void event_parser::add(std::string_view Bytes,
                       const std::function<void(std::string_view)> &OnData) {
  Partial += Bytes;
  std::size_t Start = 0;
  for (;;) {
    const std::size_t End = Partial.find(EventEnd, Start);
    if (End == std::string::npos)
      break;
    if (const auto Data =
            dataOf(std::string_view(Partial).substr(Start, End - Start)))
      OnData(*Data);
    Start = End + EventEnd.size();
  }
  Partial.erase(0, Start);
}

} // namespace lentilhoist
