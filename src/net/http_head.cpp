#include "net/http_head.h"

#include <algorithm>
#include <array>
#include <cctype>
#include <charconv>
#include <fmt/format.h>

namespace lentilhoist {

namespace {

constexpr std::array<std::string_view, 8> HopByHop{
    "connection", "keep-alive", "proxy-connection",  "te",
    "trailer",    "upgrade",    "transfer-encoding", "content-length"};

std::string_view trim(std::string_view Text) {
  while (!Text.empty() && (Text.front() == ' ' || Text.front() == '\t'))
    Text.remove_prefix(1);
  while (!Text.empty() && (Text.back() == ' ' || Text.back() == '\t'))
    Text.remove_suffix(1);
  return Text;
}

std::string_view reasonPhrase(int Status) {
  switch (Status) {
  case 200:
    return "OK";
  case 400:
    return "Bad Request";
  case 402:
    return "Payment Required";
  case 404:
    return "Not Found";
  case 408:
    return "Request Timeout";
  case 413:
    return "Content Too Large";
  case 421:
    return "Misdirected Request";
  case 429:
    return "Too Many Requests";
  case 431:
    return "Request Header Fields Too Large";
  case 500:
    return "Internal Server Error";
  case 502:
    return "Bad Gateway";
  case 503:
    return "Service Unavailable";
  case 504:
    return "Gateway Timeout";
  default:
    return "Status";
  }
}

void appendFields(std::string &Out, const http_fields &Fields) {
  for (const http_field &Field : Fields) {
    Out += Field.Name;
    Out += ": ";
    Out += Field.Value;
    Out += "\r\n";
  }
}

} // namespace

bool sameFieldName(std::string_view Left, std::string_view Right) {
  return std::equal(Left.begin(), Left.end(), Right.begin(), Right.end(),
                    [](unsigned char A, unsigned char B) {
                      return std::tolower(A) == std::tolower(B);
                    });
}

const http_field *findField(const http_fields &Fields, std::string_view Name) {
  const auto Found =
      std::find_if(Fields.begin(), Fields.end(), [&](const http_field &Field) {
        return sameFieldName(Field.Name, Name);
      });
  return Found == Fields.end() ? nullptr : &*Found;
}

std::string_view fieldValue(const http_fields &Fields, std::string_view Name) {
  const http_field *Field = findField(Fields, Name);
  return Field ? std::string_view(Field->Value) : std::string_view();
}

std::size_t declaredLength(const http_fields &Fields) {
  const std::string_view Text = fieldValue(Fields, "Content-Length");
  std::size_t Length = 0;
  // http_reader has validated the number.
  std::from_chars(Text.data(), Text.data() + Text.size(), Length);
  return Length;
}

bool listHasToken(std::string_view Value, std::string_view Token) {
  while (!Value.empty()) {
    const std::size_t Comma = Value.find(',');
    if (sameFieldName(trim(Value.substr(0, Comma)), Token))
      return true;
    if (Comma == std::string_view::npos)
      break;
    Value.remove_prefix(Comma + 1);
  }
  return false;
}

void removeHopByHopFields(http_fields &Fields) {
  const std::string Named(fieldValue(Fields, "Connection"));
  std::erase_if(Fields, [&](const http_field &Field) {
    const bool Listed =
        std::any_of(HopByHop.begin(), HopByHop.end(),
                    [&](auto Name) { return sameFieldName(Field.Name, Name); });
    return Listed || listHasToken(Named, Field.Name);
  });
}

std::string encodeRequestHead(const http_request_head &Head,
                              std::size_t BodyBytes) {
  std::string Out = fmt::format("{} {} HTTP/1.1\r\n", Head.Method, Head.Target);
  appendFields(Out, Head.Fields);
  const bool Bodyless =
      Head.Method == "GET" || Head.Method == "HEAD" || Head.Method == "DELETE";
  if (BodyBytes != 0 || !Bodyless)
    Out += fmt::format("Content-Length: {}\r\n", BodyBytes);
  Out += "\r\n";
  return Out;
}

std::string encodeRequest(const http_request_head &Head, std::string_view Body,
                          std::string_view Rest) {
  const std::size_t Length = Body.size() + Rest.size();
  std::string Out = encodeRequestHead(Head, Length);
  Out.reserve(Out.size() + Length);
  Out += Body;
  Out += Rest;
  return Out;
}

bool allowsBody(int Status) {
  return Status / 100 != 1 && Status != 204 && Status != 304;
}

std::string encodeResponseHead(const http_response_head &Head,
                               body_framing Framing, std::size_t Length,
                               bool Close) {
  std::string Out =
      fmt::format("HTTP/1.1 {} {}\r\n", Head.Status, reasonPhrase(Head.Status));
  appendFields(Out, Head.Fields);
  if (allowsBody(Head.Status))
    Out += Framing == body_framing::Chunked
               ? "Transfer-Encoding: chunked\r\n"
               : fmt::format("Content-Length: {}\r\n", Length);
  if (Close)
    Out += "Connection: close\r\n";
  Out += "\r\n";
  return Out;
}

const char *bodyFramingName(body_framing Framing) {
  switch (Framing) {
  case body_framing::Length:
    return "length";
  case body_framing::Chunked:
    return "chunked";
  case body_framing::Connection:
    return "connection";
  }
  return "unknown";
}

std::string encodeChunk(std::string_view Bytes) {
  return fmt::format("{:x}\r\n{}\r\n", Bytes.size(), Bytes);
}

} // namespace lentilhoist
