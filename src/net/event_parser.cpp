#include "net/event_parser.h"

#include <optional>

namespace lentilhoist {

namespace {

constexpr std::string_view DataField = "data:";

/// Takes the first line off a text.
/// \param[in,out] Bytes the text; without the line and its end if there was
/// one.
/// \returns the line without its end, or nothing if no line has ended.
std::optional<std::string_view> takeLine(std::string_view &Bytes) {
  const std::size_t End = Bytes.find_first_of("\r\n");
  if (End == std::string_view::npos)
    return std::nullopt;
  std::size_t Next = End + 1;
  if (Bytes[End] == '\r') {
    // The line feed of this line end may not have arrived.
    if (Next == Bytes.size())
      return std::nullopt;
    if (Bytes[Next] == '\n')
      ++Next;
  }
  const std::string_view Line = Bytes.substr(0, End);
  Bytes.remove_prefix(Next);
  return Line;
}

/// Appends a line of an event's data, if it is one.
void addDataLine(std::string_view Line, std::optional<std::string> &Data) {
  if (!Line.starts_with(DataField))
    return;
  Line.remove_prefix(DataField.size());
  if (Line.starts_with(' '))
    Line.remove_prefix(1);
  if (Data)
    *Data += '\n';
  else
    Data.emplace();
  *Data += Line;
}

} // namespace

std::size_t wholeEventsLength(std::string_view Bytes) {
  std::size_t Length = 0;
  std::string_view Rest = Bytes;
  while (const auto Line = takeLine(Rest))
    if (Line->empty())
      Length = Bytes.size() - Rest.size();
  return Length;
}

void event_parser::add(std::string_view Bytes,
                       const std::function<void(std::string_view)> &OnData) {
  Partial += Bytes;
  const std::size_t Length = wholeEventsLength(Partial);
  // Lines are taken from all bytes: those behind the events show whether a CR
  // at their end is a line end of its own.
  std::string_view Rest = Partial;
  std::optional<std::string> Data;
  while (Partial.size() - Rest.size() < Length) {
    const auto Line = takeLine(Rest);
    if (!Line->empty()) {
      addDataLine(*Line, Data);
      continue;
    }
    if (Data)
      OnData(*Data);
    Data.reset();
  }
  Partial.erase(0, Length);
}

} // namespace lentilhoist
