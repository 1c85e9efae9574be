#pragma once

#include "call/answer_channel.h"

#include <string>

namespace lentilhoist {

/// Turns the pieces of an answer into server-sent events in the shape of chat
/// completion chunks. Text that a caller has already seen is not sent twice;
/// where a new attempt generates other text, an event says that it starts
/// anew.
class stream_writer {
public:
  /// \param Text text of an attempt.
  /// \returns the events to send, possibly none.
  std::string addText(const answer_text &Text);

  /// \param Answer the final answer.
  /// \returns the events that end the stream.
  std::string finish(const call_answer &Answer);

private:
  std::string emitNew();

  std::string Sent;    ///< What the caller has seen.
  std::string Current; ///< Text of the present attempt so far.
  std::uint32_t Attempt = 0;
};

/// \param Body an answer's body: an array of one assistant message.
/// \returns the message's content.
std::string assistantContent(const std::string &Body);

/// \param Answer a refusal or failure.
/// \returns the error as the JSON that callers receive.
std::string describeError(const call_answer &Answer);

} // namespace lentilhoist
