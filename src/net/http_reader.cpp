#include "net/http_reader.h"

#include <algorithm>

namespace lentilhoist {

namespace {

http_reader &readerOf(http_parser *Parser) {
  return *static_cast<http_reader *>(Parser->data);
}

/// Informational responses that may precede a response; more are taken for a
/// server that never sends one.
constexpr int MaxInformationalResponses = 16;
constexpr int SkipBody = 1;     ///< Answer of the head callback.
constexpr int StopParsing = -1; ///< Any callback's answer to give up.
constexpr int StatusSwitchingProtocols = 101;

/// Control characters, and spaces in names, which the parser library lets
/// through in its lenient form.
bool isCleanName(std::string_view Name) {
  return !Name.empty() &&
         std::all_of(Name.begin(), Name.end(), [](unsigned char Char) {
           return Char > ' ' && Char < 0x7f && Char != ':';
         });
}

bool isCleanValue(std::string_view Value) {
  return std::none_of(Value.begin(), Value.end(), [](unsigned char Char) {
    return (Char < ' ' && Char != '\t') || Char == 0x7f;
  });
}

} // namespace

http_reader::http_reader(http_message GivenKind, std::size_t GivenMax)
    : Kind(GivenKind), MaxHeadBytes(GivenMax) {
  reset();
}

void http_reader::reset() {
  http_parser_init(&Parser, Kind == http_message::Request ? HTTP_REQUEST
                                                          : HTTP_RESPONSE);
  Parser.data = this;
  Grammar.reset();
  Request = {};
  Response = {};
  Body.clear();
  HeadBytes = HeadReadBytes = 0;
  InformationalResponses = 0;
  InValue = Started = HeadComplete = Complete = KeepAlive = NoBody = false;
  Framing = body_framing::Length;
  Error = http_read_error::None;
}

http_fields &http_reader::fields() {
  return Kind == http_message::Request ? Request.Fields : Response.Fields;
}

const http_parser_settings &http_reader::callbacks() {
  static const http_parser_settings Settings = [] {
    http_parser_settings Made;
    http_parser_settings_init(&Made);
    Made.on_url = onUrl;
    Made.on_header_field = onField;
    Made.on_header_value = onValue;
    Made.on_headers_complete = onHeadersComplete;
    Made.on_body = onBody;
    Made.on_message_complete = onMessageComplete;
    return Made;
  }();
  return Settings;
}

std::size_t http_reader::feed(std::string_view Bytes) {
  if (Complete || Error != http_read_error::None)
    return 0;
  std::size_t Used = 0;
  // Empty lines before a request are to be ignored (RFC 9112, section 2.2).
  while (!Started && Used < Bytes.size() &&
         (Bytes[Used] == '\r' || Bytes[Used] == '\n'))
    ++Used;
  if (Used == Bytes.size())
    return Used;
  Started = true;
  while (Used < Bytes.size() && !Complete && Error == http_read_error::None) {
    std::string_view Part = Bytes.substr(Used);
    if (Kind == http_message::Response) {
      const auto Length = Grammar.check(Part);
      if (!Length) {
        Error = http_read_error::Malformed;
        break;
      }
      Part = Part.substr(0, *Length);
    }
    Used += parse(Part);
  }
  return Used;
}

/// Passes bytes of one message to the parser library.
/// \returns how many of them it read.
std::size_t http_reader::parse(std::string_view Bytes) {
  const bool InHead = !HeadComplete;
  const std::size_t Parsed =
      http_parser_execute(&Parser, &callbacks(), Bytes.data(), Bytes.size());
  if (InHead)
    HeadReadBytes += Parsed;
  if (!HeadComplete) {
    HeadBytes += Parsed;
    if (MaxHeadBytes != 0 && HeadBytes > MaxHeadBytes)
      Error = http_read_error::HeadTooLarge;
  }
  const auto Failure = HTTP_PARSER_ERRNO(&Parser);
  if (Failure == HPE_HEADER_OVERFLOW)
    Error = http_read_error::HeadTooLarge;
  else if (Failure != HPE_OK && Failure != HPE_PAUSED &&
           Error == http_read_error::None)
    Error = http_read_error::Malformed;
  return Parsed;
}

std::size_t http_reader::headMemory() const {
  const http_fields &Fields =
      Kind == http_message::Request ? Request.Fields : Response.Fields;
  // Strings grow to twice their length.
  return 2 * HeadReadBytes + Fields.capacity() * sizeof(http_field);
}

void http_reader::feedEnd() {
  if (Complete || Error != http_read_error::None || !Started)
    return;
  http_parser_execute(&Parser, &callbacks(), nullptr, 0);
}

int http_reader::onUrl(http_parser *Parser, const char *At, size_t Length) {
  readerOf(Parser).Request.Target.append(At, Length);
  return 0;
}

int http_reader::onField(http_parser *Parser, const char *At, size_t Length) {
  http_reader &Reader = readerOf(Parser);
  // Fields after the body (trailers) are dropped.
  if (Reader.HeadComplete)
    return 0;
  if (Reader.InValue || Reader.fields().empty())
    Reader.fields().emplace_back();
  Reader.InValue = false;
  Reader.fields().back().Name.append(At, Length);
  return 0;
}

int http_reader::onValue(http_parser *Parser, const char *At, size_t Length) {
  http_reader &Reader = readerOf(Parser);
  if (Reader.HeadComplete)
    return 0;
  Reader.InValue = true;
  Reader.fields().back().Value.append(At, Length);
  return 0;
}

int http_reader::onHeadersComplete(http_parser *Parser) {
  return readerOf(Parser).finishHead();
}

bool http_reader::framingIsSound() const {
  const http_fields &Fields =
      Kind == http_message::Request ? Request.Fields : Response.Fields;
  int Lengths = 0;
  int Encodings = 0;
  for (const http_field &Field : Fields) {
    if (!isCleanName(Field.Name) || !isCleanValue(Field.Value))
      return false;
    if (sameFieldName(Field.Name, "Content-Length"))
      ++Lengths;
    if (sameFieldName(Field.Name, "Transfer-Encoding")) {
      ++Encodings;
      if (!sameFieldName(Field.Value, "chunked"))
        return false;
    }
  }
  return Lengths + Encodings <= 1;
}

int http_reader::finishHead() {
  for (http_field &Field : fields())
    while (!Field.Value.empty() &&
           (Field.Value.back() == ' ' || Field.Value.back() == '\t'))
      Field.Value.pop_back();
  bool Bodyless = false;
  const bool Version11 = Parser.http_major == 1;
  if (!Version11 || !framingIsSound()) {
    Error = http_read_error::Malformed;
    return StopParsing;
  }
  KeepAlive = http_should_keep_alive(&Parser) != 0;
  if (findField(fields(), "Transfer-Encoding"))
    Framing = body_framing::Chunked;
  // A switch of protocols is not offered; the message is read as any other.
  Parser.upgrade = 0;
  if (Kind == http_message::Request) {
    if (Parser.method == HTTP_CONNECT) {
      Error = http_read_error::UnsupportedMethod;
      return StopParsing;
    }
    Request.Method = http_method_str(static_cast<http_method>(Parser.method));
    if (Request.Target.empty() || Request.Target.front() != '/') {
      Error = http_read_error::Malformed;
      return StopParsing;
    }
  } else {
    Response.Status = Parser.status_code;
    Bodyless = NoBody || !allowsBody(Response.Status);
    // No request asks for a switch of protocols. HTTP/1.0 has no chunks.
    if (Response.Status == StatusSwitchingProtocols ||
        (Parser.http_minor == 0 && Framing == body_framing::Chunked)) {
      Error = http_read_error::Malformed;
      return StopParsing;
    }
    if (Bodyless)
      Framing = body_framing::Length;
    else if (Framing != body_framing::Chunked &&
             !findField(Response.Fields, "Content-Length"))
      Framing = body_framing::Connection;
    Grammar.beginBody(Framing == body_framing::Chunked);
  }
  HeadComplete = true;
  return Bodyless ? SkipBody : 0;
}

int http_reader::onBody(http_parser *Parser, const char *At, size_t Length) {
  readerOf(Parser).Body.append(At, Length);
  return 0;
}

int http_reader::onMessageComplete(http_parser *Parser) {
  http_reader &Reader = readerOf(Parser);
  // An informational response precedes the final one.
  if (Reader.Kind == http_message::Response &&
      Reader.Response.Status / 100 == 1) {
    Reader.Response = {};
    Reader.Grammar.reset();
    Reader.HeadComplete = Reader.InValue = false;
    if (++Reader.InformationalResponses <= MaxInformationalResponses)
      return 0;
    Reader.Error = http_read_error::Malformed;
    return StopParsing;
  }
  Reader.Complete = true;
  http_parser_pause(Parser, 1);
  return 0;
}

} // namespace lentilhoist
