#pragma once

#include "decision/call_request.h"

#include <cstdint>
#include <string_view>

namespace lentilhoist {

/// Where the answer to one request goes: a caller's connection or the
/// instance that passed the request on. Safe to use from any thread.
class answer_sink {
public:
  virtual ~answer_sink() = default;

  /// Passes generated text on.
  /// \param Attempt number of the attempt; a higher one starts the text anew.
  /// \param Offset position of the text in the attempt's whole text.
  /// \param Text the text.
  virtual void addText(std::uint32_t Attempt, std::uint64_t Offset,
                       std::string_view Text) = 0;

  /// Ends the request; called once.
  /// \param Answer the answer.
  virtual void finish(const call_answer &Answer) = 0;
};

} // namespace lentilhoist
