#pragma once

#include "decision/call_request.h"

#include <cstdint>
#include <string_view>

namespace lentilhoist {

/// Receiver of the answer to one request: a caller's connection or the instance
/// that forwarded the request. Safe to use from any thread.
class answer_sink {
public:
  virtual ~answer_sink() = default;

  /// Delivers generated text.
  /// \param Attempt number of the attempt; a higher one restarts the text.
  /// \param Offset position in the attempt's text, in bytes.
  /// \param Text text at that position.
  virtual void addText(std::uint32_t Attempt, std::uint64_t Offset,
                       std::string_view Text) = 0;

  /// Ends the request; called once.
  /// \param Answer final answer.
  virtual void finish(const call_answer &Answer) = 0;
};

} // namespace lentilhoist
