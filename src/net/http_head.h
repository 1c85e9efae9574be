#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace lentilhoist {

/// One header field of an HTTP message.
struct http_field {
  std::string Name;  ///< As received; compared without regard to case.
  std::string Value; ///< Without surrounding white space.
};

using http_fields = std::vector<http_field>;

/// Head of a request (RFC 9112).
struct http_request_head {
  std::string Method;
  std::string Target; ///< Path and query as sent.
  http_fields Fields;
};

/// Head of a response (RFC 9112).
struct http_response_head {
  int Status = 0;
  http_fields Fields;
};

/// \param Left a field name.
/// \param Right another.
/// \returns whether they are the same but for case.
bool sameFieldName(std::string_view Left, std::string_view Right);

/// \param Fields the fields to search.
/// \param Name the field's name.
/// \returns the first field of that name, or null.
const http_field *findField(const http_fields &Fields, std::string_view Name);

/// \param Fields the fields to search.
/// \param Name the field's name.
/// \returns the value of the first field of that name; empty if there is none.
std::string_view fieldValue(const http_fields &Fields, std::string_view Name);

/// \param Fields fields that an http_reader has read without an error.
/// \returns the declared length of the body, in bytes; 0 if there is none.
std::size_t declaredLength(const http_fields &Fields);

/// \param Value a comma-separated list.
/// \param Token the element to look for, without regard to case.
/// \returns whether the list holds it.
bool listHasToken(std::string_view Value, std::string_view Token);

/// Removes the fields that concern one connection only (RFC 9110, 7.6.1):
/// those with a meaning for each hop and those that Connection names.
/// \param[in,out] Fields the fields.
void removeHopByHopFields(http_fields &Fields);

/// \param Head the head, without framing fields.
/// \param BodyBytes length of the body.
/// \returns the bytes of the head, which ends with an empty line.
std::string encodeRequestHead(const http_request_head &Head,
                              std::size_t BodyBytes);

/// Writes a request with its fields and the length of its body.
/// \param Head the head, without framing fields.
/// \param Body the body.
/// \param Rest the second part of the body.
/// \returns the bytes to send.
std::string encodeRequest(const http_request_head &Head, std::string_view Body,
                          std::string_view Rest = {});

/// How the body of a response is delimited.
enum class body_framing {
  Length,     ///< By Content-Length, or the message has no body.
  Chunked,    ///< By its last chunk.
  Connection, ///< By the end of the connection; responses only.
};

/// \param Framing the value to name.
/// \returns its stable text form.
const char *bodyFramingName(body_framing Framing);

/// \param Status the status of a response.
/// \returns whether such a response may have a body (RFC 9110, section 6.4.1).
bool allowsBody(int Status);

/// Writes the head of a response. One that may have no body gets no framing
/// fields.
/// \param Head the head, without framing fields.
/// \param Framing how the body is delimited: by Length or Chunked.
/// \param Length the body's length, for body_framing::Length.
/// \param Close whether the connection ends after this response.
/// \returns the bytes to send.
std::string encodeResponseHead(const http_response_head &Head,
                               body_framing Framing, std::size_t Length,
                               bool Close);

/// \param Bytes part of a body; not empty.
/// \returns the part as a chunk.
std::string encodeChunk(std::string_view Bytes);

/// The chunk that ends a body.
inline constexpr std::string_view LastChunk = "0\r\n\r\n";

} // namespace lentilhoist
