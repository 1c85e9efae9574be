#include "runner/event_parser.h"

namespace lentilhoist {

namespace {

constexpr std::string_view EventEnd = "\n\n";
constexpr std::string_view DataField = "data:";

std::string_view dataOf(std::string_view Event) {
  if (Event.substr(0, DataField.size()) != DataField)
    return {};
  Event.remove_prefix(DataField.size());
  if (!Event.empty() && Event.front() == ' ')
    Event.remove_prefix(1);
  return Event;
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
    const auto Data =
        dataOf(std::string_view(Partial).substr(Start, End - Start));
    if (!Data.empty())
      OnData(Data);
    Start = End + EventEnd.size();
  }
  Partial.erase(0, Start);
}

} // namespace lentilhoist
