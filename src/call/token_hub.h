#pragma once

#include "call/answer_sink.h"
#include "core/program_id.h"

#include <map>
#include <memory>
#include <mutex>
#include <string>

namespace lentilhoist {

/// Passes the text of running calls to all who wait for them. One who joins
/// late gets the text from its start.
class token_hub {
public:
  /// Adds a listener to a program's running call.
  /// \param Program the program.
  /// \param Ticket the listener's handle.
  /// \param Sink the listener.
  void attach(const program_id &Program, call_ticket Ticket,
              std::shared_ptr<answer_sink> Sink);

  /// Removes a listener.
  /// \param Program the program.
  /// \param Ticket the listener's handle.
  void detach(const program_id &Program, call_ticket Ticket);

  /// Starts the text of a new attempt.
  /// \param Program the program.
  /// \param AttemptId the attempt.
  void beginAttempt(const program_id &Program, const std::string &AttemptId);

  /// Adds text of an attempt; that of an older attempt is ignored.
  /// \param Program the program.
  /// \param AttemptId the attempt.
  /// \param Text the text.
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
