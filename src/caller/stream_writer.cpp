#include "caller/stream_writer.h"

#include <nlohmann/json.hpp>

namespace lentilhoist {

namespace {

std::string makeEvent(const nlohmann::json &Json) {
  return "data: " + Json.dump() + "\n\n";
}

std::string contentEvent(const std::string &Content) {
  return makeEvent(
      {{"object", "chat.completion.chunk"},
       {"choices", {{{"index", 0}, {"delta", {{"content", Content}}}}}}});
}

bool startsWith(const std::string &Text, const std::string &Prefix) {
  return Text.compare(0, Prefix.size(), Prefix) == 0;
}

} // namespace

std::string stream_writer::addText(const answer_text &Text) {
  if (Text.Attempt != Attempt) {
    Attempt = Text.Attempt;
    Current.clear();
  }
  if (Text.Offset != Current.size())
    return {};
  Current += Text.Text;
  return emitNew();
}

std::string stream_writer::emitNew() {
  if (startsWith(Sent, Current))
    return {};
  std::string Events;
  if (!startsWith(Current, Sent)) {
    Events = makeEvent({{"lentilhoist", {{"restarted", true}}}});
    Sent.clear();
  }
  Events += contentEvent(Current.substr(Sent.size()));
  Sent = Current;
  return Events;
}

std::string stream_writer::finish(const call_answer &Answer) {
  if (Answer.Code != error_code::None)
    return "data: " + describeError(Answer) + "\n\n";
  Current = assistantContent(Answer.Body);
  std::string Events = emitNew();
  Events += makeEvent(
      {{"object", "chat.completion.chunk"},
       {"choices",
        {{{"index", 0},
          {"delta", nlohmann::json::object()},
          {"finish_reason", "stop"}}}},
       {"usage",
        {{"prompt_tokens", Answer.PromptTokens},
         {"completion_tokens", Answer.GeneratedTokens},
         {"total_tokens", Answer.PromptTokens + Answer.GeneratedTokens}}},
       {"lentilhoist", {{"committed_through", Answer.CommittedThrough}}}});
  return Events + "data: [DONE]\n\n";
}

std::string assistantContent(const std::string &Body) {
  const auto Json = nlohmann::json::parse(Body, nullptr, false);
  if (!Json.is_array() || Json.empty() || !Json[0].is_object())
    return Body;
  return Json[0].value("content", std::string());
}

std::string describeError(const call_answer &Answer) {
  nlohmann::json Error = {{"code", errorCodeName(Answer.Code)},
                          {"run", runStateName(Answer.Run)},
                          {"message", Answer.Body}};
  if (Answer.RetryAfterMilliseconds != 0)
    Error["retry_after_ms"] = Answer.RetryAfterMilliseconds;
  return nlohmann::json{{"error", Error}}.dump(
      -1, ' ', false, nlohmann::json::error_handler_t::replace);
}

} // namespace lentilhoist
