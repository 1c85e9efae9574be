#pragma once

#include "net/http_head.h"
#include "net/response_grammar.h"

#include <http_parser.h>
#include <string>
#include <string_view>
#include <utility>

namespace lentilhoist {

/// Which messages a reader parses.
enum class http_message { Request, Response };

/// Why a message can't be read.
enum class http_read_error {
  None,
  Malformed,         ///< Not HTTP/1.1, or framed in more than one way.
  HeadTooLarge,      ///< The head exceeds the limit.
  UnsupportedMethod, ///< CONNECT.
};

/// Incremental reader of HTTP/1.1 messages over a parser library that does no
/// I/O. Bytes are fed as they arrive; the reader stops at the end of each
/// message, so that what follows it stays with the caller.
class http_reader {
public:
  /// \param Kind which messages to read.
  /// \param MaxHeadBytes largest head; 0 for no limit.
  explicit http_reader(http_message Kind, std::size_t MaxHeadBytes = 0);

  /// Reads bytes of one message.
  /// \param Bytes what arrived.
  /// \returns how many bytes belong to the message; less than given only if
  /// it is complete or can't be read.
  std::size_t feed(std::string_view Bytes);

  /// Tells the reader that the connection ended in order. Completes a message
  /// that is delimited by the end of its connection.
  void feedEnd();

  /// Prepares for the next message on the same connection.
  void reset();

  /// \param Length the new limit of a head.
  void setMaxHeadBytes(std::size_t Length) { MaxHeadBytes = Length; }

  /// The next response has no body whatever its head says (HEAD).
  void expectNoBody() { NoBody = true; }

  bool started() const { return Started; }
  bool headComplete() const { return HeadComplete; }
  bool complete() const { return Complete; }
  http_read_error error() const { return Error; }
  /// \returns whether the connection may carry another message.
  bool keepAlive() const { return KeepAlive; }
  /// \returns whether only the end of the connection ends the body.
  bool endsWithConnection() const {
    return Framing == body_framing::Connection;
  }
  /// \returns how the body is delimited; valid once the head is complete.
  body_framing framing() const { return Framing; }

  const http_request_head &request() const { return Request; }
  const http_response_head &response() const { return Response; }

  /// \returns the head of a complete request; request() is empty afterwards.
  http_request_head takeRequest() { return std::exchange(Request, {}); }

  /// \returns body bytes since the last call.
  std::string takeBody() { return std::exchange(Body, {}); }
  /// \returns the memory that the head takes up, estimated from above.
  std::size_t headMemory() const;
  std::size_t bodyBytes() const { return Body.size(); }

private:
  static int onUrl(http_parser *Parser, const char *At, size_t Length);
  static int onField(http_parser *Parser, const char *At, size_t Length);
  static int onValue(http_parser *Parser, const char *At, size_t Length);
  static int onHeadersComplete(http_parser *Parser);
  static int onBody(http_parser *Parser, const char *At, size_t Length);
  static int onMessageComplete(http_parser *Parser);
  static const http_parser_settings &callbacks();

  std::size_t parse(std::string_view Bytes);
  http_fields &fields();
  bool framingIsSound() const;
  int finishHead();

  http_message Kind;
  std::size_t MaxHeadBytes;
  http_parser Parser{};
  response_grammar Grammar; ///< Of responses; unused for requests.
  http_request_head Request;
  http_response_head Response;
  std::string Body;
  std::size_t HeadBytes = 0;
  std::size_t HeadReadBytes = 0;  ///< Of all reads with bytes of the head.
  int InformationalResponses = 0; ///< Before the final response.
  bool InValue = false;           ///< The last header callback was a value.
  bool Started = false;
  bool HeadComplete = false;
  bool Complete = false;
  bool KeepAlive = false;
  body_framing Framing = body_framing::Length;
  bool NoBody = false;
  http_read_error Error = http_read_error::None;
};

} // namespace lentilhoist
