#include "net/response_grammar.h"

#include <algorithm>
#include <charconv>

namespace lentilhoist {

namespace {

constexpr std::string_view VersionStart = "HTTP/1.";
constexpr std::size_t StatusDigits = 3;

bool isDigit(char Char) { return Char >= '0' && Char <= '9'; }

bool isBlank(char Char) { return Char == ' ' || Char == '\t'; }

/// RFC 9110, section 5.6.2.
bool isTokenCharacter(char Char) {
  constexpr std::string_view Marks = "!#$%&'*+-.^_`|~";
  return isDigit(Char) || (Char >= 'a' && Char <= 'z') ||
         (Char >= 'A' && Char <= 'Z') || Marks.find(Char) != Marks.npos;
}

/// \returns whether the text has no control characters other than tabs.
bool isText(std::string_view Text) {
  return std::none_of(Text.begin(), Text.end(), [](unsigned char Char) {
    return (Char < ' ' && Char != '\t') || Char == 0x7f;
  });
}

} // namespace

bool isStatusLine(std::string_view Text) {
  if (!Text.starts_with(VersionStart))
    return false;
  Text.remove_prefix(VersionStart.size());
  if (Text.size() < 2 + StatusDigits || !isDigit(Text[0]) || Text[1] != ' ')
    return false;
  const std::string_view Status = Text.substr(2, StatusDigits);
  const std::string_view Reason = Text.substr(2 + StatusDigits);
  return Status[0] >= '1' && Status[0] <= '5' &&
         std::all_of(Status.begin(), Status.end(), isDigit) &&
         (Reason.empty() || Reason[0] == ' ') && isText(Reason);
}

bool isFieldLine(std::string_view Text) {
  const std::size_t Colon = Text.find(':');
  if (Colon == std::string_view::npos || Colon == 0)
    return false;
  const std::string_view Name = Text.substr(0, Colon);
  return std::all_of(Name.begin(), Name.end(), isTokenCharacter) &&
         isText(Text.substr(Colon + 1));
}

void response_grammar::reset() {
  Part = part::StatusLine;
  Line.clear();
  ChunkBytesLeft = 0;
}

void response_grammar::beginBody(bool Chunked) {
  Part = Chunked ? part::ChunkSize : part::Body;
}

std::optional<std::size_t> response_grammar::check(std::string_view Bytes) {
  if (Part == part::Body)
    return Bytes.size();
  if (Part != part::ChunkData)
    return checkLine(Bytes);
  const std::size_t Length = std::min(Bytes.size(), ChunkBytesLeft);
  ChunkBytesLeft -= Length;
  if (ChunkBytesLeft == 0)
    Part = part::ChunkEnd;
  return Length;
}

/// The parser library bounds the length of a line.
std::optional<std::size_t> response_grammar::checkLine(std::string_view Bytes) {
  const std::size_t LineFeed = Bytes.find('\n');
  const bool Ended = LineFeed != std::string_view::npos;
  const std::size_t Length = Ended ? LineFeed + 1 : Bytes.size();
  std::string_view Text = Bytes.substr(0, Length);
  if (!Ended || !Line.empty())
    Text = Line.append(Text);
  // A return stands before a line feed, and a line feed behind a return.
  const std::size_t Return = Text.find('\r');
  if (!Ended) {
    const bool Bare =
        Return != std::string_view::npos && Return + 1 != Text.size();
    return Bare ? std::nullopt : std::optional(Length);
  }
  if (Return == std::string_view::npos || Return + 2 != Text.size() ||
      !acceptLine(Text.substr(0, Return)))
    return std::nullopt;
  Line.clear();
  return Length;
}

bool response_grammar::acceptLine(std::string_view Text) {
  switch (Part) {
  case part::StatusLine:
    Part = part::FieldLine;
    return isStatusLine(Text);
  case part::FieldLine:
    if (!Text.empty())
      return isFieldLine(Text);
    Part = part::StatusLine;
    return true;
  case part::ChunkSize:
    return acceptChunkSize(Text);
  case part::ChunkEnd:
    Part = part::ChunkSize;
    return Text.empty();
  case part::Body:
  case part::ChunkData:
    break;
  }
  return false;
}

bool response_grammar::acceptChunkSize(std::string_view Text) {
  constexpr int Hexadecimal = 16;
  const char *End = Text.data() + Text.size();
  const auto Parsed =
      std::from_chars(Text.data(), End, ChunkBytesLeft, Hexadecimal);
  if (Parsed.ec != std::errc())
    return false;
  const char *Extension = std::find_if_not(Parsed.ptr, End, isBlank);
  // Trailers follow the last chunk.
  Part = ChunkBytesLeft == 0 ? part::FieldLine : part::ChunkData;
  return (Extension == End || *Extension == ';') && isText(Text);
}

} // namespace lentilhoist
