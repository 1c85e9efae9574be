#include "call/token_hub.h"

namespace lentilhoist {

void token_hub::attach(const program_id &Program, call_ticket Ticket,
                       std::shared_ptr<answer_sink> Sink) {
  const std::lock_guard Lock(Mutex);
  channel &Channel = Channels[Program];
  if (!Channel.Text.empty())
    Sink->addText(Channel.Attempt, 0, Channel.Text);
  Channel.Sinks.emplace(Ticket, std::move(Sink));
}

void token_hub::detach(const program_id &Program, call_ticket Ticket) {
  const std::lock_guard Lock(Mutex);
  const auto Found = Channels.find(Program);
  if (Found == Channels.end())
    return;
  Found->second.Sinks.erase(Ticket);
  if (Found->second.Sinks.empty())
    Channels.erase(Found);
}

void token_hub::beginAttempt(const program_id &Program,
                             const std::string &AttemptId) {
  const std::lock_guard Lock(Mutex);
  const auto Found = Channels.find(Program);
  if (Found == Channels.end())
    return;
  channel &Channel = Found->second;
  Channel.AttemptId = AttemptId;
  ++Channel.Attempt;
  Channel.Text.clear();
}

void token_hub::addText(const program_id &Program, const std::string &AttemptId,
                        std::string_view Text) {
  const std::lock_guard Lock(Mutex);
  const auto Found = Channels.find(Program);
  if (Found == Channels.end() || Found->second.AttemptId != AttemptId)
    return;
  channel &Channel = Found->second;
  for (const auto &[Ticket, Sink] : Channel.Sinks)
    Sink->addText(Channel.Attempt, Channel.Text.size(), Text);
  Channel.Text += Text;
}

} // namespace lentilhoist
