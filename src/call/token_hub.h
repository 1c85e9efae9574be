#pragma once

#include "call/answer_sink.h"
#include "core/program_id.h"

#include <map>
#include <memory>
#include <mutex>
#include <string>

namespace lentilhoist {

/// Broadcasts the generated text of running calls to all listeners. A listener
/// that joins late receives the text of the current attempt from its start.
/// Safe to use from any thread.
class token_hub {
public:
  /// Adds a listener to a program's running call.
  /// \param Program program that issued the call.
  /// \param Ticket identifies the listener.
  /// \param Sink listener; kept until detach().
  void attach(const program_id &Program, call_ticket Ticket,
              std::shared_ptr<answer_sink> Sink);

  /// Removes a listener. The text is discarded with the last one.
  /// \param Program program that issued the call.
  /// \param Ticket identifies the listener.
  void detach(const program_id &Program, call_ticket Ticket);

  /// Discards the text of the previous attempt and starts that of a new one.
  /// \param Program program that issued the call.
  /// \param AttemptId attempt that now generates the text.
  void beginAttempt(const program_id &Program, const std::string &AttemptId);

  /// Appends text and passes it to the listeners; ignored unless the attempt is
  /// the current one.
  /// \param Program program that issued the call.
  /// \param AttemptId attempt that generated the text.
  /// \param Text text to append.
  void addText(const program_id &Program, const std::string &AttemptId,
               std::string_view Text);

private:
  struct channel {
    std::string AttemptId;
    std::uint32_t Attempt = 0;
    std::string Text;
    std::map<call_ticket, std::shared_ptr<answer_sink>> Sinks;
  };

  std::mutex Mutex;
  std::map<program_id, channel> Channels;
};

} // namespace lentilhoist
